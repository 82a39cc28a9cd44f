// Package prefix keeps an index of the prefix caches of a pool's servers: which
// server is expected to hold which blocks of prompts. The index is updated by the
// pool's own dispatches and corrected by the events of the engines, which arrive
// late and with gaps.
//
// It mirrors each server's cache as an LRU of bounded size. Block hashes are
// chained, and an engine evicts the extensions of a prefix before the prefix. The
// cached blocks of a prompt are therefore its first ones, and a binary search
// finds them.
//
// An Index is not safe for concurrent use.
package prefix

import (
	"math/bits"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// MaxServers is the largest number of servers of an Index.
	MaxServers = 64
	// maxCacheBlocks is how many blocks are kept for one server, which is at most
	// 128 Ki entries for 32 servers.
	maxCacheBlocks = 4096
	// minCacheBlocks is the smallest assumed size of a cache.
	minCacheBlocks = 64
	// growthDivisor is how fast the assumed size recovers: a prefix that is found
	// as expected adds 1/growthDivisor of the size.
	growthDivisor = 32
	// maxEventDelay is how late an engine's event may arrive.
	maxEventDelay = 3 * time.Second
	// gapDivisor sets the part of the blocks that is dropped when events were
	// missed: 1/gapDivisor.
	gapDivisor = 4
)

// Index holds the cached blocks of up to MaxServers servers, which are identified
// by number.
type Index struct {
	holders map[uint64]uint64 // block hash -> bit set of servers
	caches  [MaxServers]*cache
}

type cache struct {
	blocks *simplelru.LRU[uint64, int64] // block hash -> last use, in Unix ns
	size   int                           // assumed size of the engine's cache, in blocks
}

// NewIndex returns an empty index.
func NewIndex() *Index { return &Index{holders: make(map[uint64]uint64)} }

// CachedPrefix returns how many leading blocks a server is expected to hold.
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

// Holds reports whether a server is expected to hold the first n blocks.
func (x *Index) Holds(server int, blocks []uint64, n int) bool {
	return n >= 1 && n <= len(blocks) && x.holders[blocks[n-1]]&(1<<server) != 0
}

// LongestPrefix returns the largest number of leading blocks that a server of the
// set holds, and the set of servers that hold them.
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

// StorePrompt records that a server has computed or used the blocks of a prompt.
// They become its most recently used ones, the first block last.
func (x *Index) StorePrompt(now time.Time, server int, blocks []uint64) {
	c := x.cacheOf(server)
	blocks = blocks[:min(len(blocks), c.size)]
	for i := len(blocks) - 1; i >= 0; i-- {
		x.add(now, server, c, blocks[i])
	}
}

// StoreBlock handles a server's event that it stored a block.
func (x *Index) StoreBlock(now time.Time, server int, block uint64) {
	x.add(now, server, x.cacheOf(server), block)
}

// Evict handles a server's event that it evicted a block. Events arrive late: one
// for a block that was used within maxEventDelay is older than that use and is
// ignored.
func (x *Index) Evict(now time.Time, server int, block uint64) {
	c := x.caches[server]
	if c == nil {
		return
	}
	if used, ok := c.blocks.Peek(block); ok && now.UnixNano()-used > int64(maxEventDelay) {
		c.blocks.Remove(block)
	}
}

// Reconcile corrects the assumed cache size by the number of leading blocks of a
// prompt that an engine found in its cache. If it found fewer than expected, the
// missing block was evicted and, in an LRU, so were all older ones: the assumed
// size shrinks. Without the correction the pool would go on counting on evicted
// prefixes, and servers would compute prefill that was expected to be cached.
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

// EventsMissed records that events of a server were missed. Any of its blocks may
// be evicted, the least recently used ones most likely: the oldest quarter is
// dropped.
func (x *Index) EventsMissed(server int) {
	c := x.caches[server]
	if c == nil {
		return
	}
	for range c.blocks.Len() / gapDivisor {
		c.blocks.RemoveOldest()
	}
}

// Reset drops all blocks of a server whose engine restarted or left.
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

// Len returns the number of distinct blocks.
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
		panic(err) // fails only for a size below one
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

// EachServer calls f with each server of a set, in ascending order.
func EachServer(set uint64, f func(server int)) {
	for ; set != 0; set &= set - 1 {
		f(bits.TrailingZeros64(set))
	}
}
