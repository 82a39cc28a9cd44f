package poolhost

import (
	"time"

	"github.com/lycheekeel/lycheekeel/internal/poolwire"
	"github.com/lycheekeel/lycheekeel/pool"
	"github.com/lycheekeel/lycheekeel/request"
)

// Reply takes an owner's batch to an entry. It must not block.
type Reply func(poolwire.Commands) error

// granted is a grant that has not been released.
type granted struct {
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
	reported bool
	session  poolwire.SessionID
	reply    Reply
	seqIn    uint64
	seqOut   uint64
	heard    time.Time
	sent     time.Time
	// next is within how long the entry speaks again, as it told; zero from
	// an entry that does not tell, which expects a word each 500 ms itself.
	next time.Duration
	// promised is within how long after sent the owner speaks again.
	promised time.Duration
	// owed is set while the entry waits for an acknowledgment, and acked is
	// the last batch that it acknowledged itself.
	owed  bool
	acked uint64
	// busySince is since when the session is busy; zero: it is not.
	busySince time.Time
	briefed   time.Time // when the entry was last sent a brief
	out       []pool.Command
	waiting   map[request.ID]struct{}
	granted   map[pool.GrantID]granted
}

func (e *entry) queue(c pool.Command) {
	if e.open {
		e.out = append(e.out, c)
	}
}

// send takes the queued commands, or a heartbeat, to the entry. A batch that
// can't be sent ends the session: the entry would miss its commands.
func (e *entry) send(r *Runtime, v poolwire.Verdict) {
	b := poolwire.Commands{
		Pool: r.name, Session: e.session, Ack: e.seqIn, Epoch: r.epoch, Verdict: v, Commands: e.out,
	}
	if len(e.out) > 0 {
		e.seqOut++
	}
	if len(e.out) == 0 || r.now.Sub(e.briefed) >= HeartbeatEvery {
		b.Brief, e.briefed = r.brief(), r.now
	}
	b.Seq = e.seqOut
	e.out, e.sent, e.owed = nil, r.now, false
	e.promised = e.interval(r)
	b.Next = e.promised
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
			id: m.hello.Entry, waiting: map[request.ID]struct{}{}, granted: map[pool.GrantID]granted{},
		}
		r.entries[e.id] = e
		r.endOthersOf(e)
	}
	r.endSession(e)
	e.open, e.session, e.reply = true, m.hello.Session, m.reply
	e.seqIn, e.seqOut, e.heard, e.out = 0, 0, r.now, nil
	e.next, e.promised, e.owed, e.acked = 0, 0, false, 0
	r.host.count.sessions.Add(1)
	r.tellEntries()
	e.send(r, poolwire.VerdictAccepted)
}

// endSession takes back what waits and marks what was granted as unconfirmed.
func (r *Runtime) endSession(e *entry) { r.endSessionSince(e, r.now) }

// endSessionSince ends a session that is known to be over since an earlier
// time: what it was granted is held no longer for having been idle.
func (r *Runtime) endSessionSince(e *entry, since time.Time) {
	e.open, e.out = false, nil
	for id := range e.waiting {
		delete(e.waiting, id)
		r.feed(pool.Withdraw{Request: id, Entry: e.id})
	}
	for id, g := range e.granted {
		if g.confirmed {
			g.confirmed, g.since = false, since
			e.granted[id] = g
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
		r.reset(m.batch, m.reply)
		return
	}
	if m.batch.Seq == 0 && len(m.batch.Events) > 0 {
		e.takeLate(r, m.batch.Events)
		return
	}
	expected := e.seqIn
	if len(m.batch.Events) > 0 {
		expected++
	}
	if m.batch.Seq != expected {
		r.host.count.gaps.Add(1)
		r.endSession(e)
		r.reset(m.batch, m.reply)
		return
	}
	e.seqIn, e.heard = expected, r.now
	e.next, e.acked = m.batch.Next, m.batch.Ack
	for _, ev := range m.batch.Events {
		e.take(r, ev)
	}
	r.settle()
}

// reset tells an entry that its session is not, or no longer, open.
func (r *Runtime) reset(b poolwire.Events, reply Reply) {
	r.host.count.resets.Add(1)
	_ = reply(poolwire.Commands{Pool: b.Pool, Session: b.Session, Epoch: r.epoch, Verdict: poolwire.VerdictReset})
}

// take feeds one event of the entry, and notes what it changes.
func (e *entry) take(r *Runtime, ev pool.Event) {
	if _, progress := ev.(pool.Progress); !progress {
		e.owed = true // nobody waits to hear that a Progress has come
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
		e.confirm(r, ev)
	case pool.EntryReported:
		e.takeBackUnconfirmed(r, 0)
		e.reported = true
		r.feed(pool.EntryReported{Entry: e.id})
	case pool.Progress:
		r.feed(ev)
	}
}

// takeLate takes what an entry answers outside the order: grants that it does
// not use.
func (e *entry) takeLate(r *Runtime, events []pool.Event) {
	for _, ev := range events {
		if rel, ok := ev.(pool.Release); ok && rel.Outcome == pool.OutcomeNotDispatched {
			e.release(r, rel)
		}
	}
}

// release frees a slot; the scheduler drops a doubled release.
func (e *entry) release(r *Runtime, ev pool.Release) {
	if _, ok := e.granted[ev.Grant]; !ok {
		r.host.count.unknownReleases.Add(1)
	}
	delete(e.granted, ev.Grant)
	ev.Entry = e.id
	r.feed(ev)
	switch ev.Outcome {
	case pool.OutcomeNotSent, pool.OutcomeRefused, pool.OutcomeStreamLost, pool.OutcomeCrashed:
		r.monitor.doubt(ev.Server)
	}
}

// confirm takes a report of a running request, also of one that this owner
// granted itself and counts already.
func (e *entry) confirm(r *Runtime, ev pool.Running) {
	ev.Entry = e.id
	e.granted[ev.Grant] = granted{request: ev.Request, server: ev.Server, confirmed: true}
	r.feed(ev)
}

// takeBackUnconfirmed frees the slots of grants that the entry does not know
// of: they were lost on the way. Without this each lost grant would take a
// slot for good.
func (e *entry) takeBackUnconfirmed(r *Runtime, after time.Duration) {
	for id, g := range e.granted {
		if g.confirmed || r.now.Sub(g.since) < after {
			continue
		}
		delete(e.granted, id)
		r.host.count.takenBack.Add(1)
		r.feed(pool.Release{
			Request: g.request, Entry: e.id, Grant: id, Server: g.server, Outcome: pool.OutcomeNotDispatched,
		})
	}
}

// downMessage tells that the connection to a member broke. What was under way
// is lost, so its session can't go on: nothing more is granted into the void.
type downMessage struct{ member string }

func (m downMessage) apply(r *Runtime) {
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
		e.noteBusy(r.now)
		switch {
		case !e.open:
			e.takeBackUnconfirmed(r, unconfirmedHold)
		case r.now.Sub(e.heard) > SilenceLimit(e.next):
			r.host.count.silentSessions.Add(1)
			r.endSessionSince(e, e.heard.Add(SilentAfter))
		case e.heartbeatDue(r):
			e.send(r, poolwire.VerdictNone)
		}
	}
	r.sessions.Store(open)
}
