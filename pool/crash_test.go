package pool

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/request"
)

// Guards against a second crash within seconds that is taken for a repeated report of
// the first.
func TestSecondCrashWithinWindowConfirmsSuspect(t *testing.T) {
	Convey("Given a server that crashed while running a request, as reported by the entry", t, func() {
		r := newHarness(Config{}, servers(1, 3)...)
		r.send(ServerHealth{Server: "s0", Incarnation: 1})
		bad := r.mustGrant(fingerprinted("bad", 1))
		late := r.mustGrant(fingerprinted("late", 2))
		r.advance(time.Second)
		r.endRun(bad, OutcomeCrashed)
		So(grants(r.send(fingerprinted("bad2", 1))), ShouldBeEmpty)

		Convey("The suspect waits until the server has recovered", func() {
			So(grants(r.advance(3*time.Second)), ShouldBeEmpty)
			r.endRun(late, OutcomeCrashed) // another report of the first crash
			again := grants(r.send(ServerHealth{Server: "s0", Incarnation: 2}))
			So(again, ShouldHaveLength, 1)

			Convey("a second crash within seconds confirms this suspect only", func() {
				r.advance(500 * time.Millisecond)
				r.endRun(again[0], OutcomeCrashed)
				So(shedReason(r.send(fingerprinted("bad3", 1))), ShouldEqual, request.ReasonSuspectConfirmed)
				r.send(ServerHealth{Server: "s0", Incarnation: 3})
				r.advance(time.Second)
				So(grants(r.send(fingerprinted("late2", 2))), ShouldHaveLength, 1)
			})
			Convey("a restart that the monitor reports first confirms it too", func() {
				r.advance(500 * time.Millisecond)
				r.send(ServerHealth{Server: "s0", Incarnation: 3})
				So(shedReason(r.send(fingerprinted("bad3", 1))), ShouldEqual, request.ReasonSuspectConfirmed)
			})
		})
	})
}

// Guards against a server that gets no grants for seconds because one release was lost.
func TestLostReleaseDoesNotBlockServer(t *testing.T) {
	now := time.Unix(1000, 0)
	newPool := func() *Pool {
		p := New(Config{Name: "p", Epoch: 1, ReleaseGrace: time.Second})
		p.Handle(now, EntrySet{Entries: []EntryID{"e"}}, nil)
		p.Handle(now, EntryReported{Entry: "e"}, nil)
		p.Handle(now, ServerSet{Servers: []ServerInfo{{Name: "a", Slots: 1, Generation: "a"}, {Name: "b", Slots: 6, Generation: "b"}}}, nil)
		return p
	}
	call := func(id string, deadline time.Duration) Enqueue {
		return Enqueue{Request: request.ID(id), Entry: "e", Workspace: "w", DeadlineIn: deadline, FirstTokenIn: 300 * time.Millisecond}
	}
	Convey("A run past its deadline is removed after the grace time and does not mark its server overdue", t, func() {
		p := newPool()
		cmds := p.Handle(now, call("lost", 2*time.Second), nil)
		So(len(cmds), ShouldEqual, 1)
		at := now.Add(2*time.Second + 1)
		p.Handle(at, Tick{}, nil)
		So(p.servers[cmds[0].(Grant).Server].overdue, ShouldBeFalse)
		So(p.Summary(at).Running, ShouldEqual, 1)
		at = now.Add(3 * time.Second)
		p.Handle(at, Tick{}, nil)
		So(p.Summary(at).Running, ShouldEqual, 0)
		So(p.Summary(at).LostRuns, ShouldEqual, 1)
	})
	Convey("A run that an earlier owner granted stays counted, since its deadline is unknown", t, func() {
		p := newPool()
		p.Handle(now, Running{Entry: "e", Request: "r", Grant: GrantID{9, 9}, Server: "a"}, nil)
		at := now.Add(10 * time.Second)
		p.Handle(at, Tick{}, nil)
		So(p.Summary(at).Running, ShouldEqual, 1)
	})
}
