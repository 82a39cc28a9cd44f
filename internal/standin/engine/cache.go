package engine

import (
	"sort"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	port "github.com/lycheekeel/lycheekeel/engine"
)

const (
	// maxEvents is how many cache events are kept for readers; a reader that
	// is further behind sees a gap.
	maxEvents = 1 << 14
	// maxReplyEvents bounds the events of one answer.
	maxReplyEvents = 2048
)

type timedEvent struct {
	port.CacheEvent
	at time.Time
}

// prefixCache is the prefix cache and its event log. The engine's lock guards it.
type prefixCache struct {
	blocks    *simplelru.LRU[uint64, struct{}]
	events    []timedEvent // the newest, at most maxEvents
	seq       uint64
	size      int // in blocks
	dropEvery int // lose every nth event
	storeTime time.Time
}

func newPrefixCache(blocks, drop int) *prefixCache {
	c := &prefixCache{dropEvery: drop, size: blocks}
	// The size is positive by Options.withDefaults, the only cause of an error.
	c.blocks, _ = simplelru.NewLRU(blocks, func(b uint64, _ struct{}) { c.logEvent(b, false) })
	return c
}

// matchPrefix returns how many leading blocks are cached and marks them as used.
func (c *prefixCache) matchPrefix(blocks []uint64) int {
	for i, b := range blocks {
		if _, ok := c.blocks.Get(b); !ok {
			return i
		}
	}
	return len(blocks)
}

// store adds the blocks, last first, so that a prefix outlives its extensions.
func (c *prefixCache) store(blocks []uint64, now time.Time) {
	c.storeTime = now
	blocks = blocks[:min(len(blocks), c.size)]
	for i := len(blocks) - 1; i >= 0; i-- {
		if c.blocks.Contains(blocks[i]) {
			c.blocks.Get(blocks[i])
			continue
		}
		c.blocks.Add(blocks[i], struct{}{})
		c.logEvent(blocks[i], true)
	}
}

func (c *prefixCache) logEvent(block uint64, stored bool) {
	c.seq++
	if c.dropEvery > 0 && c.seq%uint64(c.dropEvery) == 0 {
		return
	}
	ev := timedEvent{port.CacheEvent{Seq: c.seq, Block: block, Stored: stored}, c.storeTime}
	if len(c.events) == maxEvents {
		c.events = append(c.events[:0], c.events[maxEvents/2:]...)
	}
	c.events = append(c.events, ev)
}

// eventsAfter returns the events after seq that happened before until.
func (c *prefixCache) eventsAfter(seq uint64, until time.Time) []port.CacheEvent {
	first := sort.Search(len(c.events), func(i int) bool { return c.events[i].Seq > seq })
	var out []port.CacheEvent
	for _, ev := range c.events[first:] {
		if ev.at.After(until) || len(out) == maxReplyEvents {
			break
		}
		out = append(out, ev.CacheEvent)
	}
	return out
}
