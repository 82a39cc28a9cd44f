package gateway

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/internal/peer"
	"github.com/lycheekeel/lycheekeel/member"
	"github.com/lycheekeel/lycheekeel/objectstore"
	"github.com/lycheekeel/lycheekeel/revision"
)

// askNet lets askers call each other; it notes who was asked.
type askNet struct {
	*postbox
	self  string
	known map[string]*asker
	asked []string
}

func (n *askNet) Call(ctx context.Context, to peer.Name, _ peer.Type, payload []byte) ([]byte, error) {
	n.asked = append(n.asked, string(to))
	other := n.known[string(to)]
	if other == nil {
		return nil, peer.ErrNotConnected
	}
	return other.answer(ctx, peer.Name(n.self), payload)
}

// askers are daemons of one zone that see each other.
func askers(n int) (all map[string]*asker, nets map[string]*askNet, reading, substitutes []string) {
	members := zoned(map[string]int{"a": n})
	all, nets = map[string]*asker{}, map[string]*askNet{}
	for _, m := range members {
		views := &member.CurrentView{}
		views.Store(member.NewView(m.Name, members))
		net := &askNet{postbox: newPostbox(), self: m.Name, known: all}
		s := configuredState()
		s.configFresh, s.serversFresh = revision.NewFreshnessOn(stopped), revision.NewFreshnessOn(stopped)
		all[m.Name], nets[m.Name] = newAsker(s, net, views, met()), net
	}
	reading, substitutes = readers(member.NewView("a1", members))
	return all, nets, reading, substitutes
}

// met is what a daemon has that has met others.
func met() <-chan struct{} {
	joined := make(chan struct{})
	close(joined)
	return joined
}

// staleStore answers stale reads alone.
type staleStore struct{ err error }

func (s *staleStore) GetStale(context.Context, objectstore.Kind, string) (objectstore.Object, error) {
	return objectstore.Object{}, s.err
}

// knows sets how old a daemon's proofs are.
func (a *asker) knows(age time.Duration) {
	a.state.configFresh, a.state.serversFresh = fresh(age), fresh(age)
}

// stopped is a clock that stands still.
func stopped() time.Duration { return time.Hour }

// fresh is of a proof that is so old.
func fresh(age time.Duration) *revision.Freshness {
	f := revision.NewFreshnessOn(stopped)
	f.Prove(f.Mark() - age)
	return f
}

func (a *asker) askNext() error {
	name, ok := a.pick()
	So(ok, ShouldBeTrue)
	err := a.ask(context.Background(), name)
	if err != nil {
		a.next.Add(1)
	}
	return err
}

// Guards against this: thousands of calls of the store while it turns a third of the VMs away.
func TestReadersThatCannotReadArePassedOver(t *testing.T) {
	Convey("Given 30 daemons, two of which read the store", t, func() {
		all, nets, reading, substitutes := askers(30)
		So(reading, ShouldHaveLength, 2)
		So(substitutes, ShouldHaveLength, 2)
		var other string
		for name := range all {
			if !slices.Contains(reading, name) && !slices.Contains(substitutes, name) {
				other = name
			}
		}
		a := all[other]
		first, _ := a.pick()
		second := reading[0]
		if first == second {
			second = reading[1]
		}
		a.knows(1700 * time.Millisecond)

		Convey("an asker goes from a reader that was turned away to the other one, which tells at once", func() {
			all[first].knows(1650 * time.Millisecond)
			all[second].knows(100 * time.Millisecond)
			So(a.askNext(), ShouldBeNil)
			So(a.askNext(), ShouldBeNil)
			So(nets[other].asked, ShouldResemble, []string{first, second})
			So(a.readsWell(), ShouldBeTrue)
			name, _ := a.pick()
			So(name, ShouldEqual, second)
		})
		Convey("it goes on to the substitutes, and begins anew", func() {
			for _, name := range append(slices.Clone(reading), substitutes...) {
				delete(all, name)
			}
			for range 5 {
				So(a.askNext(), ShouldNotBeNil)
			}
			So(nets[other].asked[:2], ShouldResemble, []string{first, second})
			So(substitutes, ShouldContain, nets[other].asked[2])
			So(substitutes, ShouldContain, nets[other].asked[3])
			So(nets[other].asked[4], ShouldEqual, first)
		})
		Convey("a reader that was turned away asks the other one", func() {
			all[first].knows(3 * time.Second)
			all[second].knows(100 * time.Millisecond)
			name, ok := all[first].pick()
			So(ok, ShouldBeTrue)
			So(name, ShouldEqual, second)
			So(all[first].askNext(), ShouldBeNil)
			So(all[first].readsWell(), ShouldBeTrue)
			_, ok = all[first].pick()
			So(ok, ShouldBeFalse)
		})
		// Guards against this: a withdrawn key is served by a daemon that the store would have answered, 2.05 s after the change.
		Convey("while readers answer and none can read, a daemon tries by itself in time, and seldom again if that fails", func() {
			all[first].knows(1650 * time.Millisecond)
			So(a.askNext(), ShouldBeNil)
			rests := func(a *asker) bool {
				r := &reader{state: a.state, reading: a.reading, told: a.told}
				_, rest := r.mayRest(r.loops()[0])
				return rest
			}
			b := all[substitutes[0]]
			for _, x := range []*asker{a, b} {
				x.state.configFresh = fresh(1650 * time.Millisecond)
				x.heard.Store(int64(x.state.configFresh.Mark()))
				So(rests(x), ShouldBeTrue)
				x.state.configFresh = fresh(1750 * time.Millisecond)
				So(rests(x), ShouldBeFalse)
			}
			again := func(a *asker) time.Duration {
				r := &reader{state: a.state, store: &listStore{err: objectstore.ErrUnavailable}, stale: &staleStore{}, reading: a.reading, told: a.told}
				return r.read(context.Background(), r.loops()[0])
			}
			So(again(a), ShouldBeGreaterThanOrEqualTo, retryMost/2)
			So(again(b), ShouldBeLessThan, 2*retryEvery) // a substitute
			a.heard.Store(int64(a.state.configFresh.Mark() - 3*time.Second))
			So(again(a), ShouldBeLessThan, 2*retryEvery) // it may be cut off from the readers
		})
	})
	Convey("A daemon whose own reads fail for long is cut off, until one is answered", t, func() {
		s := emptyState()
		s.configFresh = revision.NewFreshnessOn(stopped)
		store := &listStore{err: objectstore.ErrUnavailable}
		r := &reader{state: s, store: store, stale: &staleStore{}, reading: func() bool { return false }, told: func() bool { return true }}
		config := r.loops()[0]
		s.configFresh.Prove(s.configFresh.Mark())
		_, rest := r.mayRest(config)
		So(rest, ShouldBeTrue)
		r.read(context.Background(), config)
		So(s.cutOff(3*time.Second), ShouldBeFalse)
		s.storeLost.Store(int64(stopped() - 4*time.Second))
		So(s.cutOff(3*time.Second), ShouldBeTrue)
		_, rest = r.mayRest(config) // it goes on trying, though others tell it
		So(rest, ShouldBeFalse)
		store.err = nil
		r.read(context.Background(), config)
		So(s.cutOff(3*time.Second), ShouldBeFalse)
		_, rest = r.mayRest(config)
		So(rest, ShouldBeTrue)
	})
	Convey("A daemon that the store does not answer refuses keys, though others prove them", t, func() {
		g := &Gateway{settings: Settings{Bounds: BoundsSettings{RevokeMs: 5000}}, state: emptyState()}
		g.state.configFresh = fresh(100 * time.Millisecond)
		g.state.storeLost.Store(int64(stopped() - 4*time.Second))
		So(g.Fresh(), ShouldBeTrue)
		So(g.provedWithin(readyShare), ShouldBeFalse)
		g.state.storeLost.Store(int64(stopped() - 4800*time.Millisecond))
		So(g.Fresh(), ShouldBeFalse)
		So(g.StoreLost(), ShouldEqual, 4800*time.Millisecond)
		g.state.storeLost.Store(0)
		So(g.Fresh(), ShouldBeTrue)
	})
	Convey("A daemon that does not read the store notices that it is cut off, and that it is back", t, func() {
		s := emptyState()
		s.configFresh = revision.NewFreshnessOn(stopped)
		store := &staleStore{err: objectstore.ErrUnknownOutcome}
		r := &reader{state: s, stale: store}
		r.checkReach(context.Background())
		So(s.storeLost.Load(), ShouldEqual, int64(stopped()))
		s.storeLost.Store(int64(stopped() - 4*time.Second))
		r.checkReach(context.Background()) // it counts from the first
		So(s.cutOff(3*time.Second), ShouldBeTrue)
		store.err = objectstore.ErrNotFound // an answer all the same
		r.checkReach(context.Background())
		So(s.cutOff(3*time.Second), ShouldBeFalse)
	})
	// Guards against this: after all daemons were killed, some serve nobody for seconds.
	Convey("A daemon that knows nothing yet tries again soon, though a reader answers", t, func() {
		s := emptyState()
		s.configFresh = revision.NewFreshnessOn(stopped)
		store := &listStore{err: objectstore.ErrUnavailable}
		r := &reader{state: s, store: store, stale: &staleStore{}, reading: func() bool { return false }, told: func() bool { return true }}
		So(r.read(context.Background(), r.loops()[0]), ShouldBeLessThan, 2*retryEvery)
		s.configFresh.Prove(s.configFresh.Mark())
		So(r.read(context.Background(), r.loops()[0]), ShouldBeGreaterThanOrEqualTo, retryMost/2)
	})
	Convey("Of nine daemons, two stand in for the one reader", t, func() {
		_, _, reading, substitutes := askers(9)
		So(reading, ShouldHaveLength, 1)
		So(substitutes, ShouldHaveLength, 2)
	})
	Convey("A daemon alone asks nobody", t, func() {
		all, _, reading, substitutes := askers(1)
		So(fmt.Sprint(reading, substitutes), ShouldEqual, "[a1] []")
		_, ok := all["a1"].pick()
		So(ok, ShouldBeFalse)
	})
}
