package logs

import (
	"sync"
	"time"
)

// Limiter limits the rate at which lines of one kind are written. It is safe for
// concurrent use.
type Limiter struct {
	perSecond int

	mu          sync.Mutex
	windowStart time.Time // start of the second in which allowed lines are counted
	allowed     int
	omitted     int
}

// NewLimiter returns a limiter that allows perSecond lines per second.
func NewLimiter(perSecond int) *Limiter { return &Limiter{perSecond: perSecond} }

// Allow reports whether a line may be written at the time now. If so, omitted is the
// number of lines refused since the last one that was allowed.
func (l *Limiter) Allow(now time.Time) (omitted int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.windowStart) >= time.Second {
		l.windowStart, l.allowed = now, 0
	}
	if l.allowed >= l.perSecond {
		l.omitted++
		return 0, false
	}
	l.allowed++
	omitted, l.omitted = l.omitted, 0
	return omitted, true
}
