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

// Counters of the metric group "placement".
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

// Demand is the number of running and waiting requests of a pool by tier.
type Demand = [request.MaxTiers]float64

// Options configure a Controller. Region, Elector, API, Weights, Engines and Config are
// required.
type Options struct {
	Region  string
	Elector *lease.Elector
	API     objectstore.ObjectAPI
	Weights objectstore.WeightStore
	Engines engine.Dialer
	// Config returns the current configuration, or nil if there is none yet.
	Config func() *workspace.Snapshot
	// Demand returns the demand by pool. Pools that it doesn't contain keep their last
	// demand.
	Demand func(context.Context) map[string]Demand
	// Interval is the minimum interval between rounds. UnloadDelay is how long a server
	// must have served its pool before other models are unloaded. RetryInterval is how
	// long an order may take to show an effect before it is sent again.
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

// Controller executes plans while it holds the region's lease.
//
// A controller that was paused might continue an old plan beside its successor's, so
// that servers would load and unload models in turns. Therefore it checks the lease
// right before each action and sends the fencing token along, so that engines refuse
// outdated orders. Its writes are conditional and contain the token. For engines that
// ignore tokens, the successor has waited for the lease's duration plus a margin, and
// repeats its orders whenever a server differs from the plan.
type Controller struct {
	opts Options
	log  *logrus.Entry

	// State under the current lease; used by one goroutine.
	lease        Lease
	orderedAt    map[Step]time.Time
	assignments  map[string]assignment
	demand       map[string]Demand
	observations map[string]*observation // by server
	fenced       map[string]uint64       // server -> incarnation that has received the token
	planWritten  bool                    // the plan has been written under this lease
}

// Lease is the part of a lease that a controller uses.
type Lease interface {
	Check() (lease.Token, error)
	Lost() <-chan struct{}
}

// assignment is the pool that a server serves, and since when the controller has
// observed it.
type assignment struct {
	pool  string
	since time.Time
}

// NewController returns a controller. Run starts it.
func NewController(o Options) *Controller {
	o = o.withDefaults()
	return &Controller{opts: o, log: logs.For("placement").WithField("region", o.Region)}
}

// Run acquires the lease and controls the region while it is held, repeatedly, until
// the context ends. It then releases the lease.
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

// runWithLease runs rounds until the lease is lost or the context ends.
func (c *Controller) runWithLease(ctx context.Context, l Lease) {
	c.lease, c.planWritten = l, false
	c.orderedAt, c.assignments = map[Step]time.Time{}, map[string]assignment{}
	c.demand = map[string]Demand{}
	c.observations, c.fenced = map[string]*observation{}, map[string]uint64{}
	for {
		if err := c.runRound(ctx); err != nil {
			c.count(countRoundsFailed)
			c.log.WithError(err).Warn("Placement round failed.")
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

// intervalPerServer is the minimum interval between rounds per server: a controller
// probes at most ten servers a second.
const intervalPerServer = 100 * time.Millisecond

// RoundInterval returns the time that a controller waits between two rounds. Each round
// probes every server. At a fixed interval the probes of 217 servers would take 28 KB a
// second, seven times the budget for all control traffic of a node.
func RoundInterval(interval time.Duration, servers int) time.Duration {
	return max(interval, time.Duration(servers)*intervalPerServer)
}

// runRound observes the region, computes and stores the plan, and executes it.
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
		return errors.New("most servers are unreachable, no moves made")
	}
	in.Moves = stored.Moves
	plan := ComputePlan(in)
	if err := c.writePlan(ctx, stored, plan.Moves); err != nil {
		return err
	}
	return c.execute(ctx, Steps(in, plan.Moves), addresses)
}

func (c *Controller) count(name string) { c.opts.Metrics.Counter(metricGroup, name).Add(1) }
