package forward

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lycheekeel/lycheekeel/internal/logs"
)

const (
	// runningLogDelay is how long a request runs before it is logged as still running. Most
	// requests end earlier and log only their end.
	runningLogDelay = time.Second
	// maxRunningLinesPerSecond limits these lines. With 195 VMs and 4 requests per second
	// on each, 50 lines of 400 bytes per second use a quarter of the log's budget.
	maxRunningLinesPerSecond = 50
)

// runningLog logs a request that is still running after runningLogDelay.
//
// Without it, a request is logged only when a send fails or when the request ends. If a VM
// is killed ten seconds into a stream, the server has run the request and no log has its id.
type runningLog struct {
	exchange *exchange
	timer    *time.Timer
	// lastSend is nil before the first send. The other fields that are logged don't change
	// once the timer has started.
	lastSend atomic.Pointer[sendInfo]

	mu    sync.Mutex
	ended bool // the line of the request's end was written or is about to be
}

// sendInfo is what the line reports about a send.
type sendInfo struct {
	server   string
	slotWait time.Duration // total of all waits for slots
	sends    int
	at       time.Time
}

func (r *runningLog) start(x *exchange) {
	r.exchange = x
	r.timer = time.AfterFunc(runningLogDelay, r.write)
}

// stop is called before the line of the request's end, so that "Still running." never
// follows it.
func (r *runningLog) stop() {
	if r.timer != nil {
		r.timer.Stop()
	}
	r.mu.Lock()
	r.ended = true
	r.mu.Unlock()
}

// recordSend records a send that is about to begin.
func (r *runningLog) recordSend(server string) {
	previous := 0
	if last := r.lastSend.Load(); last != nil {
		previous = last.sends
	}
	r.exchange.waits.set(waitsForAnswer)
	r.lastSend.Store(&sendInfo{server: server, slotWait: r.exchange.history.slotWait, sends: previous + 1, at: time.Now()})
}

// write writes the line, unless the request has ended or the rate limit suppresses it.
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

// requestFields returns the fields of a request that don't change after buildDemand.
func (x *exchange) requestFields() logrus.Fields {
	f := logrus.Fields{"request": x.callerRequestID, "total_ms": time.Since(x.receivedAt).Milliseconds()}
	x.takeUp.addFields(f)
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
		f["content"] = logs.Fingerprint(x.spec.Fingerprint)
	}
	return f
}
