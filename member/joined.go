package member

import (
	"time"

	"github.com/lycheekeel/lycheekeel/member/wire"
)

// JoinTimeout is how long after its start a member that nobody answers goes
// on as the only one. A seed that answers does so in far less; one that is
// gone may take the transport's whole patience with a connection.
const JoinTimeout = 3 * time.Second

// joinState is how far a member that has just started is with meeting others.
//
// What goes wrong without it: until a member has met another one, its view
// holds itself alone, so it takes every pool of its region for its own, beside
// their owners. Callers must not be sent to it before.
type joinState struct {
	started      time.Time
	viewReceived bool // somebody has told which members there are
	vmListRead   bool // the platform's list was read
}

// markViewReceived notes that a peer told which members there are, or that it knows
// the same ones.
func (m *Machine) markViewReceived(s *wire.Sync, digest uint64) {
	equal := s.Digest == digest && !s.Join && len(s.Buckets) == 0 && len(s.Differing) == 0
	if len(s.Records) > 0 || equal {
		m.joinState.viewReceived = true
	}
}

// Joined tells whether the view can be gone by: somebody has told of the
// members, or there is nobody to ask, or nobody has answered for JoinTimeout.
func (m *Machine) Joined() bool {
	j := &m.joinState
	return j.viewReceived || m.now.Sub(j.started) >= JoinTimeout || j.vmListRead && !m.hasOtherAddresses()
}

// hasOtherAddresses tells whether a seed or the platform's list names an address
// that is not this member's own.
func (m *Machine) hasOtherAddresses() bool {
	for _, s := range m.cfg.Seeds {
		if s != m.self.Address {
			return true
		}
	}
	_, self := m.vmListHosts[host(m.self.Address)]
	return len(m.vmListHosts) > 1 || len(m.vmListHosts) == 1 && !self
}
