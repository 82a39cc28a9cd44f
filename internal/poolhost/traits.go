package poolhost

import (
	"github.com/sirupsen/logrus"

	"github.com/lycheekeel/lycheekeel/internal/logs"
	"github.com/lycheekeel/lycheekeel/pool"
)

// updateTraits passes the pool's traits to the scheduler if they have changed. The caller
// holds host.mu.
func (r *Runtime) updateTraits() {
	current := r.host.cfg.Traits(r.resolved)
	if current == r.traits {
		return
	}
	r.traits = current
	r.post(pool.TraitsSet{Traits: current})
	r.host.count.traitChanges.Add(1)
	r.logTraits()
}

// logInitialTraits logs the traits of a pool or static share that starts with some. The
// caller holds host.mu.
func (r *Runtime) logInitialTraits() {
	if r.traits != (pool.Traits{}) {
		r.logTraits()
	}
}

func (r *Runtime) logTraits() {
	t := r.traits
	logs.For("poolhost").WithFields(logrus.Fields{
		"pool": r.name, "share": r.degraded, "finish_in_time": t.FinishInTime, "overlap": t.Overlap, "prefer_zone": t.PreferZone,
		"pause_target_ms": t.PauseTarget.Milliseconds(), "tokens_per_event": t.TokensPerEvent,
	}).Info("Pool's traits changed.")
}
