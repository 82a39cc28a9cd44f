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

// Range and precision of a Histogram.
const (
	histogramUnit   = 100 * time.Microsecond // resolution and lower end
	histogramMax    = 5 * time.Minute
	histogramDigits = 2 // significant decimal digits
)

// Histogram records the distribution of durations. It is safe for concurrent use.
type Histogram struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

// percentiles are the percentiles that are reported of each histogram.
var percentiles = []float64{50, 90, 99, 99.9}

// Observe records a duration. One out of range counts as the nearest end of the
// range.
func (h *Histogram) Observe(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// RecordValue fails only for a value out of range.
	_ = h.h.RecordValue(min(max(int64(d/histogramUnit), 1), int64(histogramMax/histogramUnit)))
}

// histogramSummary is the exported form of a histogram, in milliseconds.
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
		return "null" // not reached: finite numbers can be encoded
	}
	return string(b)
}

// Histogram returns a histogram of a group. The first call creates it.
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

// WriteText writes all metrics as text. A counter or gauge has one line with its
// group, name and value; a histogram has one for its count, its mean and each
// percentile.
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
