package quota

import (
	"math"
	"time"

	"github.com/lycheekeel/lycheekeel/request"
	"github.com/lycheekeel/lycheekeel/route"
)

// Tolerance is what the operators' bound lets through beyond a quota: in
// any Window at most (rate x Window + burst) x (1 + Over) + Slack.
type Tolerance struct {
	Window time.Duration
	Over   float64
	Slack  float64
}

// The parts of the tolerance that a bucket uses. What remains covers what the
// daemons let through before they hear of each other.
const (
	overShare       = 0.7
	slackRateShare  = 0.35
	slackBurstShare = 0.2
	// maxRequiredShare of the slack is what all daemons together may need to have
	// left for one more request each, however large. A large request would
	// otherwise wait for a full bucket while small ones empty it.
	maxRequiredShare = 0.125
	// overdraftShare of the slack is how far requests that are no larger than
	// that may overdraw a bucket. Without it a small call is refused because
	// a large prompt has just overdrawn it.
	overdraftShare = 0.2
	// contentionShare of the slack is what all daemons together may let through beyond
	// what is left before they hear of each other.
	contentionShare = 0.25
	// smallRequestShare of a bucket is what a request may need without leaving a reserve
	// to more urgent tiers: a hundred plain calls are not worth one refusal among
	// them. Larger ones that leave a reserve may not overdraw the bucket either.
	smallRequestShare = 0.01
)

const (
	// tierReserveShare of a bucket is left, for each more urgent tier that asks of it,
	// to the requests of those tiers. It covers their chance bunches.
	tierReserveShare = 0.15
	// maxReserveShare of a bucket is left to more urgent tiers in all.
	maxReserveShare = 0.6
	// tierActiveWindow is how long a tier counts as asking after its last request.
	tierActiveWindow = 5 * time.Second
	// propagationDelay is how long it takes until a daemon knows what another one let through.
	propagationDelay = 240 * time.Millisecond
	// demandTimeConstant is over what time asked and granted amounts are compared.
	demandTimeConstant = 2 * time.Second
	// maxDemandRatio bounds how many times what is granted counts as asked: after a restart
	// everybody has been refused, and what accrues is to be used.
	maxDemandRatio = 2
	// maxWait bounds what a refused caller is told: an overload that lasts for
	// longer is no matter of when.
	maxWait = 10 * time.Second
)

// rate and capacity return a bucket's figures for a quota.
func (t Tolerance) rate(q route.Quota) float64 {
	rate := q.PerSecond * (1 + overShare*t.Over)
	if t.Window > 0 {
		rate += slackRateShare * t.Slack / t.Window.Seconds()
	}
	return rate
}

func (t Tolerance) capacity(q route.Quota) float64 { return q.Burst + slackBurstShare*t.Slack }

// Take uses cost of a workspace's quota for a request of a tier, or tells when
// there will be enough, if nobody else asks: by what accrues here, which is a part of
// the rate while other daemons are silent. The bucket may be overdrawn by one request.
func (l *Limiter) Take(ws *route.Workspace, tier request.Tier, cost float64) (ok bool, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(ws)
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

// remoteDemand is how much the other daemons are likely to be asked for, by tiers at least as
// urgent, before what any of them lets through is known here. Where less is left, a part
// of the requests is let through, so that all daemons together let through what is left.
//
// What goes wrong without it: a workspace asks several times its quota of many daemons.
// Whenever a bit is left, each lets one more large request through before it hears of the
// others, and all together exceed the quota by dozens of them.
func (l *Limiter) remoteDemand(b *bucket, tier request.Tier, now time.Time) float64 {
	remoteRate := max(0, b.recentRemote.sum(now, SilenceTimeout)) / SilenceTimeout.Seconds()
	return remoteRate * propagationDelay.Seconds() * l.demandRatio(b, tier, now)
}

// demandRatio is how many times what is granted was asked for here lately. What a daemon has
// of the rate counts on both sides, or the refusal of a single request would look like an
// overload.
func (l *Limiter) demandRatio(b *bucket, tier request.Tier, now time.Time) float64 {
	fairRate := b.rate / float64(l.peers.daemonCount())
	asked, granted := fairRate, fairRate+b.grantedRate.PerSecond(now)
	for t := range b.demandRate[:tier+1] {
		asked += b.demandRate[t].PerSecond(now)
	}
	return min(max(1, asked/granted), maxDemandRatio)
}

// requiredLevel is what a bucket must hold for a request.
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

// tierReserve is the part of a bucket that a request leaves to the more urgent tiers of
// the workspace, as far as these have asked lately.
//
// What goes wrong without it: a workspace asks several times its quota, the bucket
// is spent in the order of arrival, and an urgent request is refused because a part
// of the quota has just gone to one that can wait. One notices refusals of the most
// urgent tier while lower tiers are served. With a full bucket nothing changes.
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

// timeToAccrue is how long an amount takes to accrue at a rate per second.
func timeToAccrue(amount, rate float64) time.Duration {
	return time.Duration(math.Ceil(min(amount/max(1, rate), maxWait.Seconds()) * float64(time.Second)))
}
