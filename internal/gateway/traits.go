package gateway

import (
	"maps"
	"slices"

	"github.com/sirupsen/logrus"

	"github.com/lycheekeel/lycheekeel/pool"
	"github.com/lycheekeel/lycheekeel/route"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// traitResolver resolves the traits of services and pools from the configuration in force
// and the settings. It is safe for concurrent use.
type traitResolver struct {
	settings SchedulingSettings
	routes   *route.Live
	log      *logrus.Entry
}

// ofPool returns the traits of a pool: those of its service. Pools of a service that the
// configuration no longer has, have none.
func (t traitResolver) ofPool(p *workspace.ResolvedPool) pool.Traits {
	table := t.routes.Load()
	if table == nil {
		return pool.Traits{}
	}
	return t.ofService(table.Services[p.Model])
}

// ofService returns the traits by which the pools of a service are scheduled; nil: none.
func (t traitResolver) ofService(s *route.Service) pool.Traits {
	if s == nil {
		return pool.Traits{}
	}
	effective, out := t.settings.effective(s.Traits), pool.Traits{}
	if effective.MixedTargets {
		out.FinishInTime, out.PreferZone = true, true
		out.PauseTarget, out.TokensPerEvent = effective.PauseTarget, s.TokensPerEvent
		out.Patience = pool.Patience(effective.Patience)
	}
	if effective.BriefCalls {
		out.Overlap, out.PreferZone = true, true
	}
	return out
}

// effective returns the traits of a service as the settings allow them.
func (s SchedulingSettings) effective(t route.Traits) route.Traits {
	t.MixedTargets = isEnabled(s.MixedTargets, t.MixedTargets, t.Streams)
	t.BriefCalls = isEnabled(s.BriefCalls, t.BriefCalls, t.Calls)
	return t
}

// isEnabled returns whether a trait is enabled for a service. derived is the value by its
// routes; applicable says whether the trait may be enabled regardless of it.
func isEnabled(setting string, derived, applicable bool) bool {
	switch setting {
	case schedulingOn:
		return applicable
	case schedulingOff:
		return false
	default:
		return derived
	}
}

// logChanges logs each service whose traits change from a table to the next one. before is
// nil for the first table.
func (t traitResolver) logChanges(before, after *route.Table) {
	for _, name := range slices.Sorted(maps.Keys(after.Services)) {
		s, traits := after.Services[name], t.ofService(after.Services[name])
		old := pool.Traits{}
		if before != nil {
			old = t.ofService(before.Services[name])
		}
		if traits == old {
			continue
		}
		effective := t.settings.effective(s.Traits)
		t.log.WithFields(logrus.Fields{
			"service": name, "mixed_targets": effective.MixedTargets, "brief_calls": effective.BriefCalls,
			"derived_mixed_targets": s.Traits.MixedTargets, "derived_brief_calls": s.Traits.BriefCalls,
			"pause_target_ms": traits.PauseTarget.Milliseconds(), "tokens_per_event": traits.TokensPerEvent,
			"patience_min_ms": traits.Patience.Min.Milliseconds(),
		}).Info("Service's traits changed.")
	}
}
