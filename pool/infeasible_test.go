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

// Guards against requests that expire behind all others although their answers turned out to
// be short, or the servers to be fast.
func TestInfeasibleRequestsAreReconsidered(t *testing.T) {
	observe := func(r *harness, count, tokens int) {
		for range count {
			r.lengths.Observe(r.newWaiter(capped("")).estimateKey, tokens)
		}
	}
	for name, x := range map[string]struct {
		change func(r *harness, g Grant)
		next   request.ID
	}{
		"Nothing has changed":                            {func(*harness, Grant) {}, "low"},
		"Answers of its kind turn out to be short":       {func(r *harness, _ Grant) { observe(r, 64, 10) }, "first"},
		"The time per token of the server becomes short": {func(r *harness, g Grant) { r.reportTokens(g, time.Millisecond, 200) }, "first"},
	} {
		Convey(name+": of an infeasible request and one of a lower tier, the next is "+string(x.next), t, func() {
			r := newHarness(Config{}, servers(1, 1)...)
			observe(r, 64, 4000)
			g := r.mustGrant(capped("running"))
			r.send(capped("first"))
			r.send(short("other"))
			r.reportTokens(g, slowToken, 2)
			g = grants(r.endRun(g, OutcomeDone))[0]
			So(g.Request, ShouldEqual, request.ID("other"))
			r.send(short("low"))
			x.change(r, g)
			r.advance(compareInterval)
			So(grants(r.endRun(g, OutcomeDone))[0].Request, ShouldEqual, x.next)
		})
	}
}
