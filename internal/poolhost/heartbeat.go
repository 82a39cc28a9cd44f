package poolhost

import "time"

const (
	// maxSessionsAtMinInterval is up to how many sessions each has a heartbeat every
	// MinHeartbeatInterval. It is more than any daemon has in a region of nine.
	maxSessionsAtMinInterval = 9
	// MaxHeartbeatInterval is the longest time between two heartbeats. The transport
	// watches a connection for 30 s after its last message; a longer silence
	// would leave the session to nobody's watch.
	MaxHeartbeatInterval = 20 * time.Second
)

// HeartbeatInterval returns how often one side says that it lives in a session
// in which nothing waits and nothing is unacknowledged. sessions are those of
// an entry with all owners, or those of one pool's owner with all entries.
//
// A session in which a request waits has MinHeartbeatInterval at any size. Idle ones
// are watched by the transport, which notices a silent connection by itself;
// their heartbeats only show that the other side's session still exists. At a
// fixed interval, a daemon's idle sessions alone would take more than all its
// control traffic may. The interval grows with the square of their number, so
// that the messages a second reach their most at maxSessionsAtMinInterval and then fall,
// until MaxHeartbeatInterval ends the growth.
func HeartbeatInterval(sessions int) time.Duration {
	if sessions <= maxSessionsAtMinInterval {
		return MinHeartbeatInterval
	}
	n := min(sessions, 1000) // far beyond MaxHeartbeatInterval, and no overflow
	return min(MaxHeartbeatInterval, MinHeartbeatInterval*time.Duration(n*n)/(maxSessionsAtMinInterval*maxSessionsAtMinInterval))
}

// SilenceTimeoutFor returns how long the other side may say nothing that has told
// to speak again within next; zero means a peer that does not tell.
func SilenceTimeoutFor(announced time.Duration) time.Duration {
	return max(announced, MinHeartbeatInterval) + SilenceTimeout - MinHeartbeatInterval
}

// busy tells whether the entry waits for a word of the owner, or owes it one.
// Whatever is lost then must be noticed soon, however many sessions there are.
func (e *entry) busy() bool {
	return len(e.waiting) > 0 || e.ackDue || e.ackedSeq < e.sentSeq
}

// trackBusy remembers since when the session is busy; it is called each tick.
func (e *entry) trackBusy(now time.Time) {
	switch {
	case !e.busy():
		e.busySince = time.Time{}
	case e.busySince.IsZero():
		e.busySince = now
	}
}

// heartbeatInterval returns the time between two words of the owner as of now. An entry
// that does not tell when it speaks again is of a version that expects one
// every MinHeartbeatInterval.
func (e *entry) heartbeatInterval(r *Runtime) time.Duration {
	if e.busy() || e.peerInterval == 0 {
		return MinHeartbeatInterval
	}
	return r.host.cfg.HeartbeatInterval(int(r.openSessions.Load()))
}

// heartbeatDue tells whether a word is due. The first one in a session that
// has just become busy waits a moment for commands to go along with.
func (e *entry) heartbeatDue(r *Runtime) bool {
	sinceSent := r.now.Sub(e.lastSent)
	if sinceSent >= e.announcedInterval {
		return true
	}
	return sinceSent >= e.heartbeatInterval(r) && r.now.Sub(e.busySince) >= MinHeartbeatInterval
}
