package placement

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/lycheekeel/lycheekeel/engine"
	"github.com/lycheekeel/lycheekeel/lease"
)

// act does the steps. It stops at the first sign that the lease is not held
// any more; other failures leave the rest to the next round.
func (c *Controller) act(ctx context.Context, steps []Step, addresses map[string]string) error {
	var failed error
	loads := true
	for _, s := range steps {
		if s.Kind == StepLoad && !loads || time.Since(c.ordered[s]) < c.o.Repeat {
			continue
		}
		if s.Kind == StepLoad && !c.reserve(ctx, s) {
			loads = false // the weight store grants no more for now
			continue
		}
		err := c.do(ctx, s, addresses[s.Server])
		switch {
		case errors.Is(err, lease.ErrLost), errors.Is(err, errSuperseded), errors.Is(err, engine.ErrStaleToken):
			return err
		case err != nil:
			failed = err
		case s.Kind != StepAssign:
			c.ordered[s] = time.Now()
		}
	}
	return failed
}

// reserve asks the weight store for a load. A grant that is lost, or not used
// after all, costs some of its rate and no more.
func (c *Controller) reserve(ctx context.Context, s Step) bool {
	ctx, cancel := context.WithTimeout(ctx, c.o.CallTimeout)
	defer cancel()
	wait, err := c.o.Weights.Reserve(ctx, s.Model, s.Version)
	if err != nil || wait > 0 {
		c.count(countWeights)
		return false
	}
	return true
}

// do does one step, checking the lease right before it.
func (c *Controller) do(ctx context.Context, s Step, address string) error {
	if s.Kind == StepAssign {
		return c.assign(ctx, s)
	}
	o := engine.Order{Kind: engine.OrderLoadModel, Model: s.Model, Version: s.Version}
	why := countLoads
	switch s.Kind {
	case StepUnload:
		o.Kind, why = engine.OrderUnloadModel, countUnloads
	case StepAssert:
		why = countAsserts
	}
	ctx, cancel := context.WithTimeout(ctx, c.o.CallTimeout)
	defer cancel()
	e := c.o.Engines.Engine(address)
	token, err := c.lease.Check()
	if err != nil {
		return err
	}
	o.Token = uint64(token)
	err = e.Order(ctx, o)
	switch {
	case err == nil:
		c.fenced[s.Server] = c.seen[s.Server].report.Incarnation
		c.count(why)
	case errors.Is(err, engine.ErrStaleToken):
		c.count(countStale)
	default:
		c.count(countOrderError)
	}
	return errors.Wrapf(err, "order %s to %s", o.Kind, s.Server)
}
