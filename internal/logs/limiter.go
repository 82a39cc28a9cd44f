package logs

import (
	"sync"
	"time"
)

// Limiter bounds how many lines of one kind are written in a second. It is safe for
// concurrent use.
type Limiter struct {
	perSecond int

	mu          sync.Mutex
	windowStart time.Time // for which taken counts
	allowed     int
	omitted     int
}

// NewLimiter returns a limiter to so many lines a second.
func NewLimiter(perSecond int) *Limiter { return &Limiter{perSecond: perSecond} }

// Allow reports whether a line may be written at a time, and how many were not since
// the last one that was.
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
