// Package estimate tells how long answers will be, from the recent ones of
// the same mix: workspace, template and model. Lengths within a mix differ
// much less than the hundredfold between mixes, so a quantile of a mix's last
// answers serves better than any average over all.
//
// An Estimator is used by one goroutine at a time.
package estimate

import (
	"slices"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maxKeys bounds the mixes remembered; the least recently used go first.
	maxKeys = 2048
	// windowSize is how many recent answers of a mix are kept.
	windowSize = 64
	// minSamples is how many answers make a mix known. Below it, the safe
	// assumption (the cap) fills up the missing ones.
	minSamples = 8
	// highQuantile is what memory is reserved for.
	highQuantile = 0.9
	// defaultTokens is assumed of a mix that is unknown and has no cap.
	defaultTokens = 1024
)

// Key identifies requests whose answers are alike in length.
type Key struct{ Workspace, Template, Model string }

// Length is an estimate of an answer's length, in tokens.
type Length struct {
	// Mean is for costs, High is exceeded by one in ten.
	Mean, High int
	// Known is false where they are safe assumptions rather than measured.
	Known bool
}

// Estimator keeps the recent lengths of each mix.
type Estimator struct {
	histories *simplelru.LRU[Key, *history]
}

// New returns an empty estimator.
func New() *Estimator {
	histories, err := simplelru.NewLRU[Key, *history](maxKeys, nil)
	if err != nil {
		panic(err) // only a size below one is an error
	}
	return &Estimator{histories: histories}
}

// Observe records the length of a whole answer.
func (e *Estimator) Observe(key Key, tokens int) {
	e.history(key).add(tokens)
	e.history(key.fallback()).add(tokens)
}

// Estimate estimates an answer's length. maxTokens caps it; 0 is no cap.
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

// Remaining estimates how many tokens are still to come of an answer that has
// had some: the mean of those recent answers that were longer.
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

// fallback is the mix that stands in for an unknown one.
func (key Key) fallback() Key { return Key{Template: key.Template, Model: key.Model} }

func (e *Estimator) history(key Key) *history {
	if h, ok := e.histories.Get(key); ok {
		return h
	}
	h := &history{}
	e.histories.Add(key, h)
	return h
}

// history is the last lengths of a mix, in order of arrival and of size.
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
