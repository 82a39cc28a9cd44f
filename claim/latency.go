package claim

import (
	"context"
	"sync"
	"time"
)

// latencyTracker tells whether a call to the store can still be answered in time.
//
// What goes wrong without it: when claims come faster than the store writes,
// the ones that waited longest are sent last and answered too late; each then
// costs more calls to be given back, and few claims of any are held. One would
// see many store writes a claim. Claims that have no time left are not sent.
type latencyTracker struct {
	mu   sync.Mutex
	mean time.Duration // of recent calls, smoothed
}

const (
	// latencySmoothing is the weight of the newest call.
	latencySmoothing = 0.2
	// minMeanCalls is how many mean call times a claim must have left.
	minMeanCalls = 2
	// skipDecay shrinks the mean at each claim that is not sent, so that a store
	// that has recovered is tried again.
	skipDecay = 0.98
)

// observe takes a call's duration into the mean.
func (h *latencyTracker) observe(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.mean += time.Duration(latencySmoothing * float64(d-h.mean))
}

// tooLate tells whether the context probably ends before an answer comes.
func (h *latencyTracker) tooLate(ctx context.Context) bool {
	end, ok := ctx.Deadline()
	if !ok {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if time.Until(end) >= minMeanCalls*h.mean {
		return false
	}
	h.mean = time.Duration(skipDecay * float64(h.mean))
	return true
}
