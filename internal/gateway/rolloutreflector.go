package gateway

import (
	"time"

	"github.com/lycheekeel/lycheekeel/objectstore"
	"github.com/lycheekeel/lycheekeel/rollout"
)

const (
	// rolloutsReadInterval is how often the rollouts are read although the watch tells of no
	// change; rolloutsReadIntervalActive the same while one runs or servers wait for them.
	rolloutsReadInterval       = 20 * time.Second
	rolloutsReadIntervalActive = time.Second
)

// idleCheckInterval is how often a daemon that does not read the rollouts looks whether it has to.
const idleCheckInterval = 500 * time.Millisecond

// rolloutsMayIdle tells whether a daemon that is not one of the readers can leave the
// rollouts to them: they tell of each change. It can't where servers wait for them, or one
// runs, and no reader answers.
//
// What goes wrong where each daemon reads them at its start and at intervals: the
// store's calls grow with the fleet though nothing is rolled out.
func (r *reflector) rolloutsMayIdle() bool { return r.readerAnswers() || !r.state.needsRollouts() }

// rolloutsInterval is how often the rollouts are read.
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

// decodeRollout decodes a rollout. One that can't be read is told, and keeps new versions
// of its service out of use until it is mended.
func (s *state) decodeRollout(o objectstore.Object) rollout.Rollout {
	x, err := s.platform.DecodeRollout(o)
	if err != nil {
		s.log.WithField("service", o.Name).WithField("revision", o.Version).WithError(err).Error("Rollout can't be read.")
		x = rollout.Rollout{ID: rollout.ID{Service: o.Name, Created: uint64(o.Created)}, Revision: uint64(o.Version), Unreadable: true}
	}
	return x
}
