package experiment

import (
	"container/heap"
	"sort"

	"github.com/lycheekeel/lycheekeel/engine"
	"github.com/lycheekeel/lycheekeel/internal/load"
	standin "github.com/lycheekeel/lycheekeel/internal/standin/engine"
	"github.com/lycheekeel/lycheekeel/request"
)

// engineRun is one run of the engines' logs, with its prompt's blocks.
type engineRun struct {
	standin.RunRecord
	blocks []uint64
}

// Prefill is what became of the prompt work, in tokens.
type Prefill struct {
	// PromptTokens is the prompts' length of all runs that got a slot; Computed is
	// what was computed of them, the rest was found cached.
	PromptTokens   int `json:"prompt_tokens"`
	ComputedTokens int `json:"computed_tokens"`
	// UnfinishedTokens was computed for requests whose caller got no whole answer;
	// Left is the part of it whose caller had left on purpose.
	UnfinishedTokens int `json:"unfinished_tokens"`
	Disconnected     int `json:"left_tokens"`
	// RecomputedTokens is blocks of prompts (of whole answers) that had been
	// computed before in the same run, by any engine.
	RecomputedTokens int `json:"recomputed_tokens"`
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

// startedRuns returns the runs that got a slot, by their start. A run computes at
// least one token of its prompt once it has a slot.
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

// recomputedTokens counts the tokens of the blocks that this run computed although
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

// optimalHits counts the leading blocks of prompts that a cache of the
// size would hold which, when full, evicts the block whose next use is
// furthest away (Belady's rule), and never keeps one without a next use.
func optimalHits(runs []engineRun, size int) int {
	next := nextUses(runs)
	cached := map[uint64]int{} // block: its next use
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

const noNextUse = int(^uint(0) >> 1)

// nextUses returns, for each block of each run, which run uses it next.
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

// classifyRequests returns which requests' answers were delivered whole, and whose
// callers left.
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
