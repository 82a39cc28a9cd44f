package rollout

import "sync"

// Bounds are the operators' promises on rollouts, for all daemons together.
type Bounds struct {
	// Share is the largest part of a service's requests that a bad version may get
	// between the order and its deadline, Slack so many requests more.
	Share float64
	Slack float64
}

const (
	// trialShare is the part of the bound's share that is spent on trying the new
	// version. The rest is for the hand-over, during which it gets more.
	trialShare = 0.6
	// trialSlack is the part of the slack that the daemons may save up together.
	trialSlack = 0.5
)

// TrialShare returns the part of the requests that tries the new version.
func (b Bounds) TrialShare() float64 { return trialShare * b.Share }

// Exposure is one daemon's budget of requests that may try the new version: a part
// of those that it has sent to the service. The parts of all daemons add up to the
// part of all requests, so that no daemon has to ask another one.
//
// What goes wrong with a share that is drawn for each request alone: requests that
// are refused after they were drawn count, and a new version that answers while the
// old one sheds gets more than its share of what reaches the servers. It is safe for
// concurrent use.
type Exposure struct {
	mu     sync.Mutex
	credit float64
	share  float64
}

// NewExposure returns a budget of a share. Chance, below 1, is drawn at random: it
// spreads over time the first trials of daemons that start together.
func NewExposure(share float64, b Bounds, daemons int, chance float64) *Exposure {
	part := trialSlack * b.Slack / float64(max(1, daemons))
	return &Exposure{share: share, credit: chance * min(1, 2*part)}
}

// SetShare changes the share of the requests to come.
func (e *Exposure) SetShare(share float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.share = share
}

// Sent counts a request that was sent to the service.
func (e *Exposure) Sent() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.credit = min(e.credit+e.share, maxCredit)
}

// maxCredit bounds what is saved up: a daemon whose trials find no slot for a while
// must not send a burst of them afterwards.
const maxCredit = 3

// Take spends the credit for one request, if there is any.
func (e *Exposure) Take() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.share <= 0 || e.credit < 1 {
		return false
	}
	e.credit--
	return true
}

// Return gives back what was taken for a request that was not sent.
func (e *Exposure) Return() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.credit = min(e.credit+1, maxCredit)
}
