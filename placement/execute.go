package placement

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/lycheekeel/lycheekeel/engine"
	"github.com/lycheekeel/lycheekeel/lease"
)

// execute runs the steps. It stops when the lease is lost or superseded; after other
// errors it continues, and the failed step is returned again in the next round.
func (c *Controller) execute(ctx context.Context, steps []Step, addresses map[string]string) error {
	var lastErr error
	loadsAllowed := true
	for _, s := range steps {
		if s.Kind == StepLoad && !loadsAllowed || time.Since(c.orderedAt[s]) < c.opts.RetryInterval {
			continue
		}
		if s.Kind == StepLoad && !c.reserveLoad(ctx, s) {
			loadsAllowed = false // the weight store's rate is used up for now
			continue
		}
		err := c.executeStep(ctx, s, addresses[s.Server])
		switch {
		case errors.Is(err, lease.ErrLost), errors.Is(err, errSuperseded), errors.Is(err, engine.ErrStaleToken):
			return err
		case err != nil:
			lastErr = err
		case s.Kind != StepAssign:
			c.orderedAt[s] = time.Now()
		}
	}
	return lastErr
}

// reserveLoad reserves a load at the weight store. A reservation that is lost or not
// used only costs part of the store's rate.
func (c *Controller) reserveLoad(ctx context.Context, s Step) bool {
	ctx, cancel := context.WithTimeout(ctx, c.opts.CallTimeout)
	defer cancel()
	wait, err := c.opts.Weights.Reserve(ctx, s.Model, s.Version)
	if err != nil || wait > 0 {
		c.count(countLoadsDeferred)
		return false
	}
	return true
}

// executeStep runs one step and checks the lease right before it.
func (c *Controller) executeStep(ctx context.Context, s Step, address string) error {
	if s.Kind == StepAssign {
		return c.assign(ctx, s)
	}
	o := engine.Order{Kind: engine.OrderLoadModel, Model: s.Model, Version: s.Version}
	counter := countLoads
	switch s.Kind {
	case StepUnload:
		o.Kind, counter = engine.OrderUnloadModel, countUnloads
	case StepFence:
		counter = countFences
	}
	ctx, cancel := context.WithTimeout(ctx, c.opts.CallTimeout)
	defer cancel()
	e := c.opts.Engines.Engine(address)
	token, err := c.lease.Check()
	if err != nil {
		return err
	}
	o.Token = uint64(token)
	err = e.Order(ctx, o)
	switch {
	case err == nil:
		c.fenced[s.Server] = c.observations[s.Server].report.Incarnation
		c.count(counter)
	case errors.Is(err, engine.ErrStaleToken):
		c.count(countStaleOrders)
	default:
		c.count(countOrderErrors)
	}
	return errors.Wrapf(err, "send order %s to %s", o.Kind, s.Server)
}
