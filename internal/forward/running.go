package forward

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// runningAfter is how long a request runs before a line tells of it. Most have
	// ended by then and have the line of their end alone.
	runningAfter = time.Second
	// runningLines bounds these lines a second. 195 VMs had 4 requests a second
	// each; the lines of 50, at 400 bytes, are a quarter of what a log may have.
	runningLines = 50
)

// running tells the log of a request that still runs after a while.
//
// What goes wrong without it: lines are written when a request ends. A VM is killed
// ten seconds into a stream; its server has run the request, and no log has its id.
type running struct {
	x     *exchange
	timer *time.Timer
	// sent is the last send; nil: none yet. The rest of what is told does not change
	// once the timer has started.
	sent atomic.Pointer[sentTo]

	mu    sync.Mutex
	ended bool // the line of its end was written or is about to be
}

// sentTo is a send as the log tells it.
type sentTo struct {
	server string
	waited time.Duration // for slots, all together
	sends  int
}

func (r *running) start(x *exchange) {
	r.x = x
	r.timer = time.AfterFunc(runningAfter, r.tell)
}

// end is called before the line of the request's end, so that no other line comes
// after that.
func (r *running) end() {
	if r.timer != nil {
		r.timer.Stop()
	}
	r.mu.Lock()
	r.ended = true
	r.mu.Unlock()
}

// sending notes a send that is about to begin.
func (r *running) sending(server string) {
	before := 0
	if last := r.sent.Load(); last != nil {
		before = last.sends
	}
	r.sent.Store(&sentTo{server: server, waited: r.x.trail.waited, sends: before + 1})
}

// tell writes the line.
func (r *running) tell() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return
	}
	omitted, ok := r.x.server.runningLog.Take(time.Now())
	if !ok {
		r.x.server.count.runningOmitted.Add(1)
		return
	}
	f := r.x.asked()
	if sent := r.sent.Load(); sent != nil {
		f["server"], f["waited_ms"], f["sends"] = sent.server, sent.waited.Milliseconds(), sent.sends
	}
	if omitted > 0 {
		f["omitted"] = omitted
	}
	r.x.server.log.WithFields(f).Info("Still running.")
}

// asked is what a request is and asks, which does not change once it was classified.
func (x *exchange) asked() logrus.Fields {
	f := logrus.Fields{"request": x.callerID, "total_ms": time.Since(x.received).Milliseconds()}
	if x.table != nil {
		f["version"] = x.table.Version
	}
	if x.route != nil {
		f["route"] = x.route.Name
	}
	if x.workspace != nil {
		f["workspace"] = x.workspace.Name
	}
	if x.spec != nil {
		f["service"] = x.service
		f["owner"] = x.server.deps.Admission.Owner(x.service)
		f["tier"] = x.spec.Tier
		f["deadline_ms"] = x.spec.Targets.Deadline.Milliseconds()
	}
	return f
}
