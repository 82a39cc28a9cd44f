package load

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
)

// DefaultPatience is how long after its deadline a caller waits for its answer.
const DefaultPatience = 10 * time.Second

// Run offers arrivals to targets.
type Run struct {
	Mix      *Mix
	Arrivals []Arrival
	// Targets are the entries' addresses, host:port, used in turn.
	Targets []string
	// Keys are the bearer keys by workspace.
	Keys map[string]string
	// Patience is how long after its deadline a caller waits before its
	// answer counts as lost; zero means DefaultPatience.
	Patience time.Duration

	sent, ended, good atomic.Int64
	start             time.Time
}

// Progress is how far a run is.
type Progress struct {
	Elapsed           time.Duration
	Sent, Ended, Good int64
	Planned           int
}

// Progress may be called while Do runs.
func (r *Run) Progress(now time.Time) Progress {
	return Progress{
		Elapsed: now.Sub(r.start), Sent: r.sent.Load(), Ended: r.ended.Load(),
		Good: r.good.Load(), Planned: len(r.Arrivals),
	}
}

// Check returns an error where a workspace of the mix has no key, or there is
// no target.
func (r *Run) Check() error {
	if len(r.Targets) == 0 {
		return errors.New("no target")
	}
	for _, c := range r.Mix.Classes {
		if r.Keys[c.Workspace] == "" {
			return errors.Errorf("no key for workspace %q of class %q", c.Workspace, c.Name)
		}
	}
	return nil
}

// Do sends every arrival at its time and returns when all have ended. When
// ctx ends it sends nothing more and the results hold what was sent. Call it
// once.
func (r *Run) Do(ctx context.Context) []Result {
	clients := make([]*client, len(r.Targets))
	for i, t := range r.Targets {
		clients[i] = newClient(t)
	}
	results := make([]Result, len(r.Arrivals))
	r.start = time.Now()
	var wg conc.WaitGroup
	n := 0
	for ; n < len(r.Arrivals) && waitUntil(ctx, r.start.Add(r.Arrivals[n].At)); n++ {
		a, res, c := &r.Arrivals[n], &results[n], clients[n%len(clients)]
		r.sent.Add(1)
		wg.Go(func() { r.one(ctx, c, a, res) })
	}
	wg.Wait()
	return results[:n]
}

// one sends one arrival and its resends.
func (r *Run) one(ctx context.Context, c *client, a *Arrival, res *Result) {
	began := r.start.Add(a.At)
	res.Arrival, res.Lag = a, time.Since(began)
	targets := r.Mix.Tiers[a.Class.Tier]
	for {
		res.Tries = append(res.Tries, r.try(ctx, c, a, began, targets))
		if !r.again(ctx, a, res) {
			break
		}
	}
	if res.Good(targets) {
		r.good.Add(1)
	}
	r.ended.Add(1)
}

func (r *Run) try(ctx context.Context, c *client, a *Arrival, began time.Time, t Targets) Try {
	patience := r.Patience
	if patience <= 0 {
		patience = DefaultPatience
	}
	limit := milliseconds(t.DeadlineMs) + patience
	if a.LeaveAfter > 0 && a.LeaveAfter < limit {
		limit = a.LeaveAfter
	}
	tryCtx, cancel := context.WithDeadline(ctx, time.Now().Add(limit))
	defer cancel()
	y := c.send(tryCtx, a, r.Keys[a.Class.Workspace], began)
	y.Ending = endedEarly(y.Ending, tryCtx.Err() != nil, a.LeaveAfter > 0 || ctx.Err() != nil)
	return y
}

// endedEarly tells an answer that the caller itself cut short from one that
// the system did: the caller left on purpose, or gave up long after the
// deadline. One that had nothing by then stays lost.
func endedEarly(e Ending, byCaller, onPurpose bool) Ending {
	switch {
	case !byCaller || (e != Lost && e != Cut && e != NotSent):
		return e
	case onPurpose:
		return Left
	case e == Cut:
		return TooLate
	default:
		return e
	}
}

// again tells whether the caller sends its request again, and waits before it.
func (r *Run) again(ctx context.Context, a *Arrival, res *Result) bool {
	resend := a.Class.Resend
	if resend == nil || len(res.Tries) > resend.Times {
		return false
	}
	if e := res.Last().Ending; e == Whole || e == Left {
		return false
	}
	return waitUntil(ctx, time.Now().Add(milliseconds(resend.AfterMs)))
}

// waitUntil returns false where ctx ended before.
func waitUntil(ctx context.Context, at time.Time) bool {
	d := time.Until(at)
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
