package peer

import (
	"cmp"
	"slices"
	"time"
)

const (
	// heartbeatTick is how often connections are looked at.
	heartbeatTick = 100 * time.Millisecond
	// pauseThreshold between two looks means that this process did not run.
	pauseThreshold = 500 * time.Millisecond
	// pingBurst is how many heartbeats may leave at once.
	pingBurst = 20
	// goAwayTimeout ends an idle connection whose peer doesn't answer the bye.
	goAwayTimeout = 30 * time.Second
)

// noDeadline clears a deadline.
var noDeadline time.Time

// heartbeatLoop sends heartbeats and gives silent connections up.
//
// What goes wrong: something between two daemons forgets an open connection,
// and TCP keeps what is written for many minutes before it gives up, while a
// new connection would work. It is noticed by no byte arriving after a
// heartbeat was sent. The connection is then closed here, its users are told,
// and the next message dials.
func (t *TCP) heartbeatLoop() {
	tick := time.NewTicker(heartbeatTick)
	defer tick.Stop()
	last := t.now()
	for {
		select {
		case <-t.ctx.Done():
			return
		case <-tick.C:
		}
		now := t.now()
		paused := now.Sub(last) > pauseThreshold
		last = now
		if paused {
			t.count.ownPauses.Add(1)
		}
		t.mu.Lock()
		links := t.allLinks()
		t.mu.Unlock()
		t.pingDue(t.checkAll(links, paused))
	}
}

// checkAll looks at all connections and returns those to be pinged.
func (t *TCP) checkAll(links []*link, paused bool) []*link {
	var due []*link
	for _, l := range links {
		if l.isUp() && t.check(l, paused) {
			due = append(due, l)
		}
	}
	return due
}

// pingDue pings connections as far as the rate allows: first those on which a
// message is unanswered, the oldest first, then those that were quiet longest.
//
// What goes wrong without the order: with 60 connections the rate is less than
// the quiet ones ask for, and one with a request on it would wait its turn
// among them for many seconds before its silence is looked into.
func (t *TCP) pingDue(due []*link) {
	now := t.nanos()
	slices.SortFunc(due, func(a, b *link) int { return cmp.Compare(b.urgency(now), a.urgency(now)) })
	for _, l := range due {
		if !t.pingLimiter.Allow() {
			return
		}
		t.ping(l, l.nanos())
	}
}

// unansweredPriority puts an unanswered message before any quiet time.
const unansweredPriority = time.Hour

// urgency orders connections to be pinged.
func (l *link) urgency(now int64) int64 {
	if since := l.awaitingSince.Load(); since != 0 && now-since > int64(l.transport.opts.PingDelay) {
		return int64(unansweredPriority) + now - since
	}
	return now - l.receivedAt.Load()
}

// check looks at one connection and tells whether it is to be pinged. After an
// own pause nothing is held against the peer: what it sent meanwhile may be
// waiting in the kernel.
func (t *TCP) check(l *link, paused bool) (ping bool) {
	if paused {
		l.awaitingSince.Store(0)
		l.pingedAt.Store(0)
		return false
	}
	now := l.nanos()
	pinged := l.pingedAt.Load()
	if pinged != 0 && now-pinged > int64(t.opts.PingTimeout) {
		t.closeLink(l, closedSilent)
	}
	t.closeIfIdle(l, now)
	return pinged == 0 && l.needsPing(now)
}

// needsPing tells whether a sign of life is due: a message went unanswered, or
// a connection that is in use has been quiet.
func (l *link) needsPing(now int64) bool {
	if since := l.awaitingSince.Load(); since != 0 && now-since > int64(l.transport.opts.PingDelay) {
		return true
	}
	return l.hasAppTraffic() && now-l.receivedAt.Load() > int64(l.transport.opts.KeepaliveInterval)
}

// hasAppTraffic tells whether messages other than membership's, which has its own
// timeouts, used the link within IdleTimeout.
func (l *link) hasAppTraffic() bool {
	at := l.appMessageAt.Load()
	return at != 0 && l.nanos()-at < int64(l.transport.opts.IdleTimeout)
}

// ping asks for a sign of life. A full queue counts as asked: the peer then
// takes nothing, which is the silence that is looked for.
func (t *TCP) ping(l *link, now int64) {
	t.count.pings.Add(1)
	l.pingedAt.CompareAndSwap(0, max(1, now))
	_ = l.sendPing(pingRequest)
}

// closeIfIdle closes a connection that nobody uses. The dialer says bye, the
// peer sends what it still has and says bye too; neither side is told of a
// break, because no message is lost.
func (t *TCP) closeIfIdle(l *link, now int64) {
	idle := now-l.usedAt.Load() > int64(t.opts.IdleTimeout)
	if l.dialed && idle && !l.goAwayReceived.Load() && l.startClosing() {
		t.detach(l)
		l.goAwaySent.Store(true)
		_ = l.sendPing(pingGoAway)
	}
	if !l.goAwayReceived.Load() {
		if l.goAwaySent.Load() && now-l.closingAt.Load() > int64(goAwayTimeout) {
			t.closeLink(l, closedIdle)
		}
		return
	}
	switch {
	case l.dialed:
		t.closeLink(l, closedIdle)
	case l.outgoingCalls.Load() == 0 && l.goAwaySent.CompareAndSwap(false, true):
		_ = l.sendPing(pingGoAway)
	}
}
