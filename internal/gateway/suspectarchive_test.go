package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/objectstore"
	"github.com/lycheekeel/lycheekeel/pool"
	"github.com/lycheekeel/lycheekeel/pool/suspect"
)

// fakeSuspectHost knows what it is given and what it learns.
type fakeSuspectHost struct{ known []pool.SuspectShared }

func (h *fakeSuspectHost) SharedSuspects() []pool.SuspectShared { return slices.Clone(h.known) }
func (h *fakeSuspectHost) LearnSuspect(s pool.SuspectShared)    { h.known = append(h.known, s) }

// suspects returns confirmed contents with fingerprints from 1 on.
func suspectsOf(n int) []pool.SuspectShared {
	all := make([]pool.SuspectShared, n)
	for i := range all {
		all[i] = pool.SuspectShared{
			Fingerprint: uint64(i + 1), State: pool.SuspectConfirmed, ExpiresIn: time.Minute, Crashes: []string{"a.1", "b.1", "c.1"}, Trials: 1, TrialIn: time.Second,
		}
	}
	return all
}

// Guards against: what crashes servers is forgotten, or not cleared, where all daemons end at once.
func TestSuspectsOutliveAllDaemons(t *testing.T) {
	ctx := context.Background()
	archiveOf := func(store *forgetfulStore, known []pool.SuspectShared) (*suspectArchive, *fakeSuspectHost) {
		h := &fakeSuspectHost{known: known}
		return &suspectArchive{platform: Platform{Store: store, Stale: store}, region: "r", host: h}, h
	}
	part := pool.SuspectShared{
		Fingerprint: 9, State: pool.Suspected, ExpiresIn: time.Minute, Crashes: []string{"a.1", "b.2"}, Part: true, Scope: suspect.ScopeOf("w"),
	}
	Convey("Given a store that loses the answers to writes, and what one daemon wrote", t, func() {
		store := &forgetfulStore{}
		writer, host := archiveOf(store, append(suspectsOf(1), part))
		So(writer.write(ctx), ShouldNotBeNil) // the answer is lost
		So(writer.write(ctx), ShouldBeNil)

		Convey("one that starts learns it, as long as it has not expired", func() {
			reader, learnt := archiveOf(store, nil)
			So(reader.load(ctx), ShouldBeNil)
			So(slices.EqualFunc(learnt.known, host.known, sameEvidence), ShouldBeTrue)
			So(learnt.known[0].ExpiresIn, ShouldBeLessThanOrEqualTo, time.Minute)
			So(learnt.known[0].TrialIn, ShouldEqual, time.Second)
			all, err := decodeSuspects(store.object.Value, time.Now().Add(time.Minute+time.Second))
			So(err, ShouldBeNil)
			So(all, ShouldBeEmpty)
		})
		Convey("it is written again when the evidence changes, not when time passes", func() {
			before := store.writes
			host.known[0].ExpiresIn -= time.Second
			So(writer.write(ctx), ShouldBeNil)
			So(store.writes, ShouldEqual, before)
			host.known[0].Trials++
			So(writer.write(ctx), ShouldNotBeNil)
			So(store.writes, ShouldEqual, before+1)
		})
		Convey("what was cleared is removed, also by another daemon", func() {
			other, _ := archiveOf(store, nil)
			So(other.write(ctx), ShouldNotBeNil)
			So(other.write(ctx), ShouldBeNil)
			reader, learnt := archiveOf(store, nil)
			So(reader.load(ctx), ShouldBeNil)
			So(learnt.known, ShouldBeEmpty)
		})
		Convey("one record that can't be decoded hides no others", func() {
			var l suspectList
			So(json.Unmarshal(store.object.Value, &l), ShouldBeNil)
			l.Suspects = append([]archivedSuspect{{Record: []byte("x"), ExpiresAt: 1 << 50}}, l.Suspects...)
			value, err := json.Marshal(l)
			So(err, ShouldBeNil)
			all, err := decodeSuspects(value, time.Now())
			So(err, ShouldNotBeNil)
			So(all, ShouldHaveLength, 2)
		})
		Convey("a value that can't be decoded is replaced", func() {
			store.object.Value = nil
			So(archiveAfter(writer).write(ctx), ShouldNotBeNil)
			all, err := decodeSuspects(store.object.Value, time.Now())
			So(err, ShouldBeNil)
			So(all, ShouldHaveLength, 2)
		})
	})
	Convey("Nothing is written where nothing is known", t, func() {
		store := &forgetfulStore{}
		a, _ := archiveOf(store, nil)
		So(a.load(ctx), ShouldBeNil)
		So(a.write(ctx), ShouldBeNil)
		So(store.writes, ShouldEqual, 0)
	})
	Convey("The most severe are kept, within the size of an object", t, func() {
		store := &forgetfulStore{}
		many := suspectsOf(maxArchivedSuspects + 1)
		for i := range many {
			for n := range 32 {
				many[i].Crashes = append(many[i].Crashes, fmt.Sprintf("i-%060d.%d", n, n))
			}
		}
		many[0].State = pool.Suspected
		a, _ := archiveOf(store, many)
		So(a.write(ctx), ShouldNotBeNil)
		So(len(store.object.Value), ShouldBeLessThan, objectstore.MaxValueBytes)
		all, err := decodeSuspects(store.object.Value, time.Now())
		So(err, ShouldBeNil)
		So(all, ShouldHaveLength, maxArchivedSuspects)
		So(all[0].State, ShouldEqual, pool.SuspectConfirmed)
	})
}

// archiveAfter returns the archive as of a restore of the store.
func archiveAfter(a *suspectArchive) *suspectArchive {
	a.sure = false
	return a
}
