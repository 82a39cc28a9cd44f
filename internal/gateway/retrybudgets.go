package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/lycheekeel/lycheekeel/retry"
)

// The shares of the bound on retries that the daemons use. The rest allows for
// requests and retries that daemons count earlier or later than servers and callers
// do, and for daemons that have just joined and are not known here yet.
const (
	retryRatioShare = 0.9
	retrySlackShare = 0.8
)

// retryBudgets holds the retry budget of each service. The daemons share the slack
// of the bound: each has an equal part.
//
// The part follows the number of daemons; with a fixed part, many daemons together
// would exceed the bound. The number never decreases, since a daemon that is not
// visible still has its part. It is safe for concurrent use.
type retryBudgets struct {
	bounds     BoundsSettings
	maxDaemons atomic.Int64 // largest number seen; 0: membership not known yet
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
	x, _ := b.byService.LoadOrStore(service, retry.NewBudget(retry.Bound{
		Ratio: b.bounds.RetryRatio * retryRatioShare, Window: seconds(b.bounds.RetryWindowS), Slack: b.slack(),
	}, time.Now()))
	return x.(*retry.Budget)
}

// slack returns this daemon's part of the slack.
func (b *retryBudgets) slack() float64 {
	daemons := b.maxDaemons.Load()
	if daemons == 0 {
		return 1 // it is not known yet how many share the slack
	}
	return b.bounds.RetrySlack * retrySlackShare / float64(max(daemons, assumedDaemons))
}

// setDaemons adjusts the budgets to the number of daemons.
func (b *retryBudgets) setDaemons(daemons int) {
	if int64(daemons) > b.maxDaemons.Load() {
		b.maxDaemons.Store(int64(daemons))
	}
	slack := b.slack()
	b.byService.Range(func(_, x any) bool {
		x.(*retry.Budget).SetSlack(slack)
		return true
	})
}
