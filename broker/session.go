package broker

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lycheekeel/lycheekeel/internal/peer"
	"github.com/lycheekeel/lycheekeel/internal/poolhost"
	"github.com/lycheekeel/lycheekeel/internal/poolwire"
	"github.com/lycheekeel/lycheekeel/pool"
	"github.com/pkg/errors"
)

// The bounds of one message; the transport's own is 4 MB.
const (
	maxBatch      = 128
	maxBatchBytes = 256 << 10
	// eventBytes is about what an event takes without its blocks.
	eventBytes = 200
)

type sessionState uint8

const (
	sessionClosed sessionState = iota
	sessionOpening
	sessionOpen
)

// session is the entry's side of one session with an owner.
type session struct {
	state     sessionState
	id        poolwire.SessionID
	owner     owner
	epoch     uint64
	seqIn     uint64
	seqOut    uint64
	lastGrant uint64
	started   time.Time
	heard     time.Time
	sent      time.Time
	// next is within how long the owner speaks again, as it told; zero from
	// an owner that does not tell, which expects a word each 500 ms itself.
	next time.Duration
	// promised is within how long after sent the entry speaks again.
	promised time.Duration
	// owed is set while the owner waits for an acknowledgment; busySince is
	// since when the session is busy, awaitsSince since when a word of the
	// owner is awaited; zero: not.
	owed        bool
	busySince   time.Time
	awaitsSince time.Time
}

func (s *session) open() bool { return s.state == sessionOpen }

// take checks a batch's number; a batch without commands repeats the last.
func (s *session) take(b poolwire.Commands) bool {
	if len(b.Commands) > 0 {
		s.seqIn++
	}
	return b.Seq == s.seqIn
}

// sentRelease is a release that the owner has not acknowledged. Seq is zero
// while it has not been sent in the present session.
type sentRelease struct {
	seq uint64
	ev  pool.Release
}

// connect sends a hello to the pool's owner unless a session is under way.
func (l *link) connect() {
	if l.without.IsZero() {
		l.without = l.now
	}
	if l.session.state != sessionClosed || l.now.Before(l.retryAt) {
		return
	}
	o := l.findOwner()
	if l.share != nil {
		o = shareOwner{l.share, l}
	} else {
		l.probe = session{} // two hellos to one owner would reset each other
	}
	if o == nil {
		l.retryAt = l.now.Add(retryEvery)
		return
	}
	l.start(&l.session, o)
}

// start begins a session; on a send error it stays closed.
func (l *link) start(s *session, o owner) {
	*s = session{
		state: sessionOpening, id: poolwire.SessionID(rand.Uint64()), owner: o, started: l.now, heard: l.now, sent: l.now,
	}
	if err := o.hello(poolwire.Hello{Pool: l.pool, Entry: l.entry.id, Session: s.id}); err != nil {
		l.entry.count.sendFailed.Add(1)
		s.state = sessionClosed
		l.retryAt = l.now.Add(retryEvery)
	}
}

// patience returns how long an answer to the last hello is waited for. It
// doubles with each hello without an answer: an owner so busy that it takes
// longer would otherwise get a new hello each time before it accepts the last.
func (l *link) patience() time.Duration {
	return openTimeout << min(l.unanswered, maxDoublings)
}

// findOwner returns the way to the pool's owner as membership has it, or nil.
func (l *link) findOwner() owner {
	name, ok := l.entry.host.Owner(l.pool, l.entry.cfg.Region)
	switch {
	case !ok:
		return nil
	case name == l.entry.cfg.Self:
		return localOwner{l.entry.host, l}
	case l.entry.cfg.Transport == nil:
		return nil
	default:
		return remoteOwner{l.entry.cfg.Transport, peer.Name(name)}
	}
}

// accepted opens the session and tells the owner everything this entry has in
// the pool: releases it may not have got, what runs, what waits.
func (l *link) accepted(b poolwire.Commands) {
	s := &l.session
	if s.state != sessionOpening {
		return
	}
	s.state, s.epoch, s.heard = sessionOpen, b.Epoch, l.now
	if l.lastEpoch == b.Epoch {
		s.lastGrant = l.lastGrant
	}
	l.without = time.Time{}
	l.unanswered = 0
	l.announced = false
	l.busyAt = l.now
	l.entry.count.opened.Add(1)
	l.out = nil
	for _, r := range l.unacked {
		l.out = append(l.out, r.ev)
	}
	l.unacked = nil
	for _, g := range l.running {
		l.out = append(l.out, g.running())
	}
	l.out = append(l.out, pool.EntryReported{})
	for _, w := range l.oldestFirst() {
		w.requeue = false
		l.entry.count.requeued.Add(1)
		l.out = append(l.out, w.enqueue(l.now))
	}
}

// oldestFirst returns the waiters by age, so that equals keep their order at a
// new owner.
func (l *link) oldestFirst() []*waiter {
	all := make([]*waiter, 0, len(l.waiting))
	for _, w := range l.waiting {
		all = append(all, w)
	}
	slices.SortFunc(all, func(a, b *waiter) int {
		x, y := a.demand.Spec, b.demand.Spec
		return cmp.Or(x.Received.Compare(y.Received), cmp.Compare(x.ID, y.ID))
	})
	return all
}

// lose ends the session and tries to open the next one after wait.
func (l *link) lose(wait time.Duration) {
	if l.session.open() {
		l.entry.count.lost.Add(1)
	}
	l.end()
	l.retryAt = l.now.Add(wait)
	if l.needed() {
		l.connect()
	}
}

// end ends the session without telling its owner. Requests stay here and go
// to the next session, as do releases that the owner may not have got.
func (l *link) end() {
	if l.session.open() {
		l.lastEpoch, l.lastGrant = l.session.epoch, l.session.lastGrant
	}
	for _, ev := range l.out {
		if r, ok := ev.(pool.Release); ok {
			l.unacked = append(l.unacked, sentRelease{ev: r})
		}
	}
	l.out = nil
	l.session.state = sessionClosed
	if l.without.IsZero() {
		l.without = l.now
	}
}

// needed tells whether the link has a use for a session.
func (l *link) needed() bool {
	return len(l.waiting) > 0 || len(l.running) > 0 || l.announced || len(l.unacked) > 0
}

// flush sends what has come together, in batches. Where the send queue is full,
// the rest waits for the next tick: 10,000 long prompts that move to a new
// owner are more than the queue holds, and to begin anew would fill it again.
func (l *link) flush() {
	if !l.session.open() || len(l.out) == 0 || l.now.Before(l.sendAt) {
		return
	}
	l.takeProgress()
	for len(l.out) > 0 {
		n := batchLen(l.out)
		switch err := l.send(l.out[:n:n]); {
		case errors.Is(err, peer.ErrOverloaded):
			l.sendAt = l.now.Add(poolhost.TickEvery)
			return
		case err != nil:
			l.lose(retryEvery)
			return
		}
		l.out = l.out[n:]
	}
	l.out = nil
}

// batchLen returns how many of the events, at least one, go into one message.
func batchLen(events []pool.Event) int {
	bytes := 0
	for i, ev := range events {
		bytes += eventBytes
		switch ev := ev.(type) {
		case pool.Enqueue:
			bytes += 8 * len(ev.Blocks)
		case pool.Running:
			bytes += 8 * len(ev.Blocks)
		}
		if i > 0 && (i == maxBatch || bytes > maxBatchBytes) {
			return i
		}
	}
	return len(events)
}

// send sends one batch, or a heartbeat where events is empty.
func (l *link) send(events []pool.Event) error {
	s := &l.session
	promised := l.interval(events)
	seq := s.seqOut
	if len(events) > 0 {
		seq++
	}
	err := s.owner.events(poolwire.Events{
		Pool: l.pool, Entry: l.entry.id, Session: s.id, Seq: seq, Ack: s.seqIn, Events: events,
		Next: promised,
	})
	if err != nil {
		l.entry.count.sendFailed.Add(1)
		return err
	}
	s.seqOut, s.sent, s.promised, s.owed = seq, l.now, promised, false
	for _, ev := range events {
		if r, ok := ev.(pool.Release); ok {
			l.unacked = append(l.unacked, sentRelease{s.seqOut, r})
		}
	}
	return nil
}

// acked forgets releases that the owner has.
func (l *link) acked(seq uint64) {
	n := 0
	for n < len(l.unacked) && l.unacked[n].seq <= seq && l.unacked[n].seq != 0 {
		n++
	}
	l.unacked = l.unacked[n:]
}
