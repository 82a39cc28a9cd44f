package quota

import (
	"math"
	"time"

	"github.com/lycheekeel/lycheekeel/request"
	"github.com/lycheekeel/lycheekeel/route"
)

// Tolerance is how far usage may exceed a quota under the operators' bound. In any Window,
// a workspace may use at most (rate x Window + burst) x (1 + Over) + Slack.
type Tolerance struct {
	Window time.Duration
	Over   float64
	Slack  float64
}

// Shares of the tolerance and of a bucket. The part of the tolerance that is not assigned
// here covers usage that daemons admit before they hear of each other.
const (
	// overShare of Over is added to the rate.
	overShare = 0.7
	// slackRateShare of Slack is added to the rate, spread over Window.
	slackRateShare = 0.35
	// slackBurstShare of Slack is added to the burst.
	slackBurstShare = 0.2
	// maxRequiredShare of Slack, split among all daemons, is the highest level that a
	// request needs, however large it is. Otherwise small requests drain the bucket while a
	// large one waits for it to fill.
	maxRequiredShare = 0.125
	// overdraftShare of Slack is how far requests no larger than that level may overdraw a
	// bucket. Otherwise small requests are rejected because a large prompt has just
	// overdrawn it.
	overdraftShare = 0.2
	// contentionShare of Slack is how much all daemons together may admit beyond the level
	// before they hear of each other.
	contentionShare = 0.25
	// smallRequestShare of a bucket is the size up to which a request leaves no reserve to
	// more urgent tiers: a hundred plain calls save too little to justify one rejection
	// among them. Larger requests that leave a reserve must not overdraw the bucket.
	smallRequestShare = 0.01
)

const (
	// tierReserveShare of a bucket is reserved for each more urgent tier that is in use. It
	// covers random bursts of that tier.
	tierReserveShare = 0.15
	// maxReserveShare of a bucket is the most that is reserved for more urgent tiers
	// together.
	maxReserveShare = 0.6
	// tierActiveWindow is how long a tier counts as in use after its last request.
	tierActiveWindow = 5 * time.Second
	// propagationDelay is the time until one daemon's usage is known to the others.
	propagationDelay = 240 * time.Millisecond
	// demandTimeConstant is the time constant of the demanded and granted rates.
	demandTimeConstant = 2 * time.Second
	// maxDemandRatio bounds the ratio of demand to grants. After a restart everything has
	// been rejected, and what accrues must still be used.
	maxDemandRatio = 2
	// maxContendedRatio bounds it for contentionMemory after an overdraft deeper than
	// contentionShare. Such an overdraft shows that the other daemons are asked for more
	// than was estimated.
	maxContendedRatio = 8
	contentionMemory  = demandTimeConstant
	// maxWait bounds the retry delay given to a rejected caller. For a longer overload a
	// delay is no useful estimate.
	maxWait = 10 * time.Second
)

// rate returns the refill rate of a quota's bucket, in quota units per second.
func (t Tolerance) rate(q route.Quota) float64 {
	rate := q.PerSecond * (1 + overShare*t.Over)
	if t.Window > 0 {
		rate += slackRateShare * t.Slack / t.Window.Seconds()
	}
	return rate
}

// capacity returns the capacity of a quota's bucket.
func (t Tolerance) capacity(q route.Quota) float64 { return q.Burst + slackBurstShare*t.Slack }

// Take deducts cost from a workspace's bucket for a request of a tier. If the level is too
// low, it returns how long the bucket takes to accrue enough if nobody else draws on it, at
// the rate that accrues here, which is lower while other daemons are silent. One request
// may overdraw the bucket.
func (l *Limiter) Take(ws *route.Workspace, tier request.Tier, cost float64) (ok bool, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(ws)
	l.detectContention(b)
	b.lastAsked[tier] = l.now()
	now := l.now()
	required := l.requiredLevel(b, tier, cost)
	available := b.levelWithout(l.peers.suspectedFraction(), suspectTimeout, now)
	b.demandRate[tier].Add(now, cost)
	if available >= required && l.random()*l.remoteDemand(b, tier, now) <= available-required+contentionShare*l.tolerance.Slack {
		b.level -= cost
		b.unreported += cost
		b.recentTotal.add(now, cost)
		b.grantedRate.Add(now, cost)
		return true, 0
	}
	return false, timeToAccrue(max(required-available, smallRequestShare*b.maxLevel), b.rate*l.peers.share())
}

// remoteDemand estimates how much the other daemons are asked for, in tiers at least as
// urgent, before their usage is known here. If the level is lower than that, only a random
// part of the requests is admitted, so that all daemons together admit about what is left.
//
// Without it, a workspace that sends several times its quota to many daemons exceeds it:
// whenever a little has accrued, each daemon admits one more large request before it hears
// of the others, and together they exceed the quota by dozens of requests.
func (l *Limiter) remoteDemand(b *bucket, tier request.Tier, now time.Time) float64 {
	remoteRate := max(0, b.recentRemote.sum(now, SilenceTimeout)) / SilenceTimeout.Seconds()
	return remoteRate * propagationDelay.Seconds() * l.demandRatio(b, tier, now)
}

// demandRatio returns the recent ratio of demanded to granted amounts here. This daemon's
// fair share of the rate is added to both, or the rejection of a single request would look
// like an overload.
func (l *Limiter) demandRatio(b *bucket, tier request.Tier, now time.Time) float64 {
	fairRate := b.rate / float64(l.peers.daemonCount())
	asked, granted := fairRate, fairRate+b.grantedRate.PerSecond(now)
	for t := range b.demandRate[:tier+1] {
		asked += b.demandRate[t].PerSecond(now)
	}
	return min(max(1, asked/granted), b.maxDemandRatio(now))
}

// detectContention records that the bucket is overdrawn by more than all daemons together
// should admit before they hear of each other.
func (l *Limiter) detectContention(b *bucket) {
	if b.level < -contentionShare*l.tolerance.Slack {
		b.contendedAt = l.now()
	}
}

// requiredLevel returns the level that a bucket must have to admit a request.
func (l *Limiter) requiredLevel(b *bucket, tier request.Tier, cost float64) float64 {
	maxRequired := maxRequiredShare * l.tolerance.Slack / float64(max(l.peers.assumedDaemons, l.peers.daemonCount()))
	if l.tolerance.Slack == 0 {
		maxRequired = b.maxLevel
	}
	reserve := l.tierReserve(b, tier, cost)
	if cost <= maxRequired && reserve == 0 {
		return cost - overdraftShare*l.tolerance.Slack*l.peers.share()*(1-l.peers.suspectedFraction())
	}
	return min(min(cost, maxRequired)+reserve, b.maxLevel)
}

// tierReserve returns the part of a bucket that a request must leave to more urgent tiers
// of the workspace that were recently in use.
//
// Without it, a workspace above its quota spends the bucket in order of arrival, and an
// urgent request is rejected although a less urgent one has just been admitted. With a full
// bucket the reserve makes no difference.
func (l *Limiter) tierReserve(b *bucket, tier request.Tier, cost float64) float64 {
	if cost <= smallRequestShare*b.maxLevel {
		return 0
	}
	moreUrgent := 0
	for _, at := range b.lastAsked[:tier] {
		if !at.IsZero() && l.now().Sub(at) <= tierActiveWindow {
			moreUrgent++
		}
	}
	return min(tierReserveShare*float64(moreUrgent), maxReserveShare) * b.maxLevel
}

// timeToAccrue returns how long an amount takes to accrue at a rate per second, at most
// maxWait.
func timeToAccrue(amount, rate float64) time.Duration {
	return time.Duration(math.Ceil(min(amount/max(1, rate), maxWait.Seconds()) * float64(time.Second)))
}
