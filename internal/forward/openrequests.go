package forward

import (
	"sync"
	"time"
)

// openRequests holds the requests that wait for a server or for their caller. It is safe for
// concurrent use.
type openRequests struct {
	mu  sync.Mutex
	all map[*exchange]struct{}
}

func (o *openRequests) add(x *exchange) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.all == nil {
		o.all = map[*exchange]struct{}{}
	}
	o.all[x] = struct{}{}
}

func (o *openRequests) remove(x *exchange) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.all, x)
}

// logAll logs each open request and what it waits for, and returns their number.
func (o *openRequests) logAll(message string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	for x := range o.all {
		f := x.requestFields()
		f["waits_for"] = x.waits.current()
		if last := x.runningLog.lastSend.Load(); last != nil {
			f["server"], f["waited_ms"], f["sends"] = last.server, last.slotWait.Milliseconds(), last.sends
			f["sent_ms"] = time.Since(last.at).Milliseconds()
		}
		x.server.log.WithFields(f).Warn(message)
	}
	return len(o.all)
}
