package poolhost

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/lycheekeel/lycheekeel/engine"
	"github.com/lycheekeel/lycheekeel/pool"
	"github.com/lycheekeel/lycheekeel/workspace"
	"github.com/pkg/errors"
)

// monitor probes a pool's backend servers for its runtime. Its load reports are
// stale, so the scheduler's limits depend on the outcomes of requests instead.
type monitor struct {
	runtime  *Runtime
	mu       sync.Mutex
	isEngine bool // the servers are model engines, not a plain service
	model    engine.LoadedModel
	// servers are in the order of the configuration.
	servers []*monitoredServer
}

// monitoredServer is the monitor's state of one server, guarded by monitor.mu.
type monitoredServer struct {
	spec           workspace.BackendServer
	probing        bool
	nextProbe      time.Time // time of the next probe
	answeredProbes int       // in this incarnation
	removed        bool
	misses         int
	reachability   pool.Health // up, unresponsive or gone
	leaving        bool        // reported by the engine
	warming        bool        // the engine warms up or lacks the pool's model
	incarnation    uint64
	cacheSeq       uint64
	reported       pool.ServerHealth
	everReported   bool
}

func newMonitor(r *Runtime) *monitor { return &monitor{runtime: r} }

// configure sets the pool's servers. The state of a server that stays at the
// same address is kept.
func (m *monitor) configure(p *workspace.ResolvedPool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.isEngine = p.Service == ""
	m.model = engine.LoadedModel{Model: p.Model, Version: p.Version}
	old := map[string]*monitoredServer{}
	for _, w := range m.servers {
		old[w.spec.Name] = w
		w.removed = true
	}
	m.servers = m.servers[:0:0]
	for _, s := range p.Servers {
		w := old[s.Name]
		if w == nil || w.spec.Address != s.Address {
			w = &monitoredServer{}
		}
		w.spec, w.removed = s, false
		// A server may have left the pool and returned. The scheduler may
		// have forgotten the health that was reported before.
		w.everReported = w.everReported && old[s.Name] != nil
		m.servers = append(m.servers, w)
	}
}

// tick reports changes of health to the scheduler and starts the probes that are due.
func (m *monitor) tick() {
	due, isEngine := m.takeDueProbes(m.runtime.host.cfg.Now())
	for _, t := range due {
		m.runtime.host.cfg.Spawn(func() { m.probe(t, isEngine) })
	}
}

// takeDueProbes reports changes of health and returns the probes to start now. It unlocks by
// defer, since the task that ticks begins anew after a panic.
func (m *monitor) takeDueProbes(now time.Time) (due []probeTarget, isEngine bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, w := range m.servers {
		m.reportHealth(w)
		if !m.runtime.host.cfg.DisableProbes && !w.probing && !now.Before(w.nextProbe) && (!m.isEngine || m.runtime.host.cfg.Engines != nil) {
			w.probing = true
			due = append(due, probeTarget{w, w.spec})
		}
	}
	return due, m.isEngine
}

// reportHealth posts a server's health if it has changed. A server is leaving
// if the operator, the VM list or the engine says so, whichever comes first.
func (m *monitor) reportHealth(w *monitoredServer) {
	h := pool.ServerHealth{Server: w.spec.Name, Health: w.reachability, Incarnation: w.incarnation}
	switch {
	case w.reachability != pool.HealthUp:
	case w.leaving || w.spec.Leaving || m.runtime.host.cfg.IsLeaving(w.spec):
		h.Health = pool.HealthLeaving
	case w.warming:
		h.Health = pool.HealthWarming
	}
	if (w.everReported && h == w.reported) || (!w.everReported && h.Health == pool.HealthUp && h.Incarnation == 0) {
		return
	}
	w.reported, w.everReported = h, true
	m.runtime.post(h)
}

// probeTarget is a server to probe, with its configuration at the start of the probe.
type probeTarget struct {
	server *monitoredServer
	spec   workspace.BackendServer
}

// probe requests a load report from a model engine, or connects to the server
// of a plain service.
func (m *monitor) probe(t probeTarget, isEngine bool) {
	w := t.server
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	if !isEngine {
		err := m.runtime.host.cfg.Connect(ctx, t.spec.Address)
		m.recordProbe(w, engine.LoadReport{}, err)
		return
	}
	e := m.runtime.host.cfg.Engines.Engine(t.spec.Address)
	report, err := e.Load(ctx)
	if errors.Is(err, engine.ErrNotSent) {
		// Adapters return the same error for a refused connection, where no
		// process listens, and for one without an answer.
		if c := m.runtime.host.cfg.Connect(ctx, t.spec.Address); errors.Is(c, syscall.ECONNREFUSED) {
			err = c
		}
	}
	current, cacheDue := m.recordProbe(w, report, err)
	if !current || err != nil {
		return
	}
	m.runtime.post(pool.ServerLoad{Server: t.spec.Name, Report: report})
	if cacheDue {
		m.pollCache(ctx, t, e)
	}
}

// recordProbe records the result of a probe. It reports whether the server is
// still monitored, and whether a poll of its cache events is due. The next
// probe may start at once.
//
// A probe also fails if its connection is silent while new connections work.
// A server is therefore unresponsive only after maxProbeMisses consecutive
// misses, each on a new connection, since the adapter drops a failed one.
func (m *monitor) recordProbe(w *monitoredServer, report engine.LoadReport, err error) (current, cacheDue bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	w.probing = false
	w.nextProbe = m.runtime.host.cfg.Now().Add(ProbeInterval - probeJitter/2 + rand.N(probeJitter))
	if w.removed {
		return false, false
	}
	switch {
	case err == nil:
		w.answeredProbes++
		w.misses, w.reachability = 0, pool.HealthUp
		w.leaving, w.warming = report.Leaving, report.Warming || m.lacksModel(report)
		if w.incarnation != report.Incarnation {
			w.incarnation, w.cacheSeq, w.answeredProbes = report.Incarnation, 0, 0
		}
	case errors.Is(err, syscall.ECONNREFUSED):
		w.misses, w.reachability = maxProbeMisses, pool.HealthGone
	default:
		m.runtime.host.count.probeMisses.Add(1)
		w.misses++
		if w.misses < maxProbeMisses {
			w.nextProbe = m.runtime.host.cfg.Now().Add(probeRetryDelay)
		}
		if w.misses >= maxProbeMisses && w.reachability != pool.HealthGone {
			w.reachability = pool.HealthUnresponsive
		}
	}
	if w.warming || w.reachability != pool.HealthUp {
		w.nextProbe = m.runtime.host.cfg.Now().Add(unhealthyProbeInterval)
	}
	m.reportHealth(w)
	return true, err == nil && w.answeredProbes%probesPerCachePoll == 0
}

// lacksModel reports whether an engine lists its models without the pool's
// model. It would refuse every request until the model has been loaded.
func (m *monitor) lacksModel(report engine.LoadReport) bool {
	if !m.isEngine || len(report.Models) == 0 {
		return false
	}
	for _, l := range report.Models {
		if l.Model == m.model.Model && l.Version == m.model.Version {
			return false
		}
	}
	return true
}

// probeNow makes a server's next probe due, after a request ended as it does
// when the server has crashed, is leaving or can't be reached.
func (m *monitor) probeNow(server string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, w := range m.servers {
		if w.spec.Name == server {
			w.nextProbe = m.runtime.host.cfg.Now()
		}
	}
}

// pollCache posts the cache events since the last poll to the scheduler. A jump
// in their sequence numbers is a gap.
func (m *monitor) pollCache(ctx context.Context, t probeTarget, e engine.Engine) {
	m.mu.Lock()
	after := t.server.cacheSeq
	m.mu.Unlock()
	events, err := e.CacheEvents(ctx, after)
	if err != nil || len(events) == 0 {
		return
	}
	gap := events[0].Seq != after+1
	for i := 1; i < len(events); i++ {
		gap = gap || events[i].Seq != events[i-1].Seq+1
	}
	if gap {
		m.runtime.host.count.cacheEventGaps.Add(1)
	}
	m.mu.Lock()
	t.server.cacheSeq = events[len(events)-1].Seq
	m.mu.Unlock()
	m.runtime.post(pool.ServerCache{Server: t.spec.Name, Events: events, Gap: gap})
}
