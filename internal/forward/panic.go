package forward

import (
	"fmt"
	"runtime/debug"

	"github.com/lycheekeel/lycheekeel/broker"
	"github.com/lycheekeel/lycheekeel/pool"
	"github.com/lycheekeel/lycheekeel/request"
)

// contain runs a part of a request. A panic there is the loss of this request alone: the slot
// of its last attempt is freed, and the refusal says whether the request may have run.
func (x *exchange) contain(run func() error) (err error) {
	defer func() {
		p := recover()
		if p == nil {
			return
		}
		x.server.counters.panics.Add(1)
		x.server.log.WithFields(x.requestFields()).WithField("panic", fmt.Sprint(p)).WithField("stack", string(debug.Stack())).Error("Request panicked.")
		if x.lastGrant != nil {
			x.lastGrant.Release(broker.Completion{Outcome: pool.OutcomeStreamLost})
		}
		err = x.newRefusal(request.ReasonInternal, "the request panicked")
	}()
	return run()
}
