// Package estimate predicts the length of answers from recent answers with the
// same key: workspace, template and model. Lengths differ up to a hundredfold
// between keys and much less within a key, so a quantile of the key's last answers
// predicts better than an average over all.
//
// An Estimator is not safe for concurrent use.
package estimate

import (
	"slices"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maxKeys is how many keys are remembered; the least recently used are
	// evicted.
	maxKeys = 2048
	// windowSize is how many recent answers of a key are kept.
	windowSize = 64
	// minSamples is how many answers make a key known. With fewer, the missing ones
	// are assumed to be as long as the cap.
	minSamples = 8
	// highQuantile is the quantile of the length for which memory is reserved.
	highQuantile = 0.9
	// defaultTokens is the length assumed for an unknown key without a cap.
	defaultTokens = 1024
)

// Key identifies requests whose answers are similar in length.
type Key struct{ Workspace, Template, Model string }

// Length is an estimate of an answer's length, in tokens.
type Length struct {
	// Mean is used for costs. High is exceeded by one answer in ten.
	Mean, High int
	// Known is false if the values are assumptions rather than measurements.
	Known bool
}

// Estimator keeps the recent lengths of each key.
type Estimator struct {
	histories *simplelru.LRU[Key, *history]
}

// New returns an empty estimator.
func New() *Estimator {
	histories, err := simplelru.NewLRU[Key, *history](maxKeys, nil)
	if err != nil {
		panic(err) // fails only for a size below one
	}
	return &Estimator{histories: histories}
}

// Observe records the length of a complete answer, in tokens.
func (e *Estimator) Observe(key Key, tokens int) {
	e.history(key).add(tokens)
	e.history(key.fallback()).add(tokens)
}

// Estimate estimates an answer's length. maxTokens is its cap, 0 for none.
func (e *Estimator) Estimate(key Key, maxTokens int) Length {
	limit := maxTokens
	if limit <= 0 {
		limit = defaultTokens
	}
	h, ok := e.histories.Get(key)
	if !ok || len(h.sorted) < minSamples {
		if fallback, found := e.histories.Get(key.fallback()); found && len(fallback.sorted) >= minSamples {
			h, ok = fallback, true
		}
	}
	if !ok {
		return Length{Mean: limit, High: limit}
	}
	l := h.estimate(limit)
	if maxTokens > 0 {
		l.Mean, l.High = min(l.Mean, maxTokens), min(l.High, maxTokens)
	}
	return l
}

// Remaining estimates how many tokens an answer still needs after those it has
// produced, from the mean of the recent answers that were longer.
func (e *Estimator) Remaining(key Key, maxTokens, produced int) int {
	limit := maxTokens
	if limit <= 0 {
		limit = produced + defaultTokens
	}
	remaining := max(1, limit-produced)
	h, ok := e.histories.Peek(key)
	if !ok || len(h.sorted) < minSamples {
		return remaining
	}
	i, _ := slices.BinarySearch(h.sorted, produced+1)
	longer := h.sorted[i:]
	if len(longer) == 0 {
		return max(1, remaining/2)
	}
	sum := 0
	for _, n := range longer {
		sum += n
	}
	return max(1, min(remaining, sum/len(longer)-produced))
}

// fallback returns the key that stands in for one with too few answers: the same
// template and model in any workspace.
func (key Key) fallback() Key { return Key{Template: key.Template, Model: key.Model} }

func (e *Estimator) history(key Key) *history {
	if h, ok := e.histories.Get(key); ok {
		return h
	}
	h := &history{}
	e.histories.Add(key, h)
	return h
}

// history holds the last lengths of a key, in order of arrival and sorted.
type history struct {
	ring   [windowSize]int
	next   int
	sorted []int
	sum    int
}

func (h *history) add(tokens int) {
	if len(h.sorted) == windowSize {
		oldest := h.ring[h.next]
		i, _ := slices.BinarySearch(h.sorted, oldest)
		h.sorted = slices.Delete(h.sorted, i, i+1)
		h.sum -= oldest
	}
	h.ring[h.next] = tokens
	h.next = (h.next + 1) % windowSize
	i, _ := slices.BinarySearch(h.sorted, tokens)
	h.sorted = slices.Insert(h.sorted, i, tokens)
	h.sum += tokens
}

func (h *history) estimate(limit int) Length {
	n := len(h.sorted)
	missing := max(0, minSamples-n)
	mean := (h.sum + missing*limit) / max(1, n+missing)
	high := limit
	if missing == 0 {
		high = h.sorted[int(highQuantile*float64(n-1))]
	}
	return Length{Mean: max(1, mean), High: max(1, high), Known: missing == 0}
}
