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
	// quotaSyncInterval is how often quota usage is reported. It takes up to three
	// intervals to reach all daemons (daemon, hub, hub, daemon); what they admit
	// meanwhile may exceed the quota.
	quotaSyncInterval = 80 * time.Millisecond
	// quotaIdleInterval is how often a daemon without new usage sends a batch, to get
	// the others' usage. It is far below quota.SilenceTimeout.
	quotaIdleInterval = 3 * quotaSyncInterval
	// hubFullSyncInterval is how often hubs send each other complete reports, which
	// bounds the effect of a lost message. It is below quota.SilenceTimeout.
	hubFullSyncInterval = 500 * time.Millisecond
	// hubTimeout is how long a daemon waits for a hub's answer before it reports to
	// another: five consecutive answers are missing by then.
	hubTimeout = 5 * quotaSyncInterval
)

// quotaSync exchanges quota usage with the other daemons through a hub, and acts as a
// hub for the daemons that report to it.
type quotaSync struct {
	limiter     *quota.Limiter
	exchange    *quota.Exchange
	budgets     *retryBudgets
	transport   peer.Transport
	currentView *member.CurrentView
	log         *logrus.Entry

	mu              sync.Mutex
	view            *member.View
	shareHolders    *shareHolders
	others          []string // the other daemons that have a share
	route           hubRoute
	hubIndex        int       // of route.candidates: the hub that this daemon reports to
	lastSent        time.Time // when the last batch was sent
	unansweredSince time.Time // when the first unanswered batch was sent; zero: none
	lastFullSync    time.Time // when the last complete report was sent to the other hubs
	targetHubs      map[string]bool
}

func newQuotaSync(l *quota.Limiter, b *retryBudgets, t peer.Transport, view *member.CurrentView, now func() time.Time) *quotaSync {
	q := &quotaSync{
		limiter: l, exchange: quota.NewExchange(l, now, uint64(now().UnixNano())),
		budgets: b, transport: t, currentView: view, log: logs.For("quotas"), shareHolders: newShareHolders(),
	}
	t.Handle(peer.TypeQuotaBatch, q.handleBatch)
	t.Handle(peer.TypeQuotaAnswer, q.handleAnswer)
	t.Handle(peer.TypeQuotaHubReport, q.handleGroup)
	return q
}

// Run reports until ctx ends.
func (q *quotaSync) Run(ctx context.Context) {
	t := time.NewTicker(quotaSyncInterval)
	defer t.Stop()
	for {
		q.tick(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// tick reports new usage: as a hub to the other hubs, else to this daemon's hub.
func (q *quotaSync) tick(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.refreshView(now)
	if len(q.others) == 0 || q.limiter.Empty() {
		return
	}
	if q.route.candidates[q.hubIndex] == q.view.Self || q.exchange.HasReporters() {
		q.unansweredSince = time.Time{}
		q.exchange.ActAsHub()
		q.sendGroup(now)
		return
	}
	q.sendBatch(now)
}

// refreshView takes over a new membership view and its share holders.
func (q *quotaSync) refreshView(now time.Time) {
	view := q.currentView.Load()
	if view == q.view && !q.shareHolders.due(now) {
		return
	}
	q.others = q.shareHolders.others(view, now)
	if view != q.view {
		q.view = view
		q.route, q.hubIndex = newHubRoute(view), 0
	}
	q.limiter.SetMembers(q.others)
	q.budgets.setDaemons(len(q.others) + 1)
}

// sendBatch sends a batch to the hub, or selects the next candidate if the hub has
// not answered for hubTimeout.
func (q *quotaSync) sendBatch(now time.Time) {
	if !q.unansweredSince.IsZero() && now.Sub(q.unansweredSince) > hubTimeout {
		prev := q.route.candidates[q.hubIndex]
		q.hubIndex = (q.hubIndex + 1) % len(q.route.candidates)
		q.unansweredSince = time.Time{}
		q.log.WithFields(logrus.Fields{"hub": q.route.candidates[q.hubIndex], "before": prev}).Info("Quota hub does not answer.")
		return
	}
	if q.unansweredSince.IsZero() && !q.limiter.HasUnreported() && now.Sub(q.lastSent) < quotaIdleInterval {
		return
	}
	b := q.exchange.NextBatch()
	q.lastSent = now
	if q.unansweredSince.IsZero() {
		q.unansweredSince = now
	}
	q.send(q.route.candidates[q.hubIndex], peer.TypeQuotaBatch, &wire.QuotaBatch{
		Incarnation: b.Incarnation, Number: b.Number, Uses: usesToWire(b.Usage), Hub: b.Hub, Version: b.Version, Behind: b.Incomplete,
	})
}

// sendGroup reports the usage of this hub's daemons to the other hubs: those that the
// view names, and those that became hubs because daemons report to them.
func (q *quotaSync) sendGroup(now time.Time) {
	targets := map[string]bool{}
	for _, name := range append(q.exchange.LiveHubs(), q.route.hubs...) {
		targets[name] = name != q.view.Self
	}
	full := now.Sub(q.lastFullSync) >= hubFullSyncInterval
	for name := range targets {
		full = full || !q.targetHubs[name]
	}
	q.targetHubs = targets
	if full {
		q.lastFullSync = now
	}
	g := q.exchange.NextHubReport(full)
	if len(g.Usage) == 0 && !full {
		return
	}
	m := &wire.QuotaGroup{
		Incarnation: g.Incarnation, Sequence: g.Sequence, Complete: g.Complete, Uses: usesToWire(g.Usage),
		Levels: usesToWire(g.Levels), Daemons: g.Daemons, Silent: g.Silent, AgeMs: toMs(g.Age), RunningMs: toMs(g.Uptime),
	}
	for name, other := range targets {
		if other {
			q.send(name, peer.TypeQuotaHubReport, m)
		}
	}
}

// send sends a message. A lost one is harmless: batches are repeated until they are
// acknowledged, and hub reports hold totals.
func (q *quotaSync) send(to string, t peer.Type, m proto.Message) {
	payload, err := proto.Marshal(m)
	if err != nil {
		q.log.WithField("type", t).WithError(err).Error("Message can't be encoded.")
		return
	}
	if err := q.transport.Send(peer.Name(to), t, payload); err != nil {
		q.log.WithFields(logrus.Fields{"to": to, "type": t}).WithError(err).Debug("Message not sent.")
	}
}

// handleBatch answers a daemon's batch.
func (q *quotaSync) handleBatch(_ context.Context, from peer.Name, payload []byte) ([]byte, error) {
	var m wire.QuotaBatch
	if err := proto.Unmarshal(payload, &m); err != nil {
		return nil, err
	}
	a := q.exchange.HandleBatch(string(from), quota.Batch{
		Incarnation: m.Incarnation, Number: m.Number, Usage: usesFromWire(m.Uses), Hub: m.Hub, Version: m.Version, Incomplete: m.Behind,
	})
	q.send(string(from), peer.TypeQuotaAnswer, &wire.QuotaAnswer{
		Hub: a.Hub, Version: a.Version, Number: a.Number,
		Others: usesToWire(a.Others), Levels: usesToWire(a.Levels),
		Silent: a.Silent, AgeMs: toMs(a.Age),
	})
	return nil, nil
}

// handleAnswer applies a hub's answer.
func (q *quotaSync) handleAnswer(_ context.Context, _ peer.Name, payload []byte) ([]byte, error) {
	var m wire.QuotaAnswer
	if err := proto.Unmarshal(payload, &m); err != nil {
		return nil, err
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	acknowledged := q.exchange.HandleAnswer(quota.Answer{
		Hub: m.Hub, Version: m.Version, Number: m.Number, Others: usesFromWire(m.Others), Levels: usesFromWire(m.Levels),
		Silent: m.Silent, Age: milliseconds(m.AgeMs),
	}, q.others)
	if acknowledged {
		q.unansweredSince = time.Time{}
	}
	return nil, nil
}

// handleGroup applies another hub's report.
func (q *quotaSync) handleGroup(_ context.Context, from peer.Name, payload []byte) ([]byte, error) {
	var m wire.QuotaGroup
	if err := proto.Unmarshal(payload, &m); err != nil {
		return nil, err
	}
	q.exchange.HandleHubReport(string(from), quota.HubReport{
		Incarnation: m.Incarnation, Sequence: m.Sequence, Complete: m.Complete, Usage: usesFromWire(m.Uses),
		Levels: usesFromWire(m.Levels), Daemons: m.Daemons, Silent: m.Silent, Age: milliseconds(m.AgeMs), Uptime: milliseconds(m.RunningMs),
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

func usesFromWire(uses []*wire.Use) []quota.Usage {
	out := make([]quota.Usage, 0, len(uses))
	for _, u := range uses {
		out = append(out, quota.Usage{Workspace: u.Workspace, Amount: u.Amount})
	}
	return out
}
