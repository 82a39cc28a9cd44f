package forward

import (
	"fmt"
	"net"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/pool"
)

// moment is when something goes wrong with a second send; it happens once.
type moment struct {
	once  sync.Once
	come  chan struct{}
	first func() // what else happens then, before; nil: nothing
}

func newMoment() *moment { return &moment{come: make(chan struct{})} }

func (m *moment) now() {
	m.once.Do(func() {
		if m.first != nil {
			m.first()
		}
		close(m.come)
	})
}

// silentUntil brings three events, and the rest once m has come.
func silentUntil(m *moment) script {
	return func(_ int, head, _ string, c net.Conn) bool {
		beginStream(c, head)
		chunk(c, eventsOf(1, 3))
		<-m.come
		chunk(c, eventsOf(4, 6))
		endStream(c)
		return true
	}
}

// withdrawKey puts a configuration in force in which the caller's key is not.
func withdrawKey(r *rig) {
	d := testDocument(2)
	d.Workspaces[0].Keys = []string{"another"}
	r.putInForce(d)
}

// failingSecond is a way in which the send beside a silent stream fails.
type failingSecond struct {
	name string
	// answer is the second server's.
	answer func(m *moment) script
	// prepare sets what goes wrong before the request is sent there.
	prepare func(r *rig, m *moment)
}

func never(*moment) script {
	return func(int, string, string, net.Conn) bool { return false }
}

// refusing says that the request was not run.
func refusing(m *moment) script {
	return func(_ int, head, _ string, c net.Conn) bool {
		m.now()
		fmt.Fprintf(c, "HTTP/1.1 503 Busy\r\nX-Request-Id: %s\r\nX-Refused: 1\r\nContent-Length: 0\r\n\r\n", headerOf(head, "X-Request-Id"))
		return true
	}
}

// failingSeconds are the ways, at each moment between the reserved slot and the second
// server's first event.
func failingSeconds() []failingSecond {
	all := []failingSecond{
		{name: "the second server refuses", answer: refusing},
		{name: "the second server resets", answer: func(m *moment) script {
			return func(int, string, string, net.Conn) bool { m.now(); return false }
		}},
		{name: "the second server fails", answer: func(m *moment) script {
			return func(_ int, head, _ string, c net.Conn) bool {
				answerWith(c, head, "500 Failed", "no")
				m.now()
				return true
			}
		}},
		{name: "the second server breaks off before its first event", answer: func(m *moment) script {
			return func(_ int, head, _ string, c net.Conn) bool { beginStream(c, head); m.now(); return false }
		}},
		{name: "the second server is silent too", answer: func(m *moment) script {
			return func(_ int, head, _ string, c net.Conn) bool {
				beginStream(c, head)
				m.now()
				_, _ = c.Read(make([]byte, 1))
				return false
			}
		}},
		{name: "the second server takes no connection", prepare: func(r *rig, m *moment) {
			r.admission.using = func(n int) {
				if n == 2 {
					r.broker.servers[1].Address = r.gone
					m.now()
				}
			}
		}},
		{name: "the second server is leaving", prepare: func(r *rig, m *moment) {
			r.admission.using = func(n int) {
				if n == 2 {
					r.admission.leaving.Store("i-2", true)
					m.now()
				}
			}
		}},
		{name: "the key is withdrawn before the send", prepare: func(r *rig, m *moment) {
			r.admission.using = func(n int) {
				if n == 2 {
					withdrawKey(r)
					m.now()
				}
			}
		}},
		{name: "the key is withdrawn as the second server refuses", answer: refusing, prepare: func(r *rig, m *moment) {
			m.first = func() { withdrawKey(r) }
		}},
	}
	// At each look at whether the configuration is known to be in force: at the arrival,
	// the first send, and the reservation and the sends after it.
	for look := 3; look <= 5; look++ {
		all = append(all, failingSecond{name: fmt.Sprintf("the store is lost by look %d", look), prepare: func(r *rig, m *moment) {
			r.admission.looking = func(n int) {
				if n == look {
					r.admission.stale.Store(true)
					m.now()
				}
			}
		}})
	}
	return all
}

// Guards against streams that are cut where their silent server would have gone on, because the send that was to replace it failed.
func TestSilentStreamIsKeptUntilAnotherServerGoesOn(t *testing.T) {
	cases := failingSeconds()
	got := make([]result, len(cases))
	var group sync.WaitGroup
	for i, c := range cases {
		m := newMoment()
		if c.answer == nil {
			c.answer = never
		}
		r := newRig(t, newBackend(t, silentUntil(m)), newBackend(t, c.answer(m)))
		if c.prepare != nil {
			c.prepare(r, m)
		}
		group.Go(func() { got[i] = r.call("POST", "/resume/", "1", "", "x") })
	}
	group.Wait()
	Convey("The caller gets the whole answer of the first server", t, func() {
		for i, c := range cases {
			Convey(c.name, func() {
				So(got[i].body, ShouldEqual, eventsOf(1, 6))
				So(got[i].whole, ShouldBeTrue)
			})
		}
	})
}

// Guards against a second run that goes on beside the first one, and against slots that a hedge keeps.
func TestOneRunGoesOnAfterAHedge(t *testing.T) {
	Convey("Given a silent stream and a second server that has begun", t, func() {
		m := newMoment()
		dropped := make(chan struct{})
		second := newBackend(t, func(_ int, head, _ string, c net.Conn) bool {
			beginStream(c, head)
			m.now()
			_, _ = c.Read(make([]byte, 1))
			close(dropped)
			return false
		})
		r := newRig(t, newBackend(t, silentUntil(m)), second)
		got := r.call("POST", "/resume/", "1", "", "x")
		So(got.body, ShouldEqual, eventsOf(1, 6))
		<-dropped
		So(r.broker.outcomes(), ShouldResemble, []pool.Outcome{pool.OutcomeCanceled, pool.OutcomeDone})
	})
	Convey("Given one whose second server goes on, the first run ends before that one has", t, func() {
		dropped := make(chan struct{})
		first := newBackend(t, func(_ int, head, _ string, c net.Conn) bool {
			beginStream(c, head)
			chunk(c, eventsOf(1, 3))
			_, _ = c.Read(make([]byte, 1))
			close(dropped)
			return false
		})
		second := newBackend(t, func(_ int, head, _ string, c net.Conn) bool {
			beginStream(c, head)
			chunk(c, event(4))
			<-dropped
			chunk(c, eventsOf(5, 6))
			endStream(c)
			return true
		})
		r := newRig(t, first, second)
		got := r.call("POST", "/resume/", "1", "", "x")
		So(got.body, ShouldEqual, eventsOf(1, 6))
		So(got.whole, ShouldBeTrue)
		So(r.broker.outcomes(), ShouldResemble, []pool.Outcome{pool.OutcomeStreamLost, pool.OutcomeDone})
		So(r.broker.demands[1].Spec.ID, ShouldNotEqual, r.broker.demands[0].Spec.ID)
	})
	Convey("A caller that leaves while both are waited for frees both", t, func() {
		begun := newMoment()
		r := newRig(t, newBackend(t, silentUntil(newMoment())), newBackend(t, func(_ int, head, _ string, c net.Conn) bool {
			beginStream(c, head)
			begun.now()
			_, _ = c.Read(make([]byte, 1))
			return false
		}))
		c := r.dial()
		c.send("POST", "/resume/", "1", "", "x")
		<-begun.come
		_ = c.Close()
		r.until("both are free", func() bool { return len(r.broker.outcomes()) == 2 })
		So(r.server.running.Load(), ShouldEqual, 0)
	})
}
