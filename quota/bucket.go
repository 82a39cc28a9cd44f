package quota

import (
	"time"

	"github.com/lycheekeel/lycheekeel/internal/decay"
	"github.com/lycheekeel/lycheekeel/request"
)

// bucket is a workspace's, as far as this daemon knows.
type bucket struct {
	level      float64
	filledTo   float64 // up to which of others.accrued
	createdAt  float64 // at which of others.accrued
	rate       float64
	capacity   float64
	maxLevel   float64 // capacity, less the parts of daemons that are not heard
	withheld   float64 // for daemons that have fallen silent
	unreported float64 // let through by this daemon and not yet told
	// lastAsked is when a request of each tier last asked; zero: never.
	lastAsked [request.MaxTiers]time.Time
	// recentTotal is what all daemons that are heard let through, told what the others did of
	// that, and demand what was asked here by each tier, granted or not, granted what was.
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

// fillTo adds what has accrued until then.
func (b *bucket) fillTo(accrued float64) {
	b.add(b.rate * (accrued - b.filledTo))
	b.filledTo = accrued
}

// add changes what is left, as far as there is room.
func (b *bucket) add(amount float64) { b.level = min(b.maxLevel, b.level+amount) }

// levelWithout is what is left here where a part of the daemons has said nothing for a while:
// these have as much of what was left before, and are taken to have let as much through
// since, for each of them, as those that are heard.
//
// What goes wrong where the whole is kept: both sides of a cut spend all that a workspace
// had saved, and it gets more than its quota.
func (b *bucket) levelWithout(fraction float64, window time.Duration, now time.Time) float64 {
	if fraction == 0 {
		return b.level
	}
	sharedLevel := b.level + b.recentTotal.sum(now, window)
	return min(b.level, b.level-fraction*sharedLevel)
}

// creditReturning adds what daemons that were silent have left: theirs is what was kept for them and
// has accrued meanwhile, less what they used. They had room for a part of what those that
// are heard have, and where these have overdrawn the quota they are taken to have done so
// too: some of theirs may have been lost for want of room.
func (b *bucket) creditReturning(remainder, fraction float64) {
	limit := fraction * b.maxLevel
	if b.level < 0 {
		limit = fraction * b.level
	}
	b.level += min(remainder, limit)
}

// deductAssumed takes from the bucket what a daemon let through in a silence of which nothing
// else is known: as much as each of those that were heard. For a longer one that was kept
// from what was left, and it may have overdrawn the quota as far as these.
func (b *bucket) deductAssumed(fraction float64, gap time.Duration, now time.Time) {
	if gap <= SilenceTimeout {
		b.level -= fraction * max(0, b.recentTotal.sum(now, gap))
	} else if b.level < 0 {
		b.level += fraction * b.level
	}
}
