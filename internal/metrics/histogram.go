package metrics

import (
	"encoding/json"
	"expvar"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The range of a Histogram: from a tenth of a millisecond to five minutes.
const (
	histogramUnit   = 100 * time.Microsecond
	histogramMax    = 5 * time.Minute
	histogramDigits = 2
)

// Histogram counts durations. It is safe for concurrent use.
type Histogram struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

// percentiles are shown of each histogram.
var percentiles = []float64{50, 90, 99, 99.9}

// Observe counts one duration; one beyond the range counts as its end.
func (h *Histogram) Observe(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// A value within the range can't fail.
	_ = h.h.RecordValue(min(max(int64(d/histogramUnit), 1), int64(histogramMax/histogramUnit)))
}

// summary are a histogram's, in milliseconds.
type histogramSummary struct {
	Count     int64              `json:"count"`
	MeanMs    float64            `json:"mean_ms"`
	Quantiles map[string]float64 `json:"quantiles_ms"`
}

func (h *Histogram) summary() histogramSummary {
	h.mu.Lock()
	defer h.mu.Unlock()
	unit := float64(histogramUnit) / float64(time.Millisecond)
	f := histogramSummary{Count: h.h.TotalCount(), MeanMs: h.h.Mean() * unit, Quantiles: map[string]float64{}}
	for _, q := range percentiles {
		f.Quantiles[fmt.Sprint(q)] = float64(h.h.ValueAtQuantile(q)) * unit
	}
	return f
}

// String implements expvar.Var.
func (h *Histogram) String() string {
	b, err := json.Marshal(h.summary())
	if err != nil {
		return "null" // numbers that are finite can't fail
	}
	return string(b)
}

// Histogram returns a histogram of a group, creating it at the first call.
func (r *Registry) Histogram(group, name string) *Histogram {
	g := r.Group(group)
	r.mu.Lock()
	defer r.mu.Unlock()
	if v, ok := g.Get(name).(*Histogram); ok {
		return v
	}
	v := &Histogram{h: hdrhistogram.New(1, int64(histogramMax/histogramUnit), histogramDigits)}
	g.Set(name, v)
	return v
}

// WriteText writes every counter, gauge and histogram as a line of text: its
// group, its name, and its value.
func (r *Registry) WriteText(w io.Writer) {
	r.mu.Lock()
	names := make([]string, 0, len(r.groups))
	for name := range r.groups {
		names = append(names, name)
	}
	r.mu.Unlock()
	slices.Sort(names)
	for _, group := range names {
		r.Group(group).Do(func(kv expvar.KeyValue) { writeLine(w, group, kv) })
	}
}

func writeLine(w io.Writer, group string, kv expvar.KeyValue) {
	h, ok := kv.Value.(*Histogram)
	if !ok {
		fmt.Fprintf(w, "%s{name=%q} %s\n", group, kv.Key, kv.Value)
		return
	}
	f := h.summary()
	fmt.Fprintf(w, "%s_count{name=%q} %d\n%s_mean_ms{name=%q} %.3f\n", group, kv.Key, f.Count, group, kv.Key, f.MeanMs)
	for _, q := range percentiles {
		fmt.Fprintf(w, "%s_ms{name=%q,quantile=\"%v\"} %.1f\n", group, kv.Key, q, f.Quantiles[fmt.Sprint(q)])
	}
}
