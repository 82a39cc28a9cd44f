package gateway

import (
	"time"

	"github.com/lycheekeel/lycheekeel/internal/gateway/wire"
	"github.com/lycheekeel/lycheekeel/rollout"
)

func rolloutsToWire(all rollout.Set) []*wire.Rollout {
	out := make([]*wire.Rollout, 0, len(all))
	for _, r := range all {
		out = append(out, &wire.Rollout{
			Service: r.Service, To: r.To, DurationS: r.Duration.Seconds(), Created: r.Created,
			Revision: r.Revision, State: uint32(r.State), Acknowledged: r.Acknowledged, Unreadable: r.Unreadable,
		})
	}
	return out
}

func rolloutsFromWire(all []*wire.Rollout) []rollout.Rollout {
	out := make([]rollout.Rollout, 0, len(all))
	for _, r := range all {
		out = append(out, rollout.Rollout{
			ID:       rollout.ID{Service: r.Service, To: r.To, Created: r.Created},
			Duration: seconds(r.DurationS), Revision: r.Revision, State: rollout.State(r.State),
			Acknowledged: r.Acknowledged, Unreadable: r.Unreadable,
		})
	}
	return out
}

func reportToWire(id rollout.ID, r rollout.Report) *wire.RolloutReport {
	m := &wire.RolloutReport{
		Service: id.Service, To: id.To, Created: id.Created, Incarnation: r.Incarnation, Number: r.Number,
		AgeMs: toMs(r.Age),
	}
	for key, c := range r.Cells {
		m.Cells = append(m.Cells, &wire.RolloutCell{
			Route: key.Route, Server: key.Server, Runs: c.Runs, Failed: c.Failed, Broken: c.Broken, Slow: c.Slow,
			First: timesToWire(c.FirstEvent), Pace: timesToWire(c.PerToken), Whole: timesToWire(c.Total),
		})
	}
	return m
}

func reportFromWire(m *wire.RolloutReport, from string) (rollout.ID, rollout.Report) {
	r := rollout.Report{
		Reporter: from, Incarnation: m.Incarnation, Number: m.Number, Age: milliseconds(m.AgeMs),
		Cells: make(map[rollout.Key]rollout.Cell, len(m.Cells)),
	}
	for _, c := range m.Cells {
		r.Cells[rollout.Key{Route: c.Route, Server: c.Server}] = rollout.Cell{
			Counts:     rollout.Counts{Runs: c.Runs, Failed: c.Failed, Broken: c.Broken, Slow: c.Slow},
			FirstEvent: timesFromWire(c.First), PerToken: timesFromWire(c.Pace), Total: timesFromWire(c.Whole),
		}
	}
	return rollout.ID{Service: m.Service, To: m.To, Created: m.Created}, r
}

func timesToWire(t rollout.Times) *wire.Times {
	if len(t) == 0 {
		return nil
	}
	m := &wire.Times{}
	for us, n := range t {
		m.ValueUs = append(m.ValueUs, us)
		m.Count = append(m.Count, n)
	}
	return m
}

func timesFromWire(m *wire.Times) rollout.Times {
	t := rollout.Times{}
	if m == nil {
		return t
	}
	for i, us := range m.ValueUs[:min(len(m.ValueUs), len(m.Count))] {
		t[us] = m.Count[i]
	}
	return t
}

func planToWire(p rollout.Plan) *wire.RolloutPlan {
	m := &wire.RolloutPlan{
		Phase: uint32(p.Phase), Share: p.CanaryShare, Open: p.OpenAll, StopInMs: toMs(p.StableStopIn),
		SpikeInMs: toMs(p.SpikeIn), SpikeMs: toMs(p.SpikeFor),
	}
	for name, r := range p.Routes {
		m.Routes = append(m.Routes, &wire.RolloutRoute{
			Route: name, SlowFirstMs: toMs(r.Slow.FirstEvent), SlowPaceMs: toMs(r.Slow.PerToken), LeadMs: toMs(r.Lead),
		})
	}
	return m
}

func planFromWire(m *wire.RolloutPlan) rollout.Plan {
	p := rollout.Plan{
		Phase: rollout.Phase(m.Phase), CanaryShare: m.Share, OpenAll: m.Open, StableStopIn: milliseconds(m.StopInMs),
		SpikeIn: milliseconds(m.SpikeInMs), SpikeFor: milliseconds(m.SpikeMs), Routes: make(map[string]rollout.RoutePlan, len(m.Routes)),
	}
	for _, r := range m.Routes {
		p.Routes[r.Route] = rollout.RoutePlan{
			Slow: rollout.SlowThreshold{FirstEvent: milliseconds(r.SlowFirstMs), PerToken: milliseconds(r.SlowPaceMs)}, Lead: milliseconds(r.LeadMs),
		}
	}
	return p
}

func toMs(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
