package broker

import "github.com/lycheekeel/lycheekeel/pool"

// leavingMessage reports that an answer says that its server is leaving.
type leavingMessage struct{ ev pool.Leaving }

func (m leavingMessage) apply(l *link) { l.sendIfOpen(m.ev) }

// reportLeaving tells a new owner which servers are leaving as far as this daemon knows. The
// owner may not have heard of it from them.
func (l *link) reportLeaving() {
	for _, s := range l.currentServers() {
		if s.Leaving {
			l.outbox = append(l.outbox, pool.Leaving{Server: s.Name, Incarnation: s.Incarnation})
		}
	}
}
