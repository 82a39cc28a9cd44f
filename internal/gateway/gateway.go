package gateway

import (
	"context"
	"net"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/lycheekeel/lycheekeel/broker"
	"github.com/lycheekeel/lycheekeel/internal/forward"
	"github.com/lycheekeel/lycheekeel/internal/httpconn"
	"github.com/lycheekeel/lycheekeel/internal/logs"
	"github.com/lycheekeel/lycheekeel/internal/metrics"
	"github.com/lycheekeel/lycheekeel/internal/peer"
	"github.com/lycheekeel/lycheekeel/internal/poolhost"
	"github.com/lycheekeel/lycheekeel/member"
	"github.com/lycheekeel/lycheekeel/quota"
	"github.com/lycheekeel/lycheekeel/route"
	"github.com/lycheekeel/lycheekeel/workspace"
)

const (
	// keyTrustShare is the part of the time for withdrawing a key at which a
	// proof of the configuration is too old to trust a key.
	keyTrustShare = 0.95
	// readyShare is the part of it at which the balancer is told to send
	// callers elsewhere, before requests have to be refused here.
	readyShare = 0.7
	// listenerLinger is how long the listener stays open after SIGTERM: the
	// balancer asks each second and gives up after two misses.
	listenerLinger = 2500 * time.Millisecond
	// shutdownMargin of the grace is left for the process to end by itself.
	shutdownMargin = 400 * time.Millisecond
	// memoryLimitShare of the VM's memory is the garbage collector's soft limit.
	memoryLimitShare = 0.5
	// assumedDaemons is how many daemons are reckoned with at the least.
	assumedDaemons = 16
)

// Gateway is one daemon. Run it once.
type Gateway struct {
	settings      Settings
	platform      Platform
	log           *logrus.Entry
	metrics       *metrics.Registry
	listener      net.Listener
	readyListener net.Listener

	routes  *route.Live
	pools   *workspace.Live
	views   *member.CurrentView
	state   *state
	ledger  *quota.Limiter
	forward *forward.Server

	// The parts below exist once the cluster key is known.
	transport *peer.TCP
	members   *member.Runner
	host      *poolhost.Host
	broker    *broker.Entry
	quotas    *quotaSync
	peerSync  *peerSync

	budgets  *retryBudgets
	rollouts *rollouts
	draining atomic.Bool
	started  time.Time
}

// New wires a gateway and opens its listeners.
func New(s Settings, p Platform, m *metrics.Registry) (*Gateway, error) {
	g := &Gateway{
		settings: s, platform: p, log: logs.For("gateway"), metrics: m,
		started: time.Now(), routes: &route.Live{}, pools: &workspace.Live{}, views: &member.CurrentView{},
	}
	debug.SetMemoryLimit(int64(s.Limits.MemoryMB * 1e6 * memoryLimitShare))
	g.budgets = newRetryBudgets(s.Bounds)
	g.ledger = quota.NewLimiter(time.Now, g.initialDaemons(), quota.Tolerance{
		Window: seconds(s.Bounds.QuotaWindowS), Over: s.Bounds.QuotaOver, Slack: s.Bounds.QuotaSlack,
	})
	servers := forward.NewServers(httpconn.Settings{})
	g.state = newState(p, s.Region, g.routes, g.pools, g.ledger, servers.Keep, m)
	g.rollouts = newRollouts(g.state, s.Bounds, m)
	g.forward = forward.New(forward.Deps{
		Routes: g.routes, Pools: g.pools, Broker: g, Admission: g,
		Quotas: g.ledger, Budget: g.budgets.forService, Servers: servers, Rollouts: g.rollouts, PoolGone: g.state.poolRemovals.contextFor, Metrics: m,
		Region: s.Region, Self: s.Name + "." + strconv.FormatInt(time.Now().UnixNano(), 36), Wire: p.Wire,
	})
	return g, g.listen()
}

func (g *Gateway) listen() error {
	var err error
	if g.readyListener, err = net.Listen("tcp", g.settings.Readiness); err != nil {
		return errors.Wrap(err, "listen for the balancer")
	}
	g.listener, err = net.Listen("tcp", g.settings.Listen)
	return errors.Wrap(err, "listen for callers")
}

// initialDaemons is how many daemons to reckon with before any was met.
func (g *Gateway) initialDaemons() int {
	for _, seed := range g.settings.Seeds {
		if seed != g.settings.Peer {
			return assumedDaemons
		}
	}
	return 1
}

// Fresh implements forward.Admission.
func (g *Gateway) Fresh() bool {
	if age, ok := g.state.configFreshness.Age(); ok {
		g.state.latency.proofAge.Observe(age)
	}
	return g.freshWithin(keyTrustShare)
}

// MayUse implements forward.Admission.
func (g *Gateway) MayUse(serverID string, canary bool) bool {
	usable := g.state.usable.Load()
	if usable == nil {
		return false
	}
	use, known := (*usable)[serverID]
	return known && use.accepts(canary)
}

// ProofAge implements forward.Admission; below zero: there was no proof.
func (g *Gateway) ProofAge() time.Duration {
	age, ok := g.state.configFreshness.Age()
	if !ok {
		return -1
	}
	return age
}

// StoreLost implements forward.Admission.
func (g *Gateway) StoreLost() time.Duration { return g.state.storeLostFor() }

// Owner implements forward.Admission.
func (g *Gateway) Owner(service string) string {
	pools := g.pools.Load().ModelPools[workspace.ModelRegion{Model: service, Region: g.settings.Region}]
	if len(pools) == 0 {
		return ""
	}
	name, _ := g.host.Owner(pools[0].Name, g.settings.Region)
	return name
}

// freshWithin tells whether there is a proof younger than a share of the time
// for withdrawing a key, and this daemon reads the store by itself or has not
// tried. One that can't for so long depends on the others' reads alone; the
// callers that it refuses are served by those, while what it would serve counts
// for nothing by the users' contract.
func (g *Gateway) freshWithin(share float64) bool {
	limit := milliseconds(g.settings.Bounds.RevokeMs * share)
	return g.state.configFreshness.Within(limit) && !g.state.storeLostLongerThan(limit)
}

// handleReadiness tells the balancer whether to send callers here.
func (g *Gateway) handleReadiness(ctx *fasthttp.RequestCtx) {
	ready := string(ctx.Path()) == g.platform.ReadinessPath && !g.draining.Load() &&
		g.routes.Load() != nil && g.freshWithin(readyShare)
	if !ready {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

// Run serves until ctx ends, and then until no request is left.
func (g *Gateway) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	failed := make(chan error, 3)
	readiness := &fasthttp.Server{Handler: g.handleReadiness, ReduceMemoryUsage: true}
	var tasks conc.WaitGroup
	g.serveMetrics()
	tasks.Go(func() { failed <- errors.Wrap(readiness.Serve(g.readyListener), "readiness") })
	tasks.Go(func() { failed <- g.forward.Serve(g.listener) })
	tasks.Go(func() {
		if err := g.runBackground(background); err != nil {
			failed <- err
		}
	})
	g.log.WithField("listen", g.settings.Listen).WithField("name", g.settings.Name).Info("Started.")
	var err error
	select {
	case err = <-failed:
	case <-ctx.Done():
		err = g.shutdown()
	}
	g.log.WithField("ran_s", int(time.Since(g.started).Seconds())).WithField("reason", err).Info("Stopped.")
	return err
}

// runBackground joins the other daemons and keeps in step with the store. Until there
// is a configuration, callers are told to come back.
func (g *Gateway) runBackground(ctx context.Context) error {
	key, err := clusterKey(ctx, clusterKeyStore{g.platform.Store, g.platform.Stale}, g.log)
	if err != nil {
		return nil // ctx ended
	}
	if err := g.joinPeers(key); err != nil {
		return err
	}
	var tasks conc.WaitGroup
	tasks.Go(func() { g.host.Run(ctx) })
	tasks.Go(func() { g.broker.Run(ctx) })
	tasks.Go(func() { g.quotas.Run(ctx) })
	tasks.Go(func() { g.peerSync.Run(ctx) })
	tasks.Go(func() { g.rollouts.Run(ctx) })
	r := &reflector{state: g.state, store: g.platform.Store, stale: g.platform.Stale, isReader: g.peerSync.isReader, readerAnswers: g.peerSync.readerAnswers}
	tasks.Go(func() { r.runExpiry(ctx) })
	tasks.Go(func() { r.runProbe(ctx) })
	tasks.Go(func() { g.logFreshness(ctx) })
	for _, k := range r.loops() {
		tasks.Go(func() { r.run(ctx, k) })
	}
	tasks.Wait()
	return nil
}

// Acquire implements broker.Broker. No request asks before a configuration is
// in force, which is after the parts were made.
func (g *Gateway) Acquire(ctx context.Context, d broker.Demand) (broker.Grant, error) {
	return g.broker.Acquire(ctx, d)
}

// shutdown ends without cutting a request off: not ready at once, the listener
// stays until the balancer has noticed, and running requests end.
func (g *Gateway) shutdown() error {
	start := time.Now()
	g.draining.Store(true)
	g.forward.Drain()
	g.log.Info("Draining.")
	if g.routes.Load() != nil {
		g.members.Leave() // the pools move first
	}
	limit := seconds(g.settings.Bounds.GraceS) - shutdownMargin
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(limit))
	defer cancel()
	go g.logDrain(ctx)
	time.Sleep(listenerLinger)
	return g.forward.Shutdown(ctx)
}
