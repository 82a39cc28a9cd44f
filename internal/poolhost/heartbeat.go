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
