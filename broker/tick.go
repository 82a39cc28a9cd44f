package broker

import (
	"github.com/lycheekeel/lycheekeel/internal/poolwire"
)

// tickMessage lets time pass.
type tickMessage struct{}

func (tickMessage) apply(l *link) {
	l.expire()
	l.requeue()
	l.checkSession()
	if l.share != nil || l.session.open() && l.movedFrom(l.session.owner) {
		l.lookForOwner()
	}
	if !l.session.open() && l.needed() {
		l.connect()
		l.degrade()
	}
}

// requeue enqueues waiters again whose grant or redirect could not be used.
func (l *link) requeue() {
	if !l.session.open() {
		return
	}
	for _, w := range l.waiting {
		if w.requeue {
			w.requeue = false
			l.entry.count.requeued.Add(1)
			l.out = append(l.out, w.enqueue(l.now))
		}
	}
}

// checkSession ends a session whose owner went silent, closes an idle one, and
// keeps the others alive.
func (l *link) checkSession() {
	s := &l.session
	switch {
	case s.state == sessionOpening && l.now.Sub(s.started) >= l.patience():
		l.unanswered++
		l.lose(0)
	case s.state == sessionOpening && l.share == nil && l.movedFrom(s.owner):
		l.lose(0)
	case s.state == sessionClosed || s.state == sessionOpening:
	case l.silent():
		l.entry.count.silent.Add(1)
		l.without = s.heard
		l.lose(0)
	case !l.needed() && l.now.Sub(l.busyAt) > idleAfter:
		l.closeSession()
		l.session.state = sessionClosed
		l.probe = session{}
		l.closeShare()
	case l.heartbeatDue():
		l.heartbeat()
	}
}

// movedFrom tells whether membership names another owner than o. Where it
// names none, a session is kept while it lives.
func (l *link) movedFrom(o owner) bool {
	if l.entry.cfg.Views == nil {
		return false
	}
	if view := l.entry.cfg.Views.Load(); view != l.ownerView {
		l.ownerView = view
		l.ownerName, _ = l.entry.host.Owner(l.pool, l.entry.cfg.Region)
	}
	return l.ownerName != "" && l.ownerName != o.name()
}

// closeSession tells the owner that this entry has left.
func (l *link) closeSession() {
	s := &l.session
	_ = s.owner.hello(poolwire.Hello{Pool: l.pool, Entry: l.entry.id, Session: s.id, Close: true})
}

// degrade begins degraded mode: without it, requests that wait would expire
// beside free servers while the owner can't be reached.
func (l *link) degrade() {
	if l.share != nil || len(l.waiting) == 0 || l.now.Sub(l.without) < l.entry.cfg.DegradedAfter {
		return
	}
	snapshot := l.entry.cfg.Snapshots.Load()
	if snapshot == nil || snapshot.Pools[l.pool] == nil {
		return
	}
	l.entry.count.degradedEntered.Add(1)
	l.share = l.entry.host.OpenShare(snapshot.Pools[l.pool])
	l.start(&l.session, shareOwner{l.share, l})
}

// lookForOwner sends hellos to the pool's owner while another one, or a share
// in degraded mode, schedules this entry's requests. A new owner may not know
// yet that it is one; until it accepts, the old one serves on.
func (l *link) lookForOwner() {
	wait := retryEvery
	if l.probe.state != sessionClosed && !l.movedFrom(l.probe.owner) {
		wait = l.patience()
	}
	if l.now.Sub(l.probe.started) < wait {
		return
	}
	if l.probe.state != sessionClosed {
		l.unanswered++
	}
	if o := l.findOwner(); o != nil {
		l.start(&l.probe, o)
	}
}

// takeProbeAnswer moves the session over when the owner accepts: what was
// granted by the old one, or from the share, is reported as running.
func (l *link) takeProbeAnswer(b poolwire.Commands) {
	if b.Verdict != poolwire.VerdictAccepted {
		l.probe.state = sessionClosed
		return
	}
	if l.share != nil {
		l.entry.count.degradedLeft.Add(1)
	} else if l.session.state != sessionClosed {
		l.entry.count.ownerChanged.Add(1)
		l.closeSession()
	}
	l.end()
	l.session, l.probe = l.probe, session{}
	l.closeShare()
	l.takeBatch(b)
}

func (l *link) closeShare() {
	if l.share != nil {
		l.share.Close()
		l.share = nil
	}
}

// announceMessage asks for a session although nothing waits or runs.
type announceMessage struct{}

func (announceMessage) apply(l *link) {
	l.announced = true
	if l.session.state == sessionClosed {
		l.connect()
	}
}

// downMessage tells that the connection to a peer broke: what was under way
// is lost, so the session on it is opened again.
type downMessage struct{ peer string }

func (m downMessage) apply(l *link) {
	if l.session.state != sessionClosed && l.session.owner.name() == m.peer {
		l.lose(0)
	}
	if l.probe.state != sessionClosed && l.probe.owner.name() == m.peer {
		l.probe.state = sessionClosed
	}
}
