package gateway

import (
	"cmp"
	"context"
	"expvar"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"github.com/lycheekeel/lycheekeel/discovery"
	"github.com/lycheekeel/lycheekeel/internal/gateway/wire"
	"github.com/lycheekeel/lycheekeel/internal/logs"
	"github.com/lycheekeel/lycheekeel/internal/metrics"
	"github.com/lycheekeel/lycheekeel/internal/peer"
	"github.com/lycheekeel/lycheekeel/internal/wait"
	"github.com/lycheekeel/lycheekeel/member"
	"github.com/lycheekeel/lycheekeel/objectstore"
	"github.com/lycheekeel/lycheekeel/rollout"
)

const (
	// reportInterval is how often a daemon reports on a running rollout and receives the
	// plan. A bad version keeps getting requests for about this time after its rejection.
	reportInterval = 400 * time.Millisecond
	// reportTimeout bounds the round trip of a report.
	reportTimeout = time.Second
	// planTTL is how long a plan is valid. A daemon without a valid plan sends no canaries.
	planTTL = 2500 * time.Millisecond
	// outcomeRetryDelay is the delay before a lost outcome is written again.
	outcomeRetryDelay = time.Second
	// rolloutTick is how often a rollout's decision is updated.
	rolloutTick = 200 * time.Millisecond
)

// rollouts is a daemon's part in the rollouts. It divides its requests by the plan of the
// deciding daemon, which is the owner of the service's pool, and reports their results to
// it. It implements forward.Rollouts.
type rollouts struct {
	state    *state
	bounds   rollout.Bounds
	log      *logrus.Entry
	counters rolloutCounters
	// enabled is set where the operators allow rollouts.
	enabled bool
	// active are the running rollouts by service; the map is replaced, never changed.
	active atomic.Pointer[map[string]*activeRollout]

	// The fields below are set by join.
	region      string
	transport   peer.Transport
	currentView *member.CurrentView
	owner       func(service, region string) (string, bool)
	deciders    *deciders
	incarnation uint64

	restoring atomic.Bool // a lost outcome is being written
}

type rolloutCounters struct{ canaries, noSlot, failed, abandoned *expvar.Int }

// activeRollout is a running rollout that this daemon takes part in.
type activeRollout struct {
	id         rollout.ID
	knownSince time.Time
	budget     *rollout.Budget
	recorder   *rollout.Recorder
	plan       atomic.Pointer[receivedPlan]
	// reporting is set while a report is being sent, and guards the fields below.
	reporting    atomic.Bool
	reportNumber uint64
	reportedTo   string
}

// receivedPlan is a plan and when it was received.
type receivedPlan struct {
	rollout.Plan
	receivedAt time.Time
}

func newRollouts(s *state, b BoundsSettings, m *metrics.Registry) *rollouts {
	r := &rollouts{
		state: s, bounds: rollout.Bounds{Share: b.CanaryShare, Slack: b.CanarySlack}, log: logs.For("rollout"),
		counters: rolloutCounters{
			canaries: m.Counter("rollouts", "canaries"), noSlot: m.Counter("rollouts", "no_slot"),
			failed: m.Counter("rollouts", "canaries_failed"), abandoned: m.Counter("rollouts", "canaries_abandoned"),
		},
	}
	r.active.Store(&map[string]*activeRollout{})
	r.enabled = b.CanaryShare > 0
	s.rollouts = newRolloutState(r.enabled)
	s.canaryServers = r.canaryServers
	return r
}

// join sets up the parts that talk to other daemons.
func (r *rollouts) join(region string, transport peer.Transport, view *member.CurrentView, owner func(service, region string) (string, bool)) {
	r.region, r.transport, r.currentView, r.owner = region, transport, view, owner
	r.incarnation = uint64(time.Now().UnixNano())
	r.deciders = newDeciders(r.state, r.bounds, view, r.log)
	transport.Handle(peer.TypeRolloutReport, r.handleReport)
}

// Run takes part in rollouts until ctx ends.
func (r *rollouts) Run(ctx context.Context) {
	if !r.enabled {
		return
	}
	for ctx.Err() == nil {
		r.refreshActive()
		r.restoreOutcomes(ctx)
		for service, a := range *r.active.Load() {
			r.step(ctx, service, a)
		}
		wait.For(ctx, rolloutTick)
	}
}

// refreshActive adds new rollouts, and removes those that have ended or were withdrawn.
func (r *rollouts) refreshActive() {
	prev, changed := *r.active.Load(), false
	next := map[string]*activeRollout{}
	for _, x := range r.state.allRollouts() {
		if !x.InProgress() {
			continue
		}
		a := prev[x.Service]
		if a == nil || a.id != x.ID {
			a, changed = r.activate(x), true
		}
		next[x.Service] = a
	}
	for service, a := range prev {
		if next[service] != a {
			changed = true
			r.log.WithFields(logrus.Fields{"service": service, "to": a.id.To}).Info("Rollout ended.")
		}
	}
	if changed {
		r.active.Store(&next)
	}
	r.deciders.retain(next)
}

// restoreOutcomes writes the final states that the store has lost.
func (r *rollouts) restoreOutcomes(ctx context.Context) {
	for _, x := range r.state.allRollouts() {
		if x.OutcomeLost && r.restoring.CompareAndSwap(false, true) {
			x.OutcomeLost = false
			go func() {
				defer r.restoring.Store(false)
				r.deciders.writeOutcome(ctx, x)
				wait.For(ctx, outcomeRetryDelay)
			}()
		}
	}
}

// activate starts to take part in a rollout.
func (r *rollouts) activate(x rollout.Rollout) *activeRollout {
	r.log.WithFields(logrus.Fields{"service": x.Service, "to": x.To, "within_s": x.Duration.Seconds(), "revision": objectstore.Version(x.Revision).Revision()}).
		Info("Rollout started.")
	return &activeRollout{
		id: x.ID, knownSince: time.Now(), recorder: rollout.NewRecorder(),
		budget: rollout.NewBudget(0, r.bounds, len(r.currentView.Load().Members), rand.Float64()),
	}
}

// step updates the decision if this daemon owns the service's pool, else reports to the
// owner.
func (r *rollouts) step(ctx context.Context, service string, a *activeRollout) {
	owner, ok := r.owner(service, r.region)
	if !ok || !a.reporting.CompareAndSwap(false, true) {
		return
	}
	if owner == r.currentView.Load().Self {
		defer a.reporting.Store(false)
		r.deciders.addReport(ctx, a.id, r.buildReport(a, owner))
		r.applyPlan(service, a, r.deciders.decide(ctx, a.id))
		return
	}
	if plan := a.plan.Load(); plan != nil && time.Since(plan.receivedAt) < reportInterval-rolloutTick/2 {
		a.reporting.Store(false)
		return
	}
	go func() {
		defer a.reporting.Store(false)
		r.sendReport(ctx, service, a, owner)
	}()
}

// buildReport returns the next report for the deciding daemon.
func (r *rollouts) buildReport(a *activeRollout, to string) rollout.Report {
	a.reportNumber++
	full := to != a.reportedTo
	a.reportedTo = to
	return rollout.Report{
		Reporter: r.currentView.Load().Self, Incarnation: r.incarnation, Number: a.reportNumber, Age: time.Since(a.knownSince),
		Cells: a.recorder.TakeChanged(full),
	}
}

// sendReport reports to the deciding daemon and applies the plan that it returns.
func (r *rollouts) sendReport(ctx context.Context, service string, a *activeRollout, to string) {
	report := r.buildReport(a, to)
	plan, err := r.callOwner(ctx, a.id, report, to)
	if err != nil {
		a.recorder.MarkChanged(report.Cells)
		r.log.WithFields(logrus.Fields{"service": service, "of": to}).WithError(err).Debug("Rollout plan not received.")
		return
	}
	r.applyPlan(service, a, plan)
}

// callOwner sends a report to the deciding daemon and returns its plan.
func (r *rollouts) callOwner(ctx context.Context, id rollout.ID, report rollout.Report, to string) (rollout.Plan, error) {
	payload, err := proto.Marshal(reportToWire(id, report))
	if err != nil {
		return rollout.Plan{}, errors.Wrap(err, "encode rollout report")
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	answer, err := r.transport.Call(ctx, peer.Name(to), peer.TypeRolloutReport, payload)
	if err != nil {
		return rollout.Plan{}, err
	}
	var m wire.RolloutPlan
	if err := proto.Unmarshal(answer, &m); err != nil {
		return rollout.Plan{}, errors.Wrap(err, "decode rollout plan")
	}
	return planFromWire(&m), nil
}

// applyPlan makes a plan the active one.
func (r *rollouts) applyPlan(service string, a *activeRollout, p rollout.Plan) {
	prev := a.plan.Swap(&receivedPlan{p, time.Now()})
	a.budget.SetShare(p.CanaryShare)
	if prev == nil || prev.Phase != p.Phase {
		r.log.WithFields(logrus.Fields{"service": service, "to": a.id.To, "phase": p.Phase.String(), "share": p.CanaryShare}).
			Info("Rollout phase changed.")
	}
	if prev == nil || prev.OpenAll != p.OpenAll {
		r.state.rebuild()
	}
}

// handleReport answers another daemon's report with the plan.
func (r *rollouts) handleReport(ctx context.Context, from peer.Name, payload []byte) ([]byte, error) {
	var m wire.RolloutReport
	if err := proto.Unmarshal(payload, &m); err != nil {
		return nil, errors.Wrap(err, "decode rollout report")
	}
	id, report := reportFromWire(&m, string(from))
	r.deciders.addReport(ctx, id, report)
	plan, ok := r.deciders.plan(id)
	if !ok {
		return nil, errors.Errorf("rollout of %q is not decided here", id.Service)
	}
	return proto.Marshal(planToWire(plan))
}

// Canary implements forward.Rollouts.
func (r *rollouts) Canary(service, route string) (string, bool) {
	a, plan := r.validPlan(service)
	if plan == nil {
		return "", false
	}
	if a.allToNew(plan, route) || plan.HasCanaries() && a.budget.Take() {
		r.counters.canaries.Add(1)
		return a.id.To, true
	}
	return "", false
}

// ResumeCanary implements forward.Rollouts.
func (r *rollouts) ResumeCanary(service, route string) bool {
	a, plan := r.validPlan(service)
	if plan == nil {
		return false
	}
	return a.allToNew(plan, route) || plan.HasCanaries() && a.budget.TakeResume()
}

// allToNew reports whether a request goes to the new version since all of its route do. A spike
// ends early once it has sent what it was planned for.
func (a *activeRollout) allToNew(plan *receivedPlan, route string) bool {
	if !plan.AllToNew(route, time.Since(plan.receivedAt)) {
		return false
	}
	return plan.Phase != rollout.PhaseCanary || a.budget.TakeSpike(time.Since(a.knownSince), plan.SpikeFor)
}

// validPlan returns a service's running rollout and its plan; a nil plan if there is none
// that is young enough.
func (r *rollouts) validPlan(service string) (*activeRollout, *receivedPlan) {
	a := (*r.active.Load())[service]
	if a == nil {
		return nil, nil
	}
	plan := a.plan.Load()
	if plan == nil || time.Since(plan.receivedAt) > planTTL {
		return nil, nil
	}
	return a, plan
}

// RecordNoSlot implements forward.Rollouts.
func (r *rollouts) RecordNoSlot(string) { r.counters.noSlot.Add(1) }

// RecordSent implements forward.Rollouts.
func (r *rollouts) RecordSent(service string, first bool) bool {
	a := (*r.active.Load())[service]
	if a == nil {
		return false
	}
	if first {
		a.budget.RecordSent()
	}
	return true
}

// RecordEnded implements forward.Rollouts.
func (r *rollouts) RecordEnded(service string, run rollout.Run) {
	a := (*r.active.Load())[service]
	if a == nil {
		return
	}
	var limit rollout.SlowThreshold
	if plan := a.plan.Load(); plan != nil {
		limit = plan.Routes[run.Route].Slow
	}
	if run.Canary {
		r.countCanary(run.Outcome)
	}
	a.recorder.Record(run, limit)
}

func (r *rollouts) countCanary(outcome rollout.Outcome) {
	switch outcome {
	case rollout.Failed, rollout.Broken:
		r.counters.failed.Add(1)
	case rollout.Abandoned:
		r.counters.abandoned.Add(1)
	}
}

// canaryServers returns the servers of a new version that get canaries now: all if the
// plan allows it, else a few, which are warm ones if there are any.
func (r *rollouts) canaryServers(service string, stable int, servers []discovery.Server) []discovery.Server {
	a := (*r.active.Load())[service]
	if a == nil {
		return nil
	}
	if plan := a.plan.Load(); plan != nil && plan.OpenAll {
		return servers
	}
	warm := slices.DeleteFunc(slices.Clone(servers), func(s discovery.Server) bool { return s.Cold })
	if len(warm) == 0 {
		warm = slices.Clone(servers)
	}
	n := rollout.CanaryServers(r.bounds.CanaryShare(), stable, len(warm))
	// Hash order spreads them over the availability zones.
	slices.SortFunc(warm, func(a, b discovery.Server) int {
		return cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID))
	})
	warm = warm[:n]
	slices.SortFunc(warm, func(a, b discovery.Server) int { return cmp.Compare(a.ID, b.ID) })
	return warm
}
