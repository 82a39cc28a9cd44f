package member

import (
	"time"

	"github.com/lycheekeel/lycheekeel/member/wire"
)

// JoinTimeout is how long after its start a member waits for an answer before it
// continues alone. A running seed answers much sooner; a connection to a failed one may
// take the transport's whole timeout.
const JoinTimeout = 3 * time.Second

// joinState tracks whether a member that has just started has received a view.
//
// Until then its view contains only itself. Without this state it would consider itself
// the owner of every pool of its region, beside the real owners. Callers must not be
// routed to it before.
type joinState struct {
	started      time.Time
	viewReceived bool // a peer has sent records or has an equal view
	vmListRead   bool // the platform's VM list has been read
}

// markViewReceived notes that a peer sent records, or that its view equals the local
// one.
func (m *Machine) markViewReceived(s *wire.Sync, digest uint64) {
	equal := s.Digest == digest && !s.Join && len(s.Buckets) == 0 && len(s.Differing) == 0
	if len(s.Records) > 0 || equal {
		m.joinState.viewReceived = true
	}
}

// Joined reports whether the view is usable: a peer has sent its members, no other
// address is known to ask, or nobody has answered within JoinTimeout.
func (m *Machine) Joined() bool {
	j := &m.joinState
	return j.viewReceived || m.now.Sub(j.started) >= JoinTimeout || j.vmListRead && !m.hasOtherAddresses()
}

// hasOtherAddresses reports whether the seeds or the platform's VM list contain an
// address other than this member's own.
func (m *Machine) hasOtherAddresses() bool {
	for _, s := range m.cfg.Seeds {
		if s != m.self.Address {
			return true
		}
	}
	_, self := m.vmListHosts[host(m.self.Address)]
	return len(m.vmListHosts) > 1 || len(m.vmListHosts) == 1 && !self
}
