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

// Runtime runs one pool: one mailbox feeds its scheduler, so the scheduler is
// used by one goroutine at a time. Its methods are safe for concurrent use.
type Runtime struct {
	host    *Host
	name    string
	policy  string // of the scheduler
	epoch   uint64
	mailbox *mailbox.Mailbox[message]

	// What follows is touched only by the mailbox's handler.
	scheduler        Scheduler
	now              time.Time
	commands         []pool.Command
	entries          map[pool.EntryID]*entry
	members          []string // alive in the region, as of the last view
	recovery         recovery
	entriesCheckedAt time.Time // of the last updateEntries
	lastEntrySet     []pool.EntryID
	summaryAt        time.Time
	// lastBrief is what siblings were told at briefSentAt, briefInputs by what
	// configuration and membership.
	lastBrief   poolwire.Brief
	briefInputs reconcileInputs
	briefSentAt time.Time
	closed      bool
	lastTally   pool.Tally // as of the last summary
	degraded    bool       // a degraded share, not an owner

	monitor      *monitor
	drainUntil   time.Time                    // guarded by the host's mutex
	openSessions atomic.Int64                 // open ones, as of the last tick
	summary      atomic.Pointer[pool.Summary] // refreshed every SummaryInterval
	// hasSiblings tells whether other pools serve the same model version.
	hasSiblings atomic.Bool
}

// message is one thing for a runtime to do.
type message interface{ apply(r *Runtime) }

func newRuntime(h *Host, p *workspace.ResolvedPool, members []string) *Runtime {
	r := &Runtime{
		host: h, name: p.Name, policy: p.Policy, epoch: rand.Uint64(), entries: map[pool.EntryID]*entry{}, members: members,
		recovery: recovery{started: h.cfg.Now()},
	}
	r.scheduler = h.cfg.NewScheduler(p, r.epoch)
	r.mailbox = mailbox.New(h.cfg.Spawn, r.handle)
	r.monitor = newMonitor(r)
	return r
}

// Hello opens or closes an entry's session; reply takes batches to the entry
// and must not block.
func (r *Runtime) Hello(h poolwire.Hello, reply Reply) { r.mailbox.Post(helloMessage{h, reply}) }

// Events takes a batch of an entry's session. reply is used where the session
// is not known.
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

// feed gives the scheduler one event and takes its commands to the sessions.
func (r *Runtime) feed(ev pool.Event) {
	r.commands = r.scheduler.Handle(r.now, ev, r.commands[:0])
	if trace := r.host.cfg.Trace; trace != nil {
		trace(r.name, r.now, ev, r.commands)
	}
	for _, c := range r.commands {
		r.routeCommand(c)
	}
}

// routeCommand notes what a command changes and queues it for its entry.
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
	case pool.BreakerChanged:
		r.logBreaker(c)
	}
}

// flush sends each session what has come together for it.
func (r *Runtime) flush() {
	for pending := true; pending; {
		pending = false
		for _, e := range r.entries {
			if len(e.outbox) > 0 {
				e.send(r, poolwire.SessionUnchanged)
				pending = true // a failed send frees slots for other entries
			}
		}
	}
}

type eventMessage struct{ ev pool.Event }

func (m eventMessage) apply(r *Runtime) { r.feed(m.ev) }

// post gives the runtime an event that does not come from an entry.
func (r *Runtime) post(ev pool.Event) { r.mailbox.Post(eventMessage{ev}) }

// tickMessage lets time pass.
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

// refreshSummary renews the summary that others read, and spreads it.
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

// brief returns the pool's standing for a session's batch; entries need it
// only to choose among siblings.
func (r *Runtime) brief() *poolwire.Brief {
	s := r.summary.Load()
	if s == nil || !r.hasSiblings.Load() {
		return nil
	}
	b := poolwire.BriefOf(*s)
	return &b
}

// closeMessage ends the runtime: its entries ask for the new owner.
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
