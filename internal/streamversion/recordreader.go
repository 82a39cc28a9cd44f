package streamversion

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lycheekeel/lycheekeel/internal/wait"
)

// RecordArchive keeps records, in segments, beyond the life of all daemons.
type RecordArchive interface {
	// Segments returns the segments of all daemons, as of no earlier than the call.
	Segments(ctx context.Context) ([]StoredSegment, error)
}

// StoredSegment is a segment in the archive.
type StoredSegment struct {
	Name    string
	Daemon  string // that writes it
	Number  int    // among the daemon's
	Version uint64 // changes with each write
	Value   []byte
}

const (
	// readTimeout bounds a read of the archive.
	readTimeout = 1200 * time.Millisecond
	// refreshTimeout bounds the wait of a lookup for the archive.
	refreshTimeout = 1500 * time.Millisecond
	// minReadPause is the time between the starts of two reads, which doubles with each read that
	// found no stream, up to maxReadPause: callers may name any number of streams that never were.
	minReadPause = time.Second
	maxReadPause = 16 * time.Second
	// maxArchivedRecords bounds what is kept of a read. One takes about 100 bytes.
	maxArchivedRecords = 1 << 17
)

// recordReader reads the archived records of all daemons. It is safe for concurrent use.
type recordReader struct {
	archive RecordArchive
	now     func() time.Time
	log     *logrus.Entry
	wait    func(context.Context, time.Duration) bool
	records atomic.Pointer[map[key]record] // of the last read; nil: none has succeeded

	mu          sync.Mutex
	seen        map[string]seenSegment // as of the last read
	next        chan struct{}          // closed at the end of the read that waits or runs; nil: none
	startedAt   time.Time              // of the last read that has started
	succeededAt time.Time              // start of the last read that has succeeded
	pause       time.Duration
	missedAt    time.Time // succeededAt of the last read that has lengthened the pause
}

// seenSegment is a segment as it was first read in its present version.
type seenSegment struct {
	StoredSegment
	at      time.Time
	records []archivedRecord
}

func newRecordReader(a RecordArchive, now func() time.Time, log *logrus.Entry) *recordReader {
	return &recordReader{archive: a, now: now, log: log, wait: wait.For, seen: map[string]seenSegment{}, pause: minReadPause}
}

// get returns the version of a stream that the last read has found.
func (r *recordReader) get(k key) (version string, ok bool) {
	all := r.records.Load()
	if all == nil {
		return "", false
	}
	x, known := (*all)[k]
	return x.version, known && r.now().Before(x.expires)
}

// refresh waits for a read that starts no earlier than asked, and reports whether there was
// one. It gives up at once if the next read has to wait for longer than a lookup may.
func (r *recordReader) refresh(ctx context.Context, asked time.Time) bool {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	for ctx.Err() == nil {
		r.mu.Lock()
		if r.next == nil {
			if !r.succeededAt.IsZero() && !r.succeededAt.Before(asked) {
				r.mu.Unlock()
				return true
			}
			if !r.startedAt.IsZero() && !r.startedAt.Before(asked) {
				r.mu.Unlock()
				return false // it failed
			}
			pause := r.startedAt.Add(r.pause).Sub(r.now())
			if pause > refreshTimeout {
				r.mu.Unlock()
				return false
			}
			r.next = make(chan struct{})
			go r.readAfter(pause)
		}
		done := r.next
		r.mu.Unlock()
		select {
		case <-done:
		case <-ctx.Done():
		}
	}
	return false
}

// helped notes that a read has found the stream of a lookup.
func (r *recordReader) helped() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pause = minReadPause
}

// missed notes that the last read has not found the stream of a lookup.
func (r *recordReader) missed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.missedAt.Equal(r.succeededAt) {
		r.missedAt, r.pause = r.succeededAt, min(2*r.pause, maxReadPause)
	}
}

// readAfter reads the archive after a pause.
func (r *recordReader) readAfter(pause time.Duration) {
	r.wait(context.Background(), pause)
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	started := r.now()
	r.mu.Lock()
	r.startedAt = started
	r.mu.Unlock()
	all, err := r.archive.Segments(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.log.WithError(err).Warn("Archived records can't be read.")
	} else {
		r.take(all)
		r.succeededAt = started
	}
	close(r.next)
	r.next = nil
}

// take replaces what is known by what was read. The mutex is held.
func (r *recordReader) take(all []StoredSegment) {
	now, records, seen := r.now(), map[key]record{}, make(map[string]seenSegment, len(all))
	for _, s := range all {
		known, ok := r.seen[s.Name]
		if !ok || known.Version != s.Version {
			decoded, err := decodeSegment(now, s.Value)
			if err != nil {
				r.log.WithField("segment", s.Name).WithError(err).Warn("Archived records can't be decoded.")
			}
			s.Value = nil
			known = seenSegment{s, now, decoded}
		}
		seen[s.Name] = known
		for _, x := range known.records {
			if !now.Before(x.expires) || len(records) >= maxArchivedRecords {
				continue
			}
			found := record{x.version, x.expires}
			if old, known := records[x.stream]; known {
				found = found.merge(old)
			}
			records[x.stream] = found
		}
	}
	r.seen = seen
	r.records.Store(&records)
}

// segmentsOf returns the segments of a daemon as of the last read.
func (r *recordReader) segmentsOf(daemon string) (out []seenSegment) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.seen {
		if s.Daemon == daemon {
			out = append(out, s)
		}
	}
	return out
}

// abandoned returns the segments of daemons that are gone, as of the last read, and of those the
// ones of which all records have expired since this daemon first read them.
func (r *recordReader) abandoned(isMember func(daemon string) bool) (all int, expired []StoredSegment) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	for _, s := range r.seen {
		if isMember(s.Daemon) {
			continue
		}
		all++
		if !now.Before(lastExpiry(s.records)) && now.Sub(s.at) >= versionMemory {
			expired = append(expired, s.StoredSegment)
		}
	}
	return all, expired
}
