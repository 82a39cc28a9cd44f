package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lycheekeel/lycheekeel/member"
	"github.com/lycheekeel/lycheekeel/rollout"
)

// deciders are the rollouts that this daemon decides. They are safe for concurrent use.
type deciders struct {
	state  *state
	bounds rollout.Bounds
	views  *member.Live
	log    *logrus.Entry

	mu  sync.Mutex
	all map[rollout.ID]*deciding
}

type deciding struct {
	*rollout.Decider
	plan    rollout.Plan
	at      time.Time // of the plan; zero: none yet
	told    bool      // the verdict is in the log
	writing bool
}

func newDeciders(s *state, b rollout.Bounds, views *member.Live, log *logrus.Entry) *deciders {
	return &deciders{state: s, bounds: b, views: views, log: log, all: map[rollout.ID]*deciding{}}
}

// keep forgets the rollouts that do not run any more.
func (d *deciders) keep(running map[string]*participation) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id := range d.all {
		if t := running[id.Service]; t == nil || t.id != id {
			delete(d.all, id)
		}
	}
}

// take takes a report; one of an order that is not known here is dropped.
func (d *deciders) take(ctx context.Context, id rollout.ID, report rollout.Report) {
	order, known := d.state.order(id.Service)
	if !known || order.ID != id || order.State != rollout.Running {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	x := d.all[id]
	if x == nil {
		x = &deciding{Decider: rollout.NewDecider(order, d.bounds, time.Now())}
		d.all[id] = x
		if order.Acknowledged {
			go d.recall(context.WithoutCancel(ctx), id)
		}
	}
	x.SetOrder(order)
	x.Take(time.Now(), report)
}

// plan returns the plan as of now; false: there is none, or its decider has stopped.
func (d *deciders) plan(id rollout.ID) (rollout.Plan, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	x := d.all[id]
	if x == nil || x.at.IsZero() || time.Since(x.at) > planHolds {
		return rollout.Plan{}, false
	}
	p, age := x.plan, time.Since(x.at)
	p.StopIn -= age
	p.SurgeIn -= age
	return p, true
}

// decide decides a rollout anew and returns its plan.
func (d *deciders) decide(ctx context.Context, id rollout.ID) rollout.Plan {
	facts := d.state.facts(id.Service)
	for _, m := range d.views.Load().Members {
		if m.State != member.Dead {
			facts.Daemons++
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	x := d.all[id]
	if x == nil {
		return rollout.Plan{}
	}
	x.plan, x.at = x.Tick(time.Now(), facts), time.Now()
	verdict := x.Verdict()
	if verdict.State != rollout.Running && !x.told {
		x.told = true
		d.logVerdict(id, verdict, facts, x.OldRuns())
	}
	d.write(ctx, x, verdict)
	return x.plan
}

func (d *deciders) logVerdict(id rollout.ID, v rollout.Verdict, f rollout.Facts, oldRuns int) {
	d.log.WithFields(logrus.Fields{
		"service": id.Service, "to": id.To, "outcome": v.State.String(), "reason": v.Reason, "route": v.Route,
		"new_runs": v.New.Runs, "new_failed": v.New.Failed, "new_broken": v.New.Broken, "new_slow": v.New.Slow,
		"old_runs": v.Old.Runs, "old_failed": v.Old.Failed, "old_broken": v.Old.Broken, "old_slow": v.Old.Slow,
		"value": v.Value, "new_servers": f.NewServers, "old_servers": f.OldServers, "old_running": oldRuns,
	}).Info("Rollout is decided.")
}
