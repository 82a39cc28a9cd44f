package load

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
)

// DefaultDeadlineGrace is the default of Run.DeadlineGrace.
const DefaultDeadlineGrace = 10 * time.Second

// Run sends arrivals to targets.
type Run struct {
	Mix      *Mix
	Arrivals []Arrival
	// Targets are the entries' addresses, host:port, used round-robin.
	Targets []string
	// Keys are the bearer keys by workspace.
	Keys map[string]string
	// DeadlineGrace is how long a caller waits beyond its deadline before it gives up;
	// 0 means DefaultDeadlineGrace.
	DeadlineGrace time.Duration

	sent, finished, good atomic.Int64
	start                time.Time
}

// Progress is the progress of a run.
type Progress struct {
	Elapsed              time.Duration
	Sent, Finished, Good int64
	Planned              int
}

// Progress returns the progress; it may be called while Do runs.
func (r *Run) Progress(now time.Time) Progress {
	return Progress{
		Elapsed: now.Sub(r.start), Sent: r.sent.Load(), Finished: r.finished.Load(),
		Good: r.good.Load(), Planned: len(r.Arrivals),
	}
}

// Check returns an error if there is no target, or no key for a workspace of the mix.
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

// Do sends every arrival at its time and returns when all are finished. When ctx ends,
// it sends no more and returns the results of those sent. It may be called only once.
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

// endedByCaller corrects the outcome of an attempt that its caller ended, on purpose
// or by giving up long after the deadline. If the caller gave up before any answer
// came, the outcome stays OutcomeNoAnswer.
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

// waitForResend waits and returns true if the caller sends its request again.
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

// waitUntil returns false if ctx ends first.
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
