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

// monitor watches a pool's backend servers for its runtime. What it learns of
// load is stale; the scheduler's limits rest on what our own requests show.
type monitor struct {
	runtime  *Runtime
	mu       sync.Mutex
	isEngine bool // model engines, not plain services
	model    engine.LoadedModel
	// servers is in the order of the configuration.
	servers []*monitoredServer
}

// monitoredServer is one server as the monitor sees it, guarded by the monitor's
// mutex.
type monitoredServer struct {
	spec           workspace.BackendServer
	probing        bool
	nextProbe      time.Time // of the next probe
	answeredProbes int       // that were answered
	removed        bool
	misses         int
	reachability   pool.Health // Up, Silent or Gone
	leaving        bool        // the engine says so
	warming        bool        // the engine says so
	incarnation    uint64
	cacheSeq       uint64
	reported       pool.ServerHealth
	everReported   bool
}

func newMonitor(r *Runtime) *monitor { return &monitor{runtime: r} }

// configure takes the pool's servers; what is known of those that stay, at
// the same address, is kept.
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
		// A server may have left the pool and come back: the scheduler may
		// have forgotten what it was told.
		w.everReported = w.everReported && old[s.Name] != nil
		m.servers = append(m.servers, w)
	}
}

// tick tells the scheduler of servers that leave, and starts the probes that
// are due.
func (m *monitor) tick() {
	now := m.runtime.host.cfg.Now()
	m.mu.Lock()
	var due []probeTarget
	for _, w := range m.servers {
		m.reportHealth(w)
		if !m.runtime.host.cfg.DisableProbes && !w.probing && !now.Before(w.nextProbe) && (!m.isEngine || m.runtime.host.cfg.Engines != nil) {
			w.probing = true
			due = append(due, probeTarget{w, w.spec})
		}
	}
	isEngine := m.isEngine
	m.mu.Unlock()
	for _, t := range due {
		m.runtime.host.cfg.Spawn(func() { m.probe(t, isEngine) })
	}
}

// reportHealth posts a server's health where it changed. The signs of leaving are the
// operator's order, the VM list and the engine itself; the first one counts.
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

// probeTarget is a server to probe, with its configuration as of then.
type probeTarget struct {
	server *monitoredServer
	spec   workspace.BackendServer
}

// probe asks a server once how it is.
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
		// Adapters don't tell a refused connect, where nobody listens any
		// more, from one that got no answer.
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

// recordProbe takes a probe's result. It reports whether the server is still watched,
// and whether its cache events are due; the next probe may start at once.
//
// A probe that fails because its connection went silent says nothing of the
// server: new connections may work. So only several misses in a row, each on a
// connection of its own after the adapter dropped the last, make it silent.
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

// lacksModel tells whether an engine reports its models and the pool's is not
// among them: it would refuse every request until an order has loaded it.
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

// probeNow brings a server's next probe forward: a request ended there as it
// does where the server has crashed, leaves or can't be reached.
func (m *monitor) probeNow(server string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, w := range m.servers {
		if w.spec.Name == server {
			w.nextProbe = m.runtime.host.cfg.Now()
		}
	}
}

// pollCache takes the cache events since the last poll to the scheduler. A
// jump in their numbers is a gap.
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
