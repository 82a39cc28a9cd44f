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

// Kind is the kind of the objects that store the moves in progress of a region, under
// the region's name.
const Kind = objectstore.Kind("Placement")

// errSuperseded reports that the holder of a newer lease has written.
var errSuperseded = errors.New("superseded by a controller with a newer lease")

// storedPlan is the stored form of a plan, and the object version at which it was read.
type storedPlan struct {
	Token   lease.Token         `json:"token"`
	Moves   []Move              `json:"moves"`
	version objectstore.Version // 0: there is no object
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
		c.log.WithError(err).Warn("Stored plan is malformed; computing a new one.")
		s = storedPlan{}
	}
	s.version = o.Version
	return s, nil
}

// writePlan stores the moves before any of them is executed, so that a successor
// continues them. The first write under a lease is always made; it makes conditional
// writes of an earlier holder fail.
func (c *Controller) writePlan(ctx context.Context, previous storedPlan, moves []Move) error {
	token, err := c.lease.Check()
	if err != nil {
		return err
	}
	if previous.Token > token {
		return errors.Wrapf(errSuperseded, "plan of token %d after one of token %d", token, previous.Token)
	}
	if c.planWritten && slices.Equal(previous.Moves, moves) {
		return nil
	}
	value, err := json.Marshal(storedPlan{Token: token, Moves: moves})
	if err != nil {
		return errors.Wrap(err, "encode plan")
	}
	if err := c.writeObject(ctx, Kind, c.opts.Region, value, previous.version); err != nil {
		return err
	}
	c.planWritten = true
	return nil
}

// assign writes the assignment of a server to a pool. An assignment with a newer token
// is left unchanged.
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
		_ = json.Unmarshal(o.Value, &previous) // a malformed assignment is overwritten
	}
	if previous.Warm && previous.Pool == s.Pool {
		return nil // written, but not in the current configuration yet
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
		return errors.Wrap(err, "encode assignment")
	}
	if err := c.writeObject(ctx, workspace.KindAssignment, s.Server, value, o.Version); err != nil {
		return err
	}
	c.count(countAssignments)
	return nil
}

// writeObject writes an object if its version is still the one that was read. A lost
// response needs no handling: the next round reads the object again.
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
