package capacity

import (
	"time"

	"github.com/lycheekeel/lycheekeel/pool/prefix"
)

// seriesPrefixHeap is the heap of a pool's prefix index.
const seriesPrefixHeap = "prefix_heap_by_blocks"

// measurePrefixes measures the heap of a prefix index with blocks spread over a full
// pool's servers.
func measurePrefixes(m *Measurements) {
	var points []Point
	for _, n := range []int{1_000, 10_000, 40_000} {
		points = append(points, Point{float64(n), retainedHeap(func() any { return prefixIndex(n) })})
	}
	m.Add(NewSeries(seriesPrefixHeap, "live heap of an index of cached blocks of 32 servers", "blocks", "B", points))
}

// prefixIndex returns an index with the given number of distinct blocks.
func prefixIndex(blocks int) *prefix.Index {
	x := prefix.NewIndex()
	now := time.Unix(0, 0)
	for i := range blocks {
		x.StoreBlock(now, i%maxRigServers, uint64(i)*0x9e3779b97f4a7c15)
	}
	return x
}
