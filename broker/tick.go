package broker

import (
	"github.com/lycheekeel/lycheekeel/internal/poolwire"
)

// tickMessage makes the link do its periodic work.
type tickMessage struct{}

func (tickMessage) apply(l *link) {
	l.expireWaiters()
	l.requeueWaiters()
	l.checkSession()
	if l.share != nil || l.session.open() && l.ownerMoved(l.session.owner) {
		l.probeOwner()
	}
	if !l.session.open() && l.needsSession() {
		l.connect()
		l.enterDegraded()
	}
}

// requeueWaiters enqueues those waiters again whose grant or redirect could not be
// used.
func (l *link) requeueWaiters() {
	if !l.session.open() {
		return
	}
	for _, w := range l.waiting {
		if w.requeue {
			w.requeue = false
			l.entry.counters.requeued.Add(1)
			l.outbox = append(l.outbox, w.enqueueEvent(l.now))
		}
	}
}

// checkSession ends a session whose owner is silent, closes an idle one and sends a
// heartbeat if one is due.
func (l *link) checkSession() {
	s := &l.session
	switch {
	case s.state == sessionOpening && l.now.Sub(s.started) >= l.answerTimeout():
		l.unansweredHellos++
		l.dropSession(0)
	case s.state == sessionOpening && l.share == nil && l.ownerMoved(s.owner):
		l.dropSession(0)
	case s.state == sessionClosed || s.state == sessionOpening:
	case l.ownerSilent():
		l.entry.counters.sessionsSilent.Add(1)
		l.disconnectedSince = s.lastReceived
		l.dropSession(0)
	case !l.needsSession() && l.now.Sub(l.lastUsed) > idleTimeout:
		l.closeSession()
		l.session.state = sessionClosed
		l.probe = session{}
		l.closeShare()
	case l.heartbeatDue():
		l.heartbeat()
	}
}

// ownerMoved reports whether membership names another owner than o. If it names
// none, the session is kept.
func (l *link) ownerMoved(o owner) bool {
	if l.entry.cfg.View == nil {
		return false
	}
	if view := l.entry.cfg.View.Load(); view != l.ownerView {
		l.ownerView = view
		l.ownerName, _ = l.entry.host.Owner(l.pool, l.entry.cfg.Region)
	}
	return l.ownerName != "" && l.ownerName != o.name()
}

// closeSession tells the owner that this entry has closed the session.
func (l *link) closeSession() {
	s := &l.session
	_ = s.owner.hello(poolwire.Hello{Pool: l.pool, Entry: l.entry.id, Session: s.id, Close: true})
}

// enterDegraded enters degraded mode, in which this entry schedules its own requests
// on a share of the pool. Without it, waiting requests would expire while servers
// are free but the owner is unreachable.
func (l *link) enterDegraded() {
	if l.share != nil || len(l.waiting) == 0 || l.now.Sub(l.disconnectedSince) < l.entry.cfg.DegradedAfter {
		return
	}
	snapshot := l.entry.cfg.Snapshot.Load()
	if snapshot == nil || snapshot.Pools[l.pool] == nil {
		return
	}
	l.entry.counters.degradedEntered.Add(1)
	l.share = l.entry.host.OpenStaticShare(snapshot.Pools[l.pool])
	l.startSession(&l.session, shareOwner{l.share, l})
}

// probeOwner sends hellos to the pool's owner while another owner, or a share in
// degraded mode, schedules this entry's requests. A new owner may not know yet that
// it is the owner; until it accepts, the previous one goes on scheduling.
func (l *link) probeOwner() {
	wait := helloRetryInterval
	if l.probe.state != sessionClosed && !l.ownerMoved(l.probe.owner) {
		wait = l.answerTimeout()
	}
	if l.now.Sub(l.probe.started) < wait {
		return
	}
	if l.probe.state != sessionClosed {
		l.unansweredHellos++
	}
	if o := l.findOwner(); o != nil {
		l.startSession(&l.probe, o)
	}
}

// handleProbeAnswer switches to the probed session if the owner accepts it. Requests
// granted by the previous owner or from the share are reported as running.
func (l *link) handleProbeAnswer(b poolwire.Commands) {
	if b.Status != poolwire.SessionAccepted {
		l.probe.state = sessionClosed
		return
	}
	if l.share != nil {
		l.entry.counters.degradedLeft.Add(1)
	} else if l.session.state != sessionClosed {
		l.entry.counters.ownerChanged.Add(1)
		l.closeSession()
	}
	l.endSession()
	l.session, l.probe = l.probe, session{}
	l.closeShare()
	l.handleBatch(b)
}

func (l *link) closeShare() {
	if l.share != nil {
		l.share.Close()
		l.share = nil
	}
}

// openMessage asks for a session although no request waits or runs.
type openMessage struct{}

func (openMessage) apply(l *link) {
	l.openRequested = true
	if l.session.state == sessionClosed {
		l.connect()
	}
}

// peerDownMessage reports that the connection to a peer broke. Messages in flight
// are lost, so the session with it is opened anew.
type peerDownMessage struct{ peer string }

func (m peerDownMessage) apply(l *link) {
	if l.session.state != sessionClosed && l.session.owner.name() == m.peer {
		l.dropSession(0)
	}
	if l.probe.state != sessionClosed && l.probe.owner.name() == m.peer {
		l.probe.state = sessionClosed
	}
}
