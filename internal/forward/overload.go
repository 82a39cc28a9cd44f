package forward

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// lagInterval is the time between two measurements of the lag of timers.
	lagInterval = 50 * time.Millisecond
	// overloadLag is the lag from which a daemon has more to do than its processor bears. A
	// core that is shared by tenths of a second lags by one.
	overloadLag = 250 * time.Millisecond
	// shareCut and shareGrowth are by what the share of admitted connections is multiplied in
	// overload and otherwise.
	shareCut, shareGrowth = 0.7, 1.05
	// minAdmittedShare bounds the share from below, and so how long it takes to grow.
	minAdmittedShare = 0.002
	// maxTurnedAway is how long all connections may be turned away. Those that are let in
	// show when the overload is over.
	maxTurnedAway = 200 * time.Millisecond
)

// overloadGate decides which share of new connections a daemon admits. In overload it closes
// the others unread, so that their callers try other daemons.
//
// Without it, a daemon that gets more than its processor bears reads all requests, and answers
// few of them in time. It is safe for concurrent use.
type overloadGate struct {
	mu         sync.Mutex
	share      float64
	credit     float64
	admittedAt time.Time // the last one
}

func newOverloadGate() *overloadGate { return &overloadGate{share: 1} }

// observe adapts the share to the lag of a timer. It reports whether the daemon has just
// begun to refuse connections.
func (g *overloadGate) observe(lag time.Duration) (began bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	before := g.share
	if lag > overloadLag {
		g.share = max(minAdmittedShare, g.share*shareCut)
	} else {
		g.share = min(1, g.share*shareGrowth)
	}
	return before == 1 && g.share < 1
}

// admits reports whether the next connection is admitted.
func (g *overloadGate) admits(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.credit += g.share
	if g.credit < 1 && now.Sub(g.admittedAt) < maxTurnedAway {
		return false
	}
	g.credit, g.admittedAt = max(0, g.credit-1), now
	return true
}

// watchLag measures the lag of timers until the context ends.
func (s *Server) watchLag(ctx context.Context) {
	for {
		due := time.Now().Add(lagInterval)
		tick := time.NewTimer(lagInterval)
		select {
		case <-ctx.Done():
			tick.Stop()
			return
		case <-tick.C:
		}
		lag := time.Since(due)
		if s.gate.observe(lag) {
			s.counters.overloads.Add(1)
			s.log.WithFields(logrus.Fields{"lag_ms": lag.Milliseconds(), "open_requests": s.openRequests.Load()}).Warn("Overloaded, callers are turned away.")
		}
	}
}
