package pool

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/request"
)

// slowToken is a time per token with which an answer as long as its cap misses its deadline
// by far.
const slowToken = 50 * time.Millisecond

// capped is a request with a deadline of 30 s and a cap of 4096 tokens.
func capped(id string) Enqueue {
	e := enqueue(id, 0)
	e.DeadlineIn, e.MaxTokens = 30*time.Second, 4096
	return e
}

// short is a request of a lower tier, whose answer is known to be short.
func short(id string) Enqueue {
	e := enqueue(id, 1)
	e.Template, e.ExpectedTokens = "short", 1
	return e
}

// reportTokens reports a number of tokens of a run, one by one, and lets the pool compare its
// servers.
func (r *harness) reportTokens(g Grant, perToken time.Duration, tokens int) {
	for range tokens {
		r.send(Progress{Request: g.Request, Grant: g.Grant, FirstToken: 30 * time.Millisecond, Tokens: r.byGrant[g.Grant].generated + 1, PerToken: perToken})
	}
	r.advance(compareInterval)
}

// Guards against requests that expire behind all others because an answer of unknown length
// is assumed to be as long as its cap.
func TestUnknownLengthIsNotInfeasible(t *testing.T) {
	Convey("A request whose cap cannot be reached before its deadline goes before lower tiers", t, func() {
		r := newHarness(Config{}, servers(1, 1)...)
		g := r.mustGrant(capped("running"))
		r.send(capped("first"))
		r.send(short("low"))
		r.reportTokens(g, slowToken, 2)
		So(grants(r.endRun(g, OutcomeDone))[0].Request, ShouldEqual, request.ID("first"))
	})
}
