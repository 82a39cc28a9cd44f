package revisiontest

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/lycheekeel/lycheekeel/internal/wait"
	"github.com/lycheekeel/lycheekeel/objectstore"
	"github.com/lycheekeel/lycheekeel/workspace"
	"github.com/lycheekeel/lycheekeel/workspace/workspacetest"
)

// PropagationCost is the cost of distributing changes with the default timing.
type PropagationCost struct {
	Members, Regions, Changes int
	// Slowest and Mean are over the times from the answer to a write until the
	// change is active on the last member.
	Slowest, Mean time.Duration
	// BytesPerChange and MessagesPerChange are what each member sends for one
	// change, idle traffic subtracted.
	BytesPerChange, MessagesPerChange float64
	// IdleBytesPerSecond and IdleMessagesPerSecond are what each member sends while
	// nothing changes.
	IdleBytesPerSecond, IdleMessagesPerSecond float64
	// StoreCallsPerSecond is the rate of all members' calls to the object API while
	// nothing changes.
	StoreCallsPerSecond float64
}

// idlePeriod is how long the idle traffic is measured.
const idlePeriod = 11 * time.Second

// MeasurePropagation starts members in one process and measures a number of
// changes.
func MeasurePropagation(ctx context.Context, members, regions, changes int) (PropagationCost, error) {
	r := PropagationCost{Members: members, Regions: regions, Changes: changes}
	c := New(Options{Members: members, Regions: regions})
	c.Start()
	defer c.Stop()
	if err := c.writeConfiguration(ctx); err != nil {
		return r, err
	}
	if err := r.measureIdle(ctx, c); err != nil {
		return r, err
	}
	return r, r.measureChanges(ctx, c)
}

// writeConfiguration writes a small configuration and waits until it is active.
func (c *Cluster) writeConfiguration(ctx context.Context) error {
	var newest objectstore.Version
	fleet := workspacetest.Size{Workspaces: 1, Servers: 1, Models: 1, Regions: 1, Templates: 1}
	for _, o := range fleet.Objects() {
		v, err := c.Store.Create(ctx, o.Kind, o.Name, o.Value)
		if err != nil {
			return err
		}
		newest = v
	}
	_, err := AwaitVersion(ctx, newest, c.Members...)
	return err
}

// measureIdle measures the traffic while nothing changes.
func (r *PropagationCost) measureIdle(ctx context.Context, c *Cluster) error {
	if !wait.For(ctx, idlePeriod/5) { // until all digests agree
		return ctx.Err()
	}
	traffic, calls := c.Traffic(), c.storeCalls()
	if !wait.For(ctx, idlePeriod) {
		return ctx.Err()
	}
	after := c.Traffic()
	perMember := float64(r.Members) * idlePeriod.Seconds()
	r.IdleBytesPerSecond = float64(after.BytesOut-traffic.BytesOut) / perMember
	r.IdleMessagesPerSecond = float64(after.MessagesOut-traffic.MessagesOut) / perMember
	r.StoreCallsPerSecond = float64(c.storeCalls()-calls) / idlePeriod.Seconds()
	return nil
}

// measureChanges measures changes one after the other.
func (r *PropagationCost) measureChanges(ctx context.Context, c *Cluster) error {
	start, traffic := time.Now(), c.Traffic()
	for i := range r.Changes {
		w := workspacetest.Workspace(fmt.Sprintf("added-%d", i), "template-0")
		v, err := c.write(ctx, workspace.KindWorkspace, w.Name, w)
		if err != nil {
			return err
		}
		elapsed, err := AwaitVersion(ctx, v, c.Members...)
		if err != nil {
			return err
		}
		r.Slowest = max(r.Slowest, elapsed)
		r.Mean += elapsed / time.Duration(r.Changes)
	}
	if !wait.For(ctx, time.Second) { // until the last pushes are sent
		return ctx.Err()
	}
	after, seconds := c.Traffic(), time.Since(start).Seconds()
	memberChanges := float64(r.Members * r.Changes)
	memberSeconds := float64(r.Members) * seconds
	r.BytesPerChange = (float64(after.BytesOut-traffic.BytesOut) - memberSeconds*r.IdleBytesPerSecond) / memberChanges
	r.MessagesPerChange = (float64(after.MessagesOut-traffic.MessagesOut) - memberSeconds*r.IdleMessagesPerSecond) / memberChanges
	return nil
}

// write creates an object.
func (c *Cluster) write(ctx context.Context, kind objectstore.Kind, name string, v any) (objectstore.Version, error) {
	value, err := json.Marshal(v)
	if err != nil {
		return 0, errors.Wrap(err, name)
	}
	return c.Store.Create(ctx, kind, name, value)
}

// storeCalls returns the total number of calls to the object API.
func (c *Cluster) storeCalls() int64 {
	var sum int64
	for _, n := range c.Store.Calls() {
		sum += n
	}
	return sum
}
