// Package wait holds the one way to let time pass that a context can end.
package wait

import (
	"context"
	"time"
)

// For waits for d by the monotonic clock. It returns true where the time has
// passed, false where ctx ended first; a time that is not positive has passed.
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
