package gateway

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/lycheekeel/lycheekeel/internal/poolwire"
	"github.com/lycheekeel/lycheekeel/internal/wait"
	"github.com/lycheekeel/lycheekeel/objectstore"
	"github.com/lycheekeel/lycheekeel/pool"
)

// kindSuspects holds, in a kind of this project's own and by region, under which contents and
// parts of prompts servers have crashed. Daemons tell each other; the store keeps it for the case
// that all of them end at once.
const kindSuspects objectstore.Kind = "lycheekeel-suspects"

const (
	// suspectArchiveKey is the rendezvous hashing key by which the daemon that writes is selected.
	suspectArchiveKey = "archive of the suspects"
	// maxArchivedSuspects bounds the object's size.
	maxArchivedSuspects = 256
	// suspectReadSpread spreads the reads of daemons that start together.
	suspectReadSpread = 250 * time.Millisecond
	// suspectCallTimeout bounds a read or a write of the archive.
	suspectCallTimeout = 2 * time.Second
)

// suspectList is the object's value.
type suspectList struct {
	Suspects []archivedSuspect `json:"suspects"`
}

// archivedSuspect is one fingerprint.
type archivedSuspect struct {
	// Record is the message that daemons send each other (poolwire.EncodeSuspect).
	Record []byte `json:"record"`
	// ExpiresAt is a Unix time in milliseconds. What Record says of it is as of the write.
	ExpiresAt int64 `json:"expires_at"`
}

// suspectHost holds what a daemon knows of suspects.
type suspectHost interface {
	SharedSuspects() []pool.SuspectShared
	LearnSuspect(pool.SuspectShared)
}

// suspectArchive keeps a daemon's knowledge of suspects in the store.
type suspectArchive struct {
	platform Platform
	region   string
	host     suspectHost
	// written is what this daemon has written, if sure is set: nobody else has written since.
	written []pool.SuspectShared
	sure    bool
}

// load tells the host what the store holds. A stale read suffices: what is missing was written in
// the last seconds.
func (a *suspectArchive) load(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, suspectCallTimeout)
	defer cancel()
	o, err := a.platform.Stale.GetStale(ctx, kindSuspects, a.region)
	if errors.Is(err, objectstore.ErrNotFound) {
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "read archived suspects")
	}
	all, err := decodeSuspects(o.Value, time.Now())
	for _, s := range all {
		a.host.LearnSuspect(s)
	}
	return err
}

// decodeSuspects decodes the object's value without what has expired. One that can't be decoded
// does not hide the others; the error is the first of them.
func decodeSuspects(value []byte, now time.Time) (all []pool.SuspectShared, first error) {
	var l suspectList
	if err := json.Unmarshal(value, &l); err != nil {
		return nil, errors.Wrap(err, "decode archived suspects")
	}
	for _, x := range l.Suspects {
		s, err := poolwire.DecodeSuspect(x.Record)
		if err != nil {
			if first == nil {
				first = errors.Wrap(err, "decode an archived suspect")
			}
			continue
		}
		s.ExpiresIn = min(s.ExpiresIn, time.UnixMilli(x.ExpiresAt).Sub(now))
		if s.ExpiresIn > 0 {
			all = append(all, s)
		}
	}
	return all, first
}

// write brings the store up to date with what the host knows, if that has changed.
func (a *suspectArchive) write(ctx context.Context) error {
	known := a.host.SharedSuspects()
	slices.SortFunc(known, compareSuspects)
	known = known[:min(len(known), maxArchivedSuspects)]
	if a.sure && slices.EqualFunc(known, a.written, sameEvidence) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, suspectCallTimeout)
	defer cancel()
	if err := a.put(ctx, known); err != nil {
		return errors.Wrap(err, "archive suspects")
	}
	a.written, a.sure = known, true
	return nil
}

// put replaces the object's value unless it says the same.
func (a *suspectArchive) put(ctx context.Context, known []pool.SuspectShared) error {
	old, err := a.platform.Store.Get(ctx, kindSuspects, a.region)
	missing := errors.Is(err, objectstore.ErrNotFound)
	if err != nil && !missing {
		return err
	}
	stored, err := decodeSuspects(old.Value, time.Now())
	if missing && len(known) == 0 || err == nil && slices.EqualFunc(known, stored, sameEvidence) {
		return nil
	}
	if missing {
		_, err = a.platform.Store.Create(ctx, kindSuspects, a.region, encodeSuspects(known, time.Now()))
	} else {
		_, err = a.platform.Store.Update(ctx, kindSuspects, a.region, encodeSuspects(known, time.Now()), old.Version)
	}
	return err
}

func encodeSuspects(all []pool.SuspectShared, now time.Time) []byte {
	l := suspectList{Suspects: make([]archivedSuspect, 0, len(all))}
	for _, s := range all {
		l.Suspects = append(l.Suspects, archivedSuspect{Record: poolwire.EncodeSuspect(s), ExpiresAt: now.Add(s.ExpiresIn).UnixMilli()})
	}
	value, err := json.Marshal(l)
	if err != nil {
		panic(err) // bytes and numbers always encode
	}
	return value
}

// compareSuspects orders the confirmed ones first, then those of more crashes.
func compareSuspects(a, b pool.SuspectShared) int {
	return cmp.Or(cmp.Compare(b.State, a.State), cmp.Compare(len(b.Crashes), len(a.Crashes)), cmp.Compare(a.Fingerprint, b.Fingerprint))
}

// sameEvidence reports whether two records differ in times alone.
func sameEvidence(a, b pool.SuspectShared) bool {
	return a.Fingerprint == b.Fingerprint && a.State == b.State && a.Trials == b.Trials && a.Scope == b.Scope && slices.Equal(a.Crashes, b.Crashes)
}

// archiveSuspects learns what the store holds of suspects, and then keeps it up to date while
// this daemon is the one to do so, until ctx ends.
func (g *Gateway) archiveSuspects(ctx context.Context) {
	a := &suspectArchive{platform: g.platform, region: g.settings.Region, host: g.host}
	g.learnSuspects(ctx, a)
	select {
	case <-g.members.Joined(): // until then each daemon takes itself for the one to write
	case <-ctx.Done():
	}
	for era := g.state.storeEra(); ctx.Err() == nil; wait.For(ctx, archiveInterval) {
		first, ok := g.currentView.Load().Owner(suspectArchiveKey, g.settings.Region)
		if newest := g.state.storeEra(); !ok || first.Name != g.settings.Name || newest != era {
			era, a.sure = newest, false // another daemon may write, or a restored store lack it
		}
		if !ok || first.Name != g.settings.Name {
			continue
		}
		if err := a.write(ctx); err != nil {
			g.log.WithError(err).Warn("Suspects not archived.")
		}
	}
}

// learnSuspects reads the archive, again and again while the store does not answer.
func (g *Gateway) learnSuspects(ctx context.Context, a *suspectArchive) {
	wait.For(ctx, rand.N(suspectReadSpread))
	for ctx.Err() == nil {
		err := a.load(ctx)
		if err == nil {
			return
		}
		g.log.WithError(err).Warn("Archived suspects can't be read.")
		if !errors.Is(err, objectstore.ErrUnavailable) && !errors.Is(err, objectstore.ErrUnknownOutcome) {
			return // what is there can't be decoded, now or later
		}
		wait.For(ctx, storeRetryMaxDelay)
	}
}
