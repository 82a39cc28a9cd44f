package streamversion

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/lycheekeel/lycheekeel/internal/peer"
	"github.com/lycheekeel/lycheekeel/internal/streamversion/wire"
)

// errNotRead: the archive could not be read in time.
var errNotRead = errors.New("the archived records were not read")

// LoadRecords reads the archived records of all daemons, and takes over the segments of an
// earlier process of this daemon. Until it has succeeded, DueSegments must not be called.
func (k *Keeper) LoadRecords(ctx context.Context, daemon string) error {
	if err := k.ReadRecords(ctx); err != nil {
		return err
	}
	for _, s := range k.reader.segmentsOf(daemon) {
		k.writer.adopt(s.Number, s.records)
	}
	return nil
}

// ReadRecords reads the archived records of all daemons again.
func (k *Keeper) ReadRecords(ctx context.Context) error {
	if !k.reader.refresh(ctx, k.cfg.Now()) {
		return errNotRead
	}
	return nil
}

// DueSegments returns the segments that have to be written to the archive. A segment is due
// until SegmentWritten is called for it.
func (k *Keeper) DueSegments() ([]SegmentWrite, error) {
	now := k.cfg.Now()
	due, added, err := k.writer.due(now, func(service string) bool { return len(k.cfg.History.Versions(now, service)) > 1 })
	k.counters.archived.Add(int64(added))
	return due, err
}

// SegmentWritten notes whether a segment that was due has been written.
func (k *Keeper) SegmentWritten(s SegmentWrite, err error) {
	if err != nil {
		k.counters.archiveFailed.Add(1)
		return
	}
	k.writer.written(s.Number)
}

// RewriteSegments makes all segments due whose records have not expired: the archive may have
// lost them.
func (k *Keeper) RewriteSegments() { k.writer.rewrite(k.cfg.Now()) }

// AbandonedSegments returns how many segments of daemons that are gone there are, as of the
// last read, and those that have been of no use to anybody for long.
func (k *Keeper) AbandonedSegments(isMember func(daemon string) bool) (all int, expired []StoredSegment) {
	return k.reader.abandoned(isMember)
}

// collect takes a record that this daemon is to archive.
func (k *Keeper) collect(service string, id key, version string, keepFor time.Duration) {
	if k.reader == nil {
		return
	}
	k.writer.collect(service, archivedRecord{id, version, k.cfg.Now().Add(min(keepFor, maxKeep))})
}

// handToArchive tells the first keeper of a stream, which is to archive its record. If it does
// not confirm that, this daemon archives it.
func (k *Keeper) handToArchive(keepers []keeper, service string, m *wire.Began, keepFor time.Duration) {
	if len(keepers) > 0 {
		m = &wire.Began{Stream: m.GetStream(), Version: m.GetVersion(), KeepMs: m.GetKeepMs(), Archive: true, Service: service}
		ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
		defer cancel()
		payload, err := proto.Marshal(m)
		if err == nil {
			var answer []byte
			answer, err = k.transport.Call(ctx, peer.Name(keepers[0].name), peer.TypeStreamBegan, payload)
			if len(answer) > 0 { // a daemon of an earlier release answers, but archives nothing
				return
			}
		}
		if err != nil {
			k.counters.sendFailed.Add(1)
			k.handover.forgetGroup(keepers[0].name, groupOf(key(m.GetStream())))
		}
	}
	k.collect(service, key(m.GetStream()), m.GetVersion(), keepFor)
}

// known returns the version of a stream that this daemon has recorded or read in the archive.
func (k *Keeper) known(now time.Time, id key) (version string, ok bool) {
	version, ok = k.table.get(now, id)
	if k.reader == nil {
		return version, ok
	}
	archived, found := k.reader.get(id)
	switch {
	case !found:
		return version, ok
	case ok && archived != version:
		return ambiguous, true
	}
	return archived, true
}

// findArchived looks in the archive for a stream of which no daemon has a record, and reports
// whether the archive was read since the stream was taken up. Records that contradict each
// other make a stream unknown, whatever the archive has.
func (k *Keeper) findArchived(ctx context.Context, l *lookup) (version string, found, read bool) {
	if k.reader == nil || slices.ContainsFunc(l.all(), func(e evidence) bool { return e.known }) {
		return "", false, true
	}
	if !k.reader.refresh(ctx, l.started) {
		return "", false, false
	}
	version, found = k.reader.get(l.stream.key())
	if !found || version == ambiguous {
		k.reader.missed()
		return "", false, true
	}
	k.reader.helped()
	k.counters.readFromArchive.Add(1)
	return version, true, true
}
