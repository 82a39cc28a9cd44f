package member

import (
	"math"
	"time"
)

// suspicion is the time in which a member may refute before it is convicted.
type suspicion struct {
	started time.Time
	by      map[string]struct{} // members whose own probes failed
	// verified: this member's own probe failed since the suspicion began.
	verified bool
}

// suspect starts or confirms a suspicion. Members of other regions are not
// suspected from here: when regions lose each other for minutes, each would
// bury the other and both would have to be revived afterwards. Pools are
// owned within a region, so nothing is lost by keeping the last news of it.
func (m *Machine) suspect(e *entry, by string) {
	if e.Region != m.self.Region || e.State == Dead || e.State == Leaving {
		return
	}
	if e.suspicion == nil {
		e.suspicion = &suspicion{started: m.now, by: map[string]struct{}{}}
		e.State = Suspect
		e.since = m.now
		m.stats.Suspicions++
		m.changed = true
	}
	s := e.suspicion
	if by == m.self.Name {
		s.verified = true
	}
	if _, known := s.by[by]; !known && len(s.by) <= confirmations {
		s.by[by] = struct{}{}
		m.tell(e.record(by))
	}
	if !s.verified {
		m.verifyLater(e.Name)
	}
}

// judgeSuspects convicts the suspects whose time is over, each only after an
// own probe of it failed; the others are probed again.
func (m *Machine) judgeSuspects() {
	for _, name := range m.names(func(e *entry) bool { return e.suspicion != nil }) {
		e := m.table[name]
		s := e.suspicion
		over := m.now.Sub(s.started) >= m.suspicionTimeout(s, e)
		switch {
		case over && s.verified:
			m.setDead(e)
			if s.suspectedBy(m.self.Name) {
				m.pushToRegions()
			}
		case !s.verified || (s.suspectedBy(m.self.Name) && m.now.Sub(e.failedAt) >= reprobeInterval):
			m.verifyLater(name)
		}
	}
}

// suspectedBy tells whether a member is among the first few suspectors, which
// alone go on probing.
func (s *suspicion) suspectedBy(name string) bool {
	_, ok := s.by[name]
	return ok
}

// suspicionTimeout falls from SuspicionMax to SuspicionMin as more members
// confirm, and grows when this member itself seems slow or cut off.
func (m *Machine) suspicionTimeout(s *suspicion, e *entry) time.Duration {
	others := m.count(func(o *entry) bool { return o != e && o.State == Alive && o.Region == m.self.Region })
	needed := min(confirmations, others)
	low, high := m.cfg.SuspicionMin, m.cfg.SuspicionMax
	timeout := low
	if needed > 0 {
		have := min(len(s.by)-1, needed)
		part := math.Log(float64(have+1)) / math.Log(float64(needed+1))
		timeout = high - time.Duration(float64(high-low)*part)
	}
	return timeout * time.Duration(1+m.health)
}

// worse and better keep the score of this member's own health.
func (m *Machine) worse() { m.health = min(maxHealth, m.health+1) }

func (m *Machine) better() { m.health = max(0, m.health-1) }
