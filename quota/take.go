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
	// entryShare of the slack is what all daemons together may need to have
	// left for one more request each, however large. A large request would
	// otherwise wait for a full bucket while small ones empty it.
	entryShare = 0.125
	// overdraftShare of the slack is how far requests that are no larger than
	// that may overdraw a bucket. Without it a small call is refused because
	// a large prompt has just overdrawn it.
	overdraftShare = 0.2
	// contendedShare of the slack is what all daemons together may let through beyond
	// what is left before they hear of each other.
	contendedShare = 0.25
	// smallShare of a bucket is what a request may need without leaving a reserve
	// to more urgent tiers: a hundred plain calls are not worth one refusal among
	// them. Larger ones that leave a reserve may not overdraw the bucket either.
	smallShare = 0.01
)

const (
	// reserveShare of a bucket is left, for each more urgent tier that asks of it,
	// to the requests of those tiers. It covers their chance bunches.
	reserveShare = 0.15
	// reserveMost of a bucket is left to more urgent tiers in all.
	reserveMost = 0.6
	// reserveMemory is how long a tier counts as asking after its last request.
	reserveMemory = 5 * time.Second
	// knownAfter is how long it takes until a daemon knows what another one let through.
	knownAfter = 240 * time.Millisecond
	// demandMemory is over what time asked and granted amounts are compared.
	demandMemory = 2 * time.Second
	// maxPressure bounds how many times what is granted counts as asked: after a restart
	// everybody has been refused, and what accrues is to be used.
	maxPressure = 2
	// waitMost bounds what a refused caller is told: an overload that lasts for
	// longer is no matter of when.
	waitMost = 10 * time.Second
)

// rate and capacity return a bucket's figures for a quota.
func (t Tolerance) rate(q route.Quota) float64 {
	r := q.PerSecond * (1 + overShare*t.Over)
	if t.Window > 0 {
		r += slackRateShare * t.Slack / t.Window.Seconds()
	}
	return r
}

func (t Tolerance) capacity(q route.Quota) float64 { return q.Burst + slackBurstShare*t.Slack }

// Take uses cost of a workspace's quota for a request of a tier, or tells when
// there will be enough, if nobody else asks: by what accrues here, which is a part of
// the rate while other daemons are silent. The bucket may be overdrawn by one request.
func (l *Ledger) Take(w *route.Workspace, tier request.Tier, cost float64) (ok bool, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(w)
	b.asked[tier] = l.now()
	now := l.now()
	need := l.need(b, tier, cost)
	left := b.without(l.others.doubt(), doubtAfter, now)
	b.demand[tier].Add(now, cost)
	if left >= need && l.random()*l.contended(b, tier, now) <= left-need+contendedShare*l.tolerance.Slack {
		b.level -= cost
		b.pending += cost
		b.spent.add(now, cost)
		b.granted.Add(now, cost)
		return true, 0
	}
	return false, forAmount(max(need-left, smallShare*b.room), b.rate*l.others.share())
}

// contended is how much the other daemons are likely to be asked for, by tiers at least as
// urgent, before what any of them lets through is known here. Where less is left, a part
// of the requests is let through, so that all daemons together let through what is left.
//
// What goes wrong without it: a workspace asks several times its quota of many daemons.
// Whenever a bit is left, each lets one more large request through before it hears of the
// others, and all together exceed the quota by dozens of them.
func (l *Ledger) contended(b *bucket, tier request.Tier, now time.Time) float64 {
	told := max(0, b.told.since(now, SilentAfter)) / SilentAfter.Seconds()
	return told * knownAfter.Seconds() * l.pressure(b, tier, now)
}

// pressure is how many times what is granted was asked for here lately. What a daemon has
// of the rate counts on both sides, or the refusal of a single request would look like an
// overload.
func (l *Ledger) pressure(b *bucket, tier request.Tier, now time.Time) float64 {
	fair := b.rate / float64(l.others.daemons())
	asked, granted := fair, fair+b.granted.PerSecond(now)
	for t := range b.demand[:tier+1] {
		asked += b.demand[t].PerSecond(now)
	}
	return min(max(1, asked/granted), maxPressure)
}

// need is what a bucket must hold for a request.
func (l *Ledger) need(b *bucket, tier request.Tier, cost float64) float64 {
	entry := entryShare * l.tolerance.Slack / float64(max(l.others.assumed, l.others.daemons()))
	if l.tolerance.Slack == 0 {
		entry = b.room
	}
	reserve := l.reserve(b, tier, cost)
	if cost <= entry && reserve == 0 {
		return cost - overdraftShare*l.tolerance.Slack*l.others.share()*(1-l.others.doubt())
	}
	return min(min(cost, entry)+reserve, b.room)
}

// reserve is the part of a bucket that a request leaves to the more urgent tiers of
// the workspace, as far as these have asked lately.
//
// What goes wrong without it: a workspace asks several times its quota, the bucket
// is spent in the order of arrival, and an urgent request is refused because a part
// of the quota has just gone to one that can wait. One notices refusals of the most
// urgent tier while lower tiers are served. With a full bucket nothing changes.
func (l *Ledger) reserve(b *bucket, tier request.Tier, cost float64) float64 {
	if cost <= smallShare*b.room {
		return 0
	}
	above := 0
	for _, at := range b.asked[:tier] {
		if !at.IsZero() && l.now().Sub(at) <= reserveMemory {
			above++
		}
	}
	return min(reserveShare*float64(above), reserveMost) * b.room
}

// forAmount is how long an amount takes to accrue at a rate per second.
func forAmount(amount, rate float64) time.Duration {
	return time.Duration(math.Ceil(min(amount/max(1, rate), waitMost.Seconds()) * float64(time.Second)))
}
