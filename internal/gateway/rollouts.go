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
	"github.com/lycheekeel/lycheekeel/rollout"
)

const (
	// reportEvery is how often a daemon reports while a rollout runs, and learns the
	// plan. A bad version gets requests for about so long after it was proved bad.
	reportEvery = 400 * time.Millisecond
	// reportTimeout bounds a report's way there and back.
	reportTimeout = time.Second
	// planHolds is for how long a plan is gone by. A daemon that the deciding one does
	// not answer sends no canaries after that.
	planHolds = 2500 * time.Millisecond
	// rolloutTick is how often a rollout is decided anew.
	rolloutTick = 200 * time.Millisecond
)

// rollouts are a daemon's part in the rollouts: it divides its requests by the plan
// of the daemon that decides, which is found as the owner of a pool is, and reports to it
// how they went. It implements forward.Rollouts.
type rollouts struct {
	state  *state
	bounds rollout.Bounds
	log    *logrus.Entry
	count  rolloutCounters
	// enabled is set where the operators allow rollouts.
	enabled bool
	// active are the rollouts that run, by service; replaced, never changed.
	active atomic.Pointer[map[string]*participation]

	// What follows is set once the daemon has joined the others.
	region    string
	transport peer.Transport
	views     *member.CurrentView
	owner     func(service, region string) (string, bool)
	deciders  *deciders
	started   uint64
}

type rolloutCounters struct{ canaries, noSlot, failed, abandoned *expvar.Int }

// participation is one rollout as a daemon takes part in it.
type participation struct {
	id       rollout.ID
	known    time.Time
	budget   *rollout.Budget
	recorder *rollout.Recorder
	plan     atomic.Pointer[heardPlan]
	// reporting is set while a report is under way; the fields below are its own.
	reporting atomic.Bool
	number    uint64
	toldTo    string
}

// heardPlan is a plan with when it was heard.
type heardPlan struct {
	rollout.Plan
	at time.Time
}

func newRollouts(s *state, b BoundsSettings, m *metrics.Registry) *rollouts {
	r := &rollouts{
		state: s, bounds: rollout.Bounds{Share: b.CanaryShare, Slack: b.CanarySlack}, log: logs.For("rollout"),
		count: rolloutCounters{
			canaries: m.Counter("rollouts", "canaries"), noSlot: m.Counter("rollouts", "no_slot"),
			failed: m.Counter("rollouts", "canaries_failed"), abandoned: m.Counter("rollouts", "canaries_abandoned"),
		},
	}
	r.active.Store(&map[string]*participation{})
	r.enabled = b.CanaryShare > 0
	s.rollouts = newKnownRollouts(r.enabled)
	s.canaries = r.canaryServers
	return r
}

// join makes the parts that act together with the other daemons.
func (r *rollouts) join(region string, t peer.Transport, views *member.CurrentView, owner func(service, region string) (string, bool)) {
	r.region, r.transport, r.views, r.owner = region, t, views, owner
	r.started = uint64(time.Now().UnixNano())
	r.deciders = newDeciders(r.state, r.bounds, views, r.log)
	t.Handle(peer.TypeRolloutReport, r.takeReport)
}

// Run takes part in rollouts until ctx ends.
func (r *rollouts) Run(ctx context.Context) {
	if !r.enabled {
		return
	}
	for ctx.Err() == nil {
		r.follow()
		for service, t := range *r.active.Load() {
			r.takePart(ctx, service, t)
		}
		wait.For(ctx, rolloutTick)
	}
}

// follow takes up new rollouts and drops those that have an outcome or were withdrawn.
func (r *rollouts) follow() {
	before, changed := *r.active.Load(), false
	now := map[string]*participation{}
	for _, x := range r.state.allRollouts() {
		if !x.InProgress() {
			continue
		}
		t := before[x.Service]
		if t == nil || t.id != x.ID {
			t, changed = r.takeUp(x), true
		}
		now[x.Service] = t
	}
	for service, t := range before {
		if now[service] != t {
			changed = true
			r.log.WithFields(logrus.Fields{"service": service, "to": t.id.To}).Info("Rollout is over.")
		}
	}
	if changed {
		r.active.Store(&now)
	}
	r.deciders.keep(now)
}

func (r *rollouts) takeUp(x rollout.Rollout) *participation {
	r.log.WithFields(logrus.Fields{"service": x.Service, "to": x.To, "within_s": x.Duration.Seconds(), "revision": x.Revision}).
		Info("Rollout begins.")
	return &participation{
		id: x.ID, known: time.Now(), recorder: rollout.NewRecorder(),
		budget: rollout.NewBudget(0, r.bounds, len(r.views.Load().Members), rand.Float64()),
	}
}

// takePart decides where this daemon owns the service's pool, and reports otherwise.
func (r *rollouts) takePart(ctx context.Context, service string, t *participation) {
	owner, ok := r.owner(service, r.region)
	if !ok || !t.reporting.CompareAndSwap(false, true) {
		return
	}
	if owner == r.views.Load().Self {
		defer t.reporting.Store(false)
		r.deciders.take(ctx, t.id, r.report(t, owner))
		r.hear(service, t, r.deciders.decide(ctx, t.id))
		return
	}
	if heard := t.plan.Load(); heard != nil && time.Since(heard.at) < reportEvery-rolloutTick/2 {
		t.reporting.Store(false)
		return
	}
	go func() {
		defer t.reporting.Store(false)
		r.tell(ctx, service, t, owner)
	}()
}

// report returns what is to be told to the daemon that decides.
func (r *rollouts) report(t *participation, to string) rollout.Report {
	t.number++
	all := to != t.toldTo
	t.toldTo = to
	return rollout.Report{
		Reporter: r.views.Load().Self, Incarnation: r.started, Number: t.number, Age: time.Since(t.known),
		Cells: t.recorder.TakeChanged(all),
	}
}

// tell reports to the daemon that decides, and takes the plan.
func (r *rollouts) tell(ctx context.Context, service string, t *participation, to string) {
	report := r.report(t, to)
	plan, err := r.call(ctx, t.id, report, to)
	if err != nil {
		t.recorder.MarkChanged(report.Cells)
		r.log.WithFields(logrus.Fields{"service": service, "of": to}).WithError(err).Debug("Plan of the rollout not heard.")
		return
	}
	r.hear(service, t, plan)
}

func (r *rollouts) call(ctx context.Context, id rollout.ID, report rollout.Report, to string) (rollout.Plan, error) {
	payload, err := proto.Marshal(reportToWire(id, report))
	if err != nil {
		return rollout.Plan{}, errors.Wrap(err, "encode the report")
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	answer, err := r.transport.Call(ctx, peer.Name(to), peer.TypeRolloutReport, payload)
	if err != nil {
		return rollout.Plan{}, err
	}
	var m wire.RolloutPlan
	if err := proto.Unmarshal(answer, &m); err != nil {
		return rollout.Plan{}, errors.Wrap(err, "decode the plan")
	}
	return planOf(&m), nil
}

// hear goes by a plan from now on.
func (r *rollouts) hear(service string, t *participation, p rollout.Plan) {
	before := t.plan.Swap(&heardPlan{p, time.Now()})
	t.budget.SetShare(p.CanaryShare)
	if before == nil || before.Phase != p.Phase {
		r.log.WithFields(logrus.Fields{"service": service, "to": t.id.To, "phase": p.Phase.String(), "share": p.CanaryShare}).
			Info("Rollout has another phase.")
	}
	if before == nil || before.OpenAll != p.OpenAll {
		r.state.rebuildPools()
	}
}

// takeReport answers another daemon's report.
func (r *rollouts) takeReport(ctx context.Context, from peer.Name, payload []byte) ([]byte, error) {
	var m wire.RolloutReport
	if err := proto.Unmarshal(payload, &m); err != nil {
		return nil, errors.Wrap(err, "decode the report")
	}
	id, report := reportOf(&m, string(from))
	r.deciders.take(ctx, id, report)
	plan, ok := r.deciders.plan(id)
	if !ok {
		return nil, errors.Errorf("rollout of %q is not decided here", id.Service)
	}
	return proto.Marshal(planToWire(plan))
}

// Canary implements forward.Rollouts.
func (r *rollouts) Canary(service, route string) (string, bool) {
	t := (*r.active.Load())[service]
	if t == nil {
		return "", false
	}
	heard := t.plan.Load()
	if heard == nil || time.Since(heard.at) > planHolds {
		return "", false
	}
	if heard.AllToNew(route, time.Since(heard.at)) || heard.HasCanaries() && t.budget.Take() {
		r.count.canaries.Add(1)
		return t.id.To, true
	}
	return "", false
}

// NoSlot implements forward.Rollouts.
func (r *rollouts) NoSlot(string) { r.count.noSlot.Add(1) }

// Sent implements forward.Rollouts.
func (r *rollouts) Sent(service string, first bool) bool {
	t := (*r.active.Load())[service]
	if t == nil {
		return false
	}
	if first {
		t.budget.RecordSent()
	}
	return true
}

// Ended implements forward.Rollouts.
func (r *rollouts) Ended(service string, run rollout.Run) {
	t := (*r.active.Load())[service]
	if t == nil {
		return
	}
	var limit rollout.SlowThreshold
	if heard := t.plan.Load(); heard != nil {
		limit = heard.Routes[run.Route].Slow
	}
	if run.Canary {
		r.countCanary(run.Outcome)
	}
	t.recorder.Record(run, limit)
}

func (r *rollouts) countCanary(e rollout.Outcome) {
	switch e {
	case rollout.Failed, rollout.Broken:
		r.count.failed.Add(1)
	case rollout.Abandoned:
		r.count.abandoned.Add(1)
	}
}

// canaryServers returns the servers of a new version that get canaries now: all where the
// plan has opened them, a few before, and warm ones where there are any.
func (r *rollouts) canaryServers(service string, stable int, servers []discovery.Server) []discovery.Server {
	t := (*r.active.Load())[service]
	if t == nil {
		return nil
	}
	if heard := t.plan.Load(); heard != nil && heard.OpenAll {
		return servers
	}
	warm := slices.DeleteFunc(slices.Clone(servers), func(s discovery.Server) bool { return s.Cold })
	if len(warm) == 0 {
		warm = slices.Clone(servers)
	}
	few := rollout.CanaryServers(r.bounds.CanaryShare(), stable, len(warm))
	// By a hash, so that they are spread over the availability zones.
	slices.SortFunc(warm, func(a, b discovery.Server) int {
		return cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID))
	})
	warm = warm[:few]
	slices.SortFunc(warm, func(a, b discovery.Server) int { return cmp.Compare(a.ID, b.ID) })
	return warm
}
