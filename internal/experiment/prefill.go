package experiment

import (
	"container/heap"
	"sort"

	"github.com/lycheekeel/lycheekeel/engine"
	"github.com/lycheekeel/lycheekeel/internal/load"
	standin "github.com/lycheekeel/lycheekeel/internal/standin/engine"
	"github.com/lycheekeel/lycheekeel/request"
)

// runOf is one run of the engines' logs, with its prompt's blocks.
type runOf struct {
	standin.RunRecord
	blocks []uint64
}

// Prefill is what became of the prompt work, in tokens.
type Prefill struct {
	// Prompts is the prompts' length of all runs that got a slot; Computed is
	// what was computed of them, the rest was found cached.
	Prompts  int `json:"prompt_tokens"`
	Computed int `json:"computed_tokens"`
	// Unfinished was computed for requests whose caller got no whole answer;
	// Left is the part of it whose caller had left on purpose.
	Unfinished int `json:"unfinished_tokens"`
	Left       int `json:"left_tokens"`
	// Recomputed is blocks of prompts (of whole answers) that had been
	// computed before in the same run, by any engine.
	Recomputed int `json:"recomputed_tokens"`
	// WastedFraction is Unfinished and Recomputed over Computed.
	WastedFraction float64 `json:"wasted_fraction"`
	// Reuse is the fraction of the prompts' tokens found cached. ReuseBound
	// is what one cache as large as all engines' together would give, that
	// knows the future and is filled at once.
	Reuse      float64 `json:"reuse_fraction"`
	ReuseBound float64 `json:"reuse_fraction_all_knowing"`
}

// countPrefill follows the runs in the order in which they started. whole
// tells which requests' answers were delivered whole, left whose callers left.
func countPrefill(runs []runOf, whole, left map[request.ID]bool, cacheBlocks int) Prefill {
	runs = started(runs)
	var p Prefill
	computedBefore := map[uint64]bool{}
	for _, x := range runs {
		id := request.ID(x.RequestID)
		p.Prompts += x.PromptTokens
		p.Computed += x.PrefillComputed
		switch {
		case !whole[id]:
			p.Unfinished += x.PrefillComputed
			if left[id] {
				p.Left += x.PrefillComputed
			}
		default:
			p.Recomputed += recomputed(x, computedBefore)
		}
		for _, b := range x.blocks {
			computedBefore[b] = true
		}
	}
	if p.Computed > 0 {
		p.WastedFraction = float64(p.Unfinished+p.Recomputed) / float64(p.Computed)
	}
	if p.Prompts > 0 {
		p.Reuse = 1 - float64(p.Computed)/float64(p.Prompts)
		p.ReuseBound = float64(allKnowingHits(runs, cacheBlocks)*engine.BlockTokens) / float64(p.Prompts)
	}
	return p
}

// started returns the runs that got a slot, by their start. A run computes at
// least one token of its prompt once it has a slot.
func started(runs []runOf) []runOf {
	out := make([]runOf, 0, len(runs))
	for _, x := range runs {
		if x.PrefillComputed > 0 {
			out = append(out, x)
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].StartedAt.Before(out[j].StartedAt) })
	return out
}

// recomputed counts the tokens of the blocks that this run computed although
// they had been computed before.
func recomputed(x runOf, before map[uint64]bool) int {
	cached := (x.PromptTokens - x.PrefillComputed) / engine.BlockTokens
	tokens := 0
	for i := cached; i < len(x.blocks); i++ {
		if before[x.blocks[i]] {
			tokens += engine.BlockTokens
		}
	}
	return min(tokens, x.PrefillComputed)
}

// allKnowingHits counts the leading blocks of prompts that a cache of the
// size would hold which, when full, evicts the block whose next use is
// furthest away (Belady's rule), and never keeps one without a next use.
func allKnowingHits(runs []runOf, size int) int {
	next := nextUses(runs)
	cached := map[uint64]int{} // block: its next use
	var byUse useHeap
	hits := 0
	for i, x := range runs {
		lead := true
		for j, b := range x.blocks {
			if _, ok := cached[b]; lead && ok {
				hits++
			} else {
				lead = false
			}
			if use := next[i][j]; use == never {
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

// evict drops the blocks of furthest next use until the cache fits. Entries
// of the heap that are out of date are passed over.
func evict(cached map[uint64]int, byUse *useHeap, size int) {
	for len(cached) > size {
		u := heap.Pop(byUse).(blockUse)
		if cached[u.block] == u.next {
			delete(cached, u.block)
		}
	}
}

const never = int(^uint(0) >> 1)

// nextUses returns, for each block of each run, which run uses it next.
func nextUses(runs []runOf) [][]int {
	out := make([][]int, len(runs))
	last := map[uint64]int{}
	for i := len(runs) - 1; i >= 0; i-- {
		out[i] = make([]int, len(runs[i].blocks))
		for j, b := range runs[i].blocks {
			out[i][j] = never
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

// useHeap has the block of furthest next use on top.
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

// verdicts returns which requests' answers were delivered whole, and whose
// callers left.
func verdicts(results []load.Result) (whole, left map[request.ID]bool) {
	whole, left = map[request.ID]bool{}, map[request.ID]bool{}
	for i := range results {
		for j := range results[i].Tries {
			y := &results[i].Tries[j]
			whole[request.ID(y.RequestID)] = y.Ending == load.Whole
			left[request.ID(y.RequestID)] = y.Ending == load.Left
		}
	}
	return whole, left
}
