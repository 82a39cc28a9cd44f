package pool

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/request"
)

const (
	crashing = 1
	harmless = 2
)

// crashHarness drives a pool that counts crashes.
type crashHarness struct {
	*harness
	requests int
}

func newCrashHarness(servers ...ServerInfo) *crashHarness {
	return &crashHarness{harness: newHarness(Config{ConfirmAfterCrashes: 3}, servers...)}
}

// run grants a request with a content.
func (r *crashHarness) run(content uint64) Grant {
	r.requests++
	return r.mustGrant(fingerprinted(fmt.Sprint("r", r.requests), content))
}

// enqueue returns the commands that follow a request with a content.
func (r *crashHarness) enqueue(content uint64) []Command {
	r.requests++
	return r.send(fingerprinted(fmt.Sprint("r", r.requests), content))
}

// lose ends a run whose answer was lost.
func (r *crashHarness) lose(g Grant, gone bool) []Command {
	return r.send(Release{Request: g.Request, Entry: g.Entry, Grant: g.Grant, Server: g.Server, Outcome: OutcomeStreamLost, ServerGone: gone})
}

// crash runs a content on one server after the other, which crash under it.
func (r *crashHarness) crash(content uint64, times int) {
	for range times {
		r.lose(r.run(content), true)
		r.advance(time.Second)
	}
}

// Guards against: a content that crashes each server that runs it is sent on, because no
// crash is recognized.
func TestContentIsConfirmedByCrashesInARow(t *testing.T) {
	Convey("Given two servers that crashed under a content", t, func() {
		r := newCrashHarness(servers(6, 2)...)
		r.crash(crashing, 2)

		Convey("it still runs beside others", func() {
			r.run(harmless)
			g := r.run(crashing)
			Convey("and is refused once a third one has crashed, with the time of its trial", func() {
				out := r.lose(g, true)
				So(out, ShouldContain, ServerCrashed{Server: g.Server, Contents: 1})
				shed := sheds(r.enqueue(crashing))
				So(shed, ShouldHaveLength, 1)
				So(shed[0].Reason, ShouldEqual, request.ReasonSuspectConfirmed)
				So(shed[0].RetryAfter, ShouldEqual, 10*time.Second)
				r.run(harmless)
			})
		})
		Convey("the same server counts once, though several runs were lost with it", func() {
			running := map[string]Grant{}
			a := r.run(crashing)
			for running[a.Server].Server == "" {
				running[a.Server] = a
				a = r.run(crashing)
			}
			r.lose(a, true)
			r.lose(running[a.Server], false)
			So(r.suspects.Record(r.now, crashing).Crashes, ShouldHaveLength, 3)
		})
		Convey("a finished run of it breaks the row", func() {
			r.endRun(r.run(crashing), OutcomeDone)
			r.crash(crashing, 2)
			r.run(crashing)
		})
		Convey("a failed run does not", func() {
			r.endRun(r.run(crashing), OutcomeFailed)
			r.crash(crashing, 1)
			So(shedReason(r.enqueue(crashing)), ShouldEqual, request.ReasonSuspectConfirmed)
		})
	})
}

// Guards against: contents are refused because their answers were lost by servers that
// work on.
func TestLostAnswersOfWorkingServersConfirmNothing(t *testing.T) {
	Convey("Given a content whose answers are lost again and again", t, func() {
		r := newCrashHarness(servers(1, 4)...)
		for range 6 {
			r.lose(r.run(crashing), false)
			r.advance(time.Second)
			r.endRun(r.run(harmless), OutcomeDone)
		}
		Convey("it is served", func() { r.run(crashing) })
		Convey("and losses before a run that was answered don't count when the server crashes later", func() {
			r.lose(r.run(harmless), true)
			So(r.suspects.Record(r.now, crashing).Crashes, ShouldBeEmpty)
		})
	})
}

// Guards against: a content that finished after its answer was lost counts as a suspect when the
// crash becomes known later.
func TestFinishedRunDisprovesEarlierLosses(t *testing.T) {
	Convey("Given a content whose answer was lost, and that finished on another server", t, func() {
		r := newCrashHarness(servers(2, 1)...)
		g, other := r.run(harmless), r.run(harmless)
		r.lose(g, false)
		r.endRun(other, OutcomeDone)
		Convey("the crash of the first server doesn't count for it", func() {
			r.send(ServerSet{Servers: []ServerInfo{{Name: other.Server, Generation: "g", Slots: 2}}})
			So(r.suspects.Record(r.now, harmless).Crashes, ShouldBeEmpty)
		})
	})
}

// Guards against: a crash goes unnoticed where nobody connects to the server again.
func TestCrashIsNoticedWhenTheServerDisappears(t *testing.T) {
	Convey("Given a content whose answer was lost", t, func() {
		r := newCrashHarness(servers(1, 2)...)
		r.lose(r.run(crashing), false)
		crashes := func() []string { return r.suspects.Record(r.now, crashing).Crashes }

		Convey("the crash counts when its server is not listed any more", func() {
			r.advance(4 * time.Second)
			r.send(ServerSet{Servers: []ServerInfo{{Name: "next", Slots: 2}}})
			So(crashes(), ShouldHaveLength, 1)
		})
		Convey("and when the server has started again under its name", func() {
			r.send(ServerSet{Servers: []ServerInfo{{Name: "s0", Slots: 2, Incarnation: "1"}}})
			r.lose(r.run(crashing), false)
			r.send(ServerSet{Servers: []ServerInfo{{Name: "s0", Slots: 2, Incarnation: "2"}}})
			So(crashes(), ShouldHaveLength, 1)
		})
		Convey("but not when it had announced that it leaves", func() {
			r.send(ServerHealth{Server: "s0", Health: HealthLeaving})
			r.send(ServerSet{})
			So(crashes(), ShouldBeEmpty)
		})
		Convey("nor when the loss is long ago", func() {
			r.advance(time.Minute)
			r.send(ServerSet{})
			So(crashes(), ShouldBeEmpty)
		})
	})
	Convey("What a leaving server breaks off counts for no content", t, func() {
		r := newCrashHarness(servers(1, 2)...)
		g := r.run(harmless)
		r.send(ServerHealth{Server: "s0", Health: HealthLeaving})
		r.lose(g, false)
		r.send(ServerSet{})
		So(r.suspects.Record(r.now, harmless).Crashes, ShouldBeEmpty)
	})
}

// Guards against: a content that ran beside the one that crashes servers each time is refused for as
// long as that one.
func TestConfirmedContentGetsTrials(t *testing.T) {
	Convey("Given a confirmed content", t, func() {
		r := newCrashHarness(servers(8, 2)...)
		r.crash(crashing, 3)
		So(shedReason(r.enqueue(crashing)), ShouldEqual, request.ReasonSuspectConfirmed)

		Convey("one request of it runs when its trial is due", func() {
			r.advance(10 * time.Second)
			g := r.run(crashing)
			So(shedReason(r.enqueue(crashing)), ShouldEqual, request.ReasonSuspectConfirmed)
			Convey("and others follow if it finishes", func() {
				out := r.endRun(g, OutcomeDone)
				So(out, ShouldContain, ShareSuspect{Fingerprint: crashing, State: SuspectCleared})
				r.run(crashing)
				r.run(crashing)
			})
			Convey("but if its server crashes, the second trial is later and the last one", func() {
				r.lose(g, true)
				r.advance(50 * time.Second)
				So(shedReason(r.enqueue(crashing)), ShouldEqual, request.ReasonSuspectConfirmed)
				r.advance(10 * time.Second)
				r.lose(r.run(crashing), true)
				r.advance(5 * time.Minute)
				So(shedReason(r.enqueue(crashing)), ShouldEqual, request.ReasonSuspectConfirmed)
			})
		})
		Convey("a trial that gets no slot leaves its turn to another request", func() {
			r.send(ServerSet{})
			r.advance(10 * time.Second)
			So(r.enqueue(crashing), ShouldBeEmpty)
			r.send(Withdraw{Request: request.ID(fmt.Sprint("r", r.requests)), Entry: "e1"})
			r.send(ServerSet{Servers: servers(8, 2)})
			r.advance(3 * time.Second)
			r.run(crashing)
		})
	})
}

// Guards against: pools that each saw some of the crashes send the content on.
func TestCrashesOfOtherPoolsAreCounted(t *testing.T) {
	Convey("Given a pool in which one server crashed under a content", t, func() {
		r := newCrashHarness(servers(4, 2)...)
		r.crash(crashing, 1)
		Convey("it is refused when other pools report two other servers", func() {
			r.send(SuspectShared{Fingerprint: crashing, State: Suspected, ExpiresIn: time.Minute, Crashes: []string{"x/", "y/"}})
			So(shedReason(r.enqueue(crashing)), ShouldEqual, request.ReasonSuspectConfirmed)
		})
		Convey("it is not if they report the same one", func() {
			own := r.suspects.Record(r.now, crashing).Crashes
			r.send(SuspectShared{Fingerprint: crashing, State: Suspected, ExpiresIn: time.Minute, Crashes: append(own, "x/")})
			r.run(crashing)
		})
		Convey("nor after one of them has finished it", func() {
			r.send(SuspectShared{Fingerprint: crashing, State: SuspectCleared})
			r.crash(crashing, 2)
			r.run(crashing)
		})
	})
}
