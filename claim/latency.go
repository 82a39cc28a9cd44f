package claim

import (
	"context"
	"sync"
	"time"
)

// latencyTracker tracks the latency of store calls, so that claims with too little
// time left are not sent.
//
// Without it, when claims arrive faster than the store writes, those that waited
// longest would be sent last and answered too late. Releasing each of them costs
// further calls: there would be many store writes per claim, and few claims would
// succeed.
type latencyTracker struct {
	mu   sync.Mutex
	mean time.Duration // smoothed duration of recent calls
}

const (
	// latencySmoothing is the weight of the newest call.
	latencySmoothing = 0.2
	// minMeanCalls is the time that a claim must have left, in mean call durations.
	minMeanCalls = 2
	// skipDecay is the factor by which the mean shrinks at each claim that is not
	// sent, so that a store that has recovered is called again.
	skipDecay = 0.98
)

// observe adds a call's duration to the mean.
func (h *latencyTracker) observe(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.mean += time.Duration(latencySmoothing * float64(d-h.mean))
}

// tooLate reports whether the context will probably end before the store answers.
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
