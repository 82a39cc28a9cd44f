package httpconn

import (
	"context"
	"testing"
	"testing/synctest"

	. "github.com/smartystreets/goconvey/convey"
)

// endingContext ends directly after its nth call of Err.
type endingContext struct {
	context.Context
	cancel func()
	nth    int // 0: it does not end
}

func (c *endingContext) Err() error {
	err := c.Context.Err()
	if c.nth--; c.nth == 0 {
		c.cancel()
		synctest.Wait()
	}
	return err
}

// bindWhileContextEnds ends the context after a bind has asked nth times whether it has
// ended. It reports whether the bind failed or the connection was interrupted.
func bindWhileContextEnds(nth int) bool {
	parent, cancel := context.WithCancel(context.Background())
	defer cancel()
	interrupted := false
	ctx := &endingContext{Context: parent, cancel: cancel}
	g := ctxGuard{interrupt: func() { interrupted = true }}
	if g.bind(ctx) != nil {
		return false
	}
	g.unbind()
	ctx.nth = nth
	if g.bind(ctx) != nil {
		return true
	}
	cancel()
	synctest.Wait()
	return g.wasAborted() && interrupted
}

// Guards against a read that goes on after its context has ended, because the end came during a bind.
func TestContextEndsDuringBind(t *testing.T) {
	var noticed [2]bool
	synctest.Test(t, func(*testing.T) {
		for i := range noticed {
			noticed[i] = bindWhileContextEnds(i + 1)
		}
	})
	Convey("The end makes the bind fail or interrupts the connection", t, func() { So(noticed, ShouldResemble, [2]bool{true, true}) })
}
