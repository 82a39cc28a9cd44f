package gateway

import (
	"context"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/lycheekeel/lycheekeel/internal/streamversion"
	"github.com/lycheekeel/lycheekeel/internal/wait"
	"github.com/lycheekeel/lycheekeel/member"
	"github.com/lycheekeel/lycheekeel/objectstore"
)

// kindStreams holds, in a kind of this project's own, which versions began the streams of
// services with several versions, in segments named by daemon and number. Daemons tell each
// other; the store keeps it for the case that all of them end, or can't reach each other.
const kindStreams objectstore.Kind = "lycheekeel-streams"

const (
	// segmentInterval is how often new records are written. At most two daemons for each group
	// of streams (streamversion) write one segment each time: 64 writes a second in a large
	// region, 12 of six daemons.
	segmentInterval = 500 * time.Millisecond
	// segmentMaxDelay is the longest mean time between two writes while they fail. All daemons write if
	// they don't reach each other, and share the store's rate with what can't wait.
	segmentMaxDelay = 8 * time.Second
	// segmentReadSpread spreads the reads of daemons that start together.
	segmentReadSpread = 250 * time.Millisecond
	// segmentWriteTimeout bounds a write; what was not written is due again.
	segmentWriteTimeout = 2 * time.Second
	// removalInterval is how often segments of daemons that are gone are looked for.
	removalInterval = 30 * time.Second
	// removalKey is the rendezvous hashing key by which the daemon that removes them is selected.
	removalKey = "removal of archived streams"
)

// streamArchive implements streamversion.RecordArchive in the store.
type streamArchive struct{ platform Platform }

// Segments implements streamversion.RecordArchive.
func (a streamArchive) Segments(ctx context.Context) ([]streamversion.StoredSegment, error) {
	l, err := a.platform.Store.List(ctx, kindStreams, "")
	if err != nil {
		return nil, errors.Wrap(err, "list archived streams")
	}
	out := make([]streamversion.StoredSegment, 0, len(l.Objects))
	for _, o := range l.Objects {
		i := strings.LastIndexByte(o.Name, '-')
		number, err := strconv.Atoi(o.Name[i+1:])
		if i < 0 || err != nil {
			continue // nobody's
		}
		out = append(out, streamversion.StoredSegment{Name: o.Name, Daemon: o.Name[:i], Number: number, Version: uint64(o.Version), Value: o.Value})
	}
	return out, nil
}

func segmentName(daemon string, number int) string { return daemon + "-" + strconv.Itoa(number) }

// segmentWriter writes the segments of one daemon.
type segmentWriter struct {
	store    objectstore.ObjectAPI
	daemon   string
	versions map[int]objectstore.Version // by number; 0: there is no such object; missing: not known
}

// put writes a segment. Its present version is read only if it is not known.
func (w *segmentWriter) put(ctx context.Context, s streamversion.SegmentWrite) error {
	ctx, cancel := context.WithTimeout(ctx, segmentWriteTimeout)
	defer cancel()
	name := segmentName(w.daemon, s.Number)
	version, known := w.versions[s.Number]
	if !known {
		o, err := w.store.Get(ctx, kindStreams, name)
		if err != nil && !errors.Is(err, objectstore.ErrNotFound) {
			return errors.Wrap(err, "read an archived segment")
		}
		version = o.Version
	}
	var err error
	if version == 0 {
		version, err = w.store.Create(ctx, kindStreams, name, s.Value)
	} else {
		version, err = w.store.Update(ctx, kindStreams, name, s.Value, version)
	}
	if err != nil {
		delete(w.versions, s.Number)
		return errors.Wrap(err, "archive a segment")
	}
	w.versions[s.Number] = version
	return nil
}

// archiveStreams reads what the store holds of streams, and then writes to it the records that
// this daemon is to archive, until ctx ends.
func (g *Gateway) archiveStreams(ctx context.Context) {
	wait.For(ctx, rand.N(segmentReadSpread))
	for ctx.Err() == nil && g.streams.LoadRecords(ctx, g.settings.Name) != nil {
		wait.For(ctx, storeRetryMaxDelay/2+rand.N(storeRetryMaxDelay))
	}
	w := &segmentWriter{store: g.platform.Store, daemon: g.settings.Name}
	delay := segmentInterval
	for era := uint64(0); ctx.Err() == nil; wait.For(ctx, delay/2+rand.N(delay)) {
		if newest := g.state.storeEra(); w.versions == nil || newest != era {
			if w.versions != nil {
				g.streams.RewriteSegments() // a restored store may lack them
			}
			era, w.versions = newest, map[int]objectstore.Version{}
		}
		if g.writeSegments(ctx, w) {
			delay = segmentInterval
		} else {
			delay = min(2*delay, segmentMaxDelay)
		}
	}
}

// writeSegments writes what is due, and reports whether the store took all of it.
func (g *Gateway) writeSegments(ctx context.Context, w *segmentWriter) bool {
	due, err := g.streams.DueSegments()
	if err != nil {
		g.log.WithError(err).Error("Streams can't be encoded.")
	}
	for _, s := range due {
		err := w.put(ctx, s)
		g.streams.SegmentWritten(s, err)
		if err != nil {
			g.log.WithField("segment", segmentName(w.daemon, s.Number)).WithError(err).Warn("Streams not archived.")
			return false // the store may be down; the others are due again
		}
	}
	return true
}

// removeOldSegments removes the segments of daemons that are gone, while this daemon is the
// one to do so, until ctx ends. The store is read only while there may be some.
func (g *Gateway) removeOldSegments(ctx context.Context) {
	select {
	case <-g.members.Joined():
	case <-ctx.Done():
	}
	var asOf *member.View
	for left := 0; wait.For(ctx, removalInterval); {
		view := g.currentView.Load()
		first, ok := view.Owner(removalKey, g.settings.Region)
		if !ok || first.Name != g.settings.Name || view == asOf && left == 0 {
			continue
		}
		if g.streams.ReadRecords(ctx) != nil {
			continue
		}
		asOf, left = view, g.removeAbandoned(ctx, view)
	}
}

// removeAbandoned returns how many segments of daemons that are gone are left.
func (g *Gateway) removeAbandoned(ctx context.Context, view *member.View) int {
	all, expired := g.streams.AbandonedSegments(func(daemon string) bool {
		m, known := view.Get(daemon)
		return known && m.State != member.Dead
	})
	for _, s := range expired {
		if _, err := g.platform.Store.Delete(ctx, kindStreams, s.Name, objectstore.Version(s.Version)); err != nil {
			g.log.WithField("segment", s.Name).WithError(err).Warn("Old archived streams not removed.")
			return all
		}
		all--
	}
	return all
}
