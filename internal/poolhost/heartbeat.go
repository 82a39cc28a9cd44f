package poolhost

import "time"

const (
	// fewSessions is up to how many sessions each has a heartbeat every
	// HeartbeatEvery. It is more than any daemon has in a region of nine.
	fewSessions = 9
	// MaxHeartbeat is the longest time between two heartbeats. The transport
	// watches a connection for 30 s after its last message; a longer silence
	// would leave the session to nobody's watch.
	MaxHeartbeat = 20 * time.Second
)

// HeartbeatInterval returns how often one side says that it lives in a session
// in which nothing waits and nothing is unacknowledged. sessions are those of
// an entry with all owners, or those of one pool's owner with all entries.
//
// A session in which a request waits has HeartbeatEvery at any size. Idle ones
// are watched by the transport, which notices a silent connection by itself;
// their heartbeats only show that the other side's session still exists. At a
// fixed interval, a daemon's idle sessions alone would take more than all its
// control traffic may. The interval grows with the square of their number, so
// that the messages a second reach their most at fewSessions and then fall,
// until MaxHeartbeat ends the growth.
func HeartbeatInterval(sessions int) time.Duration {
	if sessions <= fewSessions {
		return HeartbeatEvery
	}
	n := min(sessions, 1000) // far beyond MaxHeartbeat, and no overflow
	return min(MaxHeartbeat, HeartbeatEvery*time.Duration(n*n)/(fewSessions*fewSessions))
}

// SilenceLimit returns how long the other side may say nothing that has told
// to speak again within next; zero means a peer that does not tell.
func SilenceLimit(next time.Duration) time.Duration {
	return max(next, HeartbeatEvery) + SilentAfter - HeartbeatEvery
}

// busy tells whether the entry waits for a word of the owner, or owes it one.
// Whatever is lost then must be noticed soon, however many sessions there are.
func (e *entry) busy() bool {
	return len(e.waiting) > 0 || e.owed || e.acked < e.seqOut
}

// noteBusy remembers since when the session is busy; it is called each tick.
func (e *entry) noteBusy(now time.Time) {
	switch {
	case !e.busy():
		e.busySince = time.Time{}
	case e.busySince.IsZero():
		e.busySince = now
	}
}

// interval returns the time between two words of the owner as of now. An entry
// that does not tell when it speaks again is of a version that expects one
// every HeartbeatEvery.
func (e *entry) interval(r *Runtime) time.Duration {
	if e.busy() || e.next == 0 {
		return HeartbeatEvery
	}
	return r.host.cfg.Heartbeat(int(r.sessions.Load()))
}

// heartbeatDue tells whether a word is due. The first one in a session that
// has just become busy waits a moment for commands to go along with.
func (e *entry) heartbeatDue(r *Runtime) bool {
	quiet := r.now.Sub(e.sent)
	if quiet >= e.promised {
		return true
	}
	return quiet >= e.interval(r) && r.now.Sub(e.busySince) >= HeartbeatEvery
}
