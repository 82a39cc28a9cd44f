package gateway

import (
	"sync"
	"sync/atomic"

	"github.com/lycheekeel/lycheekeel/retry"
)

// The parts of the bound on retries that the daemons use. Requests and retries
// of one window are not counted at the same moments everywhere, and daemons may
// join that are not known here yet.
const (
	retryRatioShare = 0.75
	retrySlackShare = 0.8
)

// retryBudgets holds the retry budget of each service. The slack of the bound is
// shared by the daemons: each may save up its part alone.
//
// What goes wrong with a part that does not follow their number: the more daemons
// there are, each with a fixed part of the slack, the further their retries together
// go beyond what was promised.
// The number only grows: daemons that are out of sight still have their parts.
// It is safe for concurrent use.
type retryBudgets struct {
	bounds     BoundsSettings
	maxDaemons atomic.Int64 // daemons seen at once; 0: none was met yet
	byService  sync.Map     // name to *retry.Budget
}

func newRetryBudgets(b BoundsSettings) *retryBudgets {
	return &retryBudgets{bounds: b}
}

// forService returns a service's budget.
func (b *retryBudgets) forService(service string) *retry.Budget {
	if x, ok := b.byService.Load(service); ok {
		return x.(*retry.Budget)
	}
	// A process that has just started does not know how many share the slack.
	created := retry.NewBudget(b.bounds.RetryRatio*retryRatioShare, 1)
	created.SetBurst(b.burst())
	x, _ := b.byService.LoadOrStore(service, created)
	return x.(*retry.Budget)
}

// burst is how many retries this daemon may save up.
func (b *retryBudgets) burst() float64 {
	daemons := b.maxDaemons.Load()
	if daemons == 0 {
		return 1
	}
	return max(1, b.bounds.RetrySlack*retrySlackShare/float64(max(daemons, assumedDaemons)))
}

// setDaemons divides the slack by the number of daemons that are there.
func (b *retryBudgets) setDaemons(daemons int) {
	if int64(daemons) > b.maxDaemons.Load() {
		b.maxDaemons.Store(int64(daemons))
	}
	burst := b.burst()
	b.byService.Range(func(_, x any) bool {
		x.(*retry.Budget).SetBurst(burst)
		return true
	})
}
