package forward

import (
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// maxPushback bounds for how long a server can keep this daemon's requests away.
const maxPushback = time.Hour

// errPushedBack: the server has asked this daemon to send nothing for a while.
var errPushedBack = errors.New("the server asked for no requests for a while")

// reportPushback reports that a server has turned a request away and asked this daemon to
// send nothing for a while. A value that is not a number of seconds counts as none.
func (x *exchange) reportPushback(a *attempt, r *reply) {
	value := r.header.Peek(fasthttp.HeaderRetryAfter)
	if len(value) == 0 || r.header.StatusCode() != fasthttp.StatusServiceUnavailable {
		return
	}
	seconds, ok := parseDecimal(value)
	if !ok {
		x.server.counters.invalidPushbacks.Add(1)
		x.server.log.WithFields(x.requestFields()).WithField("value", string(value)).Debug("Invalid Retry-After of a server.")
		return
	}
	if wait := time.Duration(min(seconds, maxPushback.Seconds()) * float64(time.Second)); wait > 0 {
		a.grant.Pushback(wait)
	}
}
