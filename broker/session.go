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

// The bounds of one message, in events and in bytes; the transport's own bound is
// 4 MB.
const (
	maxBatch      = 128
	maxBatchBytes = 256 << 10
	// eventBytes is the approximate size of an event without its blocks.
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
	state        sessionState
	id           poolwire.SessionID
	owner        owner
	epoch        uint64
	seqIn        uint64
	seqOut       uint64
	lastGrant    uint64
	started      time.Time
	lastReceived time.Time
	lastSent     time.Time
	// ownerInterval is the interval that the owner has announced: its next message
	// arrives within it. It is zero for an owner of a version that announces none and
	// expects a message every 500 ms.
	ownerInterval time.Duration
	// announcedInterval is the time after lastSent within which this entry has
	// announced its next message.
	announcedInterval time.Duration
	// ackDue is set while the owner waits for an acknowledgment. busySince is the
	// time since when the session has been busy, awaitingSince since when it has
	// waited for a message from the owner; each is zero while that is not so.
	ackDue        bool
	busySince     time.Time
	awaitingSince time.Time
}

func (s *session) open() bool { return s.state == sessionOpen }

// acceptSeq reports whether a batch has the expected sequence number. A batch
// without commands repeats the last one.
func (s *session) acceptSeq(b poolwire.Commands) bool {
	if len(b.Commands) > 0 {
		s.seqIn++
	}
	return b.Seq == s.seqIn
}

// unackedRelease is a release that the owner has not acknowledged. seq is zero
// until it is sent in the current session.
type unackedRelease struct {
	seq uint64
	ev  pool.Release
}

// connect sends a hello to the pool's owner unless a session is open or opening.
func (l *link) connect() {
	if l.disconnectedSince.IsZero() {
		l.disconnectedSince = l.now
	}
	if l.session.state != sessionClosed || l.now.Before(l.retryAt) {
		return
	}
	o := l.findOwner()
	if l.share != nil {
		o = shareOwner{l.share, l}
	} else {
		l.probe = session{} // two sessions with one owner would reset each other
	}
	if o == nil {
		l.retryAt = l.now.Add(helloRetryInterval)
		return
	}
	l.startSession(&l.session, o)
}

// startSession starts to open a session. After a send error it stays closed.
func (l *link) startSession(s *session, o owner) {
	*s = session{
		state: sessionOpening, id: poolwire.SessionID(rand.Uint64()), owner: o, started: l.now, lastReceived: l.now, lastSent: l.now,
	}
	if err := o.hello(poolwire.Hello{Pool: l.pool, Entry: l.entry.id, Session: s.id}); err != nil {
		l.entry.counters.sendFailed.Add(1)
		s.state = sessionClosed
		l.retryAt = l.now.Add(helloRetryInterval)
	}
}

// answerTimeout returns the timeout of the last hello. It doubles with each
// unanswered hello: an owner too busy to answer in time would otherwise get a new
// hello each time before it has accepted the previous one.
func (l *link) answerTimeout() time.Duration {
	return helloTimeout << min(l.unansweredHellos, maxHelloDoublings)
}

// findOwner returns the pool's owner according to membership. It returns nil if there
// is none, or if it is another daemon and this one has no transport.
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

// sessionAccepted opens the session and reports this entry's whole state to the
// owner: the releases that may have been lost, then the running and the waiting
// requests.
func (l *link) sessionAccepted(b poolwire.Commands) {
	s := &l.session
	if s.state != sessionOpening {
		return
	}
	s.state, s.epoch, s.lastReceived = sessionOpen, b.Epoch, l.now
	l.entry.host.SendSuspects(s.owner.name())
	if l.lastEpoch == b.Epoch {
		s.lastGrant = l.lastGrant
	}
	l.disconnectedSince = time.Time{}
	l.unansweredHellos = 0
	l.openRequested = false
	l.lastUsed = l.now
	l.entry.counters.sessionsOpened.Add(1)
	l.outbox = nil
	for _, r := range l.unackedReleases {
		l.outbox = append(l.outbox, r.ev)
	}
	l.unackedReleases = nil
	for _, g := range l.running {
		l.outbox = append(l.outbox, g.runningEvent())
	}
	l.reportNamed()
	l.reportLeaving()
	l.reportPushbacks()
	l.outbox = append(l.outbox, pool.EntryReported{})
	for _, w := range l.waitersByAge() {
		w.requeue = false
		l.entry.counters.requeued.Add(1)
		l.outbox = append(l.outbox, w.enqueueEvent(l.now))
	}
}

// waitersByAge returns the waiters, oldest first, so that requests of equal rank
// keep their order at a new owner.
func (l *link) waitersByAge() []*waiter {
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

// dropSession ends the session and opens the next one after wait, if it is needed.
func (l *link) dropSession(wait time.Duration) {
	if l.session.open() {
		l.entry.counters.sessionsLost.Add(1)
	}
	l.endSession()
	l.retryAt = l.now.Add(wait)
	if l.needsSession() {
		l.connect()
	}
}

// endSession ends the session without a message to its owner. Requests are kept and
// reported in the next session, as are releases that may have been lost.
func (l *link) endSession() {
	if l.session.open() {
		l.lastEpoch, l.lastGrant = l.session.epoch, l.session.lastGrant
	}
	for _, ev := range l.outbox {
		if r, ok := ev.(pool.Release); ok {
			l.unackedReleases = append(l.unackedReleases, unackedRelease{ev: r})
		}
	}
	l.outbox = nil
	l.session.state = sessionClosed
	if l.disconnectedSince.IsZero() {
		l.disconnectedSince = l.now
	}
}

// needsSession reports whether the link needs a session.
func (l *link) needsSession() bool {
	return len(l.waiting) > 0 || len(l.running) > 0 || l.openRequested || len(l.unackedReleases) > 0
}

// flush sends the outbox in batches. If the send queue is full, the rest waits for
// the next tick: 10,000 long prompts that move to a new owner exceed the queue, and
// a new session would only fill it again.
func (l *link) flush() {
	if !l.session.open() || len(l.outbox) == 0 || l.now.Before(l.sendAfter) {
		return
	}
	l.queueProgress()
	for len(l.outbox) > 0 {
		n := batchLen(l.outbox)
		switch err := l.send(l.outbox[:n:n]); {
		case errors.Is(err, peer.ErrOverloaded):
			l.sendAfter = l.now.Add(poolhost.TickInterval)
			return
		case err != nil:
			l.dropSession(helloRetryInterval)
			return
		}
		l.outbox = l.outbox[n:]
	}
	l.outbox = nil
}

// batchLen returns how many of the events fit one message, at least one.
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

// send sends one batch, which is a heartbeat if events is empty.
func (l *link) send(events []pool.Event) error {
	s := &l.session
	nextWithin := l.nextInterval(events)
	seq := s.seqOut
	if len(events) > 0 {
		seq++
	}
	err := s.owner.events(poolwire.Events{
		Pool: l.pool, Entry: l.entry.id, Session: s.id, Seq: seq, Ack: s.seqIn, Events: events,
		NextWithin: nextWithin,
	})
	if err != nil {
		l.entry.counters.sendFailed.Add(1)
		return err
	}
	s.seqOut, s.lastSent, s.announcedInterval, s.ackDue = seq, l.now, nextWithin, false
	for _, ev := range events {
		if r, ok := ev.(pool.Release); ok {
			l.unackedReleases = append(l.unackedReleases, unackedRelease{s.seqOut, r})
		}
	}
	return nil
}

// dropAcked removes the releases that the owner has acknowledged up to seq.
func (l *link) dropAcked(seq uint64) {
	n := 0
	for n < len(l.unackedReleases) && l.unackedReleases[n].seq <= seq && l.unackedReleases[n].seq != 0 {
		n++
	}
	l.unackedReleases = l.unackedReleases[n:]
}
