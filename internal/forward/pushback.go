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
// send nothing for a while, if the refusal says so in seconds.
func (x *exchange) reportPushback(a *attempt, r *reply) {
	seconds, _ := x.statedNumber(r, fasthttp.HeaderRetryAfter, x.server.counters.invalidPushbacks)
	if wait := time.Duration(min(seconds, maxPushback.Seconds()) * float64(time.Second)); wait > 0 {
		a.grant.Pushback(wait)
	}
}
