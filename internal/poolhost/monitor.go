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
	r      *Runtime
	mu     sync.Mutex
	engine bool // model engines, not plain services
	model  engine.LoadedModel
	// servers is in the order of the configuration.
	servers []*watched
}

// watched is one server as the monitor sees it, guarded by the monitor's
// mutex.
type watched struct {
	spec        workspace.BackendServer
	probing     bool
	next        time.Time // of the next probe
	probes      int       // that were answered
	removed     bool
	misses      int
	reach       pool.Health // Up, Silent or Gone
	leaving     bool        // the engine says so
	warming     bool        // the engine says so
	incarnation uint64
	cacheSeq    uint64
	told        pool.ServerHealth
	toldOnce    bool
}

func newMonitor(r *Runtime) *monitor { return &monitor{r: r} }

// configure takes the pool's servers; what is known of those that stay, at
// the same address, is kept.
func (m *monitor) configure(p *workspace.ResolvedPool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.engine = p.Service == ""
	m.model = engine.LoadedModel{Model: p.Model, Version: p.Version}
	old := map[string]*watched{}
	for _, w := range m.servers {
		old[w.spec.Name] = w
		w.removed = true
	}
	m.servers = m.servers[:0:0]
	for _, s := range p.Servers {
		w := old[s.Name]
		if w == nil || w.spec.Address != s.Address {
			w = &watched{}
		}
		w.spec, w.removed = s, false
		// A server may have left the pool and come back: the scheduler may
		// have forgotten what it was told.
		w.toldOnce = w.toldOnce && old[s.Name] != nil
		m.servers = append(m.servers, w)
	}
}

// tick tells the scheduler of servers that leave, and starts the probes that
// are due.
func (m *monitor) tick() {
	now := m.r.host.cfg.Now()
	m.mu.Lock()
	var start []target
	for _, w := range m.servers {
		m.tell(w)
		if !m.r.host.cfg.Unmonitored && !w.probing && !now.Before(w.next) && (!m.engine || m.r.host.cfg.Engines != nil) {
			w.probing = true
			start = append(start, target{w, w.spec})
		}
	}
	engines := m.engine
	m.mu.Unlock()
	for _, t := range start {
		m.r.host.cfg.Spawn(func() { m.probe(t, engines) })
	}
}

// tell posts a server's health where it changed. The signs of leaving are the
// operator's order, the VM list and the engine itself; the first one counts.
func (m *monitor) tell(w *watched) {
	h := pool.ServerHealth{Server: w.spec.Name, Health: w.reach, Incarnation: w.incarnation}
	switch {
	case w.reach != pool.HealthUp:
	case w.leaving || w.spec.Leaving || m.r.host.cfg.Leaving(w.spec):
		h.Health = pool.HealthLeaving
	case w.warming:
		h.Health = pool.HealthWarming
	}
	if (w.toldOnce && h == w.told) || (!w.toldOnce && h.Health == pool.HealthUp && h.Incarnation == 0) {
		return
	}
	w.told, w.toldOnce = h, true
	m.r.post(h)
}

// target is a server to probe, with its configuration as of then.
type target struct {
	w    *watched
	spec workspace.BackendServer
}

// probe asks a server once how it is.
func (m *monitor) probe(t target, isEngine bool) {
	w := t.w
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	if !isEngine {
		err := m.r.host.cfg.Connect(ctx, t.spec.Address)
		m.note(w, engine.LoadReport{}, err)
		return
	}
	e := m.r.host.cfg.Engines.Engine(t.spec.Address)
	report, err := e.Load(ctx)
	if errors.Is(err, engine.ErrNotSent) {
		// Adapters don't tell a refused connect, where nobody listens any
		// more, from one that got no answer.
		if c := m.r.host.cfg.Connect(ctx, t.spec.Address); errors.Is(c, syscall.ECONNREFUSED) {
			err = c
		}
	}
	watched, cacheDue := m.note(w, report, err)
	if !watched || err != nil {
		return
	}
	m.r.post(pool.ServerLoad{Server: t.spec.Name, Report: report})
	if cacheDue {
		m.pollCache(ctx, t, e)
	}
}

// note takes a probe's result. It reports whether the server is still watched,
// and whether its cache events are due; the next probe may start at once.
//
// A probe that fails because its connection went silent says nothing of the
// server: new connections may work. So only several misses in a row, each on a
// connection of its own after the adapter dropped the last, make it silent.
func (m *monitor) note(w *watched, report engine.LoadReport, err error) (watched, cacheDue bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	w.probing = false
	w.next = m.r.host.cfg.Now().Add(ProbeEvery - probeJitter/2 + rand.N(probeJitter))
	if w.removed {
		return false, false
	}
	switch {
	case err == nil:
		w.probes++
		w.misses, w.reach = 0, pool.HealthUp
		w.leaving, w.warming = report.Leaving, report.Warming || m.lacks(report)
		if w.incarnation != report.Incarnation {
			w.incarnation, w.cacheSeq, w.probes = report.Incarnation, 0, 0
		}
	case errors.Is(err, syscall.ECONNREFUSED):
		w.misses, w.reach = probeMisses, pool.HealthGone
	default:
		m.r.host.count.probeMisses.Add(1)
		w.misses++
		if w.misses < probeMisses {
			w.next = m.r.host.cfg.Now().Add(probeAgain)
		}
		if w.misses >= probeMisses && w.reach != pool.HealthGone {
			w.reach = pool.HealthUnresponsive
		}
	}
	if w.warming || w.reach != pool.HealthUp {
		w.next = m.r.host.cfg.Now().Add(probeDown)
	}
	m.tell(w)
	return true, err == nil && w.probes%cacheEvery == 0
}

// lacks tells whether an engine reports its models and the pool's is not
// among them: it would refuse every request until an order has loaded it.
func (m *monitor) lacks(report engine.LoadReport) bool {
	if !m.engine || len(report.Models) == 0 {
		return false
	}
	for _, l := range report.Models {
		if l.Model == m.model.Model && l.Version == m.model.Version {
			return false
		}
	}
	return true
}

// doubt brings a server's next probe forward: a request ended there as it
// does where the server has crashed, leaves or can't be reached.
func (m *monitor) doubt(server string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, w := range m.servers {
		if w.spec.Name == server {
			w.next = m.r.host.cfg.Now()
		}
	}
}

// pollCache takes the cache events since the last poll to the scheduler. A
// jump in their numbers is a gap.
func (m *monitor) pollCache(ctx context.Context, t target, e engine.Engine) {
	m.mu.Lock()
	after := t.w.cacheSeq
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
		m.r.host.count.cacheGaps.Add(1)
	}
	m.mu.Lock()
	t.w.cacheSeq = events[len(events)-1].Seq
	m.mu.Unlock()
	m.r.post(pool.ServerCache{Server: t.spec.Name, Events: events, Gap: gap})
}
