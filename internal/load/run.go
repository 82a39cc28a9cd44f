package load

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
)

// DefaultDeadlineGrace is how long after its deadline a caller waits for its answer.
const DefaultDeadlineGrace = 10 * time.Second

// Run offers arrivals to targets.
type Run struct {
	Mix      *Mix
	Arrivals []Arrival
	// Targets are the entries' addresses, host:port, used in turn.
	Targets []string
	// Keys are the bearer keys by workspace.
	Keys map[string]string
	// DeadlineGrace is how long after its deadline a caller waits before its
	// answer counts as lost; zero means DefaultDeadlineGrace.
	DeadlineGrace time.Duration

	sent, finished, good atomic.Int64
	start                time.Time
}

// Progress is how far a run is.
type Progress struct {
	Elapsed              time.Duration
	Sent, Finished, Good int64
	Planned              int
}

// Progress may be called while Do runs.
func (r *Run) Progress(now time.Time) Progress {
	return Progress{
		Elapsed: now.Sub(r.start), Sent: r.sent.Load(), Finished: r.finished.Load(),
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
		wg.Go(func() { r.runArrival(ctx, c, a, res) })
	}
	wg.Wait()
	return results[:n]
}

// runArrival sends one arrival and its resends.
func (r *Run) runArrival(ctx context.Context, c *client, a *Arrival, res *Result) {
	start := r.start.Add(a.At)
	res.Arrival, res.SendLag = a, time.Since(start)
	targets := r.Mix.Tiers[a.Class.Tier]
	for {
		res.Attempts = append(res.Attempts, r.attempt(ctx, c, a, start, targets))
		if !r.waitForResend(ctx, a, res) {
			break
		}
	}
	if res.Good(targets) {
		r.good.Add(1)
	}
	r.finished.Add(1)
}

func (r *Run) attempt(ctx context.Context, c *client, a *Arrival, start time.Time, t Targets) Attempt {
	grace := r.DeadlineGrace
	if grace <= 0 {
		grace = DefaultDeadlineGrace
	}
	limit := milliseconds(t.DeadlineMs) + grace
	if a.DisconnectAfter > 0 && a.DisconnectAfter < limit {
		limit = a.DisconnectAfter
	}
	tryCtx, cancel := context.WithDeadline(ctx, time.Now().Add(limit))
	defer cancel()
	attempt := c.send(tryCtx, a, r.Keys[a.Class.Workspace], start)
	attempt.Outcome = endedByCaller(attempt.Outcome, tryCtx.Err() != nil, a.DisconnectAfter > 0 || ctx.Err() != nil)
	return attempt
}

// endedByCaller tells an answer that the caller itself cut short from one that
// the system did: the caller left on purpose, or gave up long after the
// deadline. One that had nothing by then stays lost.
func endedByCaller(e Outcome, byCaller, intended bool) Outcome {
	switch {
	case !byCaller || (e != OutcomeNoAnswer && e != OutcomeTruncated && e != OutcomeNotSent):
		return e
	case intended:
		return OutcomeDisconnected
	case e == OutcomeTruncated:
		return OutcomeTooLate
	default:
		return e
	}
}

// waitForResend tells whether the caller sends its request again, and waits before it.
func (r *Run) waitForResend(ctx context.Context, a *Arrival, res *Result) bool {
	resend := a.Class.Resend
	if resend == nil || len(res.Attempts) > resend.Times {
		return false
	}
	if e := res.LastAttempt().Outcome; e == OutcomeComplete || e == OutcomeDisconnected {
		return false
	}
	return waitUntil(ctx, time.Now().Add(milliseconds(resend.DelayMs)))
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
