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
	"github.com/lycheekeel/lycheekeel/internal/callermem"
	"github.com/lycheekeel/lycheekeel/internal/forward"
	"github.com/lycheekeel/lycheekeel/internal/httpconn"
	"github.com/lycheekeel/lycheekeel/internal/logs"
	"github.com/lycheekeel/lycheekeel/internal/metrics"
	"github.com/lycheekeel/lycheekeel/internal/peer"
	"github.com/lycheekeel/lycheekeel/internal/poolhost"
	"github.com/lycheekeel/lycheekeel/internal/relay"
	"github.com/lycheekeel/lycheekeel/internal/streamversion"
	"github.com/lycheekeel/lycheekeel/member"
	"github.com/lycheekeel/lycheekeel/quota"
	"github.com/lycheekeel/lycheekeel/route"
	"github.com/lycheekeel/lycheekeel/workspace"
)

const (
	// keyTrustShare is the share of RevokeMs beyond which a proof of the configuration's
	// freshness is too old to accept an API key.
	keyTrustShare = 0.95
	// readyShare is the share of RevokeMs beyond which the daemon is not ready, so that
	// the balancer sends callers elsewhere before their keys have to be refused here.
	readyShare = 0.7
	// listenerLinger is how long the listener stays open after SIGTERM: the balancer
	// checks readiness every second and removes a daemon after two failures.
	listenerLinger = 2500 * time.Millisecond
	// shutdownMargin is the part of GraceS that is left for the last answers and the exit.
	shutdownMargin = 400 * time.Millisecond
	// exitMargin is the part of it in which nothing is done any more.
	exitMargin = 100 * time.Millisecond
	// memoryLimitShare is the garbage collector's soft limit as a share of MemoryMB.
	memoryLimitShare = 0.5
	// serverSilence is the longest time in which a server may take nothing of a request that
	// is being sent. A sound server may be silent for more than a second.
	serverSilence = 2500 * time.Millisecond
	// assumedDaemons is the number of daemons to assume while fewer are known.
	assumedDaemons = 16
)

// Gateway is one daemon. Run must be called once.
type Gateway struct {
	settings      Settings
	platform      Platform
	log           *logrus.Entry
	metrics       *metrics.Registry
	listener      net.Listener
	readyListener net.Listener

	routes      *route.Live
	snapshot    *workspace.CurrentSnapshot
	currentView *member.CurrentView
	state       *state
	traits      traitResolver
	limiter     *quota.Limiter
	forward     *forward.Server
	relay       *relay.Relay
	streams     *streamversion.Keeper

	// The fields below are set once the cluster key is known.
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

// New builds a gateway and opens its listeners.
func New(s Settings, p Platform, m *metrics.Registry) (*Gateway, error) {
	g := &Gateway{
		settings: s, platform: p, log: logs.For("gateway"), metrics: m,
		started: time.Now(), routes: &route.Live{}, snapshot: &workspace.CurrentSnapshot{}, currentView: &member.CurrentView{},
	}
	debug.SetMemoryLimit(int64(s.Limits.MemoryMB * 1e6 * memoryLimitShare))
	g.budgets = newRetryBudgets(s.Bounds)
	g.limiter = quota.NewLimiter(time.Now, g.initialDaemons(), quota.Tolerance{
		Window: seconds(s.Bounds.QuotaWindowS), Over: s.Bounds.QuotaOver, Slack: s.Bounds.QuotaSlack,
	})
	var servers *forward.ConnPools
	g.relay = relay.New(relay.Config{
		Direct: p.DialServer, Servers: func() map[string]string { return servers.Incarnations() }, MaxRelayed: s.Limits.maxRelayed(), Metrics: m,
	})
	servers = forward.NewConnPools(httpconn.Settings{Dial: g.relay.Dial, SilenceTimeout: serverSilence}, g.relay.PathDown)
	g.state = newState(p, s.Region, g.routes, g.snapshot, g.limiter, servers.Update, m)
	g.traits = traitResolver{settings: s.Scheduling, routes: g.routes, log: g.log}
	g.state.onTable = g.traits.logChanges
	g.rollouts = newRollouts(g.state, s.Bounds, m)
	g.streams = streamversion.New(streamversion.Config{
		Region: s.Region, History: g.state.versions, ProofAge: g.state.serversFreshness.Age, Prove: g.state.awaitServersProof,
		Archive: versionArchive{p}, Records: streamArchive{p}, Metrics: m,
	})
	g.forward = forward.New(forward.Deps{
		Routes: g.routes, Snapshot: g.snapshot, Broker: g, Admission: g,
		Quotas: g.limiter, Budget: g.budgets.forService, ConnPools: servers, StreamVersions: g.streams, Rollouts: g.rollouts, PoolRemoved: g.state.poolRemovals.contextFor, Metrics: m,
		Region: s.Region, MaxConnections: s.Limits.maxConnections(), CallerBytes: s.Limits.callerBytes(), RequestIDPrefix: s.Name + "." + strconv.FormatInt(time.Now().UnixNano(), 36), Wire: p.Wire,
	})
	return g, g.listen()
}

func (g *Gateway) listen() error {
	var err error
	if g.readyListener, err = callermem.Listen(context.Background(), g.settings.Readiness); err != nil {
		return errors.Wrap(err, "listen on the readiness address")
	}
	g.listener, err = callermem.Listen(context.Background(), g.settings.Listen)
	return errors.Wrap(err, "listen on the callers' address")
}

// initialDaemons returns the number of daemons to assume before the membership is known.
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
func (g *Gateway) MayUse(s workspace.BackendServer, canary bool) bool {
	usable := g.state.usable.Load()
	if usable == nil {
		return false
	}
	use, known := (*usable)[s.Name]
	return known && use.version == s.Version && use.accepts(canary)
}

// ServerLeaves implements forward.Admission.
func (g *Gateway) ServerLeaves(s workspace.BackendServer) {
	if usable := g.state.usable.Load(); usable != nil && (*usable)[s.Name].leaving {
		return
	}
	g.state.announceLeaving(s)
}

// ProofAge implements forward.Admission; below 0: there was no proof.
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
	pools := g.snapshot.Load().ModelPools[workspace.ModelRegion{Model: service, Region: g.settings.Region}]
	if len(pools) == 0 {
		return ""
	}
	name, _ := g.host.Owner(pools[0].Name, g.settings.Region)
	return name
}

// freshWithin reports whether the newest proof of the configuration is younger than a
// share of RevokeMs, and this daemon has not been cut off from the store for longer than
// that. A daemon that the store does not answer relies on readers alone. The callers that
// it refuses are served by the other daemons, whereas what it serves itself counts for
// nothing by the users' contract.
func (g *Gateway) freshWithin(share float64) bool {
	limit := milliseconds(g.settings.Bounds.RevokeMs * share)
	return g.state.configFreshness.Within(limit) && !g.state.storeLostLongerThan(limit)
}

// mayServe reports whether this daemon can serve callers. One that has never known the servers
// would refuse them all, while others may serve them; one that knew them serves on.
func (g *Gateway) mayServe() bool {
	_, serversKnown := g.state.serversFreshness.Age()
	return !g.draining.Load() && serversKnown && g.routes.Load() != nil && g.freshWithin(readyShare)
}

// handleReadiness answers the balancer's readiness checks.
func (g *Gateway) handleReadiness(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != g.platform.ReadinessPath || !g.mayServe() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

// Run serves until ctx ends, and then drains. It returns early if a listener fails.
func (g *Gateway) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	failed := make(chan error, 3)
	var tasks conc.WaitGroup
	g.serveMetrics()
	tasks.Go(func() { failed <- errors.Wrap(servePort(g.readyListener, g.handleReadiness), "serve readiness checks") })
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

// runBackground joins the other daemons and keeps the state in step with the store.
// Requests are refused as retryable until there is a configuration.
func (g *Gateway) runBackground(ctx context.Context) error {
	key, err := clusterKey(ctx, clusterKeyStore{g.platform.Store, g.platform.Stale}, g.log)
	if err != nil {
		return nil // ctx ended
	}
	if err := g.joinPeers(key); err != nil {
		return err
	}
	t := &tasks{panicked: g.metrics.Counter("gateway", "task_panics"), log: g.log}
	t.Go(ctx, "pools", g.host.Run)
	t.Go(ctx, "sessions", g.broker.Run)
	t.Go(ctx, "quotas", g.quotas.Run)
	t.Go(ctx, "readers", g.peerSync.Run)
	t.Go(ctx, "rollouts", g.rollouts.Run)
	r := &reflector{state: g.state, store: g.platform.Store, stale: g.platform.Stale, isReader: g.peerSync.isReader, readerAnswers: g.peerSync.readerAnswers, tasks: t, daemons: func() int { return len(g.currentView.Load().Members) }}
	t.Go(ctx, "expiry", r.runExpiry)
	t.Go(ctx, "probe of the store", r.runProbe)
	t.Go(ctx, "freshness", g.logFreshness)
	t.Go(ctx, "records of streams", g.streams.Run)
	t.Go(ctx, "archive of the versions", g.archiveVersions)
	t.Go(ctx, "archive of the streams", g.archiveStreams)
	t.Go(ctx, "old archives of streams", g.removeOldSegments)
	t.Go(ctx, "archive of the suspects", g.archiveSuspects)
	keeper := &keyKeeper{store: clusterKeyStore{g.platform.Store, g.platform.Stale}, key: key, isReader: g.peerSync.isReader, lost: g.state.storeRestored, log: g.log}
	t.Go(ctx, "cluster key", keeper.run)
	for _, k := range r.loops() {
		t.Go(ctx, "list of "+string(k.kind), func(ctx context.Context) { r.run(ctx, k) })
	}
	t.group.Wait()
	return nil
}

// Acquire implements broker.Broker. Requests get here only after a configuration is in
// force, by which time the broker exists.
func (g *Gateway) Acquire(ctx context.Context, d broker.Demand) (broker.Grant, error) {
	return g.broker.Acquire(ctx, d)
}

// shutdown drains the daemon: it becomes not ready immediately, keeps its listener open
// until the balancer has noticed, and waits for running requests.
func (g *Gateway) shutdown() error {
	start := time.Now()
	g.draining.Store(true)
	g.forward.Drain()
	g.relay.Drain()
	g.log.Info("Draining.")
	if g.routes.Load() != nil {
		g.members.Leave() // first, so that the pools move to other owners
		defer g.endStreams(start.Add(seconds(g.settings.Bounds.GraceS) - exitMargin))
	}
	limit := seconds(g.settings.Bounds.GraceS) - shutdownMargin
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(limit))
	defer cancel()
	go g.logDrain(ctx)
	time.Sleep(listenerLinger)
	if err := g.forward.Shutdown(ctx); err != nil {
		return err
	}
	return errors.Wrap(g.relay.Wait(ctx), "connections of peers")
}

// endStreams hands on what other daemons don't have of streams, until a time at most.
func (g *Gateway) endStreams(until time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	g.streams.End(ctx)
}
