package forward

import (
	"context"
	"net"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/request"
	"github.com/lycheekeel/lycheekeel/rollout"
)

// fakeRollouts tries version v2 with every request while it is told to.
type fakeRollouts struct {
	mu       sync.Mutex
	try      bool
	asked    int
	notTried int
	began    []bool // whether each send was a trial
	first    int
	ended    []rollout.Run
	epoch    context.Context
}

func (f *fakeRollouts) Active(string) bool { return true }

// Epoch implements Rollouts. Once the first one is over the servers stay.
func (f *fakeRollouts) Epoch(string) context.Context {
	if f.epoch != nil && f.epoch.Err() == nil {
		return f.epoch
	}
	return nil
}

func (f *fakeRollouts) Try(string, string) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked++
	if !f.try {
		return "", false
	}
	return "v2", true
}

func (f *fakeRollouts) NotTried(string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.notTried++
}

func (f *fakeRollouts) Began(_ string, trial, first bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.began = append(f.began, trial)
	if first {
		f.first++
	}
}

func (f *fakeRollouts) Ended(_ string, r rollout.Run) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ended = append(f.ended, r)
}

// endings returns how the runs ended, in order.
func (f *fakeRollouts) endings() (out []rollout.Ending) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.ended {
		out = append(out, r.Ending)
	}
	return out
}

func (r *rig) withRollouts(try bool) *fakeRollouts {
	f := &fakeRollouts{try: try}
	r.server.deps.Rollouts = f
	return f
}

// Symptom: a bad version gets more requests than its part. Sequence: a request that
// tries it fails and is sent again. Cause: each send drew anew.
func TestARetryIsNoTrial(t *testing.T) {
	fails := func(_ int, head, _ string, c net.Conn) bool {
		answerWith(c, head, "500 Internal Server Error", "bad")
		return true
	}
	sound := func(_ int, head, body string, c net.Conn) bool {
		answerWith(c, head, "200 OK", body)
		return true
	}
	Convey("A request that failed on trial is sent to the others, once it may be", t, func() {
		r := newRig(t, newBackend(t, fails), newBackend(t, sound))
		f := r.withRollouts(true)
		So(r.call("POST", "/again/", "a", "", "x").status, ShouldEqual, 200)
		So(f.asked, ShouldEqual, 1)
		So(f.began, ShouldResemble, []bool{true, false})
		So(f.first, ShouldEqual, 1)
		So(f.endings(), ShouldResemble, []rollout.Ending{rollout.Failed, rollout.Answered})
	})
	Convey("One that may not be repeated ends with the failure", t, func() {
		r := newRig(t, newBackend(t, fails))
		f := r.withRollouts(true)
		So(r.call("POST", "/once/", "a", "", "x").status, ShouldEqual, 500)
		So(f.began, ShouldResemble, []bool{true})
	})
	Convey("A lost answer counts as broken, a server's word that it did not run as nothing", t, func() {
		refuses := func(n int, head, _ string, c net.Conn) bool {
			_, _ = c.Write([]byte("HTTP/1.1 503 Busy\r\nX-Refused: 1\r\nX-Request-Id: " + headerOf(head, "X-Request-Id") + "\r\nContent-Length: 0\r\n\r\n"))
			return true
		}
		cuts := func(int, string, string, net.Conn) bool { return false }
		r := newRig(t, newBackend(t, refuses), newBackend(t, cuts), newBackend(t, sound))
		f := r.withRollouts(true)
		So(r.call("POST", "/again/", "a", "", "x").status, ShouldEqual, 200)
		So(f.endings(), ShouldResemble, []rollout.Ending{rollout.NotRun, rollout.Broken, rollout.Answered})
		So(f.began, ShouldResemble, []bool{true, false, false})
		So(f.notTried, ShouldEqual, 0)
	})
}

func TestATrialWithoutASlotGoesToTheOthers(t *testing.T) {
	Convey("Where the version on trial has no slot, nothing is spent", t, func() {
		sound := func(_ int, head, body string, c net.Conn) bool {
			answerWith(c, head, "200 OK", body)
			return true
		}
		r := newRig(t, newBackend(t, sound))
		r.broker.refuse, r.broker.refuseFirst = request.Refuse(request.ReasonShed, "full"), 1
		f := r.withRollouts(true)
		So(r.call("POST", "/once/", "a", "", "x").status, ShouldEqual, 200)
		So(f.notTried, ShouldEqual, 1)
		So(f.began, ShouldResemble, []bool{false})
	})
}

// Symptom: requests that wait when a version is taken are refused seconds later.
// Sequence: they wait in the pool of the old version; the outcome empties it. Cause:
// nobody told them that other pools have the servers.
func TestAWaitEndsWhenTheServersMove(t *testing.T) {
	Convey("A request that waits when the servers move asks again", t, func() {
		sound := func(_ int, head, body string, c net.Conn) bool {
			answerWith(c, head, "200 OK", body)
			return true
		}
		r := newRig(t, newBackend(t, sound))
		r.broker.block = make(chan struct{})
		f := r.withRollouts(false)
		epoch, move := context.WithCancel(context.Background())
		f.epoch = epoch
		answered := make(chan int, 1)
		go func() { answered <- r.call("POST", "/once/", "a", "", "x").status }()
		r.until("it waits", func() bool { return r.broker.asked() == 1 })
		move()
		r.until("it asks again", func() bool { return r.broker.asked() >= 2 })
		close(r.broker.block)
		So(<-answered, ShouldEqual, 200)
	})
}
