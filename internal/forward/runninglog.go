package forward

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// runningLogDelay is how long a request runs before a line tells of it. Most have
	// ended by then and have the line of their end alone.
	runningLogDelay = time.Second
	// maxRunningLinesPerSecond bounds these lines a second. 195 VMs had 4 requests a second
	// each; the lines of 50, at 400 bytes, are a quarter of what a log may have.
	maxRunningLinesPerSecond = 50
)

// runningLog tells the log of a request that still runs after a while.
//
// What goes wrong without it: lines are written when a request ends. A VM is killed
// ten seconds into a stream; its server has run the request, and no log has its id.
type runningLog struct {
	exchange *exchange
	timer    *time.Timer
	// lastSend is the last send; nil: none yet. The rest of what is told does not change
	// once the timer has started.
	lastSend atomic.Pointer[sendInfo]

	mu    sync.Mutex
	ended bool // the line of its end was written or is about to be
}

// sendInfo is a send as the log tells it.
type sendInfo struct {
	server   string
	slotWait time.Duration // for slots, all together
	sends    int
}

func (r *runningLog) start(x *exchange) {
	r.exchange = x
	r.timer = time.AfterFunc(runningLogDelay, r.write)
}

// stop is called before the line of the request's end, so that no other line comes
// after that.
func (r *runningLog) stop() {
	if r.timer != nil {
		r.timer.Stop()
	}
	r.mu.Lock()
	r.ended = true
	r.mu.Unlock()
}

// recordSend notes a send that is about to begin.
func (r *runningLog) recordSend(server string) {
	previous := 0
	if last := r.lastSend.Load(); last != nil {
		previous = last.sends
	}
	r.lastSend.Store(&sendInfo{server: server, slotWait: r.exchange.history.slotWait, sends: previous + 1})
}

// write writes the line.
func (r *runningLog) write() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return
	}
	omitted, ok := r.exchange.server.runningLogLimiter.Allow(time.Now())
	if !ok {
		r.exchange.server.counters.runningOmitted.Add(1)
		return
	}
	f := r.exchange.requestFields()
	if last := r.lastSend.Load(); last != nil {
		f["server"], f["waited_ms"], f["sends"] = last.server, last.slotWait.Milliseconds(), last.sends
	}
	if omitted > 0 {
		f["omitted"] = omitted
	}
	r.exchange.server.log.WithFields(f).Info("Still running.")
}

// requestFields is what a request is and asks, which does not change once it was classified.
func (x *exchange) requestFields() logrus.Fields {
	f := logrus.Fields{"request": x.callerRequestID, "total_ms": time.Since(x.receivedAt).Milliseconds()}
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
