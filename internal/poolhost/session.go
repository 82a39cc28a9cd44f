package poolhost

import (
	"time"

	"github.com/lycheekeel/lycheekeel/internal/poolwire"
	"github.com/lycheekeel/lycheekeel/pool"
	"github.com/lycheekeel/lycheekeel/request"
)

// Reply sends a batch of commands to an entry. It must not block.
type Reply func(poolwire.Commands) error

// outstandingGrant is a grant that was not released yet.
type outstandingGrant struct {
	request request.ID
	server  string
	// confirmed is false from the end of a session until the entry reports the
	// running request in its next session. since is when it became false.
	confirmed bool
	since     time.Time
}

// entry is the owner's state of one entry: its session, and what the scheduler
// knows of it. After a lost batch the states of owner and entry may differ. The
// entry then opens a new session and reports its running requests, and the
// owner reclaims the grants that the entry does not report.
type entry struct {
	id     pool.EntryID
	open   bool
	absent bool // not in the scheduler's entry set
	// reported is true once the entry has reported its running requests.
	reported     bool
	session      poolwire.SessionID
	reply        Reply
	receivedSeq  uint64
	sentSeq      uint64
	lastReceived time.Time
	lastSent     time.Time
	// peerInterval is the heartbeat interval that the entry announced last. Zero
	// is an entry that announces none; it expects a message every 500 ms.
	peerInterval time.Duration
	// announcedInterval is the interval after lastSent within which the owner
	// announced its next message.
	announcedInterval time.Duration
	// ackDue is true while the entry waits for an acknowledgment. ackedSeq is
	// the last batch that the entry acknowledged.
	ackDue   bool
	ackedSeq uint64
	// busySince is when the session became busy; zero if it is not busy.
	busySince   time.Time
	briefSentAt time.Time // time of the last batch that could carry a brief
	outbox      []pool.Command
	waiting     map[request.ID]struct{}
	grants      map[pool.GrantID]outstandingGrant
}

func (e *entry) queue(c pool.Command) {
	if e.open {
		e.outbox = append(e.outbox, c)
	}
}

// send sends the queued commands, or a heartbeat if there are none. A failed
// send ends the session, because the entry would miss its commands.
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
// are withdrawn. The entry enqueues them again with their age, so they keep
// their place in the queue.
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

// endSession withdraws the entry's waiting requests and marks its grants as
// unconfirmed.
func (r *Runtime) endSession(e *entry) { r.endSessionSince(e, r.now) }

// endSessionSince ends a session that was lost at an earlier time. The TTL of
// its unconfirmed grants counts from since, so that the long heartbeat interval
// of an idle session does not extend it.
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

// sendReset tells an entry to open a new session, because this one is not open.
func (r *Runtime) sendReset(b poolwire.Events, reply Reply) {
	r.host.count.sessionResets.Add(1)
	_ = reply(poolwire.Commands{Pool: b.Pool, Session: b.Session, Epoch: r.epoch, Status: poolwire.SessionReset})
}

// handle applies one event of the entry to the entry's state and the scheduler.
func (e *entry) handle(r *Runtime, ev pool.Event) {
	if _, progress := ev.(pool.Progress); !progress {
		e.ackDue = true // entries don't wait for an acknowledgment of a Progress
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
	case pool.RateLimited:
		ev.Entry = e.id
		r.feed(ev)
	case pool.Brittle:
		ev.Entry = e.id
		r.feed(ev)
	case pool.Leaving:
		ev.Entry = e.id
		r.feed(ev)
	case pool.Pushback:
		ev.Entry = e.id
		r.feed(ev)
	case pool.Progress:
		r.feed(ev)
	}
}

// handleUnsequenced handles a batch without a sequence number. It may only
// return grants that the entry does not use.
func (e *entry) handleUnsequenced(r *Runtime, events []pool.Event) {
	for _, ev := range events {
		if rel, ok := ev.(pool.Release); ok && rel.Outcome == pool.OutcomeNotDispatched {
			e.release(r, rel)
		}
	}
}

// release frees a slot. The scheduler ignores a duplicate release.
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

// confirmRunning handles the report of a running request, which this owner may
// have granted itself and count already.
func (e *entry) confirmRunning(r *Runtime, ev pool.Running) {
	ev.Entry = e.id
	e.grants[ev.Grant] = outstandingGrant{request: ev.Request, server: ev.Server, confirmed: true}
	r.feed(ev)
}

// reclaimUnconfirmed frees the slots of grants that have been unconfirmed for
// minAge. The entry does not know of them, because they were lost in transit.
// Without this, each lost grant would occupy a slot forever.
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

// peerDownMessage reports that the connection to a member broke. Messages in
// flight are lost, so the member's session ends and gets no further grants.
type peerDownMessage struct{ member string }

func (m peerDownMessage) apply(r *Runtime) {
	for _, e := range r.entries {
		if e.open && poolwire.MemberOf(e.id) == m.member {
			r.endSession(e)
		}
	}
}

// checkSessions ends sessions that timed out, sends due heartbeats on the
// others, and reclaims grants that stayed unconfirmed for unconfirmedGrantTTL.
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
