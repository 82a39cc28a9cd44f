package quota

import (
	"time"

	"github.com/lycheekeel/lycheekeel/internal/decay"
	"github.com/lycheekeel/lycheekeel/request"
)

// bucket is a workspace's, as far as this daemon knows.
type bucket struct {
	level    float64
	filled   float64 // up to which of others.accrued
	made     float64 // at which of others.accrued
	rate     float64
	capacity float64
	room     float64 // capacity, less the parts of daemons that are not heard
	kept     float64 // for daemons that have fallen silent
	pending  float64 // let through by this daemon and not yet told
	// asked is when a request of each tier last asked; zero: never.
	asked [request.MaxTiers]time.Time
	// spent is what all daemons that are heard let through, told what the others did of
	// that, and demand what was asked here by each tier, granted or not, granted what was.
	spent, told recent
	granted     decay.Rate
	demand      [request.MaxTiers]decay.Rate
}

func newBucket(filled float64) *bucket {
	b := &bucket{filled: filled, made: filled}
	b.granted.TimeConstant = demandMemory
	for tier := range b.demand {
		b.demand[tier].TimeConstant = demandMemory
	}
	return b
}

// fillTo adds what has accrued until then.
func (b *bucket) fillTo(accrued float64) {
	b.add(b.rate * (accrued - b.filled))
	b.filled = accrued
}

// add changes what is left, as far as there is room.
func (b *bucket) add(amount float64) { b.level = min(b.room, b.level+amount) }

// without is what is left here where a part of the daemons has said nothing for a while:
// these have as much of what was left before, and are taken to have let as much through
// since, for each of them, as those that are heard.
//
// What goes wrong where the whole is kept: both sides of a cut spend all that a workspace
// had saved, and it gets more than its quota.
func (b *bucket) without(part float64, since time.Duration, now time.Time) float64 {
	if part == 0 {
		return b.level
	}
	before := b.level + b.spent.since(now, since)
	return min(b.level, b.level-part*before)
}

// rejoin adds what daemons that were silent have left: theirs is what was kept for them and
// has accrued meanwhile, less what they used. They had room for a part of what those that
// are heard have, and where these have overdrawn the quota they are taken to have done so
// too: some of theirs may have been lost for want of room.
func (b *bucket) rejoin(theirs, part float64) {
	most := part * b.room
	if b.level < 0 {
		most = part * b.level
	}
	b.level += min(theirs, most)
}

// assume takes from the bucket what a daemon let through in a silence of which nothing
// else is known: as much as each of those that were heard. For a longer one that was kept
// from what was left, and it may have overdrawn the quota as far as these.
func (b *bucket) assume(part float64, gap time.Duration, now time.Time) {
	if gap <= SilentAfter {
		b.level -= part * max(0, b.spent.since(now, gap))
	} else if b.level < 0 {
		b.level += part * b.level
	}
}
