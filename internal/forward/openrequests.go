package forward

import (
	"sync"
	"time"

	"github.com/pkg/errors"
)

// openRequests holds the requests that wait for a server or for their caller. It is safe for
// concurrent use.
type openRequests struct {
	mu  sync.Mutex
	all map[*exchange]struct{}
	// ended is set once the shutdown has ended all requests; later ones end at once.
	ended bool
}

// errShutdown is why a request ends whose server has not answered by the end of the shutdown.
var errShutdown = errors.New("the shutdown ended")

func (o *openRequests) add(x *exchange) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.all == nil {
		o.all = map[*exchange]struct{}{}
	}
	o.all[x] = struct{}{}
	if o.ended {
		x.cancel(errShutdown)
	}
}

func (o *openRequests) remove(x *exchange) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.all, x)
}

// endAll logs each open request and what it waits for, ends it, and returns their number.
func (o *openRequests) endAll() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ended = true
	for x := range o.all {
		x.logOpen()
		x.cancel(errShutdown)
	}
	return len(o.all)
}

// mayOutlastServer reports whether the request was read in a shutdown that may end before its
// deadline does.
func (x *exchange) mayOutlastServer() bool {
	end := x.server.shutdownEnd.Load()
	return end != nil && x.receivedAt.Add(x.spec.Targets.Deadline).After(*end)
}

// logOpen logs a request that another goroutine serves.
func (x *exchange) logOpen() {
	f := x.requestFields()
	f["waits_for"] = x.waits.current()
	if last := x.runningLog.lastSend.Load(); last != nil {
		f["server"], f["waited_ms"], f["sends"] = last.server, last.slotWait.Milliseconds(), last.sends
		f["sent_ms"] = time.Since(last.at).Milliseconds()
	}
	x.server.log.WithFields(f).Warn("Not answered by the end of the shutdown.")
}
