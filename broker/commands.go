package broker

import (
	"github.com/lycheekeel/lycheekeel/internal/poolhost"
	"github.com/lycheekeel/lycheekeel/internal/poolwire"
	"github.com/lycheekeel/lycheekeel/pool"
	"github.com/lycheekeel/lycheekeel/request"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// commandsMessage delivers a batch of commands from an owner.
type commandsMessage struct {
	batch poolwire.Commands
	from  owner
}

func (m commandsMessage) apply(l *link) {
	b := m.batch
	switch {
	case l.session.state != sessionClosed && b.Session == l.session.id:
		l.handleBatch(b)
	case l.probe.state != sessionClosed && b.Session == l.probe.id:
		l.handleProbeAnswer(b)
	default:
		l.handleStaleBatch(m)
	}
}

// handleBatch handles a batch of the current session.
func (l *link) handleBatch(b poolwire.Commands) {
	s := &l.session
	switch b.Status {
	case poolwire.SessionNotOwner:
		l.entry.counters.notOwner.Add(1)
		l.dropSession(helloRetryInterval)
		return
	case poolwire.SessionReset:
		l.entry.counters.sessionsReset.Add(1)
		l.dropSession(0)
		return
	case poolwire.SessionAccepted:
		l.sessionAccepted(b)
	}
	if !s.acceptSeq(b) {
		l.entry.counters.batchGaps.Add(1)
		l.dropSession(0)
		return
	}
	s.lastReceived, s.ownerInterval = l.now, b.NextWithin
	s.ackDue = s.ackDue || len(b.Commands) > 0
	l.dropAcked(b.Ack)
	if b.Brief != nil {
		l.brief.Store(&cachedBrief{*b.Brief, l.now.Add(max(briefMaxAge, poolhost.SilenceTimeoutFor(b.NextWithin)))})
	}
	for _, c := range b.Commands {
		l.handleCommand(c)
	}
}

func (l *link) handleCommand(c pool.Command) {
	switch c := c.(type) {
	case pool.Grant:
		l.handleGrant(c)
	case pool.Shed:
		if w := l.waiting[c.Request]; w != nil {
			delete(l.waiting, c.Request)
			l.entry.counters.refusalCounter(c.Reason).Add(1)
			w.done <- result{err: request.Refuse(c.Reason, "%s", shedMessage(c.Reason)).WithRetryAfter(c.RetryAfter)}
		}
	case pool.Redirect:
		l.handleRedirect(c)
	}
}

func shedMessage(r request.Reason) string {
	switch r {
	case request.ReasonExpired:
		return "deadline passed while waiting for a slot"
	case request.ReasonSuspectConfirmed:
		return "the request crashed the servers that ran it"
	default:
		return "the pool took no more requests of this tier"
	}
}

// handleGrant delivers a grant to its waiter. A grant without a waiter crossed a
// withdrawal and is returned unused.
//
// A scheduler repeats a grant if the same request is enqueued again. If the
// repeated grant were used too, it could outlive the release of the first one, and
// two requests would run in one slot. Grant numbers only grow, so a repeated grant
// is recognized by its number.
func (l *link) handleGrant(c pool.Grant) {
	w := l.waiting[c.Request]
	s := &l.session
	if c.Grant.Epoch != s.epoch || c.Grant.Seq <= s.lastGrant {
		l.entry.counters.repeatedGrants.Add(1)
		if l.running[c.Grant] == nil {
			l.returnGrant(c, w)
		}
		return
	}
	s.lastGrant = c.Grant.Seq
	if w == nil {
		l.entry.counters.lateGrants.Add(1)
		l.returnGrant(c, nil)
		return
	}
	server, ok := l.findServer(w, c.Server)
	if !ok {
		l.entry.counters.unknownServer.Add(1)
		l.returnGrant(c, w) // until this daemon has the owner's newer configuration, too
		return
	}
	if v := w.demand.Version; v != "" && server.Version != v {
		l.entry.counters.wrongVersion.Add(1)
		l.returnGrant(c, w) // until owner and entry know the same version of the server
		return
	}
	if ev, ok := l.pushbackOf(server); ok {
		l.entry.counters.pushedBack.Add(1)
		l.outbox = append(l.outbox, ev)
		l.returnGrant(c, w) // until the owner knows
		return
	}
	delete(l.waiting, c.Request)
	g := &grant{link: l, spec: w.demand.Spec, id: c.Grant, server: server}
	l.running[c.Grant] = g
	w.granted = g
	l.entry.counters.grants.Add(1)
	w.done <- result{grant: g}
}

// returnGrant returns a grant as not dispatched. Its waiter, if any, is enqueued
// again at the next tick.
func (l *link) returnGrant(c pool.Grant, w *waiter) {
	l.outbox = append(l.outbox, notDispatched(c))
	if w != nil {
		w.requeue = true
	}
}

func notDispatched(c pool.Grant) pool.Release {
	return pool.Release{Request: c.Request, Grant: c.Grant, Server: c.Server, Outcome: pool.OutcomeNotDispatched}
}

// findServer looks up a server in the request's own snapshot, then in the current
// one, since the owner's configuration may be newer than the request's.
func (l *link) findServer(w *waiter, name string) (workspace.BackendServer, bool) {
	if s, ok := serverOf(w.candidate(l.pool), name); ok {
		return s, true
	}
	return l.currentServer(name)
}

// currentServer looks up a server of the pool in the current snapshot.
func (l *link) currentServer(name string) (workspace.BackendServer, bool) {
	snapshot := l.entry.cfg.Snapshot.Load()
	if snapshot == nil {
		return workspace.BackendServer{}, false
	}
	return serverOf(snapshot.Pools[l.pool], name)
}

// currentServers returns the servers of the pool in the current snapshot.
func (l *link) currentServers() []workspace.BackendServer {
	snapshot := l.entry.cfg.Snapshot.Load()
	if snapshot == nil || snapshot.Pools[l.pool] == nil {
		return nil
	}
	return snapshot.Pools[l.pool].Servers
}

func serverOf(p *workspace.ResolvedPool, name string) (workspace.BackendServer, bool) {
	if p == nil {
		return workspace.BackendServer{}, false
	}
	for _, s := range p.Servers {
		if s.Name == name {
			return s, true
		}
	}
	return workspace.BackendServer{}, false
}

// handleRedirect moves a waiter to another candidate pool. A waiter is redirected
// at most once.
func (l *link) handleRedirect(c pool.Redirect) {
	w := l.waiting[c.Request]
	if w == nil {
		return
	}
	w.redirected = true
	if w.candidate(c.Pool) == nil || c.Pool == l.pool {
		w.requeue = true
		return
	}
	l.entry.counters.redirected.Add(1)
	delete(l.waiting, c.Request)
	other := l.entry.link(c.Pool)
	w.link.Store(other)
	other.box.Post(acquireMessage{w})
}

// handleStaleBatch answers a batch of a session that this entry has ended, such as
// one from an owner that was paused. Its grants are returned unused.
func (l *link) handleStaleBatch(m commandsMessage) {
	var events []pool.Event
	for _, c := range m.batch.Commands {
		if g, ok := c.(pool.Grant); ok {
			l.entry.counters.lateGrants.Add(1)
			events = append(events, notDispatched(g))
		}
	}
	if m.batch.Status == poolwire.SessionReset || m.batch.Status == poolwire.SessionNotOwner {
		return
	}
	if len(events) > 0 {
		_ = m.from.events(poolwire.Events{
			Pool: l.pool, Entry: l.entry.id, Session: m.batch.Session, Events: events,
		})
	}
	_ = m.from.hello(poolwire.Hello{Pool: l.pool, Entry: l.entry.id, Session: m.batch.Session, Close: true})
}
