package rollout

import "slices"

// Arm is what the servers of a version are to the requests of their service.
type Arm uint8

// The arms.
const (
	// Off servers get no request: their version was rolled back or replaced, or it is
	// not known yet whether a rollout brings it.
	Off Arm = iota
	// Stable servers get every request that is no canary.
	Stable
	// Canary servers get the canary requests of a rollout.
	Canary
)

// Versions remembers, for one service, which of the versions of its servers are fit to
// serve. It is not safe for concurrent use.
//
// What goes wrong without it: servers of another version appear without a rollout when a
// release replaces servers one by one, and they must serve; those of a rollout that was
// withdrawn or promoted past them stay for a while, and must not.
type Versions struct {
	fit         map[string]bool // by version; absent: not judged yet
	lastPresent []string        // as of the last call of Arms
	// lastPromoted is the last rollout whose version was promoted.
	lastPromoted ID
}

// NewVersions returns a memory without any version.
func NewVersions() *Versions { return &Versions{fit: map[string]bool{}} }

// Arms returns the arm of each version of the servers that are there. The rollout is nil
// where there is none. Vetted tells whether the rollouts are known as of a moment at which
// servers of the version were there already. A version whose servers are all gone is
// forgotten: it may come back by a release.
func (v *Versions) Arms(r *Rollout, present []string, vetted func(version string) bool) map[string]Arm {
	for _, version := range v.lastPresent {
		if !slices.Contains(present, version) {
			delete(v.fit, version)
		}
	}
	v.lastPresent = slices.Clone(present)
	if r != nil && r.State == Succeeded && r.ID != v.lastPromoted {
		v.promote(r.ID)
	}
	hold := r != nil && r.Unreadable && v.hasFit()
	arms := make(map[string]Arm, len(present))
	for _, version := range present {
		arms[version] = v.arm(r, version, len(present) == 1 || vetted(version) && !hold)
	}
	return arms
}

// Unfit returns the versions that must not serve, sorted.
func (v *Versions) Unfit() []string {
	var out []string
	for version, fit := range v.fit {
		if !fit {
			out = append(out, version)
		}
	}
	slices.Sort(out)
	return out
}

// MarkUnfit takes it from another daemon that a version must not serve. What goes wrong
// without it: a daemon that has started since a rollout was withdrawn, or heard of nothing
// before, takes its servers for a release's.
func (v *Versions) MarkUnfit(version string) { v.fit[version] = false }

// hasFit tells whether a fit version is there. New ones may wait then: it is not known
// which of them an unreadable rollout would make the canary.
func (v *Versions) hasFit() bool {
	for _, fit := range v.fit {
		if fit {
			return true
		}
	}
	return false
}

// promote makes the version that a rollout moved to the only fit one of those known: the
// servers of the others stop. Versions that come later are a release's.
func (v *Versions) promote(id ID) {
	v.lastPromoted = id
	for version := range v.fit {
		v.fit[version] = false
	}
	v.fit[id.To] = true
}

func (v *Versions) arm(r *Rollout, version string, vetted bool) Arm {
	fit, judged := v.fit[version]
	switch {
	case fit:
		return Stable // it served before the rollout: there is nothing to try
	case r != nil && r.To == version && r.State == Running:
		v.fit[version] = false // until it is promoted
		return Canary
	case judged, !vetted, r != nil && r.To == version:
		return Off
	default:
		v.fit[version] = true
		return Stable
	}
}
