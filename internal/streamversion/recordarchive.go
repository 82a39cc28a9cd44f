package streamversion

import (
	"slices"
	"sync"
	"time"
)

// The sizes of the archive of a daemon.
const (
	// segmentSpan is how long records are added to a segment, which is rewritten whole each
	// time.
	segmentSpan = 4 * time.Second
	maxSegments = 64
	// maxSegmentRecords keeps a segment's value below 60 KB.
	maxSegmentRecords = 3000
	// maxCollected bounds the records of services of one version, which wait for a second one.
	maxCollected = 1 << 13
)

// recordWriter decides what this daemon archives of the records that it is to archive, and
// when. It is safe for concurrent use.
//
// Records of a service are written only while it has several versions: without a record, a
// stream of a service of one version goes on there. Those of running streams are kept until a
// second version appears.
type recordWriter struct {
	mu        sync.Mutex
	collected []collectedRecord // not in a segment yet, in the order in which they came
	segments  []*segment
	current   *segment // records are added here; nil: none yet
}

type collectedRecord struct {
	service string
	archivedRecord
}

type segment struct {
	records  []archivedRecord
	openedAt time.Time
	dirty    bool // not written as it is
}

// SegmentWrite is a segment that has to be written to the archive.
type SegmentWrite struct {
	Number int // identifies the segment among the daemon's
	Value  []byte
}

// collect takes a record that this daemon is to archive.
func (w *recordWriter) collect(service string, r archivedRecord) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.collected) >= maxCollected {
		w.collected = slices.Delete(w.collected, 0, maxCollected/8)
	}
	w.collected = append(w.collected, collectedRecord{service, r})
}

// due returns the segments that have to be written, and how many records are new.
func (w *recordWriter) due(now time.Time, hasSeveral func(service string) bool) (out []SegmentWrite, added int, first error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	several := map[string]bool{}
	kept := w.collected[:0]
	for _, c := range w.collected {
		if _, known := several[c.service]; !known {
			several[c.service] = hasSeveral(c.service)
		}
		switch {
		case !now.Before(c.expires):
		case several[c.service]:
			w.add(now, c.archivedRecord)
			added++
		default:
			kept = append(kept, c)
		}
	}
	clear(w.collected[len(kept):])
	w.collected = kept
	for i, s := range w.segments {
		if !s.dirty {
			continue
		}
		value, err := encodeSegment(now, s.records)
		if err != nil {
			first = err
			continue
		}
		out = append(out, SegmentWrite{i, value})
	}
	return out, added, first
}

// add adds a record to the current segment. The mutex is held.
func (w *recordWriter) add(now time.Time, r archivedRecord) {
	if w.current == nil || now.Sub(w.current.openedAt) >= segmentSpan || len(w.current.records) >= maxSegmentRecords {
		w.current = w.free(now)
		w.current.openedAt, w.current.records = now, nil
	}
	w.current.records = append(w.current.records, r)
	w.current.dirty = true
}

// free returns a segment of which all records have expired, or a new one; once there are too
// many, that which expires first.
func (w *recordWriter) free(now time.Time) *segment {
	var oldest *segment
	for _, s := range w.segments {
		if !now.Before(lastExpiry(s.records)) {
			return s
		}
		if oldest == nil || lastExpiry(s.records).Before(lastExpiry(oldest.records)) {
			oldest = s
		}
	}
	if len(w.segments) >= maxSegments {
		return oldest
	}
	s := &segment{}
	w.segments = append(w.segments, s)
	return s
}

// written notes that a segment was written as due returned it. No records may have been added
// since.
func (w *recordWriter) written(number int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.segments[number].dirty = false
}

// adopt takes over a segment that an earlier process of this daemon has written, before any
// record is added.
func (w *recordWriter) adopt(number int, records []archivedRecord) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if number < 0 || number >= maxSegments {
		return
	}
	for len(w.segments) <= number {
		w.segments = append(w.segments, &segment{})
	}
	if s := w.segments[number]; s.records == nil {
		s.records = records
	}
}

// rewrite makes all segments with records that have not expired due.
func (w *recordWriter) rewrite(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.segments {
		s.dirty = s.dirty || now.Before(lastExpiry(s.records))
	}
}
