package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"github.com/lycheekeel/lycheekeel/internal/gateway/wire"
	"github.com/lycheekeel/lycheekeel/internal/logs"
	"github.com/lycheekeel/lycheekeel/internal/peer"
	"github.com/lycheekeel/lycheekeel/member"
	"github.com/lycheekeel/lycheekeel/quota"
)

const (
	// tellEvery is how often what was let through is told. It takes up to three
	// of them until all daemons know (daemon, hub, hub, daemon), and what they
	// let through meanwhile goes beyond the quota.
	tellEvery = 80 * time.Millisecond
	// askEvery is how often a daemon that lets nothing through asks what the
	// others do. It is far below quota.SilenceTimeout.
	askEvery = 3 * tellEvery
	// tellAllEvery is how often hubs tell each other all, so that a lost
	// message counts for no longer. It is below quota.SilenceTimeout.
	tellAllEvery = 500 * time.Millisecond
	// hubTimeout is how long a daemon waits for a hub's answer before it goes to
	// another: five answers of it in a row are missing by then.
	hubTimeout = 5 * tellEvery
)

// quotas tells the other daemons what was let through of the quotas, by way of
// a hub, and is one itself for the daemons that report to it.
type quotas struct {
	ledger    *quota.Limiter
	exchange  *quota.Exchange
	budgets   *budgets
	transport peer.Transport
	views     *member.CurrentView
	log       *logrus.Entry

	mu      sync.Mutex
	view    *member.View
	sharers *sharers
	others  []string // the other daemons that have a share
	route   hubRoute
	at      int       // of route.candidates: the hub that is reported to
	sent    time.Time // the last report
	asked   time.Time // the first report without an answer; zero: none
	told    time.Time // when all was told to the other hubs
	hubs    map[string]bool
}

func newQuotas(l *quota.Limiter, b *budgets, t peer.Transport, views *member.CurrentView, now func() time.Time) *quotas {
	q := &quotas{
		ledger: l, exchange: quota.NewExchange(l, now, uint64(now().UnixNano())),
		budgets: b, transport: t, views: views, log: logs.For("quotas"), sharers: newSharers(),
	}
	t.Handle(peer.TypeQuotaBatch, q.report)
	t.Handle(peer.TypeQuotaAnswer, q.learn)
	t.Handle(peer.TypeQuotaGroup, q.takeGroup)
	return q
}

// Run tells until ctx ends.
func (q *quotas) Run(ctx context.Context) {
	t := time.NewTicker(tellEvery)
	defer t.Stop()
	for {
		q.tell(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (q *quotas) tell(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.look(now)
	if len(q.others) == 0 || q.ledger.Empty() {
		return
	}
	if q.route.candidates[q.at] == q.view.Self || q.exchange.HasReporters() {
		q.asked = time.Time{}
		q.exchange.ActAsHub()
		q.tellHubs(now)
		return
	}
	q.reportTo(now)
}

// look takes a new view's members.
func (q *quotas) look(now time.Time) {
	view := q.views.Load()
	if view == q.view && !q.sharers.due(now) {
		return
	}
	q.others = q.sharers.others(view, now)
	if view != q.view {
		q.view = view
		q.route, q.at = routeToHub(view), 0
	}
	q.ledger.SetMembers(q.others)
	q.budgets.share(len(q.others) + 1)
}

// reportTo sends the batch to the hub, or to the next candidate if that does
// not answer.
func (q *quotas) reportTo(now time.Time) {
	if !q.asked.IsZero() && now.Sub(q.asked) > hubTimeout {
		was := q.route.candidates[q.at]
		q.at = (q.at + 1) % len(q.route.candidates)
		q.asked = time.Time{}
		q.log.WithFields(logrus.Fields{"hub": q.route.candidates[q.at], "before": was}).Info("Hub of the quotas does not answer.")
		return
	}
	if q.asked.IsZero() && !q.ledger.HasUnreported() && now.Sub(q.sent) < askEvery {
		return
	}
	b := q.exchange.NextBatch()
	q.sent = now
	if q.asked.IsZero() {
		q.asked = now
	}
	q.send(q.route.candidates[q.at], peer.TypeQuotaBatch, &wire.QuotaBatch{
		Incarnation: b.Incarnation, Number: b.Number, Uses: usesToWire(b.Usage), Hub: b.Hub, Version: b.Version, Behind: b.Incomplete,
	})
}

// tellHubs tells the other hubs what the daemons of this one let through: those
// of the view, and those that are hubs by their own.
func (q *quotas) tellHubs(now time.Time) {
	targets := map[string]bool{}
	for _, name := range append(q.exchange.LiveHubs(), q.route.hubs...) {
		targets[name] = name != q.view.Self
	}
	all := now.Sub(q.told) >= tellAllEvery
	for name := range targets {
		all = all || !q.hubs[name]
	}
	q.hubs = targets
	if all {
		q.told = now
	}
	g := q.exchange.NextHubReport(all)
	if len(g.Usage) == 0 && !all {
		return
	}
	m := &wire.QuotaGroup{
		Incarnation: g.Incarnation, Sequence: g.Sequence, Complete: g.Complete, Uses: usesToWire(g.Usage),
		Levels: usesToWire(g.Levels), Daemons: g.Daemons, Silent: g.Silent, AgeMs: inMs(g.Age), RunningMs: inMs(g.Uptime),
	}
	for name, other := range targets {
		if other {
			q.send(name, peer.TypeQuotaGroup, m)
		}
	}
}

// send sends a message. One that is lost is made up for: batches are sent until
// they are acknowledged, and groups hold counts, not changes.
func (q *quotas) send(to string, t peer.Type, m proto.Message) {
	payload, err := proto.Marshal(m)
	if err != nil {
		q.log.WithField("type", t).WithError(err).Error("Message can't be encoded.")
		return
	}
	if err := q.transport.Send(peer.Name(to), t, payload); err != nil {
		q.log.WithFields(logrus.Fields{"to": to, "type": t}).WithError(err).Debug("Not sent.")
	}
}

// report answers a daemon's batch.
func (q *quotas) report(_ context.Context, from peer.Name, payload []byte) ([]byte, error) {
	var m wire.QuotaBatch
	if err := proto.Unmarshal(payload, &m); err != nil {
		return nil, err
	}
	a := q.exchange.HandleBatch(string(from), quota.Batch{
		Incarnation: m.Incarnation, Number: m.Number, Usage: usesOf(m.Uses), Hub: m.Hub, Version: m.Version, Incomplete: m.Behind,
	})
	q.send(string(from), peer.TypeQuotaAnswer, &wire.QuotaAnswer{
		Hub: a.Hub, Version: a.Version, Number: a.Number,
		Others: usesToWire(a.Others), Levels: usesToWire(a.Levels),
		Silent: a.Silent, AgeMs: inMs(a.Age),
	})
	return nil, nil
}

func (q *quotas) learn(_ context.Context, _ peer.Name, payload []byte) ([]byte, error) {
	var m wire.QuotaAnswer
	if err := proto.Unmarshal(payload, &m); err != nil {
		return nil, err
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	acknowledged := q.exchange.HandleAnswer(quota.Answer{
		Hub: m.Hub, Version: m.Version, Number: m.Number, Others: usesOf(m.Others), Levels: usesOf(m.Levels),
		Silent: m.Silent, Age: milliseconds(m.AgeMs),
	}, q.others)
	if acknowledged {
		q.asked = time.Time{}
	}
	return nil, nil
}

func (q *quotas) takeGroup(_ context.Context, from peer.Name, payload []byte) ([]byte, error) {
	var m wire.QuotaGroup
	if err := proto.Unmarshal(payload, &m); err != nil {
		return nil, err
	}
	q.exchange.HandleHubReport(string(from), quota.HubReport{
		Incarnation: m.Incarnation, Sequence: m.Sequence, Complete: m.Complete, Usage: usesOf(m.Uses),
		Levels: usesOf(m.Levels), Daemons: m.Daemons, Silent: m.Silent, Age: milliseconds(m.AgeMs), Uptime: milliseconds(m.RunningMs),
	})
	return nil, nil
}

func usesToWire(uses []quota.Usage) []*wire.Use {
	out := make([]*wire.Use, 0, len(uses))
	for _, u := range uses {
		out = append(out, &wire.Use{Workspace: u.Workspace, Amount: u.Amount})
	}
	return out
}

func usesOf(uses []*wire.Use) []quota.Usage {
	out := make([]quota.Usage, 0, len(uses))
	for _, u := range uses {
		out = append(out, quota.Usage{Workspace: u.Workspace, Amount: u.Amount})
	}
	return out
}
