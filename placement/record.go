package placement

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/pkg/errors"

	"github.com/lycheekeel/lycheekeel/lease"
	"github.com/lycheekeel/lycheekeel/objectstore"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// Kind is the kind of the objects that hold a region's moves under way, by
// the region's name.
const Kind = objectstore.Kind("Placement")

// errSuperseded reports that a newer lease's holder has acted.
var errSuperseded = errors.New("a newer controller is at work")

// storedPlan is the stored form of a plan, with the version it was read at.
type storedPlan struct {
	Token   lease.Token         `json:"token"`
	Moves   []Move              `json:"moves"`
	version objectstore.Version // zero: absent
}

func (c *Controller) readPlan(ctx context.Context) (storedPlan, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.CallTimeout)
	defer cancel()
	o, err := c.opts.API.Get(ctx, Kind, c.opts.Region)
	if errors.Is(err, objectstore.ErrNotFound) {
		return storedPlan{}, nil
	}
	if err != nil {
		c.count(countStoreErrors)
		return storedPlan{}, errors.Wrap(err, "read plan")
	}
	var s storedPlan
	if err := json.Unmarshal(o.Value, &s); err != nil {
		c.log.WithError(err).Warn("Stored plan can't be read; planning anew.")
		s = storedPlan{}
	}
	s.version = o.Version
	return s, nil
}

// writePlan records the moves before any of them is acted on, so that a
// successor goes on with them. The first write of a lease is made in any case:
// from then on the conditional writes of an earlier holder fail.
func (c *Controller) writePlan(ctx context.Context, previous storedPlan, moves []Move) error {
	token, err := c.lease.Check()
	if err != nil {
		return err
	}
	if previous.Token > token {
		return errors.Wrapf(errSuperseded, "token %d after %d", token, previous.Token)
	}
	if c.planWritten && slices.Equal(previous.Moves, moves) {
		return nil
	}
	value, err := json.Marshal(storedPlan{Token: token, Moves: moves})
	if err != nil {
		return errors.Wrap(err, "plan")
	}
	if err := c.writeObject(ctx, Kind, c.opts.Region, value, previous.version); err != nil {
		return err
	}
	c.planWritten = true
	return nil
}

// assign writes that a server serves a pool now. It leaves a newer token's
// assignment alone.
func (c *Controller) assign(ctx context.Context, s Step) error {
	read, cancel := context.WithTimeout(ctx, c.opts.CallTimeout)
	defer cancel()
	o, err := c.opts.API.Get(read, workspace.KindAssignment, s.Server)
	if err != nil && !errors.Is(err, objectstore.ErrNotFound) {
		c.count(countStoreErrors)
		return errors.Wrap(err, "read assignment")
	}
	var previous workspace.Assignment
	if err == nil {
		_ = json.Unmarshal(o.Value, &previous) // one that can't be read is replaced
	}
	if previous.Warm && previous.Pool == s.Pool {
		return nil // written, not in force yet
	}
	token, err := c.lease.Check()
	if err != nil {
		return err
	}
	if previous.Token > uint64(token) {
		return errors.Wrapf(errSuperseded, "assignment of %s", s.Server)
	}
	value, err := json.Marshal(workspace.Assignment{
		Server: s.Server, Pool: s.Pool, Role: previous.Role, Warm: true, Token: uint64(token),
	})
	if err != nil {
		return errors.Wrap(err, "assignment")
	}
	if err := c.writeObject(ctx, workspace.KindAssignment, s.Server, value, o.Version); err != nil {
		return err
	}
	c.count(countAssignments)
	return nil
}

// writeObject is conditional on the version that was read. A lost answer needs no
// settling: the next round reads what is in force.
func (c *Controller) writeObject(ctx context.Context, kind objectstore.Kind, name string, value []byte, previous objectstore.Version) error {
	ctx, cancel := context.WithTimeout(ctx, c.opts.CallTimeout)
	defer cancel()
	var err error
	if previous == 0 {
		_, err = c.opts.API.Create(ctx, kind, name, value)
	} else {
		_, err = c.opts.API.Update(ctx, kind, name, value, previous)
	}
	if err != nil {
		c.count(countStoreErrors)
	}
	return errors.Wrapf(err, "write %s %s", kind, name)
}
