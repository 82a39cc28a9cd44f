// Package prefix is what a pool believes to be cached where: which server
// holds which blocks of prompts. It is fed by the pool's own dispatches and
// corrected by what engines report, late and with gaps.
//
// It mirrors each server's cache as an LRU of bounded size. Because block
// hashes are chained and an engine keeps a prefix longer than its extensions,
// a prompt's cached blocks are its first ones, so a binary search finds them.
//
// An Index is used by one goroutine at a time.
package prefix

import (
	"math/bits"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// MaxServers is how many servers an Index can tell apart.
	MaxServers = 64
	// maxCacheBlocks bounds what is remembered of one server. At 32 servers this
	// is 128 Ki entries at the most.
	maxCacheBlocks = 4096
	// minCacheBlocks is the smallest cache believed in.
	minCacheBlocks = 64
	// growthDivisor is how fast the believed size recovers, as a divisor: a
	// confirmed prefix adds 1/growth of the size.
	growthDivisor = 32
	// maxEventDelay is how late an announcement may be.
	maxEventDelay = 3 * time.Second
	// gapDivisor is the part of the blocks, as a divisor, that a gap may have
	// evicted unseen.
	gapDivisor = 4
)

// Index knows the blocks of up to MaxServers servers, named by number.
type Index struct {
	holders map[uint64]uint64 // block to the set of servers
	caches  [MaxServers]*cache
}

type cache struct {
	blocks *simplelru.LRU[uint64, int64] // by when it was last used
	size   int                           // believed size of the engine's cache
}

// NewIndex returns an empty index.
func NewIndex() *Index { return &Index{holders: make(map[uint64]uint64)} }

// CachedPrefix returns how many leading blocks a server is believed to hold.
func (x *Index) CachedPrefix(server int, blocks []uint64) int {
	bit := uint64(1) << server
	low, high := 0, len(blocks)
	for low < high {
		middle := (low + high + 1) / 2
		if x.holders[blocks[middle-1]]&bit != 0 {
			low = middle
		} else {
			high = middle - 1
		}
	}
	return low
}

// Holds tells whether a server is believed to hold the first n blocks.
func (x *Index) Holds(server int, blocks []uint64, n int) bool {
	return n >= 1 && n <= len(blocks) && x.holders[blocks[n-1]]&(1<<server) != 0
}

// LongestPrefix returns how many leading blocks any server of the set holds, and
// which servers do.
func (x *Index) LongestPrefix(set uint64, blocks []uint64) (int, uint64) {
	low, high := 0, len(blocks)
	for low < high {
		middle := (low + high + 1) / 2
		if x.holders[blocks[middle-1]]&set != 0 {
			low = middle
		} else {
			high = middle - 1
		}
	}
	if low == 0 {
		return 0, 0
	}
	return low, x.holders[blocks[low-1]] & set
}

// StorePrompt tells that a server has computed or used the blocks of a prompt. They
// become its most recent ones, the first block last.
func (x *Index) StorePrompt(now time.Time, server int, blocks []uint64) {
	c := x.cacheOf(server)
	blocks = blocks[:min(len(blocks), c.size)]
	for i := len(blocks) - 1; i >= 0; i-- {
		x.add(now, server, c, blocks[i])
	}
}

// StoreBlock tells that a server announced one block as stored.
func (x *Index) StoreBlock(now time.Time, server int, block uint64) {
	x.add(now, server, x.cacheOf(server), block)
}

// Evict tells that a server announced one block as evicted. Announcements are
// late: one about a block that was used a moment ago is about the time before
// that use, and is ignored.
func (x *Index) Evict(now time.Time, server int, block uint64) {
	c := x.caches[server]
	if c == nil {
		return
	}
	if used, ok := c.blocks.Peek(block); ok && now.UnixNano()-used > int64(maxEventDelay) {
		c.blocks.Remove(block)
	}
}

// Reconcile tells what an engine really found of a prompt that was believed to
// have been cached to some length. A shortfall means that the missing block
// was evicted, and in an LRU so was all that is older: the believed size
// shrinks to what is newer. Without it, every later choice would count on
// prefixes that are gone; one would see prefill computed that should not be.
func (x *Index) Reconcile(server int, blocks []uint64, expected, found int) {
	c := x.cacheOf(server)
	if found >= expected || found >= len(blocks) {
		if expected > 0 && c.size < maxCacheBlocks {
			c.size = min(maxCacheBlocks, c.size+1+c.size/growthDivisor)
			c.blocks.Resize(c.size)
		}
		return
	}
	c.size = max(minCacheBlocks, c.blocks.Len()-c.blocks.Len()/growthDivisor-1)
	c.blocks.Resize(c.size)
}

// EventsMissed tells that events of a server were missed: any of its blocks may be
// gone, the least recent most likely. The oldest quarter is forgotten.
func (x *Index) EventsMissed(server int) {
	c := x.caches[server]
	if c == nil {
		return
	}
	for range c.blocks.Len() / gapDivisor {
		c.blocks.RemoveOldest()
	}
}

// Reset drops all that is known of a server: its engine restarted or left.
func (x *Index) Reset(server int) {
	c := x.caches[server]
	if c == nil {
		return
	}
	for c.blocks.Len() > 0 {
		c.blocks.RemoveOldest()
	}
	x.caches[server] = nil
}

// Len returns how many blocks are known, counted once each.
func (x *Index) Len() int { return len(x.holders) }

func (x *Index) cacheOf(server int) *cache {
	if c := x.caches[server]; c != nil {
		return c
	}
	bit := uint64(1) << server
	onEvict := func(block uint64, _ int64) {
		if remaining := x.holders[block] &^ bit; remaining == 0 {
			delete(x.holders, block)
		} else {
			x.holders[block] = remaining
		}
	}
	blocks, err := simplelru.NewLRU[uint64, int64](maxCacheBlocks, onEvict)
	if err != nil {
		panic(err) // only a size below one is an error
	}
	c := &cache{blocks: blocks, size: maxCacheBlocks}
	x.caches[server] = c
	return c
}

func (x *Index) add(now time.Time, server int, c *cache, block uint64) {
	c.blocks.Add(block, now.UnixNano())
	bit := uint64(1) << server
	if set := x.holders[block]; set&bit == 0 {
		x.holders[block] = set | bit
	}
}

// EachServer calls f with each server of a set, in order.
func EachServer(set uint64, f func(server int)) {
	for ; set != 0; set &= set - 1 {
		f(bits.TrailingZeros64(set))
	}
}
