package forward

import (
	"fmt"
	"net"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/pool"
)

// trigger is when something goes wrong with a second send; it happens once.
type trigger struct {
	once       sync.Once
	fired      chan struct{}
	beforeFire func() // what else happens then, before; nil: nothing
}

func newTrigger() *trigger { return &trigger{fired: make(chan struct{})} }

func (tr *trigger) fire() {
	tr.once.Do(func() {
		if tr.beforeFire != nil {
			tr.beforeFire()
		}
		close(tr.fired)
	})
}

// silentUntil brings three events, and the rest once m has come.
func silentUntil(tr *trigger) script {
	return func(_ int, head, _ string, c net.Conn) bool {
		writeStreamHead(c, head)
		writeChunk(c, eventsText(1, 3))
		<-tr.fired
		writeChunk(c, eventsText(4, 6))
		writeStreamEnd(c)
		return true
	}
}

// withdrawKey puts a configuration in force in which the caller's key is not.
func withdrawKey(r *harness) {
	d := testDocument(2)
	d.Workspaces[0].Keys = []string{"another"}
	r.applyConfig(d)
}

// hedgeFailure is a way in which the send beside a silent stream fails.
type hedgeFailure struct {
	name string
	// secondScript is the second server's.
	secondScript func(tr *trigger) script
	// prepare sets what goes wrong before the request is sent there.
	prepare func(r *harness, tr *trigger)
}

func closeWithoutAnswer(*trigger) script {
	return func(int, string, string, net.Conn) bool { return false }
}

// refuseAsNotExecuted says that the request was not run.
func refuseAsNotExecuted(tr *trigger) script {
	return func(_ int, head, _ string, c net.Conn) bool {
		tr.fire()
		fmt.Fprintf(c, "HTTP/1.1 503 Busy\r\nX-Request-Id: %s\r\nX-Refused: 1\r\nContent-Length: 0\r\n\r\n", headerOf(head, "X-Request-Id"))
		return true
	}
}

// hedgeFailures are the ways, at each moment between the reserved slot and the second
// server's first event.
func hedgeFailures() []hedgeFailure {
	all := []hedgeFailure{
		{name: "the second server refuses", secondScript: refuseAsNotExecuted},
		{name: "the second server resets", secondScript: func(tr *trigger) script {
			return func(int, string, string, net.Conn) bool { tr.fire(); return false }
		}},
		{name: "the second server fails", secondScript: func(tr *trigger) script {
			return func(_ int, head, _ string, c net.Conn) bool {
				writeSignedAnswer(c, head, "500 Failed", "no")
				tr.fire()
				return true
			}
		}},
		{name: "the second server breaks off before its first event", secondScript: func(tr *trigger) script {
			return func(_ int, head, _ string, c net.Conn) bool { writeStreamHead(c, head); tr.fire(); return false }
		}},
		{name: "the second server is silent too", secondScript: func(tr *trigger) script {
			return func(_ int, head, _ string, c net.Conn) bool {
				writeStreamHead(c, head)
				tr.fire()
				_, _ = c.Read(make([]byte, 1))
				return false
			}
		}},
		{name: "the second server takes no connection", prepare: func(r *harness, tr *trigger) {
			r.admission.onMayUse = func(n int) {
				if n == 2 {
					r.broker.servers[1].Address = r.unusedAddress
					tr.fire()
				}
			}
		}},
		{name: "the second server is leaving", prepare: func(r *harness, tr *trigger) {
			r.admission.onMayUse = func(n int) {
				if n == 2 {
					r.admission.leaving.Store("i-2", true)
					tr.fire()
				}
			}
		}},
		{name: "the key is withdrawn before the send", prepare: func(r *harness, tr *trigger) {
			r.admission.onMayUse = func(n int) {
				if n == 2 {
					withdrawKey(r)
					tr.fire()
				}
			}
		}},
		{name: "the key is withdrawn as the second server refuses", secondScript: refuseAsNotExecuted, prepare: func(r *harness, tr *trigger) {
			tr.beforeFire = func() { withdrawKey(r) }
		}},
	}
	// At each look at whether the configuration is known to be in force: at the arrival,
	// the first send, and the reservation and the sends after it.
	for nthCheck := 3; nthCheck <= 5; nthCheck++ {
		all = append(all, hedgeFailure{name: fmt.Sprintf("the store is lost by look %d", nthCheck), prepare: func(r *harness, tr *trigger) {
			r.admission.onFresh = func(n int) {
				if n == nthCheck {
					r.admission.stale.Store(true)
					tr.fire()
				}
			}
		}})
	}
	return all
}

// Guards against streams that are cut where their silent server would have gone on, because the send that was to replace it failed.
func TestSilentStreamSurvivesAFailedHedge(t *testing.T) {
	cases := hedgeFailures()
	got := make([]result, len(cases))
	var group sync.WaitGroup
	for i, c := range cases {
		tr := newTrigger()
		if c.secondScript == nil {
			c.secondScript = closeWithoutAnswer
		}
		r := newHarness(t, newBackend(t, silentUntil(tr)), newBackend(t, c.secondScript(tr)))
		if c.prepare != nil {
			c.prepare(r, tr)
		}
		group.Go(func() { got[i] = r.call("POST", "/resume/", "1", "", "x") })
	}
	group.Wait()
	Convey("The caller gets the whole answer of the first server", t, func() {
		for i, c := range cases {
			Convey(c.name, func() {
				So(got[i].body, ShouldEqual, eventsText(1, 6))
				So(got[i].complete, ShouldBeTrue)
			})
		}
	})
}

// Guards against a second run that goes on beside the first one, and against slots that a hedge keeps.
func TestOneAttemptRemainsAfterAHedge(t *testing.T) {
	Convey("Given a silent stream and a second server that has begun", t, func() {
		tr := newTrigger()
		dropped := make(chan struct{})
		second := newBackend(t, func(_ int, head, _ string, c net.Conn) bool {
			writeStreamHead(c, head)
			tr.fire()
			_, _ = c.Read(make([]byte, 1))
			close(dropped)
			return false
		})
		r := newHarness(t, newBackend(t, silentUntil(tr)), second)
		got := r.call("POST", "/resume/", "1", "", "x")
		So(got.body, ShouldEqual, eventsText(1, 6))
		<-dropped
		So(r.broker.outcomes(), ShouldResemble, []pool.Outcome{pool.OutcomeCanceled, pool.OutcomeDone})
	})
	Convey("Given one whose second server goes on, the first run ends before that one has", t, func() {
		dropped := make(chan struct{})
		first := newBackend(t, func(_ int, head, _ string, c net.Conn) bool {
			writeStreamHead(c, head)
			writeChunk(c, eventsText(1, 3))
			_, _ = c.Read(make([]byte, 1))
			close(dropped)
			return false
		})
		second := newBackend(t, func(_ int, head, _ string, c net.Conn) bool {
			writeStreamHead(c, head)
			writeChunk(c, eventText(4))
			<-dropped
			writeChunk(c, eventsText(5, 6))
			writeStreamEnd(c)
			return true
		})
		r := newHarness(t, first, second)
		got := r.call("POST", "/resume/", "1", "", "x")
		So(got.body, ShouldEqual, eventsText(1, 6))
		So(got.complete, ShouldBeTrue)
		So(r.broker.outcomes(), ShouldResemble, []pool.Outcome{pool.OutcomeStreamLost, pool.OutcomeDone})
		So(r.broker.demands[1].Spec.ID, ShouldNotEqual, r.broker.demands[0].Spec.ID)
	})
	Convey("A caller that leaves while both are waited for frees both", t, func() {
		secondStarted := newTrigger()
		r := newHarness(t, newBackend(t, silentUntil(newTrigger())), newBackend(t, func(_ int, head, _ string, c net.Conn) bool {
			writeStreamHead(c, head)
			secondStarted.fire()
			_, _ = c.Read(make([]byte, 1))
			return false
		}))
		c := r.dial()
		c.send("POST", "/resume/", "1", "", "x")
		<-secondStarted.fired
		_ = c.Close()
		r.waitUntil("both are free", func() bool { return len(r.broker.outcomes()) == 2 })
		So(r.server.openRequests.Load(), ShouldEqual, 0)
	})
}
