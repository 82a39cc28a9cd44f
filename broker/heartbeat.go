package broker

import (
	"time"

	"github.com/lycheekeel/lycheekeel/internal/peer"
	"github.com/lycheekeel/lycheekeel/internal/poolhost"
	"github.com/lycheekeel/lycheekeel/pool"
	"github.com/pkg/errors"
)

// awaitsOwner tells whether a word of the owner is awaited: a grant, or that a
// release has come.
func (l *link) awaitsOwner() bool { return len(l.waiting) > 0 || len(l.unackedReleases) > 0 }

// updateSessionState remembers since when the open session is busy, and counts it.
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

// trackSince keeps in t since when something is so; zero: it is not.
func trackSince(t *time.Time, active bool, now time.Time) {
	switch {
	case !active:
		*t = time.Time{}
	case t.IsZero():
		*t = now
	}
}

// ownerSilent tells whether the owner has said nothing for too long.
//
// What goes wrong: an owner may have told to speak again in 20 s, and a
// request that comes meanwhile finds it gone, though its connection stands.
// While a word is awaited, the owner knows that and speaks every 500 ms; so
// the short limit holds from then on, and the request moves on in time.
func (l *link) ownerSilent() bool {
	s := &l.session
	silence := l.now.Sub(s.lastReceived)
	if silence > poolhost.SilenceLimit(s.ownerInterval) {
		return true
	}
	return silence > poolhost.SilentAfter && !s.awaitingSince.IsZero() && l.now.Sub(s.awaitingSince) > poolhost.SilentAfter
}

// nextInterval returns within how long this entry speaks again after a batch of
// these events. An owner that does not tell when it speaks again is of a
// version that expects a word every poolhost.HeartbeatEvery.
func (l *link) nextInterval(events []pool.Event) time.Duration {
	if l.session.ownerInterval == 0 || l.awaitsOwner() {
		return poolhost.HeartbeatEvery
	}
	for _, ev := range events {
		if _, ok := ev.(pool.Progress); !ok {
			return poolhost.HeartbeatEvery // a loss would show in the next word only
		}
	}
	return l.entry.cfg.Heartbeat(int(l.entry.sessions.Load()))
}

// heartbeatDue tells whether a word is due; reports of progress go each half
// second at the latest, whatever the session's interval. The first one in a session that
// has just become busy waits a moment for events to go along with.
func (l *link) heartbeatDue() bool {
	s := &l.session
	silence := l.now.Sub(s.lastSent)
	interval := l.nextInterval(nil)
	if s.ackDue {
		interval = poolhost.HeartbeatEvery
	}
	if silence >= s.announcedInterval || len(l.pendingProgress) > 0 && silence >= poolhost.HeartbeatEvery {
		return true
	}
	return silence >= interval && l.now.Sub(s.busySince) >= poolhost.HeartbeatEvery
}

// heartbeat sends a batch without events, or the progress that has come.
func (l *link) heartbeat() {
	if len(l.outbox) > 0 {
		return // flush sends it in a moment
	}
	l.queueProgress()
	if len(l.outbox) > 0 {
		return
	}
	if err := l.send(nil); err != nil && !errors.Is(err, peer.ErrOverloaded) {
		l.dropSession(helloRetryInterval)
	}
}
