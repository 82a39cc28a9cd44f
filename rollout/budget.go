package rollout

import "sync"

// Bounds are the operators' promises on rollouts, for all daemons together.
type Bounds struct {
	// Share is the largest part of a service's requests that a bad version may get
	// between the request for its rollout and the deadline, Slack so many requests more.
	Share float64
	Slack float64
}

const (
	// canaryShare is the part of the bound's share that goes to canary requests while
	// nothing better is known. The rest is for the cutover, during which the new version
	// gets more.
	canaryShare = 0.6
	// canarySlackShare is the part of the slack that the daemons may save up together.
	canarySlackShare = 0.5
)

// CanaryShare returns the usual part of the requests that are canaries.
func (b Bounds) CanaryShare() float64 { return canaryShare * b.Share }

// Budget is one daemon's budget of canary requests: a part of those that it has sent to
// the service. The parts of all daemons add up to the part of all requests, so that no
// daemon has to ask another one.
//
// What goes wrong with a share that is drawn for each request alone: requests that are
// refused after they were drawn count, and a new version that answers while the stable one
// sheds gets more than its share of what reaches the servers. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	credit float64
	share  float64
}

// NewBudget returns a budget of a share. Chance, below 1, is drawn at random: it spreads
// over time the first canaries of daemons that start together.
func NewBudget(share float64, b Bounds, daemons int, initialFill float64) *Budget {
	slackPerDaemon := canarySlackShare * b.Slack / float64(max(1, daemons))
	return &Budget{share: share, credit: initialFill * min(1, 2*slackPerDaemon)}
}

// SetShare changes the share of the requests to come.
func (b *Budget) SetShare(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = share
}

// RecordSent counts a request that was sent to the service.
func (b *Budget) RecordSent() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credit = min(b.credit+b.share, maxCredit)
}

// maxCredit bounds what is saved up: a daemon that sends few canaries for a while must not
// send a burst of them afterwards.
const maxCredit = 3

// Take spends the credit for one canary, if there is any. It is spent for good, though the
// canary may find no slot: what is given back for others than it was taken for adds up.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.share <= 0 || b.credit < 1 {
		return false
	}
	b.credit--
	return true
}
