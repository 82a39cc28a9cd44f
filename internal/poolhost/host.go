package poolhost

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lycheekeel/lycheekeel/internal/logs"
	"github.com/lycheekeel/lycheekeel/member"
	"github.com/lycheekeel/lycheekeel/pool"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// Host runs the pools that this daemon owns. It is safe for concurrent use.
type Host struct {
	cfg   Config
	count counters

	// owned is replaced as a whole, so that the request path reads it without
	// a lock.
	owned atomic.Pointer[map[string]*Runtime]
	// draining are pools that were given up less than drainTimeout ago.
	// Daemons learn of a membership change at different times. Without
	// draining, a planned change of owner would stop a pool until the last
	// daemon has learnt of it.
	draining   atomic.Pointer[map[string]*Runtime]
	mu         sync.Mutex // serializes reconciliation
	shares     map[*StaticShare]struct{}
	lastInputs reconcileInputs
	// aliveNames caches the result of aliveMembers for aliveView.
	aliveView  *member.View
	aliveNames []string

	suspects *suspects
	// openShares holds the keys of shares; the slice is not changed.
	openShares atomic.Pointer[[]*StaticShare]
	// pauseLogLimiter limits the rate of "Server paused." lines.
	pauseLogLimiter *logs.Limiter
}

// reconcileInputs are the inputs of the last reconciliation.
type reconcileInputs struct {
	snapshot *workspace.Snapshot
	view     *member.View
}

// New returns a host that owns no pool until the first Tick or Run.
func New(cfg Config) *Host {
	cfg = cfg.withDefaults()
	h := &Host{cfg: cfg, shares: map[*StaticShare]struct{}{}, suspects: newSuspects(cfg.ConfirmAfterCrashes), pauseLogLimiter: logs.NewLimiter(maxPauseLinesPerSecond)}
	h.publishShares()
	h.count = newCounters(cfg.Metrics)
	h.owned.Store(&map[string]*Runtime{})
	h.draining.Store(&map[string]*Runtime{})
	h.register()
	return h
}

// Config returns the host's configuration with defaults filled in.
func (h *Host) Config() Config { return h.cfg }

// Run calls Tick every TickInterval until ctx ends. It then closes all
// sessions, so that the entries look for the new owners.
func (h *Host) Run(ctx context.Context) {
	t := time.NewTicker(TickInterval)
	defer t.Stop()
	for {
		h.Tick()
		select {
		case <-ctx.Done():
			h.closeAll()
			return
		case <-t.C:
		}
	}
}

// Tick takes over and gives up pools according to membership and
// configuration, checks sessions and starts the probes that are due.
func (h *Host) Tick() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reconcile()
	members := h.aliveMembers()
	for _, r := range *h.owned.Load() {
		r.updateTraits()
		r.mailbox.Post(tickMessage{members})
		r.monitor.tick()
	}
	h.tickDraining(members)
	for s := range h.shares {
		s.tick(members)
	}
}

// tickDraining ticks the draining pools, and closes those that no entry uses
// any more or whose drain timeout has passed.
func (h *Host) tickDraining(members []string) {
	remaining := map[string]*Runtime{}
	for name, r := range *h.draining.Load() {
		if h.cfg.Now().After(r.drainUntil) || r.openSessions.Load() == 0 {
			r.mailbox.Post(closeMessage{})
			continue
		}
		remaining[name] = r
		r.updateTraits()
		r.mailbox.Post(tickMessage{members})
		r.monitor.tick()
	}
	if len(remaining) != len(*h.draining.Load()) {
		h.draining.Store(&remaining)
	}
}

// Owned returns the runtime of a pool that this daemon owns, or nil.
func (h *Host) Owned(pool string) *Runtime { return (*h.owned.Load())[pool] }

// Summaries returns the last summary of each pool that this daemon owns,
// sorted by name. A summary is at most SummaryInterval old.
func (h *Host) Summaries() []pool.Summary {
	var out []pool.Summary
	for _, r := range *h.owned.Load() {
		if s := r.summary.Load(); s != nil {
			out = append(out, *s)
		}
	}
	slices.SortFunc(out, func(a, b pool.Summary) int { return strings.Compare(a.Pool, b.Pool) })
	return out
}

// Owner returns the name of the member that owns a pool according to the
// current membership, or false if the region has no live member. A leaving
// daemon keeps its pools if no other member can own them.
func (h *Host) Owner(pool, region string) (string, bool) {
	if h.cfg.View == nil {
		return h.cfg.Self, true
	}
	m, ok := h.cfg.View.Load().Owner(pool, region)
	if !ok && h.Owned(pool) != nil {
		return h.cfg.Self, true
	}
	return m.Name, ok
}

// reconcile takes over the pools that this daemon now owns and gives up the others.
func (h *Host) reconcile() {
	inputs := reconcileInputs{snapshot: h.cfg.Snapshot.Load()}
	if h.cfg.View != nil {
		inputs.view = h.cfg.View.Load()
	}
	if inputs == h.lastInputs || inputs.snapshot == nil {
		return
	}
	reconfigured := inputs.snapshot != h.lastInputs.snapshot
	h.lastInputs = inputs
	old, draining := *h.owned.Load(), maps.Clone(*h.draining.Load())
	next := map[string]*Runtime{}
	for name, p := range inputs.snapshot.Pools {
		if !h.owns(p) {
			continue
		}
		r := old[name]
		if r == nil {
			r = draining[name]
			delete(draining, name)
		}
		if r != nil && r.policy != p.Policy {
			// A scheduler's policy never changes. A new scheduler takes over
			// like a new owner: the entries enqueue again and report.
			r.mailbox.Post(closeMessage{})
			r = nil
		}
		if r == nil {
			logs.For("poolhost").WithField("pool", name).Info("Owns the pool now.")
			r = newRuntime(h, p, h.aliveMembers())
			r.logInitialTraits()
			h.suspects.replayTo(r, h.cfg.Now())
			r.configure(p)
		} else if reconfigured {
			r.configure(p)
		}
		next[name] = r
	}
	h.owned.Store(&next)
	for name, r := range old {
		if next[name] == nil {
			logs.For("poolhost").WithField("pool", name).Info("Gave the pool up.")
			r.drainUntil = h.cfg.Now().Add(drainTimeout)
			draining[name] = r
		}
	}
	h.draining.Store(&draining)
}

func (h *Host) owns(p *workspace.ResolvedPool) bool {
	if p.Region != h.cfg.Region {
		return false
	}
	owner, ok := h.Owner(p.Name, p.Region)
	return ok && owner == h.cfg.Self
}

// aliveMembers returns the sorted names of the region's members that may hold
// requests. The caller holds h.mu and must not change the result.
func (h *Host) aliveMembers() []string {
	if h.cfg.View == nil {
		return []string{h.cfg.Self}
	}
	view := h.cfg.View.Load()
	if view == h.aliveView {
		return h.aliveNames
	}
	var names []string
	for _, m := range view.Members {
		if m.Region == h.cfg.Region && m.State != member.Dead {
			names = append(names, m.Name)
		}
	}
	h.aliveView, h.aliveNames = view, names
	return names
}

func (h *Host) closeAll() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, all := range []map[string]*Runtime{*h.owned.Load(), *h.draining.Load()} {
		for _, r := range all {
			r.mailbox.Post(closeMessage{})
		}
	}
	h.owned.Store(&map[string]*Runtime{})
	h.draining.Store(&map[string]*Runtime{})
	h.lastInputs = reconcileInputs{}
}

// configure passes the pool's servers and queue bound to the scheduler and
// the monitor. The caller holds host.mu.
func (r *Runtime) configure(p *workspace.ResolvedPool) {
	r.resolved = p
	set := pool.ServerSet{Servers: make([]pool.ServerInfo, 0, len(p.Servers)), RateShare: r.rateShare}
	for _, s := range p.Servers {
		set.Servers = append(set.Servers, pool.ServerInfo{
			Name: s.Name, AvailabilityZone: s.AvailabilityZone, Generation: s.Generation, Slots: s.Slots,
			Incarnation: s.Incarnation, Version: s.Version,
		})
	}
	if snapshot := r.host.cfg.Snapshot.Load(); snapshot != nil {
		r.hasSiblings.Store(len(siblings(snapshot, p.Name)) > 0)
	}
	r.post(pool.QueueBound{MaxWaiting: p.MaxWaiting})
	r.post(set)
	r.monitor.configure(p)
}
