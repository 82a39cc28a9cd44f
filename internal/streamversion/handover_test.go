package streamversion

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/lycheekeel/lycheekeel/internal/metrics"
	"github.com/lycheekeel/lycheekeel/internal/peer"
	"github.com/lycheekeel/lycheekeel/member"
)

// end ends a daemon without notice. The others' views stay as they are until publish.
func (f *fleet) end(i int) {
	f.crash(i)
	delete(f.keepers, f.members[i].Name)
	f.members[i].State = member.Dead
}

// restart starts a daemon as a new process of the same name.
func (f *fleet) restart(i int) {
	f.members[i].State = member.Alive
	f.members[i].Incarnation++
	f.start(i)
}

// publish gives all daemons the same view.
func (f *fleet) publish() {
	for name, k := range f.keepers {
		k.view.Store(member.NewView(name, slices.Clone(f.members)))
	}
}

// pause lets all daemons notice the changes and hand records on.
func (f *fleet) pause() {
	f.publish()
	for _, k := range f.keepers {
		k.handOn(context.Background())
	}
}

// inState returns the daemons of a state.
func (f *fleet) inState(s member.State) (out []int) {
	for i, m := range f.members {
		if m.State == s {
			out = append(out, i)
		}
	}
	return out
}

// holders returns how many daemons that do not leave have a record.
func (f *fleet) holders(s Stream) (n int) {
	for _, i := range f.inState(member.Alive) {
		if _, ok := f.at(i).table.get(time.Now(), s.key()); ok {
			n++
		}
	}
	return n
}

// Guards against: the records of streams end with the daemons that held them, though others
// have been there in the meantime.
func TestRecordsOutliveTheDaemonsThatHeldThem(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleet(t, rapid.IntRange(2, 9).Draw(rt, "daemons"))
		defer f.net.Close()
		var streams []Stream
		pick := func(from []int, most int, what string) []int {
			return rapid.Permutation(from).Draw(rt, what)[:rapid.IntRange(0, max(0, min(most, len(from)))).Draw(rt, "number of them")]
		}
		for range rapid.IntRange(1, 8).Draw(rt, "steps") {
			alive := f.inState(member.Alive)
			for range rapid.IntRange(0, 3).Draw(rt, "streams") {
				s := Stream{"svc", "space", fmt.Sprint("stream ", len(streams))}
				f.at(rapid.SampledFrom(alive).Draw(rt, "at")).Record(s, "v2", time.Minute)
				f.settle(s, min(len(alive), keepersTold+1))
				streams = append(streams, s)
			}
			for _, i := range f.inState(member.Leaving) {
				f.end(i)
			}
			switch most := min(keepersTold, len(alive)-1); rapid.IntRange(0, 3).Draw(rt, "change") {
			case 0:
				for _, i := range pick(alive, most, "killed") {
					f.end(i)
				}
			case 1:
				for _, i := range pick(alive, most, "killed and started before anybody noticed") {
					f.end(i)
					f.restart(i)
				}
			case 2:
				for _, i := range pick(alive, len(alive)-1, "leave") {
					f.members[i].State = member.Leaving
				}
			case 3:
				for _, i := range pick(f.inState(member.Dead), len(f.members), "join") {
					f.restart(i)
				}
			}
			f.pause()
			alive = f.inState(member.Alive)
			for _, s := range streams {
				if n := f.holders(s); n < min(len(alive), keepersTold+1) {
					rt.Fatalf("%d of %d daemons have the record of %v", n, len(alive), s)
				}
				for _, i := range alive {
					if version, err := f.at(i).Lookup(context.Background(), s, testLife); err != nil || version != "v2" {
						rt.Fatalf("daemon %d finds %q, %v for %v", i, version, err, s)
					}
				}
			}
		}
	})
}

// Guards against: records that could not be handed on are forgotten, or are handed on again
// and again.
func TestHandoverIsRepeatedUntilItSucceeds(t *testing.T) {
	ctx := context.Background()
	Convey("Given two daemons, and a third that joins and can't be reached", t, func() {
		f := newFleet(t, 3)
		f.end(2)
		f.pause()
		f.at(0).Record(testStream, "v2", time.Minute)
		f.settle(testStream, 2)
		f.restart(2)
		for _, i := range []int{0, 1} {
			f.net.Partition(peer.Name(f.members[2].Name), peer.Name(f.members[i].Name))
		}
		f.pause()
		So(f.holders(testStream), ShouldEqual, 2)
		So(f.at(0).notHandedOn(), ShouldEqual, 1)
		So(f.at(0).counters.handOnFailed.Value(), ShouldEqual, 1)
		Convey("it gets the record once it can", func() {
			f.net.Heal(peer.Name(f.members[2].Name), peer.Name(f.members[0].Name))
			f.pause()
			So(f.holders(testStream), ShouldEqual, 3)
			So(f.at(0).notHandedOn(), ShouldEqual, 0)
			handedOn := f.at(0).counters.handedOn.Value()
			f.at(0).handOn(ctx)
			So(f.at(0).counters.handedOn.Value(), ShouldEqual, handedOn)
		})
	})
	Convey("A daemon that has started again is known by its incarnation, also if no connection broke", t, func() {
		f := newFleet(t, 2)
		f.pause()
		f.at(0).Record(testStream, "v2", time.Minute)
		f.settle(testStream, 2)
		f.restart(1)
		f.pause()
		So(f.holders(testStream), ShouldEqual, 2)
	})
	Convey("A process that ends before its next round hands on what is missing", t, func() {
		f := newFleet(t, 2)
		f.end(1)
		f.pause()
		f.at(0).Record(testStream, "v2", time.Minute)
		f.restart(1)
		f.members[0].State = member.Leaving
		f.publish()
		f.at(0).End(context.Background())
		So(f.holders(testStream), ShouldEqual, 1)
		So(f.at(0).notHandedOn(), ShouldEqual, 0)
	})
	Convey("A record that could not be sent is handed on", t, func() {
		f := newFleet(t, 2)
		f.pause()
		f.net.Partition(peer.Name(f.members[0].Name), peer.Name(f.members[1].Name))
		f.at(0).Record(testStream, "v2", time.Minute)
		f.net.Heal(peer.Name(f.members[0].Name), peer.Name(f.members[1].Name))
		f.at(0).handOn(ctx)
		So(f.holders(testStream), ShouldEqual, 2)
	})
	Convey("A record that was lost on its way is handed on", t, func() {
		f := newFleet(t, 2)
		f.pause()
		f.net.Drop(peer.Name(f.members[0].Name), peer.Name(f.members[1].Name))
		f.at(0).Record(testStream, "v2", time.Minute)
		f.net.Heal(peer.Name(f.members[0].Name), peer.Name(f.members[1].Name))
		f.net.BreakConnection(peer.Name(f.members[0].Name), peer.Name(f.members[1].Name))
		f.pause()
		So(f.holders(testStream), ShouldEqual, 2)
	})
}

// Guards against: a record that is handed on lives longer, loses that it is ambiguous, or is
// left behind among many.
func TestRecordsAreHandedOnAsTheyAre(t *testing.T) {
	Convey("Given many records of a daemon that is alone", t, func() {
		f := newFleet(t, 2)
		f.end(1)
		f.pause()
		f.at(0).Record(testStream, "v1", time.Minute)
		f.at(0).Record(testStream, "v2", time.Minute)
		const many = 2*keeperGroups*handoverLimit/10 + 1
		for i := range many {
			f.at(0).Record(Stream{"svc", "space", fmt.Sprint(i)}, "v1", time.Minute)
		}
		So(f.at(0).notHandedOn(), ShouldEqual, many+1)
		Convey("one that joins gets all of them within a few rounds", func() {
			f.restart(1)
			for range 1 + many/handoverLimit {
				f.pause()
			}
			joined := f.at(1).table
			So(joined.count(), ShouldEqual, many+1)
			version, ok := joined.get(time.Now(), testStream.key())
			So(ok, ShouldBeTrue)
			So(version, ShouldEqual, ambiguous)
			So(joined.live(time.Now().Add(time.Minute)), ShouldEqual, 0)
		})
	})
	Convey("A malformed message is refused", t, func() {
		_, err := newFleet(t, 1).at(0).handleHandover(context.Background(), "n001", []byte{0xff})
		So(err, ShouldNotBeNil)
	})
	Convey("The end of a process that never met others waits for nobody", t, func() {
		New(Config{Region: "r", History: NewHistory(), Metrics: metrics.New()}).End(context.Background())
		newFleet(t, 1).at(0).End(context.Background())
	})
}
