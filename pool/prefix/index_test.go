package prefix

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

var now = time.Unix(1_000_000, 0)

func prompt(group, n int) []uint64 {
	blocks := make([]uint64, n)
	for i := range blocks {
		blocks[i] = uint64(group)<<32 + uint64(i) + 1
	}
	return blocks
}

func TestIndex(t *testing.T) {
	Convey("A server holds the blocks that it computed until they are evicted or dropped", t, func() {
		x := NewIndex()
		x.StorePrompt(now, 3, prompt(1, 10))
		So(x.CachedPrefix(3, prompt(1, 20)), ShouldEqual, 10)
		So(x.CachedPrefix(4, prompt(1, 20)), ShouldEqual, 0)
		n, holders := x.LongestPrefix(1<<3|1<<4, prompt(1, 20))
		So(n, ShouldEqual, 10)
		So(holders, ShouldEqual, uint64(1)<<3)

		Convey("A late eviction event for a block that was used since is ignored", func() {
			x.Evict(now.Add(time.Second), 3, prompt(1, 10)[5])
			So(x.CachedPrefix(3, prompt(1, 10)), ShouldEqual, 10)
			x.Evict(now.Add(time.Minute), 3, prompt(1, 10)[9])
			So(x.CachedPrefix(3, prompt(1, 10)), ShouldEqual, 9)
		})
		Convey("Missed events drop the least recently used blocks", func() {
			x.StorePrompt(now, 3, prompt(2, 30))
			x.EventsMissed(3)
			So(x.CachedPrefix(3, prompt(1, 10)), ShouldBeLessThan, 10)
			So(x.CachedPrefix(3, prompt(2, 30)), ShouldEqual, 30)
		})
		Convey("Prefixes that are not found shrink the assumed size", func() {
			for i := range 60 {
				x.StorePrompt(now, 3, prompt(10+i, 50))
			}
			before := x.Len()
			for range 100 {
				x.Reconcile(3, prompt(10, 50), 50, 0)
			}
			So(x.Len(), ShouldBeLessThan, before/2)
		})
		Convey("A restarted server holds nothing", func() {
			x.Reset(3)
			So(x.Len(), ShouldEqual, 0)
		})
	})
}

// TestIndexIsBoundedAndConsistent checks that memory is bounded and that holders
// and caches agree after any sequence of events.
func TestIndexIsBoundedAndConsistent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := NewIndex()
		server := func() int { return rapid.IntRange(0, 2).Draw(t, "server") }
		blocks := func() []uint64 {
			return prompt(rapid.IntRange(0, 40).Draw(t, "group"), rapid.IntRange(1, 400).Draw(t, "n"))
		}
		t.Repeat(map[string]func(*rapid.T){
			"store": func(*rapid.T) { x.StorePrompt(now, server(), blocks()) },
			"evict": func(*rapid.T) { x.Evict(now.Add(time.Hour), server(), blocks()[0]) },
			"confirm": func(*rapid.T) {
				x.Reconcile(server(), blocks(), rapid.IntRange(0, 400).Draw(t, "b"), rapid.IntRange(0, 400).Draw(t, "f"))
			},
			"gap":    func(*rapid.T) { x.EventsMissed(server()) },
			"forget": func(*rapid.T) { x.Reset(server()) },
			"": func(t *rapid.T) {
				cached := 0
				for s, c := range x.caches {
					if c == nil {
						continue
					}
					if c.blocks.Len() > c.size || c.size > maxCacheBlocks {
						t.Fatalf("server %d holds %d blocks, its size is %d", s, c.blocks.Len(), c.size)
					}
					for _, b := range c.blocks.Keys() {
						cached++
						if x.holders[b]&(1<<s) == 0 {
							t.Fatalf("block %d of server %d is missing in holders", b, s)
						}
					}
				}
				indexed := 0
				for _, set := range x.holders {
					EachServer(set, func(int) { indexed++ })
				}
				if cached != indexed {
					t.Fatalf("%d blocks in caches, %d in holders", cached, indexed)
				}
			},
		})
	})
}
