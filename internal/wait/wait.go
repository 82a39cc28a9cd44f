// Package wait provides a sleep that a context can end.
package wait

import (
	"context"
	"time"
)

// For waits for d by the monotonic clock. It returns true if the time has passed and
// false if ctx ended first. If d is not positive, it returns at once, with false if
// ctx has ended.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
