package experiment

import (
	"container/heap"
	"sort"

	"github.com/lycheekeel/lycheekeel/engine"
	"github.com/lycheekeel/lycheekeel/internal/load"
	standin "github.com/lycheekeel/lycheekeel/internal/standin/engine"
	"github.com/lycheekeel/lycheekeel/request"
)

// engineRun is one entry of an engine's run log, with its prompt's blocks.
type engineRun struct {
	standin.RunRecord
	blocks []uint64
}

// Prefill accounts for the prefill work, in tokens.
type Prefill struct {
	// PromptTokens is the total prompt length of the runs that got a slot.
	// ComputedTokens is the part that was computed; the rest was cached.
	PromptTokens   int `json:"prompt_tokens"`
	ComputedTokens int `json:"computed_tokens"`
	// UnfinishedTokens were computed for requests whose caller got no complete answer.
	// Disconnected is the part whose caller disconnected on purpose.
	UnfinishedTokens int `json:"unfinished_tokens"`
	Disconnected     int `json:"left_tokens"`
	// RecomputedTokens are in blocks of complete requests' prompts that any engine had
	// computed before in the same experiment run.
	RecomputedTokens int `json:"recomputed_tokens"`
	// WastedFraction is (UnfinishedTokens + RecomputedTokens) / ComputedTokens.
	WastedFraction float64 `json:"wasted_fraction"`
	// Reuse is the fraction of prompt tokens found cached. ReuseBound is the fraction
	// with one optimal (Belady) cache as large as all engines' caches together, which
	// holds a block from the start of its first run.
	Reuse      float64 `json:"reuse_fraction"`
	ReuseBound float64 `json:"reuse_fraction_all_knowing"`
}

// countPrefill follows the runs in start order. complete holds the requests with
// complete answers, disconnected those whose callers disconnected.
func countPrefill(runs []engineRun, complete, disconnected map[request.ID]bool, cacheBlocks int) Prefill {
	runs = startedRuns(runs)
	var p Prefill
	computedBefore := map[uint64]bool{}
	for _, x := range runs {
		id := request.ID(x.RequestID)
		p.PromptTokens += x.PromptTokens
		p.ComputedTokens += x.PrefillComputed
		switch {
		case !complete[id]:
			p.UnfinishedTokens += x.PrefillComputed
			if disconnected[id] {
				p.Disconnected += x.PrefillComputed
			}
		default:
			p.RecomputedTokens += recomputedTokens(x, computedBefore)
		}
		for _, b := range x.blocks {
			computedBefore[b] = true
		}
	}
	if p.ComputedTokens > 0 {
		p.WastedFraction = float64(p.UnfinishedTokens+p.RecomputedTokens) / float64(p.ComputedTokens)
	}
	if p.PromptTokens > 0 {
		p.Reuse = 1 - float64(p.ComputedTokens)/float64(p.PromptTokens)
		p.ReuseBound = float64(optimalHits(runs, cacheBlocks)*engine.BlockTokens) / float64(p.PromptTokens)
	}
	return p
}

// startedRuns returns the runs that got a slot, sorted by start time. A run with a
// slot computes at least one token of its prompt.
func startedRuns(runs []engineRun) []engineRun {
	out := make([]engineRun, 0, len(runs))
	for _, x := range runs {
		if x.PrefillComputed > 0 {
			out = append(out, x)
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].StartedAt.Before(out[j].StartedAt) })
	return out
}

// recomputedTokens returns the tokens of the blocks that this run computed although
// they had been computed before.
func recomputedTokens(x engineRun, seen map[uint64]bool) int {
	cached := (x.PromptTokens - x.PrefillComputed) / engine.BlockTokens
	tokens := 0
	for i := cached; i < len(x.blocks); i++ {
		if seen[x.blocks[i]] {
			tokens += engine.BlockTokens
		}
	}
	return min(tokens, x.PrefillComputed)
}

// optimalHits counts the leading prompt blocks found in a cache of the given size with
// Belady's rule: when full, it evicts the block whose next use is furthest away, and
// it never keeps a block without a next use.
func optimalHits(runs []engineRun, size int) int {
	next := nextUses(runs)
	cached := map[uint64]int{} // block to its next use
	var byUse useHeap
	hits := 0
	for i, x := range runs {
		leading := true
		for j, b := range x.blocks {
			if _, ok := cached[b]; leading && ok {
				hits++
			} else {
				leading = false
			}
			if use := next[i][j]; use == noNextUse {
				delete(cached, b)
			} else {
				cached[b] = use
				heap.Push(&byUse, blockUse{b, use})
			}
		}
		evict(cached, &byUse, size)
	}
	return hits
}

// evict drops the blocks with the furthest next use until the cache fits. It skips
// stale heap entries.
func evict(cached map[uint64]int, byUse *useHeap, size int) {
	for len(cached) > size {
		u := heap.Pop(byUse).(blockUse)
		if cached[u.block] == u.next {
			delete(cached, u.block)
		}
	}
}

const noNextUse = int(^uint(0) >> 1)

// nextUses returns for each block of each run the index of the next run that uses it.
func nextUses(runs []engineRun) [][]int {
	out := make([][]int, len(runs))
	last := map[uint64]int{}
	for i := len(runs) - 1; i >= 0; i-- {
		out[i] = make([]int, len(runs[i].blocks))
		for j, b := range runs[i].blocks {
			out[i][j] = noNextUse
			if use, ok := last[b]; ok {
				out[i][j] = use
			}
		}
		for _, b := range runs[i].blocks {
			last[b] = i
		}
	}
	return out
}

type blockUse struct {
	block uint64
	next  int
}

// useHeap is a heap with the furthest next use on top.
type useHeap []blockUse

func (h useHeap) Len() int           { return len(h) }
func (h useHeap) Less(i, j int) bool { return h[i].next > h[j].next }
func (h useHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *useHeap) Push(x any)        { *h = append(*h, x.(blockUse)) }
func (h *useHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// classifyRequests returns the requests with complete answers and those whose callers
// disconnected.
func classifyRequests(results []load.Result) (complete, disconnected map[request.ID]bool) {
	complete, disconnected = map[request.ID]bool{}, map[request.ID]bool{}
	for i := range results {
		for j := range results[i].Attempts {
			attempt := &results[i].Attempts[j]
			complete[request.ID(attempt.RequestID)] = attempt.Outcome == load.OutcomeComplete
			disconnected[request.ID(attempt.RequestID)] = attempt.Outcome == load.OutcomeDisconnected
		}
	}
	return complete, disconnected
}
