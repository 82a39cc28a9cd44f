package member

import (
	"math"
	"time"
)

// suspicion is a suspected member's time to refute before it is marked dead.
type suspicion struct {
	started    time.Time
	suspectors map[string]struct{} // members whose probes of it failed
	// verified: a probe by this member has failed since the suspicion started.
	verified bool
}

// suspect starts or confirms a suspicion. Members of other regions are not suspected:
// during a network partition of several minutes each region would mark the other dead
// and have to revive it afterwards. Pools are owned within a region, so keeping the
// last known state is harmless.
func (m *Machine) suspect(e *memberEntry, suspector string) {
	if e.Region != m.self.Region || e.State == Dead || e.State == Leaving {
		return
	}
	if e.suspicion == nil {
		e.suspicion = &suspicion{started: m.now, suspectors: map[string]struct{}{}}
		e.State = Suspect
		e.stateChangedAt = m.now
		m.stats.Suspicions++
		m.changed = true
	}
	s := e.suspicion
	if suspector == m.self.Name {
		s.verified = true
	}
	if _, known := s.suspectors[suspector]; !known && len(s.suspectors) <= suspicionConfirmations {
		s.suspectors[suspector] = struct{}{}
		m.queueBroadcast(e.record(suspector))
	}
	if !s.verified {
		m.queueVerifyProbe(e.Name)
	}
}

// expireSuspicions marks suspects dead whose timeout has passed, provided that a probe
// by this member has failed. It probes the others again.
func (m *Machine) expireSuspicions() {
	for _, name := range m.sortedNames(func(e *memberEntry) bool { return e.suspicion != nil }) {
		e := m.members[name]
		s := e.suspicion
		expired := m.now.Sub(s.started) >= m.suspicionTimeout(s, e)
		switch {
		case expired && s.verified:
			m.markDead(e)
			if s.suspectedBy(m.self.Name) {
				m.pushToOtherRegions()
			}
		case !s.verified || (s.suspectedBy(m.self.Name) && m.now.Sub(e.lastProbeFailure) >= reprobeInterval):
			m.queueVerifyProbe(name)
		}
	}
}

// suspectedBy reports whether a member is one of the first suspectors. Only those
// repeat their probes.
func (s *suspicion) suspectedBy(name string) bool {
	_, ok := s.suspectors[name]
	return ok
}

// suspicionTimeout falls from SuspicionMax to SuspicionMin as more members confirm. It
// is scaled by the local health score, since this member itself may be slow or
// isolated.
func (m *Machine) suspicionTimeout(s *suspicion, e *memberEntry) time.Duration {
	others := m.count(func(o *memberEntry) bool { return o != e && o.State == Alive && o.Region == m.self.Region })
	needed := min(suspicionConfirmations, others)
	low, high := m.cfg.SuspicionMin, m.cfg.SuspicionMax
	timeout := low
	if needed > 0 {
		confirmed := min(len(s.suspectors)-1, needed)
		fraction := math.Log(float64(confirmed+1)) / math.Log(float64(needed+1))
		timeout = high - time.Duration(float64(high-low)*fraction)
	}
	return timeout * time.Duration(1+m.localHealth)
}

// degradeHealth and improveHealth adjust the local health score.
func (m *Machine) degradeHealth() { m.localHealth = min(maxLocalHealth, m.localHealth+1) }

func (m *Machine) improveHealth() { m.localHealth = max(0, m.localHealth-1) }
