package gateway

import (
	"maps"
	"slices"

	"github.com/lycheekeel/lycheekeel/discovery"
	"github.com/lycheekeel/lycheekeel/internal/gateway/wire"
	"github.com/lycheekeel/lycheekeel/objectstore"
	"github.com/lycheekeel/lycheekeel/rollout"
)

// knownRollouts is what a daemon knows of the operators' rollouts, and which servers may
// get requests because of it. It is used with the state's mutex held.
type knownRollouts struct {
	// enabled is set where the operators allow rollouts. Without them versions don't
	// count, and no call of the store is spent on rollouts.
	enabled bool
	all     rollout.Set
	// revision is as of when they are known; 0: they were never read.
	revision objectstore.Version
	versions map[string]*rollout.Versions // by service
	// firstSeen is the directory's revision at which a service's version appeared.
	firstSeen map[serviceVersion]objectstore.Version
	arms      map[serviceVersion]rollout.Arm
	// wanted is told when a version appears for which the rollouts have to be read.
	wanted chan struct{}
}

type serviceVersion struct{ service, version string }

func newKnownRollouts(enabled bool) knownRollouts {
	return knownRollouts{
		enabled: enabled, all: rollout.Set{}, versions: map[string]*rollout.Versions{},
		firstSeen: map[serviceVersion]objectstore.Version{}, arms: map[serviceVersion]rollout.Arm{},
		wanted: make(chan struct{}, 1),
	}
}

// arm returns what a server is to its service's requests.
func (k *knownRollouts) arm(s discovery.Server) rollout.Arm {
	if !k.enabled {
		return rollout.Stable
	}
	return k.arms[serviceVersion{s.Service, s.Version}]
}

// divide works out the arms of all versions of the servers that are there, as of the
// directory's revision.
func (k *knownRollouts) divide(servers []discovery.Server, as objectstore.Version) {
	if !k.enabled {
		return
	}
	present := map[string][]string{}
	for _, s := range servers {
		if !slices.Contains(present[s.Service], s.Version) {
			present[s.Service] = append(present[s.Service], s.Version)
		}
		if _, seen := k.firstSeen[serviceVersion{s.Service, s.Version}]; !seen {
			k.firstSeen[serviceVersion{s.Service, s.Version}] = max(as, objectstore.Version(s.Revision))
		}
	}
	for v := range k.firstSeen {
		if !slices.Contains(present[v.service], v.version) {
			delete(k.firstSeen, v) // it is new when it comes back
		}
	}
	clear(k.arms)
	for service, versions := range present {
		for version, arm := range k.armsOf(service, versions) {
			k.arms[serviceVersion{service, version}] = arm
		}
	}
	if k.unvetted() {
		select {
		case k.wanted <- struct{}{}:
		default:
		}
	}
}

func (k *knownRollouts) armsOf(service string, versions []string) map[string]rollout.Arm {
	var r *rollout.Rollout
	if known, ok := k.all[service]; ok {
		r = &known
	}
	return k.of(service).Arms(r, versions, func(version string) bool {
		return k.vetted(serviceVersion{service, version})
	})
}

// vetted tells whether the rollouts are known as of a moment at which servers of the
// version were there already: a rollout is requested before its servers start.
func (k *knownRollouts) vetted(v serviceVersion) bool {
	return k.revision > 0 && k.revision >= k.firstSeen[v]
}

// unvetted tells whether servers wait for the rollouts to be read.
func (k *knownRollouts) unvetted() bool {
	for v, arm := range k.arms {
		if arm == rollout.Off && !k.vetted(v) {
			return true
		}
	}
	return false
}

// unfit returns the versions that must not serve.
func (k *knownRollouts) unfit() []*wire.ServiceVersion {
	var out []*wire.ServiceVersion
	for service, v := range k.versions {
		for _, version := range v.Unfit() {
			out = append(out, &wire.ServiceVersion{Service: service, Version: version})
		}
	}
	return out
}

// of returns the versions of a service.
func (k *knownRollouts) of(service string) *rollout.Versions {
	if k.versions[service] == nil {
		k.versions[service] = rollout.NewVersions()
	}
	return k.versions[service]
}

// running tells whether a rollout has no outcome yet.
func (k *knownRollouts) running() bool {
	for _, r := range k.all {
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

// replaceRollouts takes all rollouts as of a revision, unless newer ones are known.
func (s *state) replaceRollouts(all []rollout.Rollout, as objectstore.Version) {
	s.hearRollouts(all, nil, as)
}

// hearRollouts is the same of what a reader tells, with the versions that it knows must
// not serve.
func (s *state) hearRollouts(all []rollout.Rollout, unfit []*wire.ServiceVersion, as objectstore.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if as < s.rollouts.revision {
		return
	}
	for _, x := range unfit {
		s.rollouts.of(x.Service).MarkUnfit(x.Version)
	}
	waited := s.rollouts.unvetted()
	news := s.rollouts.all.Replace(all)
	s.rollouts.revision = as
	if news || waited {
		s.rebuild()
		s.signal()
	}
}

// noteOutcome takes what this daemon has written of a rollout itself. It proves nothing
// of the others.
func (s *state) noteOutcome(r rollout.Rollout) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known, ok := s.rollouts.all[r.Service]; ok && known.ID == r.ID && s.rollouts.all.Put(r) {
		s.rebuild()
		s.signal()
	}
}

// putRollout takes one changed rollout, removeRollout the withdrawal of one at a revision.
func (s *state) putRollout(r rollout.Rollout, as objectstore.Version) {
	s.changeRollout(as, func() { s.rollouts.all.Put(r) })
}

func (s *state) removeRollout(service string, at, as objectstore.Version) {
	s.changeRollout(as, func() {
		if s.rollouts.all[service].Revision <= uint64(at) {
			delete(s.rollouts.all, service)
		}
	})
}

// changeRollout takes one of the changes of a watch, which come several at a time with
// the revision after the last.
func (s *state) changeRollout(as objectstore.Version, change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if as < s.rollouts.revision {
		return
	}
	change()
	s.rollouts.revision = as
	s.rebuild()
	s.signal()
}

// rolloutsWanted tells whether the rollouts have to be read often: one runs, or servers
// wait for them.
func (s *state) rolloutsWanted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rollouts.running() || s.rollouts.unvetted()
}

// facts returns what a rollout's decision needs to know of a service's servers.
func (s *state) facts(service string) rollout.ServiceStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	var f rollout.ServiceStatus
	to := s.rollouts.all[service].To
	for _, x := range s.directory.Servers() {
		if x.Service != service || x.Leaving {
			continue
		}
		switch arm := s.rollouts.arm(x); {
		case arm == rollout.Off:
		case x.Version != to:
			f.StableServers++
			f.StableSlots += x.Slots
		default:
			f.ServedBefore = arm == rollout.Stable
			f.NewServers++
			f.NewSlots += x.Slots
			if !x.Cold {
				f.WarmServers++
			}
		}
	}
	return f
}

// rebuildPools makes the pools anew: other servers of a new version get canaries now.
func (s *state) rebuildPools() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rebuild()
}
