package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lycheekeel/lycheekeel/member"
	"github.com/lycheekeel/lycheekeel/rollout"
)

// deciders holds the deciders of the rollouts that this daemon decides. It is safe for
// concurrent use.
type deciders struct {
	state       *state
	bounds      rollout.Bounds
	currentView *member.CurrentView
	log         *logrus.Entry

	mu  sync.Mutex
	all map[rollout.ID]*deciderEntry
}

type deciderEntry struct {
	*rollout.Decider
	plan      rollout.Plan
	plannedAt time.Time // when plan was made; zero: no plan yet
	logged    bool      // the decision has been logged
	writing   bool
}

func newDeciders(s *state, b rollout.Bounds, view *member.CurrentView, log *logrus.Entry) *deciders {
	return &deciders{state: s, bounds: b, currentView: view, log: log, all: map[rollout.ID]*deciderEntry{}}
}

// retain removes the deciders of rollouts that no longer run.
func (d *deciders) retain(running map[string]*activeRollout) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id := range d.all {
		if a := running[id.Service]; a == nil || a.id != id {
			delete(d.all, id)
		}
	}
}

// addReport adds a daemon's report. Reports of unknown or ended rollouts are ignored.
func (d *deciders) addReport(ctx context.Context, id rollout.ID, report rollout.Report) {
	r, known := d.state.rollout(id.Service)
	if !known || r.ID != id || !r.InProgress() {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	x := d.all[id]
	if x == nil {
		x = &deciderEntry{Decider: rollout.NewDecider(r, d.bounds, time.Now())}
		d.all[id] = x
		if r.Acknowledged {
			go d.restoreAge(context.WithoutCancel(ctx), id)
		}
	}
	x.SetRollout(r)
	x.AddReport(time.Now(), report)
}

// plan returns the plan as of now; false: there is none, or it has expired.
func (d *deciders) plan(id rollout.ID) (rollout.Plan, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	x := d.all[id]
	if x == nil || x.plannedAt.IsZero() || time.Since(x.plannedAt) > planTTL {
		return rollout.Plan{}, false
	}
	p, age := x.plan, time.Since(x.plannedAt)
	p.StableStopIn -= age
	p.SpikeIn -= age
	return p, true
}

// decide updates the decision on a rollout and returns its plan.
func (d *deciders) decide(ctx context.Context, id rollout.ID) rollout.Plan {
	status := d.state.serviceStatus(id.Service)
	for _, m := range d.currentView.Load().Members {
		if m.State != member.Dead {
			status.Daemons++
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	x := d.all[id]
	if x == nil {
		return rollout.Plan{}
	}
	x.plan, x.plannedAt = x.Tick(time.Now(), status), time.Now()
	decision := x.Decision()
	if decision.State != rollout.Running && !x.logged {
		x.logged = true
		d.logDecision(id, decision, status)
	}
	d.persist(ctx, x, decision)
	return x.plan
}

func (d *deciders) logDecision(id rollout.ID, x rollout.Decision, status rollout.ServiceStatus) {
	d.log.WithFields(logrus.Fields{
		"service": id.Service, "to": id.To, "outcome": x.State.String(), "reason": x.Reason, "route": x.Route,
		"new_runs": x.Canary.Runs, "new_failed": x.Canary.Failed, "new_broken": x.Canary.Broken, "new_slow": x.Canary.Slow,
		"stable_runs": x.Stable.Runs, "stable_failed": x.Stable.Failed, "stable_broken": x.Stable.Broken, "stable_slow": x.Stable.Slow,
		"value": x.Value, "new_servers": status.NewServers, "stable_servers": status.StableServers,
	}).Info("Rollout decided.")
}
