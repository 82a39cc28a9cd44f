package peer

import (
	"cmp"
	"slices"
	"time"
)

const (
	// heartbeatTick is the interval between two checks of all connections.
	heartbeatTick = 100 * time.Millisecond
	// pauseThreshold is the time between two checks above which this process
	// was paused.
	pauseThreshold = 500 * time.Millisecond
	// pingBurst is the largest burst of heartbeats.
	pingBurst = 20
	// goAwayTimeout closes an idle connection whose peer doesn't answer the
	// pingGoAway.
	goAwayTimeout = 30 * time.Second
)

// noDeadline clears a deadline.
var noDeadline time.Time

// heartbeatLoop sends heartbeats and closes silent connections.
//
// A device between two daemons may drop the state of an open connection. TCP then
// retransmits for many minutes before it reports an error, while a new connection
// would work. Such a connection is detected when no byte arrives after a
// heartbeat. It is closed, its users are notified, and the next message dials a
// new one.
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

// checkAll checks all connections and returns those to ping.
func (t *TCP) checkAll(links []*link, paused bool) []*link {
	var due []*link
	for _, l := range links {
		if l.isUp() && t.check(l, paused) {
			due = append(due, l)
		}
	}
	return due
}

// pingDue pings connections as far as the rate limit allows: first those with an
// unanswered message, oldest first, then the others, those quiet for longest
// first.
//
// With 60 connections, the quiet ones alone exceed the rate limit. Without this
// order, the silence of a connection with a request on it would be detected many
// seconds late.
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

// unansweredPriority ranks an unanswered message before any quiet connection.
const unansweredPriority = time.Hour

// urgency returns the priority of a connection to be pinged; higher is first.
func (l *link) urgency(now int64) int64 {
	if since := l.awaitingSince.Load(); since != 0 && now-since > int64(l.transport.opts.PingDelay) {
		return int64(unansweredPriority) + now - since
	}
	return now - l.receivedAt.Load()
}

// check closes a connection that is silent or idle, and reports whether it is to
// be pinged. After a pause of this process, silence is not counted, because
// messages of the peer may still be in the kernel's buffer.
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

// needsPing reports whether a ping is due: a message was not answered, or a
// connection in use was quiet for too long.
func (l *link) needsPing(now int64) bool {
	if since := l.awaitingSince.Load(); since != 0 && now-since > int64(l.transport.opts.PingDelay) {
		return true
	}
	return l.hasAppTraffic() && now-l.receivedAt.Load() > int64(l.transport.opts.KeepaliveInterval)
}

// hasAppTraffic reports whether messages other than membership's were sent or
// received within IdleTimeout. Membership has its own timeouts.
func (l *link) hasAppTraffic() bool {
	at := l.appMessageAt.Load()
	return at != 0 && l.nanos()-at < int64(l.transport.opts.IdleTimeout)
}

// ping sends a heartbeat request. If the queue is full, the ping still counts as
// sent: the peer then reads nothing, which is silence too.
func (t *TCP) ping(l *link, now int64) {
	t.count.pings.Add(1)
	l.pingedAt.CompareAndSwap(0, max(1, now))
	_ = l.sendPing(pingRequest)
}

// closeIfIdle closes an unused connection. The dialer sends a pingGoAway; the peer
// sends its queued messages and answers with a pingGoAway. OnDown is not called,
// because no message is lost.
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
