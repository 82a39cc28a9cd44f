package poolhost

import (
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/lycheekeel/lycheekeel/internal/mailbox"
	"github.com/lycheekeel/lycheekeel/internal/poolwire"
	"github.com/lycheekeel/lycheekeel/pool"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// Runtime runs one pool. A mailbox feeds its scheduler, so that only one
// goroutine at a time uses the scheduler. Its methods are safe for concurrent use.
type Runtime struct {
	host    *Host
	name    string
	policy  string // of the scheduler
	epoch   uint64
	mailbox *mailbox.Mailbox[message]

	// The fields below are used by the mailbox's handler only.
	scheduler        Scheduler
	now              time.Time
	commands         []pool.Command
	entries          map[pool.EntryID]*entry
	members          []string // live members of the region, as of the last tick
	recovery         recovery
	entriesCheckedAt time.Time // time of the last updateEntries
	lastEntrySet     pool.EntrySet
	summaryAt        time.Time
	// lastBrief was sent to siblings at briefSentAt, under the configuration
	// and membership in briefInputs.
	lastBrief   poolwire.Brief
	briefInputs reconcileInputs
	briefSentAt time.Time
	closed      bool
	lastTally   pool.Tally // as of the last summary
	expiredAt   time.Time  // time of the last log line of logExpired
	degraded    bool       // runs a StaticShare; this daemon is not the owner
	rateShare   float64    // of the servers' limits on requests per second; 0: all

	monitor      *monitor
	drainUntil   time.Time                    // guarded by host.mu
	resolved     *workspace.ResolvedPool      // as last configured; guarded by host.mu
	traits       pool.Traits                  // of the scheduler; guarded by host.mu
	openSessions atomic.Int64                 // as of the last tick
	summary      atomic.Pointer[pool.Summary] // refreshed every SummaryInterval
	// hasSiblings is true if other pools serve the same model version.
	hasSiblings atomic.Bool
}

// message is an operation that the runtime's mailbox applies.
type message interface{ apply(r *Runtime) }

func newRuntime(h *Host, p *workspace.ResolvedPool, members []string) *Runtime {
	r := &Runtime{
		host: h, name: p.Name, policy: p.Policy, epoch: rand.Uint64(), entries: map[pool.EntryID]*entry{}, members: members,
		recovery: recovery{started: h.cfg.Now()},
	}
	// Read before the scheduler reads its own: if they change in between, the next tick
	// posts them.
	r.resolved, r.traits = p, h.cfg.Traits(p)
	r.scheduler = h.cfg.NewScheduler(p, r.epoch)
	r.mailbox = mailbox.New(h.cfg.Spawn, r.handle)
	r.monitor = newMonitor(r)
	return r
}

// Hello opens or closes an entry's session. reply sends batches to the entry
// and must not block.
func (r *Runtime) Hello(h poolwire.Hello, reply Reply) { r.mailbox.Post(helloMessage{h, reply}) }

// Events handles a batch of an entry's session. reply is used to reset a
// session that is not open.
func (r *Runtime) Events(b poolwire.Events, reply Reply) { r.mailbox.Post(eventsMessage{b, reply}) }

func (r *Runtime) handle(batch []message) {
	if now := r.host.cfg.Now(); now.After(r.now) {
		r.now = now
	}
	for _, m := range batch {
		if !r.closed {
			m.apply(r)
		}
	}
	r.flush()
}

// feed passes one event to the scheduler and routes the resulting commands.
func (r *Runtime) feed(ev pool.Event) {
	r.commands = r.scheduler.Handle(r.now, ev, r.commands[:0])
	if trace := r.host.cfg.Trace; trace != nil {
		trace(r.name, r.now, ev, r.commands)
	}
	for _, c := range r.commands {
		r.routeCommand(c)
	}
}

// routeCommand records the effect of a command and queues it for its entry.
func (r *Runtime) routeCommand(c pool.Command) {
	switch c := c.(type) {
	case pool.Grant:
		if e := r.entries[c.Entry]; e != nil {
			delete(e.waiting, c.Request)
			e.grants[c.Grant] = outstandingGrant{request: c.Request, server: c.Server, confirmed: e.open, since: r.now}
			e.queue(c)
		}
	case pool.Shed:
		if e := r.entries[c.Entry]; e != nil {
			delete(e.waiting, c.Request)
			e.queue(c)
		}
	case pool.Redirect:
		if e := r.entries[c.Entry]; e != nil {
			delete(e.waiting, c.Request)
			e.queue(c)
		}
	case pool.ShareSuspect:
		r.host.broadcastSuspect(r, c)
	case pool.ServerPaused:
		r.logPause(c)
	case pool.BreakerChanged:
		r.logBreaker(c)
	case pool.ServerCrashed:
		r.logCrash(c)
	case pool.ServerRateChanged:
		r.logRate(c)
	case pool.BrittleChanged:
		r.logBrittle(c)
	case pool.ServerLeaves:
		r.logLeaving(c)
	case pool.Expired:
		r.logExpired(c)
	}
}

// flush sends the queued commands of each session.
func (r *Runtime) flush() {
	for pending := true; pending; {
		pending = false
		for _, e := range r.entries {
			if len(e.outbox) > 0 {
				e.send(r, poolwire.SessionUnchanged)
				pending = true // a failed send ends a session, which may queue commands for other entries
			}
		}
	}
}

type eventMessage struct{ ev pool.Event }

func (m eventMessage) apply(r *Runtime) { r.feed(m.ev) }

// post queues an event that does not come from an entry.
func (r *Runtime) post(ev pool.Event) { r.mailbox.Post(eventMessage{ev}) }

// tickMessage runs the periodic work of a runtime.
type tickMessage struct{ members []string }

func (m tickMessage) apply(r *Runtime) {
	changed := !slices.Equal(r.members, m.members)
	r.members = m.members
	r.checkSessions()
	r.finishRecovery()
	if changed || r.now.Sub(r.entriesCheckedAt) >= entryCheckInterval {
		r.updateEntries()
	}
	r.feed(pool.Tick{})
	r.refreshSummary()
}

// refreshSummary updates the published summary every SummaryInterval, reports
// its tally and sends the brief to sibling pools.
func (r *Runtime) refreshSummary() {
	if r.now.Sub(r.summaryAt) < SummaryInterval {
		return
	}
	r.summaryAt = r.now
	s := r.scheduler.Summary(r.now)
	r.summary.Store(&s)
	r.reportTally(s)
	r.host.sendBriefs(r, s)
}

// brief returns the pool's brief for a batch of commands, or nil. Entries use
// it only to choose among sibling pools.
func (r *Runtime) brief() *poolwire.Brief {
	s := r.summary.Load()
	if s == nil || !r.hasSiblings.Load() {
		return nil
	}
	b := poolwire.BriefOf(*s)
	return &b
}

// closeMessage closes the runtime and tells its entries to look for the new owner.
type closeMessage struct{}

func (closeMessage) apply(r *Runtime) {
	for _, e := range r.entries {
		if e.open {
			e.send(r, poolwire.SessionNotOwner)
		}
	}
	r.entries = map[pool.EntryID]*entry{}
	r.closed = true
}
