package poolhost

import (
	"time"

	"github.com/lycheekeel/lycheekeel/internal/poolwire"
	"github.com/lycheekeel/lycheekeel/pool"
	"github.com/lycheekeel/lycheekeel/request"
)

// Reply takes an owner's batch to an entry. It must not block.
type Reply func(poolwire.Commands) error

// outstandingGrant is a grant that has not been released.
type outstandingGrant struct {
	request request.ID
	server  string
	// confirmed is false from the end of a session until the entry tells in
	// its next one that it runs the request; since is when that began.
	confirmed bool
	since     time.Time
}

// entry is the owner's side of one entry: its session, and what the scheduler
// has of it. After a lost batch the two sides' pictures may differ; the entry
// then opens a new session and tells its own, and what the entry does not
// tell is taken back.
type entry struct {
	id     pool.EntryID
	open   bool
	absent bool // the scheduler was told that it is gone
	// reported is set once the entry has told what it runs.
	reported     bool
	session      poolwire.SessionID
	reply        Reply
	receivedSeq  uint64
	sentSeq      uint64
	lastReceived time.Time
	lastSent     time.Time
	// peerInterval is within how long the entry speaks again, as it told; zero from
	// an entry that does not tell, which expects a word each 500 ms itself.
	peerInterval time.Duration
	// announcedInterval is within how long after sent the owner speaks again.
	announcedInterval time.Duration
	// ackDue is set while the entry waits for an acknowledgment, and acked is
	// the last batch that it acknowledged itself.
	ackDue   bool
	ackedSeq uint64
	// busySince is since when the session is busy; zero: it is not.
	busySince   time.Time
	briefSentAt time.Time // when the entry was last sent a brief
	outbox      []pool.Command
	waiting     map[request.ID]struct{}
	grants      map[pool.GrantID]outstandingGrant
}

func (e *entry) queue(c pool.Command) {
	if e.open {
		e.outbox = append(e.outbox, c)
	}
}

// send takes the queued commands, or a heartbeat, to the entry. A batch that
// can't be sent ends the session: the entry would miss its commands.
func (e *entry) send(r *Runtime, status poolwire.SessionStatus) {
	b := poolwire.Commands{
		Pool: r.name, Session: e.session, Ack: e.receivedSeq, Epoch: r.epoch, Status: status, Commands: e.outbox,
	}
	if len(e.outbox) > 0 {
		e.sentSeq++
	}
	if len(e.outbox) == 0 || r.now.Sub(e.briefSentAt) >= MinHeartbeatInterval {
		b.Brief, e.briefSentAt = r.brief(), r.now
	}
	b.Seq = e.sentSeq
	e.outbox, e.lastSent, e.ackDue = nil, r.now, false
	e.announcedInterval = e.heartbeatInterval(r)
	b.NextWithin = e.announcedInterval
	if err := e.reply(b); err != nil {
		r.host.count.sendFailed.Add(1)
		r.endSession(e)
	}
}

type helloMessage struct {
	hello poolwire.Hello
	reply Reply
}

// apply opens or closes a session. Requests that wait from an earlier session
// are withdrawn: the entry enqueues them again with their age, so they keep
// their place.
func (m helloMessage) apply(r *Runtime) {
	e := r.entries[m.hello.Entry]
	if m.hello.Close {
		if e != nil && e.open && e.session == m.hello.Session {
			r.endSession(e)
		}
		return
	}
	if e == nil {
		e = &entry{
			id: m.hello.Entry, waiting: map[request.ID]struct{}{}, grants: map[pool.GrantID]outstandingGrant{},
		}
		r.entries[e.id] = e
		r.endPreviousEntries(e)
	}
	r.endSession(e)
	e.open, e.session, e.reply = true, m.hello.Session, m.reply
	e.receivedSeq, e.sentSeq, e.lastReceived, e.outbox = 0, 0, r.now, nil
	e.peerInterval, e.announcedInterval, e.ackDue, e.ackedSeq = 0, 0, false, 0
	r.host.count.sessionsOpened.Add(1)
	r.updateEntries()
	e.send(r, poolwire.SessionAccepted)
}

// endSession takes back what waits and marks what was granted as unconfirmed.
func (r *Runtime) endSession(e *entry) { r.endSessionSince(e, r.now) }

// endSessionSince ends a session that is known to be over since an earlier
// time: what it was granted is held no longer for having been idle.
func (r *Runtime) endSessionSince(e *entry, since time.Time) {
	e.open, e.outbox = false, nil
	for id := range e.waiting {
		delete(e.waiting, id)
		r.feed(pool.Withdraw{Request: id, Entry: e.id})
	}
	for id, g := range e.grants {
		if g.confirmed {
			g.confirmed, g.since = false, since
			e.grants[id] = g
		}
	}
}

type eventsMessage struct {
	batch poolwire.Events
	reply Reply
}

func (m eventsMessage) apply(r *Runtime) {
	e := r.entries[m.batch.Entry]
	if e == nil || !e.open || e.session != m.batch.Session {
		r.sendReset(m.batch, m.reply)
		return
	}
	if m.batch.Seq == 0 && len(m.batch.Events) > 0 {
		e.handleUnsequenced(r, m.batch.Events)
		return
	}
	expected := e.receivedSeq
	if len(m.batch.Events) > 0 {
		expected++
	}
	if m.batch.Seq != expected {
		r.host.count.batchGaps.Add(1)
		r.endSession(e)
		r.sendReset(m.batch, m.reply)
		return
	}
	e.receivedSeq, e.lastReceived = expected, r.now
	e.peerInterval, e.ackedSeq = m.batch.NextWithin, m.batch.Ack
	for _, ev := range m.batch.Events {
		e.handle(r, ev)
	}
	r.finishRecovery()
}

// sendReset tells an entry that its session is not, or no longer, open.
func (r *Runtime) sendReset(b poolwire.Events, reply Reply) {
	r.host.count.sessionResets.Add(1)
	_ = reply(poolwire.Commands{Pool: b.Pool, Session: b.Session, Epoch: r.epoch, Status: poolwire.SessionReset})
}

// handle feeds one event of the entry, and notes what it changes.
func (e *entry) handle(r *Runtime, ev pool.Event) {
	if _, progress := ev.(pool.Progress); !progress {
		e.ackDue = true // nobody waits to hear that a Progress has come
	}
	switch ev := ev.(type) {
	case pool.Enqueue:
		ev.Entry = e.id
		e.waiting[ev.Request] = struct{}{}
		r.enqueue(ev)
	case pool.Withdraw:
		ev.Entry = e.id
		delete(e.waiting, ev.Request)
		r.feed(ev)
	case pool.Release:
		e.release(r, ev)
	case pool.Running:
		e.confirmRunning(r, ev)
	case pool.EntryReported:
		e.reclaimUnconfirmed(r, 0)
		e.reported = true
		r.feed(pool.EntryReported{Entry: e.id})
	case pool.Progress:
		r.feed(ev)
	}
}

// handleUnsequenced takes what an entry answers outside the order: grants that it does
// not use.
func (e *entry) handleUnsequenced(r *Runtime, events []pool.Event) {
	for _, ev := range events {
		if rel, ok := ev.(pool.Release); ok && rel.Outcome == pool.OutcomeNotDispatched {
			e.release(r, rel)
		}
	}
}

// release frees a slot; the scheduler drops a doubled release.
func (e *entry) release(r *Runtime, ev pool.Release) {
	if _, ok := e.grants[ev.Grant]; !ok {
		r.host.count.unknownReleases.Add(1)
	}
	delete(e.grants, ev.Grant)
	ev.Entry = e.id
	r.feed(ev)
	switch ev.Outcome {
	case pool.OutcomeNotSent, pool.OutcomeRefused, pool.OutcomeStreamLost, pool.OutcomeCrashed:
		r.monitor.probeNow(ev.Server)
	}
}

// confirmRunning takes a report of a running request, also of one that this owner
// granted itself and counts already.
func (e *entry) confirmRunning(r *Runtime, ev pool.Running) {
	ev.Entry = e.id
	e.grants[ev.Grant] = outstandingGrant{request: ev.Request, server: ev.Server, confirmed: true}
	r.feed(ev)
}

// reclaimUnconfirmed frees the slots of grants that the entry does not know
// of: they were lost on the way. Without this each lost grant would take a
// slot for good.
func (e *entry) reclaimUnconfirmed(r *Runtime, minAge time.Duration) {
	for id, g := range e.grants {
		if g.confirmed || r.now.Sub(g.since) < minAge {
			continue
		}
		delete(e.grants, id)
		r.host.count.grantsReclaimed.Add(1)
		r.feed(pool.Release{
			Request: g.request, Entry: e.id, Grant: id, Server: g.server, Outcome: pool.OutcomeNotDispatched,
		})
	}
}

// peerDownMessage tells that the connection to a member broke. What was under way
// is lost, so its session can't go on: nothing more is granted into the void.
type peerDownMessage struct{ member string }

func (m peerDownMessage) apply(r *Runtime) {
	for _, e := range r.entries {
		if e.open && poolwire.MemberOf(e.id) == m.member {
			r.endSession(e)
		}
	}
}

// checkSessions ends sessions that went silent, keeps the others alive, and
// gives up grants that nobody confirmed.
func (r *Runtime) checkSessions() {
	open := int64(0)
	for _, e := range r.entries {
		if e.open {
			open++
		}
		e.trackBusy(r.now)
		switch {
		case !e.open:
			e.reclaimUnconfirmed(r, unconfirmedGrantTTL)
		case r.now.Sub(e.lastReceived) > SilenceTimeoutFor(e.peerInterval):
			r.host.count.sessionTimeouts.Add(1)
			r.endSessionSince(e, e.lastReceived.Add(SilenceTimeout))
		case e.heartbeatDue(r):
			e.send(r, poolwire.SessionUnchanged)
		}
	}
	r.openSessions.Store(open)
}
