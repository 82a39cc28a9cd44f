package engine

import (
	"sort"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	port "github.com/lycheekeel/lycheekeel/engine"
)

const (
	// maxEvents is the number of cache events kept for readers. A reader that
	// is further behind sees a gap in the sequence numbers.
	maxEvents = 1 << 14
	// maxReplyEvents is the maximum number of events in one reply.
	maxReplyEvents = 2048
)

type timedEvent struct {
	port.CacheEvent
	at time.Time
}

// prefixCache is the prefix cache and its event log. Engine.mu guards it.
type prefixCache struct {
	blocks    *simplelru.LRU[uint64, struct{}]
	events    []timedEvent // the newest events, at most maxEvents
	seq       uint64
	size      int // in blocks
	dropEvery int // drop every nth event; 0 drops none
	storeTime time.Time
}

func newPrefixCache(blocks, drop int) *prefixCache {
	c := &prefixCache{dropEvery: drop, size: blocks}
	// NewLRU fails only for a size that is not positive, which
	// Options.withDefaults excludes.
	c.blocks, _ = simplelru.NewLRU(blocks, func(b uint64, _ struct{}) { c.logEvent(b, false) })
	return c
}

// matchPrefix returns the number of leading blocks that are cached and marks
// them as recently used.
func (c *prefixCache) matchPrefix(blocks []uint64) int {
	for i, b := range blocks {
		if _, ok := c.blocks.Get(b); !ok {
			return i
		}
	}
	return len(blocks)
}

// store adds the blocks in reverse order, so that eviction removes the end of a
// prefix before its beginning.
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

// eventsAfter returns the events after seq, up to the time until and at most
// maxReplyEvents.
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
