package rollout

import "slices"

// Arm is the part that the servers of a version have in the comparison of two versions.
type Arm uint8

// The arms.
const (
	// Off servers get no requests: their version was rolled back or replaced, or it is not
	// known yet whether it belongs to a rollout.
	Off Arm = iota
	// Stable servers get all requests that are not canaries.
	Stable
	// Canary servers get the canary requests of a rollout.
	Canary
)

// Versions records which versions of one service are fit to serve. It is not safe for
// concurrent use.
//
// It separates two cases of servers whose version has no running rollout. A release that
// replaces servers one by one brings new versions, which must serve. The servers of a
// rollout that was withdrawn, or of a version that a promotion replaced, remain for a while
// and must not serve.
type Versions struct {
	fit         map[string]bool // by version; absent: not decided yet
	lastPresent []string        // versions at the latest call of Arms
	// lastPromoted is the latest rollout whose version was promoted.
	lastPromoted ID
}

// NewVersions returns a record without versions.
func NewVersions() *Versions { return &Versions{fit: map[string]bool{}} }

// Arms returns the arm of each version whose servers are present. r is nil if there is no
// rollout. vetted reports whether the known rollouts are recent enough to include any
// rollout of a version: they were read when servers of the version were already present. A
// version without servers is forgotten, because a release may bring it back.
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

// MarkUnfit records that, according to another daemon, a version must not serve. Without
// it, a daemon that started after a rollout was withdrawn, or that had not heard of the
// rollout, would take its servers for those of a release.
func (v *Versions) MarkUnfit(version string) { v.fit[version] = false }

// hasFit reports whether a fit version is known. New versions can then wait while it is
// unknown which of them an unreadable rollout would make the canary.
func (v *Versions) hasFit() bool {
	for _, fit := range v.fit {
		if fit {
			return true
		}
	}
	return false
}

// promote makes the version of a rollout the only fit one of those known, because the
// servers of the others stop. Versions that appear later belong to a release.
func (v *Versions) promote(id ID) {
	v.lastPromoted = id
	for version := range v.fit {
		v.fit[version] = false
	}
	v.fit[id.To] = true
}

// arm returns the arm of a version, and records whether it is fit.
func (v *Versions) arm(r *Rollout, version string, vetted bool) Arm {
	fit, judged := v.fit[version]
	switch {
	case fit:
		return Stable // it served before the rollout, so there is nothing to test
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
