package broker

import (
	"time"

	"github.com/lycheekeel/lycheekeel/internal/peer"
	"github.com/lycheekeel/lycheekeel/internal/poolhost"
	"github.com/lycheekeel/lycheekeel/pool"
	"github.com/pkg/errors"
)

// awaits tells whether a word of the owner is awaited: a grant, or that a
// release has come.
func (l *link) awaits() bool { return len(l.waiting) > 0 || len(l.unacked) > 0 }

// noteState remembers since when the open session is busy, and counts it.
func (l *link) noteState() {
	s := &l.session
	note(&s.awaitsSince, s.open() && l.awaits(), l.now)
	note(&s.busySince, s.open() && (l.awaits() || s.owed), l.now)
	if s.open() == l.counted {
		return
	}
	l.counted = s.open()
	if l.counted {
		l.entry.sessions.Add(1)
	} else {
		l.entry.sessions.Add(-1)
	}
}

// note keeps in t since when something is so; zero: it is not.
func note(t *time.Time, is bool, now time.Time) {
	switch {
	case !is:
		*t = time.Time{}
	case t.IsZero():
		*t = now
	}
}

// silent tells whether the owner has said nothing for too long.
//
// What goes wrong: an owner may have told to speak again in 20 s, and a
// request that comes meanwhile finds it gone, though its connection stands.
// While a word is awaited, the owner knows that and speaks every 500 ms; so
// the short limit holds from then on, and the request moves on in time.
func (l *link) silent() bool {
	s := &l.session
	quiet := l.now.Sub(s.heard)
	if quiet > poolhost.SilenceLimit(s.next) {
		return true
	}
	return quiet > poolhost.SilentAfter && !s.awaitsSince.IsZero() && l.now.Sub(s.awaitsSince) > poolhost.SilentAfter
}

// interval returns within how long this entry speaks again after a batch of
// these events. An owner that does not tell when it speaks again is of a
// version that expects a word every poolhost.HeartbeatEvery.
func (l *link) interval(events []pool.Event) time.Duration {
	if l.session.next == 0 || l.awaits() {
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
	quiet := l.now.Sub(s.sent)
	interval := l.interval(nil)
	if s.owed {
		interval = poolhost.HeartbeatEvery
	}
	if quiet >= s.promised || len(l.progress) > 0 && quiet >= poolhost.HeartbeatEvery {
		return true
	}
	return quiet >= interval && l.now.Sub(s.busySince) >= poolhost.HeartbeatEvery
}

// heartbeat sends a batch without events, or the progress that has come.
func (l *link) heartbeat() {
	if len(l.out) > 0 {
		return // flush sends it in a moment
	}
	l.takeProgress()
	if len(l.out) > 0 {
		return
	}
	if err := l.send(nil); err != nil && !errors.Is(err, peer.ErrOverloaded) {
		l.lose(retryEvery)
	}
}
