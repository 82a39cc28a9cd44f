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

// stored is the stored form of a plan, with the version it was read at.
type stored struct {
	Token   lease.Token         `json:"token"`
	Moves   []Move              `json:"moves"`
	version objectstore.Version // zero: absent
}

func (c *Controller) readPlan(ctx context.Context) (stored, error) {
	ctx, cancel := context.WithTimeout(ctx, c.o.CallTimeout)
	defer cancel()
	o, err := c.o.API.Get(ctx, Kind, c.o.Region)
	if errors.Is(err, objectstore.ErrNotFound) {
		return stored{}, nil
	}
	if err != nil {
		c.count(countStoreError)
		return stored{}, errors.Wrap(err, "read plan")
	}
	var s stored
	if err := json.Unmarshal(o.Value, &s); err != nil {
		c.log.WithError(err).Warn("Stored plan can't be read; planning anew.")
		s = stored{}
	}
	s.version = o.Version
	return s, nil
}

// writePlan records the moves before any of them is acted on, so that a
// successor goes on with them. The first write of a lease is made in any case:
// from then on the conditional writes of an earlier holder fail.
func (c *Controller) writePlan(ctx context.Context, was stored, moves []Move) error {
	token, err := c.lease.Check()
	if err != nil {
		return err
	}
	if was.Token > token {
		return errors.Wrapf(errSuperseded, "token %d after %d", token, was.Token)
	}
	if c.started && slices.Equal(was.Moves, moves) {
		return nil
	}
	value, err := json.Marshal(stored{Token: token, Moves: moves})
	if err != nil {
		return errors.Wrap(err, "plan")
	}
	if err := c.write(ctx, Kind, c.o.Region, value, was.version); err != nil {
		return err
	}
	c.started = true
	return nil
}

// assign writes that a server serves a pool now. It leaves a newer token's
// assignment alone.
func (c *Controller) assign(ctx context.Context, s Step) error {
	read, cancel := context.WithTimeout(ctx, c.o.CallTimeout)
	defer cancel()
	o, err := c.o.API.Get(read, workspace.KindAssignment, s.Server)
	if err != nil && !errors.Is(err, objectstore.ErrNotFound) {
		c.count(countStoreError)
		return errors.Wrap(err, "read assignment")
	}
	var was workspace.Assignment
	if err == nil {
		_ = json.Unmarshal(o.Value, &was) // one that can't be read is replaced
	}
	if was.Warm && was.Pool == s.Pool {
		return nil // written, not in force yet
	}
	token, err := c.lease.Check()
	if err != nil {
		return err
	}
	if was.Token > uint64(token) {
		return errors.Wrapf(errSuperseded, "assignment of %s", s.Server)
	}
	value, err := json.Marshal(workspace.Assignment{
		Server: s.Server, Pool: s.Pool, Role: was.Role, Warm: true, Token: uint64(token),
	})
	if err != nil {
		return errors.Wrap(err, "assignment")
	}
	if err := c.write(ctx, workspace.KindAssignment, s.Server, value, o.Version); err != nil {
		return err
	}
	c.count(countAssigned)
	return nil
}

// write is conditional on the version that was read. A lost answer needs no
// settling: the next round reads what is in force.
func (c *Controller) write(ctx context.Context, kind objectstore.Kind, name string, value []byte, was objectstore.Version) error {
	ctx, cancel := context.WithTimeout(ctx, c.o.CallTimeout)
	defer cancel()
	var err error
	if was == 0 {
		_, err = c.o.API.Create(ctx, kind, name, value)
	} else {
		_, err = c.o.API.Update(ctx, kind, name, value, was)
	}
	if err != nil {
		c.count(countStoreError)
	}
	return errors.Wrapf(err, "write %s %s", kind, name)
}
