package placement

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/lycheekeel/lycheekeel/engine"
	"github.com/lycheekeel/lycheekeel/internal/logs"
	"github.com/lycheekeel/lycheekeel/internal/metrics"
	"github.com/lycheekeel/lycheekeel/lease"
	"github.com/lycheekeel/lycheekeel/objectstore"
	"github.com/lycheekeel/lycheekeel/request"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// Defaults of Options.
const (
	DefaultInterval      = 2 * time.Second
	DefaultUnloadDelay   = 30 * time.Second
	DefaultRetryInterval = 5 * time.Second
	DefaultCallTimeout   = 2 * time.Second
	DefaultMaxMoves      = 4
)

// The counters of metric group "placement".
const (
	metricGroup        = "placement"
	countRounds        = "rounds"
	countRoundsFailed  = "rounds_skipped"
	countLoads         = "orders_load"
	countUnloads       = "orders_unload"
	countFences        = "orders_assert"
	countAssignments   = "assignments"
	countStaleOrders   = "orders_refused_stale"
	countOrderErrors   = "orders_failed"
	countStoreErrors   = "store_errors"
	countLoadsDeferred = "loads_put_off"
	countLeasesLost    = "lease_lost"
)

// Demand is how many requests of each tier run or wait at a pool.
type Demand = [request.MaxTiers]float64

// Options set up a Controller. Elector, Region, API, Weights, Engines and
// Config are needed.
type Options struct {
	Region  string
	Elector *lease.Elector
	API     objectstore.ObjectAPI
	Weights objectstore.WeightStore
	Engines engine.Dialer
	// Config returns the configuration in force, nil before there is one.
	Config func() *workspace.Snapshot
	// Demand returns the demand by pool. Pools that it does not name keep the
	// demand last seen.
	Demand func(context.Context) map[string]Demand
	// Interval is how often it looks; Settle is how long a server must have
	// served its pool before other models are unloaded; Repeat is how long an
	// order may take to show before it is given again.
	Interval, UnloadDelay, RetryInterval time.Duration
	// CallTimeout bounds each call to an engine or the store.
	CallTimeout time.Duration
	MaxMoves    int
	Metrics     *metrics.Registry
}

func (o Options) withDefaults() Options {
	setDefault(&o.Interval, DefaultInterval)
	setDefault(&o.UnloadDelay, DefaultUnloadDelay)
	setDefault(&o.RetryInterval, DefaultRetryInterval)
	setDefault(&o.CallTimeout, DefaultCallTimeout)
	if o.MaxMoves == 0 {
		o.MaxMoves = DefaultMaxMoves
	}
	if o.Demand == nil {
		o.Demand = func(context.Context) map[string]Demand { return nil }
	}
	if o.Metrics == nil {
		o.Metrics = metrics.New()
	}
	return o
}

func setDefault(d *time.Duration, v time.Duration) {
	if *d == 0 {
		*d = v
	}
}

// Controller carries plans out while it holds the region's lease.
//
// What goes wrong without care: a controller that was paused goes on with an
// old plan beside its successor's; one would see servers load and unload in
// turns. It asks the lease right before each act and sends the token along,
// so that engines refuse it; its writes are conditional, and carry the token;
// and for engines that ignore tokens the successor has waited out the lease
// plus a margin, and gives its orders again whenever a server differs.
type Controller struct {
	opts Options
	log  *logrus.Entry

	// Of the present lease, used by one goroutine.
	lease        Lease
	orderedAt    map[Step]time.Time
	assignments  map[string]assignment
	demand       map[string]Demand
	observations map[string]*observation // by server
	fenced       map[string]uint64       // server -> incarnation that got the token
	planWritten  bool                    // the plan was written under this lease
}

// Lease is what a controller needs of its lease.
type Lease interface {
	Check() (lease.Token, error)
	Lost() <-chan struct{}
}

// assignment is the pool that a server serves, and since when as far as known.
type assignment struct {
	pool  string
	since time.Time
}

// NewController returns a controller; Run starts it.
func NewController(o Options) *Controller {
	o = o.withDefaults()
	return &Controller{opts: o, log: logs.For("placement").WithField("region", o.Region)}
}

// Run waits for the lease, controls while it is held, and again, until the
// context ends. It then releases the lease.
func (c *Controller) Run(ctx context.Context) error {
	for {
		l, err := c.opts.Elector.Acquire(ctx)
		if err != nil {
			return err
		}
		c.runWithLease(ctx, l)
		if ctx.Err() == nil {
			c.count(countLeasesLost)
			continue
		}
		releaseCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.opts.CallTimeout)
		defer cancel()
		return l.Release(releaseCtx)
	}
}

// runWithLease does round after round until the lease is lost or the context ends.
func (c *Controller) runWithLease(ctx context.Context, l Lease) {
	c.lease, c.planWritten = l, false
	c.orderedAt, c.assignments = map[Step]time.Time{}, map[string]assignment{}
	c.demand = map[string]Demand{}
	c.observations, c.fenced = map[string]*observation{}, map[string]uint64{}
	for {
		if err := c.runRound(ctx); err != nil {
			c.count(countRoundsFailed)
			c.log.WithError(err).Warn("Round not finished.")
		}
		wait := time.NewTimer(RoundInterval(c.opts.Interval, len(c.observations)))
		select {
		case <-wait.C:
		case <-l.Lost():
			wait.Stop()
			return
		case <-ctx.Done():
			wait.Stop()
			return
		}
	}
}

// intervalPerServer is the time that each server adds to the interval of rounds: a
// controller looks at no more than ten servers a second.
const intervalPerServer = 100 * time.Millisecond

// RoundInterval returns how long a controller waits between two rounds. Each
// round looks at every server; at a fixed interval, the looks of a controller
// of 217 servers would take 28 KB a second, seven times what all control on a
// node may.
func RoundInterval(interval time.Duration, servers int) time.Duration {
	return max(interval, time.Duration(servers)*intervalPerServer)
}

// runRound observes, plans, records the plan and acts.
func (c *Controller) runRound(ctx context.Context) error {
	c.count(countRounds)
	snapshot := c.opts.Config()
	if snapshot == nil {
		return errors.New("no configuration yet")
	}
	stored, err := c.readPlan(ctx)
	if err != nil {
		return err
	}
	in, addresses := c.observe(ctx, snapshot)
	if mostUnreachable(in.Servers) {
		return errors.New("most servers are out of reach, moving none")
	}
	in.Moves = stored.Moves
	plan := ComputePlan(in)
	if err := c.writePlan(ctx, stored, plan.Moves); err != nil {
		return err
	}
	return c.execute(ctx, Steps(in, plan.Moves), addresses)
}

func (c *Controller) count(name string) { c.opts.Metrics.Counter(metricGroup, name).Add(1) }
