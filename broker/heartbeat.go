package broker

import (
	"time"

	"github.com/lycheekeel/lycheekeel/internal/peer"
	"github.com/lycheekeel/lycheekeel/internal/poolhost"
	"github.com/lycheekeel/lycheekeel/pool"
	"github.com/pkg/errors"
)

// awaitsOwner reports whether the link waits for a message from the owner: a grant,
// or the acknowledgment of a release.
func (l *link) awaitsOwner() bool { return len(l.waiting) > 0 || len(l.unackedReleases) > 0 }

// updateSessionState updates the times since when the open session has been busy
// and waiting for its owner, and the number of open sessions.
func (l *link) updateSessionState() {
	s := &l.session
	trackSince(&s.awaitingSince, s.open() && l.awaitsOwner(), l.now)
	trackSince(&s.busySince, s.open() && (l.awaitsOwner() || s.ackDue), l.now)
	if s.open() == l.countedOpen {
		return
	}
	l.countedOpen = s.open()
	if l.countedOpen {
		l.entry.sessions.Add(1)
	} else {
		l.entry.sessions.Add(-1)
	}
}

// trackSince keeps in t the time since when a condition has been active, zero while
// it is not.
func trackSince(t *time.Time, active bool, now time.Time) {
	switch {
	case !active:
		*t = time.Time{}
	case t.IsZero():
		*t = now
	}
}

// ownerSilent reports whether no message of the owner has arrived for too long.
//
// An owner may have announced its next message in 20 s and vanish meanwhile, with
// its connection still open. While this entry waits for the owner, the owner knows
// that and sends a heartbeat every 500 ms. The short limit therefore applies from
// then on, so that a request which arrives meanwhile moves to a new owner in time.
func (l *link) ownerSilent() bool {
	s := &l.session
	silence := l.now.Sub(s.lastReceived)
	if silence > poolhost.SilenceTimeoutFor(s.ownerInterval) {
		return true
	}
	return silence > poolhost.SilenceTimeout && !s.awaitingSince.IsZero() && l.now.Sub(s.awaitingSince) > poolhost.SilenceTimeout
}

// nextInterval returns the interval to announce with a batch of these events: the
// time until the next batch at the latest. An owner that does not announce its own
// interval is of a version that expects a message every poolhost.MinHeartbeatInterval.
func (l *link) nextInterval(events []pool.Event) time.Duration {
	if l.session.ownerInterval == 0 || l.awaitsOwner() {
		return poolhost.MinHeartbeatInterval
	}
	for _, ev := range events {
		if _, ok := ev.(pool.Progress); !ok {
			return poolhost.MinHeartbeatInterval // the loss of this batch is only noticed with the next one
		}
	}
	return l.entry.cfg.HeartbeatInterval(int(l.entry.sessions.Load()))
}

// heartbeatDue reports whether a heartbeat is due. Progress is sent every
// poolhost.MinHeartbeatInterval, whatever the session's interval. The first heartbeat of
// a session that has just become busy waits that long for events to send with it.
func (l *link) heartbeatDue() bool {
	s := &l.session
	silence := l.now.Sub(s.lastSent)
	interval := l.nextInterval(nil)
	if s.ackDue {
		interval = poolhost.MinHeartbeatInterval
	}
	if silence >= s.announcedInterval || len(l.pendingProgress) > 0 && silence >= poolhost.MinHeartbeatInterval {
		return true
	}
	return silence >= interval && l.now.Sub(s.busySince) >= poolhost.MinHeartbeatInterval
}

// heartbeat sends the pending progress or, if there is none, a batch without
// events.
func (l *link) heartbeat() {
	if len(l.outbox) > 0 {
		return // flush sends the outbox after this message
	}
	l.queueProgress()
	if len(l.outbox) > 0 {
		return
	}
	if err := l.send(nil); err != nil && !errors.Is(err, peer.ErrOverloaded) {
		l.dropSession(helloRetryInterval)
	}
}
