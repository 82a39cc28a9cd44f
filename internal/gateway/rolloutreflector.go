package gateway

import (
	"time"

	"github.com/lycheekeel/lycheekeel/objectstore"
	"github.com/lycheekeel/lycheekeel/rollout"
)

const (
	// rolloutsReadInterval is how often the rollouts are listed in addition to the watch;
	// rolloutsReadIntervalActive applies while a rollout runs or servers of a new version
	// wait for the rollouts to be read.
	rolloutsReadInterval       = 20 * time.Second
	rolloutsReadIntervalActive = time.Second
)

// idleCheckInterval is how often a daemon that does not list the rollouts checks whether
// it has to.
const idleCheckInterval = 500 * time.Millisecond

// rolloutsMayIdle reports whether a daemon that is not a reader can leave the rollouts to
// the readers, which send it each change. It can't while no reader answers and a rollout
// runs or servers wait for the rollouts to be read. If each daemon listed them at its
// start and at intervals, the store's calls would grow with the number of daemons even
// when there is no rollout.
func (r *reflector) rolloutsMayIdle() bool { return r.readerAnswers() || !r.state.needsRollouts() }

// rolloutsInterval returns the current list interval.
func (r *reflector) rolloutsInterval() time.Duration {
	if r.state.needsRollouts() {
		return rolloutsReadIntervalActive
	}
	return rolloutsReadInterval
}

func (r *reflector) applyRolloutList(l objectstore.List) bool {
	all := make([]rollout.Rollout, 0, len(l.Objects))
	for _, o := range l.Objects {
		all = append(all, r.state.decodeRollout(o))
	}
	r.state.replaceRollouts(all, l.Version)
	return true
}

func (r *reflector) applyRolloutEvent(e objectstore.Event, rev objectstore.Version) {
	if e.Deleted {
		r.state.removeRollout(e.Object.Name, e.Object.Version, rev)
		return
	}
	r.state.putRollout(r.state.decodeRollout(e.Object), rev)
}

// decodeRollout decodes a rollout. One that can't be decoded is logged, and new versions of
// its service stay unused until it is corrected.
func (s *state) decodeRollout(o objectstore.Object) rollout.Rollout {
	x, err := s.platform.DecodeRollout(o)
	if err != nil {
		s.log.WithField("service", o.Name).WithField("revision", o.Version.Revision()).WithError(err).Error("Rollout can't be read.")
		x = rollout.Rollout{ID: rollout.ID{Service: o.Name, Created: uint64(o.Created)}, Revision: uint64(o.Version), Unreadable: true}
	}
	return x
}
