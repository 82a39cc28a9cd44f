package gateway

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lycheekeel/lycheekeel/internal/gateway/wire"
	"github.com/lycheekeel/lycheekeel/internal/peer"
	"github.com/lycheekeel/lycheekeel/member"
	"github.com/lycheekeel/lycheekeel/quota"
)

const (
	// tellEvery is how often the other daemons are told what was let through:
	// what they let through meanwhile goes beyond the quota.
	tellEvery = 200 * time.Millisecond
	// tellAllEvery is how often all is told, so that a lost message counts
	// for no longer. It is below quota.SilentAfter.
	tellAllEvery = time.Second
)

// usages tells the other daemons what was let through of the quotas, and
// hears them.
type usages struct {
	ledger      *quota.Ledger
	budgets     *budgets
	transport   peer.Transport
	views       *member.Live
	incarnation uint64
	view        *member.View
	others      []peer.Name
	toldAll     time.Time
}

func newUsages(l *quota.Ledger, b *budgets, t peer.Transport, views *member.Live) *usages {
	u := &usages{ledger: l, budgets: b, transport: t, views: views, incarnation: uint64(time.Now().UnixNano())}
	t.Handle(peer.TypeQuota, u.heard)
	return u
}

// Run tells until ctx ends.
func (u *usages) Run(ctx context.Context) {
	t := time.NewTicker(tellEvery)
	defer t.Stop()
	for {
		u.tell(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (u *usages) tell(now time.Time) {
	u.look()
	all := now.Sub(u.toldAll) >= tellAllEvery
	uses := u.ledger.Tell(all)
	if len(u.others) == 0 || len(uses) == 0 && !all {
		return
	}
	if all {
		u.toldAll = now
	}
	m := &wire.Usages{Incarnation: u.incarnation}
	for _, use := range uses {
		m.Usages = append(m.Usages, &wire.Usage{Workspace: use.Workspace, Used: use.Used})
	}
	payload, err := proto.Marshal(m)
	if err != nil {
		return // only strings that are no UTF-8 fail, which a configuration can't hold
	}
	for _, name := range u.others {
		// One that can't be reached counts this daemon as silent.
		_ = u.transport.Send(name, peer.TypeQuota, payload)
	}
}

// look takes a new view's members.
func (u *usages) look() {
	view := u.views.Load()
	if view == u.view {
		return
	}
	u.view, u.others = view, nil
	var names []string
	for _, m := range view.Members {
		if m.Name != view.Self && m.State != member.Dead {
			u.others = append(u.others, peer.Name(m.Name))
			names = append(names, m.Name)
		}
	}
	u.ledger.Members(names)
	u.budgets.share(len(names) + 1)
}

func (u *usages) heard(_ context.Context, from peer.Name, payload []byte) ([]byte, error) {
	var m wire.Usages
	if err := proto.Unmarshal(payload, &m); err != nil {
		return nil, err
	}
	uses := make([]quota.Use, 0, len(m.Usages))
	for _, use := range m.Usages {
		uses = append(uses, quota.Use{Workspace: use.Workspace, Used: use.Used})
	}
	u.ledger.Heard(string(from), m.Incarnation, uses)
	return nil, nil
}
