package gateway

import (
	"maps"
	"slices"

	"github.com/lycheekeel/lycheekeel/discovery"
	"github.com/lycheekeel/lycheekeel/internal/gateway/wire"
	"github.com/lycheekeel/lycheekeel/objectstore"
	"github.com/lycheekeel/lycheekeel/rollout"
)

// rolloutState is what a daemon knows of the operators' rollouts, and which versions may
// get requests. It is guarded by the state's mutex.
type rolloutState struct {
	// enabled is set where the operators allow rollouts. Otherwise versions are ignored, and
	// the rollouts are never read from the store.
	enabled bool
	all     rollout.Set
	// revision is the store's revision as of which the rollouts are known; 0: never read.
	revision objectstore.Version
	versions map[string]*rollout.Versions // by service
	// present is the number of servers of each version.
	present map[serviceVersion]int
	// firstSeen is the directory's revision at which a service's version appeared.
	firstSeen map[serviceVersion]objectstore.Version
	arms      map[serviceVersion]rollout.Arm
	// readNow gets a value when a new version appears and the rollouts have to be read.
	readNow chan struct{}
}

type serviceVersion struct{ service, version string }

func newRolloutState(enabled bool) rolloutState {
	return rolloutState{
		enabled: enabled, all: rollout.Set{}, versions: map[string]*rollout.Versions{},
		present: map[serviceVersion]int{}, firstSeen: map[serviceVersion]objectstore.Version{}, arms: map[serviceVersion]rollout.Arm{},
		readNow: make(chan struct{}, 1),
	}
}

// arm returns the arm that a server belongs to.
func (rs *rolloutState) arm(s discovery.Server) rollout.Arm {
	if !rs.enabled {
		return rollout.Stable
	}
	return rs.arms[serviceVersion{s.Service, s.Version}]
}

// assignArms assigns an arm to each version of the present servers after changes, as of the
// directory's revision, and reports whether an arm has changed.
func (rs *rolloutState) assignArms(changes []serverChange, rev objectstore.Version) bool {
	if !rs.enabled {
		return false
	}
	rs.countVersions(changes, rev)
	present := map[string][]string{}
	for v := range rs.present {
		present[v.service] = append(present[v.service], v.version)
	}
	before := rs.arms
	rs.arms = make(map[serviceVersion]rollout.Arm, len(rs.present))
	for service, versions := range present {
		for version, arm := range rs.armsOf(service, versions) {
			rs.arms[serviceVersion{service, version}] = arm
		}
	}
	if rs.hasPendingVersions() {
		select {
		case rs.readNow <- struct{}{}:
		default:
		}
	}
	return !maps.Equal(before, rs.arms)
}

// countVersions updates which versions are present, and since when.
func (rs *rolloutState) countVersions(changes []serverChange, rev objectstore.Version) {
	for _, c := range changes {
		if c.is {
			rs.present[serviceVersion{c.after.Service, c.after.Version}]++
		}
		if c.was {
			rs.present[serviceVersion{c.before.Service, c.before.Version}]--
		}
	}
	maps.DeleteFunc(rs.present, func(_ serviceVersion, n int) bool { return n == 0 })
	for _, c := range changes {
		v := serviceVersion{c.after.Service, c.after.Version}
		if _, seen := rs.firstSeen[v]; c.is && !seen {
			rs.firstSeen[v] = max(rev, objectstore.Version(c.after.Revision))
		}
	}
	maps.DeleteFunc(rs.firstSeen, func(v serviceVersion, _ objectstore.Version) bool {
		return rs.present[v] == 0 // counts as new if it returns
	})
}

// allStable reports whether every version is stable.
func (rs *rolloutState) allStable() bool {
	for _, arm := range rs.arms {
		if arm != rollout.Stable {
			return false
		}
	}
	return true
}

func (rs *rolloutState) armsOf(service string, versions []string) map[string]rollout.Arm {
	var r *rollout.Rollout
	if known, ok := rs.all[service]; ok {
		r = &known
	}
	return rs.versionsOf(service).Arms(r, versions, func(version string) bool {
		return rs.readSince(serviceVersion{service, version})
	})
}

// readSince reports whether the rollouts are known as of a time at which servers of the
// version were present. A rollout is requested before its servers start, so it is known
// then.
func (rs *rolloutState) readSince(v serviceVersion) bool {
	return rs.revision > 0 && rs.revision >= rs.firstSeen[v]
}

// hasPendingVersions reports whether servers wait for the rollouts to be read.
func (rs *rolloutState) hasPendingVersions() bool {
	for v, arm := range rs.arms {
		if arm == rollout.Off && !rs.readSince(v) {
			return true
		}
	}
	return false
}

// rejectedVersions returns the versions that must not serve.
func (rs *rolloutState) rejectedVersions() []*wire.ServiceVersion {
	var out []*wire.ServiceVersion
	for service, v := range rs.versions {
		for _, version := range v.Unfit() {
			out = append(out, &wire.ServiceVersion{Service: service, Version: version})
		}
	}
	return out
}

// versionsOf returns the versions of a service.
func (rs *rolloutState) versionsOf(service string) *rollout.Versions {
	if rs.versions[service] == nil {
		rs.versions[service] = rollout.NewVersions()
	}
	return rs.versions[service]
}

// anyRunning reports whether a rollout has no final state yet.
func (rs *rolloutState) anyRunning() bool {
	for _, r := range rs.all {
		if r.InProgress() {
			return true
		}
	}
	return false
}

// rollout returns a service's rollout.
func (s *state) rollout(service string) (rollout.Rollout, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.rollouts.all[service]
	return r, ok
}

// allRollouts returns all rollouts.
func (s *state) allRollouts() []rollout.Rollout {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Values(s.rollouts.all))
}

// replaceRollouts applies a list of all rollouts, unless newer ones are known.
func (s *state) replaceRollouts(all []rollout.Rollout, rev objectstore.Version) {
	s.applyPeerRollouts(all, nil, rev)
}

// applyPeerRollouts applies a reader's list of all rollouts, unless newer ones are known,
// together with the versions that must not serve according to the reader.
func (s *state) applyPeerRollouts(all []rollout.Rollout, unfit []*wire.ServiceVersion, rev objectstore.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if rev < s.rollouts.revision {
		return
	}
	for _, x := range unfit {
		s.rollouts.versionsOf(x.Service).MarkUnfit(x.Version)
	}
	hadPending := s.rollouts.hasPendingVersions()
	changed := s.rollouts.all.Replace(all)
	s.rollouts.revision = rev
	if changed || hadPending {
		s.rebuildLocked()
		s.notifyChangedLocked()
	}
}

// recordOutcome applies a rollout that this daemon has written or re-read itself. It does
// not advance the revision, since it proves nothing of other rollouts.
func (s *state) recordOutcome(r rollout.Rollout) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known, ok := s.rollouts.all[r.Service]; ok && known.ID == r.ID && s.rollouts.all.Put(r) {
		s.rebuildLocked()
		s.notifyChangedLocked()
	}
}

// putRollout applies one changed rollout.
func (s *state) putRollout(r rollout.Rollout, rev objectstore.Version) {
	s.updateRollouts(rev, func() { s.rollouts.all.Put(r) })
}

// removeRollout applies the withdrawal of a rollout at the revision removedAt. A withdrawal
// that is older than the known rollout concerns an earlier one and is ignored.
func (s *state) removeRollout(service string, removedAt, rev objectstore.Version) {
	s.updateRollouts(rev, func() {
		if s.rollouts.all[service].Revision <= uint64(removedAt) {
			delete(s.rollouts.all, service)
		}
	})
}

// updateRollouts applies one event of a watch. Events come in batches, each event with the
// revision after the whole batch.
func (s *state) updateRollouts(rev objectstore.Version, change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if rev < s.rollouts.revision {
		return
	}
	change()
	s.rollouts.revision = rev
	s.rebuildLocked()
	s.notifyChangedLocked()
}

// needsRollouts reports whether the rollouts have to be read often: one is running, or
// servers wait for them.
func (s *state) needsRollouts() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rollouts.anyRunning() || s.rollouts.hasPendingVersions()
}

// serviceStatus returns the state of a service's servers for the rollout's decider.
func (s *state) serviceStatus(service string) rollout.ServiceStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	var status rollout.ServiceStatus
	to := s.rollouts.all[service].To
	for _, x := range s.directory.Servers() {
		if x.Service != service || x.Leaving {
			continue
		}
		switch arm := s.rollouts.arm(x); {
		case arm == rollout.Off:
		case x.Version != to:
			status.StableServers++
			status.StableSlots += x.Slots
		default:
			status.ServedBefore = arm == rollout.Stable
			status.NewServers++
			status.NewSlots += x.Slots
			if !x.Cold {
				status.WarmServers++
			}
		}
	}
	return status
}

// rebuild rebuilds the pools after the set of canary servers has changed.
func (s *state) rebuild() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rebuildLocked()
}
