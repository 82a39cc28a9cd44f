package rollout

import (
	"sync"
	"time"
)

// Bounds are the operators' limits on rollouts, summed over all daemons.
type Bounds struct {
	// Share is the largest part of a service's requests that a bad version may get between
	// the request for its rollout and the deadline. Slack is the number of requests that it
	// may get in addition.
	Share float64
	Slack float64
}

const (
	// canaryShare is the part of Bounds.Share that goes to canaries by default. The rest is
	// for the cutover, in which the new version gets more.
	canaryShare = 0.6
	// canarySlackShare is the part of Bounds.Slack that all daemons together may save.
	canarySlackShare = 0.5
)

// CanaryShare returns the default fraction of requests that are canaries.
func (b Bounds) CanaryShare() float64 { return canaryShare * b.Share }

// Budget is one daemon's budget of canary requests: a fraction of the requests that it has
// sent to the service. The budgets of all daemons add up to that fraction of all requests,
// so the daemons need no coordination.
//
// Drawing each request at random would count requests that are refused after the draw: a
// new version that answers while the stable one sheds would get more than its share of the
// requests that reach the servers. Budget is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	credit float64
	share  float64
	sent   int // requests to the service
	// spikeLeft is how many requests the spike may still send to the new version; nil before it.
	spikeLeft *int
	// maxDebt bounds how far resumed streams may overdraw the credit.
	maxDebt float64
}

// NewBudget returns a budget with a share. initialFill is drawn at random from [0, 1): it
// spreads the first canaries of daemons that start together.
func NewBudget(share float64, b Bounds, daemons int, initialFill float64) *Budget {
	slackPerDaemon := canarySlackShare * b.Slack / float64(max(1, daemons))
	credit := initialFill * min(1, 2*slackPerDaemon)
	return &Budget{share: share, credit: credit, maxDebt: max(0, slackPerDaemon-credit)}
}

// SetShare changes the share of subsequent requests.
func (b *Budget) SetShare(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = share
}

// RecordSent counts a request that was sent to the service.
func (b *Budget) RecordSent() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sent++
	b.credit = min(b.credit+b.share, maxCredit)
}

// TakeSpike takes one of the requests that the spike may send to the new version: as many as
// were sent to the service in a time of its length before. elapsed is how long requests have
// been counted.
//
// Without this bound, a version that fails each request at once would get several times what
// the spike was planned for, from callers that ask again as soon as they have an answer.
func (b *Budget) TakeSpike(elapsed, length time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spikeLeft == nil {
		left := max(1, int(float64(b.sent)*length.Seconds()/max(elapsed, length).Seconds()))
		b.spikeLeft = &left
	}
	if *b.spikeLeft == 0 {
		return false
	}
	*b.spikeLeft--
	return true
}

// maxCredit bounds the saved credit, in requests, so that a daemon that sends few canaries
// for a while does not send a burst of them afterwards.
const maxCredit = 3

// TakeResume uses the credit for the rest of a stream that the new version began. It may
// overdraw the credit, since such a stream can go on nowhere else; the canaries after it then
// wait until the debt is paid.
func (b *Budget) TakeResume() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.share <= 0 || b.credit-1 < -b.maxDebt {
		return false
	}
	b.credit--
	return true
}

// Take uses the credit for one canary, if there is any. The credit is not refunded if the
// canary finds no slot: credit refunded to later requests would accumulate.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.share <= 0 || b.credit < 1 {
		return false
	}
	b.credit--
	return true
}
