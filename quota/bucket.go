package quota

import (
	"time"

	"github.com/lycheekeel/lycheekeel/internal/decay"
	"github.com/lycheekeel/lycheekeel/request"
)

// bucket is a workspace's token bucket as this daemon sees it.
type bucket struct {
	level      float64
	filledTo   float64 // value of peers.accrued up to which it is filled
	createdAt  float64 // value of peers.accrued at its creation
	rate       float64 // quota units per second
	capacity   float64
	maxLevel   float64 // capacity without the parts of daemons that are not heard
	withheld   float64 // set aside for silent daemons
	unreported float64 // used by this daemon, not reported yet
	// contendedAt is when the bucket was last found overdrawn by more than contentionShare
	// allows; zero: never.
	contendedAt time.Time
	// lastAsked is when a request of each tier was last received; zero: never.
	lastAsked [request.MaxTiers]time.Time
	// recentTotal is the recent usage of all daemons that are heard, recentRemote that of
	// the other ones. grantedRate is what this daemon admits, demandRate what it is asked
	// for in each tier, admitted or not.
	recentTotal, recentRemote slidingSum
	grantedRate               decay.Rate
	demandRate                [request.MaxTiers]decay.Rate
}

func newBucket(accrued float64) *bucket {
	b := &bucket{filledTo: accrued, createdAt: accrued}
	b.grantedRate.TimeConstant = demandTimeConstant
	for tier := range b.demandRate {
		b.demandRate[tier].TimeConstant = demandTimeConstant
	}
	return b
}

// fillTo adds what has accrued up to the given value of peers.accrued.
func (b *bucket) fillTo(accrued float64) {
	b.add(b.rate * (accrued - b.filledTo))
	b.filledTo = accrued
}

// add changes the level by amount, up to maxLevel.
func (b *bucket) add(amount float64) { b.level = min(b.maxLevel, b.level+amount) }

// maxDemandRatio returns the bound of the estimated ratio of demand to grants.
func (b *bucket) maxDemandRatio(now time.Time) float64 {
	if now.Sub(b.contendedAt) < contentionMemory {
		return maxContendedRatio
	}
	return maxDemandRatio
}

// levelWithout returns the level without the part of daemons, a fraction of all that share
// the bucket, that have been silent for the window. They are assumed to have held their
// fraction of the level at the start of the window, and to have used as much since as each
// daemon that is heard.
//
// If the whole level were kept, both sides of a partition would spend the workspace's saved
// burst, and it would exceed its quota.
func (b *bucket) levelWithout(fraction float64, window time.Duration, now time.Time) float64 {
	if fraction == 0 {
		return b.level
	}
	sharedLevel := b.level + b.recentTotal.sum(now, window)
	return min(b.level, b.level-fraction*sharedLevel)
}

// creditReturning adds the remainder of daemons that were silent: what was withheld for
// them and what has accrued since, less their usage. It adds no more than their fraction of
// maxLevel. If the bucket is overdrawn here, the returning daemons are assumed to have
// overdrawn it, too, because part of their accrual may have been lost to a full bucket.
func (b *bucket) creditReturning(remainder, fraction float64) {
	limit := fraction * b.maxLevel
	if b.level < 0 {
		limit = fraction * b.level
	}
	b.level += min(remainder, limit)
}

// deductAssumed deducts the assumed usage of a daemon during a gap in its heartbeats: as
// much as each daemon that was heard. After a gap longer than SilenceTimeout its part was
// already withheld, and only its assumed part of an overdraft is deducted.
func (b *bucket) deductAssumed(fraction float64, gap time.Duration, now time.Time) {
	if gap <= SilenceTimeout {
		b.level -= fraction * max(0, b.recentTotal.sum(now, gap))
	} else if b.level < 0 {
		b.level += fraction * b.level
	}
}
