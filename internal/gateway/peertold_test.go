package gateway

import (
	"context"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/discovery"
)

// pollReader lets a daemon poll another as in operation, without waiting for long.
func pollReader(from *peerSync, of string, all map[string]*peerSync) {
	for _, p := range all {
		p.setProofAge(staleAfter - 2*time.Millisecond)
	}
	So(from.poll(context.Background(), of), ShouldBeNil)
}

// Guards against: what the reader of the store knows of servers other than by a change of the
// store is never told to the daemons that poll it.
func TestReadersTellWhatTheyHeardInAnswers(t *testing.T) {
	Convey("Given two readers and a daemon that have the same servers", t, func() {
		all, _, readers, standbys := newPeerSyncs(40)
		reader, other := all[readers[0]], all[readers[1]]
		name := ""
		for n := range all {
			if !slices.Contains(readers, n) && !slices.Contains(standbys, n) {
				name = n
			}
		}
		daemon := all[name]
		a, b := discovery.Server{ID: "a", Service: "app"}, discovery.Server{ID: "b", Service: "app"}
		for _, p := range all {
			p.state.replaceServers([]discovery.Server{a, b}, 50)
		}
		said := reader.state.snapshot.Load().Pools["app"].Servers[0]
		leaves := func(p *peerSync) bool { return (*p.state.usable.Load())["a"].leaving }
		draining := a
		draining.Leaving, draining.Revision = true, 51

		Convey("that a server says that it leaves is told", func() {
			reader.state.announceLeaving(said)
			pollReader(daemon, readers[0], all)
			So(leaves(daemon), ShouldBeTrue)
		})
		Convey("it is told also when the store says so later", func() {
			pollReader(daemon, readers[0], all)
			reader.state.announceLeaving(said)
			reader.state.putServer(draining, 51)
			pollReader(daemon, readers[0], all)
			So(leaves(daemon), ShouldBeTrue)
		})
		Convey("it is told with a change of another server", func() {
			pollReader(daemon, readers[0], all)
			reader.state.announceLeaving(said)
			b.Slots = 2
			reader.state.putServer(b, 52)
			pollReader(daemon, readers[0], all)
			So(leaves(daemon), ShouldBeTrue)
		})
		Convey("it is told to a daemon that has listed the servers later than the reader", func() {
			daemon.state.replaceServers([]discovery.Server{a, b, {ID: "c", Service: "app"}}, 60)
			reader.state.announceLeaving(said)
			pollReader(daemon, readers[0], all)
			So(leaves(daemon), ShouldBeTrue)
			_, known := daemon.state.directory.Get("c")
			So(known, ShouldBeTrue)
		})
		Convey("it is told to a daemon that has polled another reader since", func() {
			pollReader(daemon, readers[0], all)
			reader.state.announceLeaving(said)
			pollReader(daemon, readers[1], all)
			So(leaves(daemon), ShouldBeFalse)
			pollReader(daemon, readers[0], all)
			So(leaves(daemon), ShouldBeTrue)
			pollReader(other, name, all)
			So(leaves(other), ShouldBeTrue)
		})
		Convey("a change at a revision that the daemon has already is told", func() {
			pollReader(daemon, readers[0], all)
			reader.state.replaceServers([]discovery.Server{a}, 50)
			pollReader(daemon, readers[0], all)
			_, known := daemon.state.directory.Get("b")
			So(known, ShouldBeFalse)
		})
	})
}
