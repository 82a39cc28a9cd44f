package claim

import (
	"context"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"golang.org/x/time/rate"

	"github.com/lycheekeel/lycheekeel/internal/logs"
	"github.com/lycheekeel/lycheekeel/internal/wait"
)

// background does what a call of Claim or Finish leaves to be done: it abandons
// undecided claims and records outcomes, with retries while the store is unavailable.
//
// The number of jobs, their time and their calls are bounded. Without bounds every
// entry would accumulate outcomes in an outage, so that memory grows, and overload
// the store again when it recovers.
type background struct {
	o         Options
	log       *logrus.Entry
	jobSlots  chan struct{}
	callSlots chan struct{} // semaphore of calls
	retryRate *rate.Limiter
	ctx       context.Context
	stop      context.CancelFunc
	wg        conc.WaitGroup
}

func newBackground(o Options) *background {
	ctx, stop := context.WithCancel(context.Background())
	return &background{
		o: o, log: logs.For("claim"), jobSlots: make(chan struct{}, o.BackgroundJobs),
		callSlots: make(chan struct{}, o.MaxInFlight),
		retryRate: rate.NewLimiter(rate.Limit(o.BackgroundRate), int(o.BackgroundRate)+1), ctx: ctx, stop: stop,
	}
}

// run retries try in the background until it returns true or a bound is reached.
func (b *background) run(name string, try func(context.Context) bool) {
	select {
	case b.jobSlots <- struct{}{}:
	default:
		b.o.count(countBackgroundFull)
		b.log.WithField("claim", name).Warn("Outcome not recorded: too many outcomes are waiting.")
		return
	}
	b.wg.Go(func() {
		defer func() { <-b.jobSlots }()
		ctx, cancel := context.WithTimeout(b.ctx, b.o.BackgroundTimeout)
		defer cancel()
		retry := newBackOff(maxBackgroundRetryInterval)
		for !b.tryOnce(ctx, try) {
			if !wait.For(ctx, retry.NextBackOff()) || b.retryRate.Wait(ctx) != nil {
				b.o.count(countBackgroundGaveUp)
				b.log.WithField("claim", name).Warn("Outcome not recorded: the store took too long.")
				return
			}
		}
	})
}

func (b *background) tryOnce(ctx context.Context, try func(context.Context) bool) bool {
	if !acquireSlot(ctx, b.callSlots) {
		return false
	}
	defer func() { <-b.callSlots }()
	ctx, cancel := context.WithTimeout(ctx, b.o.CallTimeout)
	defer cancel()
	return try(ctx)
}

// close waits for the jobs until the context ends, then cancels them.
func (b *background) close(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		b.wg.Wait()
		close(done)
	}()
	defer b.stop()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		b.stop()
		<-done
		return errors.Wrap(ctx.Err(), "not all outcomes recorded")
	}
}

// acquireSlot acquires a slot of a semaphore. It returns false if the context ended
// first.
func acquireSlot(ctx context.Context, slots chan struct{}) bool {
	select {
	case slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}
