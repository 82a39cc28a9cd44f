package poolhost

import "time"

const (
	// maxSessionsAtMinInterval is the largest number of sessions at which idle
	// ones send heartbeats every MinHeartbeatInterval. A daemon in a region of
	// nine members has fewer.
	maxSessionsAtMinInterval = 9
	// MaxHeartbeatInterval is the longest heartbeat interval. The transport
	// checks a connection until 30 s after its last message, so with a longer
	// interval nothing would check the session in between.
	MaxHeartbeatInterval = 20 * time.Second
)

// HeartbeatInterval returns the heartbeat interval of a session that is idle:
// no request waits and no message is unacknowledged. sessions is the number of
// sessions of an entry with all owners, or of a pool's owner with all entries.
//
// A busy session always uses MinHeartbeatInterval. For idle sessions, the
// transport detects a silent connection by itself; their heartbeats only verify
// that the other side still has the session. With a fixed interval, the idle
// sessions of a daemon would exceed the bound on all its control traffic. The
// interval therefore grows with the square of the number of sessions: the
// message rate is highest at maxSessionsAtMinInterval and falls beyond, until
// the interval reaches MaxHeartbeatInterval.
func HeartbeatInterval(sessions int) time.Duration {
	if sessions <= maxSessionsAtMinInterval {
		return MinHeartbeatInterval
	}
	n := min(sessions, 1000) // prevents overflow; MaxHeartbeatInterval is reached far below
	return min(MaxHeartbeatInterval, MinHeartbeatInterval*time.Duration(n*n)/(maxSessionsAtMinInterval*maxSessionsAtMinInterval))
}

// SilenceTimeoutFor returns how long to wait for a message from a peer that
// announced its next message within announced. Zero means a peer that
// announces nothing.
func SilenceTimeoutFor(announced time.Duration) time.Duration {
	return max(announced, MinHeartbeatInterval) + SilenceTimeout - MinHeartbeatInterval
}

// busy reports whether a request waits or a message is unacknowledged on
// either side. A loss must then be detected soon, whatever the number of sessions.
func (e *entry) busy() bool {
	return len(e.waiting) > 0 || e.ackDue || e.ackedSeq < e.sentSeq
}

// trackBusy updates busySince. It is called on each tick.
func (e *entry) trackBusy(now time.Time) {
	switch {
	case !e.busy():
		e.busySince = time.Time{}
	case e.busySince.IsZero():
		e.busySince = now
	}
}

// heartbeatInterval returns the current interval between two messages of the
// owner. An entry that announces no interval has an older version, which
// expects a message every MinHeartbeatInterval.
func (e *entry) heartbeatInterval(r *Runtime) time.Duration {
	if e.busy() || e.peerInterval == 0 {
		return MinHeartbeatInterval
	}
	return r.host.cfg.HeartbeatInterval(int(r.openSessions.Load()))
}

// heartbeatDue reports whether a heartbeat is due. When a session becomes busy,
// its first heartbeat waits for MinHeartbeatInterval, so that commands can be
// sent with it.
func (e *entry) heartbeatDue(r *Runtime) bool {
	sinceSent := r.now.Sub(e.lastSent)
	if sinceSent >= e.announcedInterval {
		return true
	}
	return sinceSent >= e.heartbeatInterval(r) && r.now.Sub(e.busySince) >= MinHeartbeatInterval
}
