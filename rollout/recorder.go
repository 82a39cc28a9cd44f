package rollout

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Run is the result of one request that was sent to a server.
type Run struct {
	Route   string
	Server  string
	Canary  bool
	Outcome Outcome
	// FirstEvent is the time to the first event, or to the whole answer of a plain service.
	// PerToken is the mean time per further token; 0: none. For an abandoned run they are
	// the times until it was abandoned.
	FirstEvent, PerToken time.Duration
	// Total is the duration of the whole run.
	Total time.Duration
}

// Outcome is how a run ended.
type Outcome uint8

// The outcomes.
const (
	Answered Outcome = iota
	// Failed runs are those that the server itself reported as failed.
	Failed
	// Broken runs brought no complete answer.
	Broken
	// Abandoned runs were ended by the caller or by their deadline.
	Abandoned
)

// Key identifies a cell: a route, and a server of the new version. An empty Server stands
// for all servers of the stable version.
type Key struct{ Route, Server string }

// Counts are the numbers of runs in a cell. They never decrease.
type Counts struct {
	Runs, Failed, Broken, Slow uint64
}

// minus returns the increase since an earlier reading.
func (c Counts) minus(o Counts) Counts {
	return Counts{Runs: c.Runs - o.Runs, Failed: c.Failed - o.Failed, Broken: c.Broken - o.Broken, Slow: c.Slow - o.Slow}
}

func (c Counts) plus(o Counts) Counts {
	return Counts{Runs: c.Runs + o.Runs, Failed: c.Failed + o.Failed, Broken: c.Broken + o.Broken, Slow: c.Slow + o.Slow}
}

// Times counts durations. A key is a duration in microseconds that stands for all durations
// within a tenth of it.
type Times map[int64]int64

// Cell holds a cell's counts and, for the stable version, the times of its runs.
type Cell struct {
	Counts
	FirstEvent, PerToken, Total Times
}

const (
	// maxRunTime is the longest time that is recorded.
	maxRunTime = 10 * time.Minute
	// histogramDigits is the precision of Times in significant decimal digits.
	histogramDigits = 1
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRunTime.Microseconds(), histogramDigits)
}

// timesOf returns the contents of a histogram; nil if there is none.
func timesOf(h *hdrhistogram.Histogram) Times {
	if h == nil {
		return nil
	}
	t := Times{}
	for _, bucket := range h.Distribution() {
		if bucket.Count > 0 {
			t[bucket.To] = bucket.Count
		}
	}
	return t
}

// histogram returns a histogram of the times, for quantiles.
func (t Times) histogram() *hdrhistogram.Histogram {
	h := newHistogram()
	for us, n := range t {
		// A value out of range can only come from a faulty report of another daemon; it is
		// ignored.
		_ = h.RecordValues(us, n)
	}
	return h
}

// cellRecord is a cell to which runs are being added.
type cellRecord struct {
	counts                      Counts
	firstEvent, perToken, total *hdrhistogram.Histogram
	changed                     bool
}

func (c *cellRecord) cell() Cell {
	return Cell{Counts: c.counts, FirstEvent: timesOf(c.firstEvent), PerToken: timesOf(c.perToken), Total: timesOf(c.total)}
}

// Recorder counts the runs that one daemon sees during a rollout. It is safe for concurrent
// use.
type Recorder struct {
	mu    sync.Mutex
	cells map[Key]*cellRecord
}

// NewRecorder returns a recorder without runs.
func NewRecorder() *Recorder {
	return &Recorder{cells: map[Key]*cellRecord{}}
}

// Record counts a run. threshold says what is slow on its route.
func (r *Recorder) Record(run Run, threshold SlowThreshold) {
	slow := threshold.exceededBy(run)
	if run.Outcome == Abandoned && !slow {
		return // it says nothing about the server
	}
	key := Key{Route: run.Route}
	if run.Canary {
		key.Server = run.Server
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.countRun(key, run, slow)
}

func (r *Recorder) countRun(key Key, run Run, slow bool) {
	c := r.cells[key]
	if c == nil {
		c = &cellRecord{}
		r.cells[key] = c
	}
	c.changed = true
	c.counts.Runs++
	switch {
	case run.Outcome == Failed:
		c.counts.Failed++
	case run.Outcome == Broken:
		c.counts.Broken++
	case slow:
		c.counts.Slow++
	}
	if run.Canary || run.Outcome != Answered {
		return
	}
	recordTime(&c.firstEvent, run.FirstEvent)
	recordTime(&c.total, run.Total)
	if run.PerToken > 0 {
		recordTime(&c.perToken, run.PerToken)
	}
}

// recordTime adds a duration to a histogram, and creates the histogram if needed.
func recordTime(h **hdrhistogram.Histogram, d time.Duration) {
	if *h == nil {
		*h = newHistogram()
	}
	_ = (*h).RecordValue(min(max(d.Microseconds(), 1), maxRunTime.Microseconds())) // the value is in range
}

// TakeChanged returns the cells that have changed since the previous call, or all of them,
// and marks them as unchanged. all is set if another daemon decides now.
func (r *Recorder) TakeChanged(all bool) map[Key]Cell {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[Key]Cell{}
	for key, c := range r.cells {
		if all || c.changed {
			out[key] = c.cell()
		}
		c.changed = false
	}
	return out
}

// MarkChanged marks cells as changed because the report that held them was not answered.
func (r *Recorder) MarkChanged(cells map[Key]Cell) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key := range cells {
		r.cells[key].changed = true
	}
}

// SlowThreshold holds the times above which a run is slow on a route; zero: not known yet.
type SlowThreshold struct{ FirstEvent, PerToken time.Duration }

// exceededBy reports whether a run was slow. An abandoned run counts by its times until
// then. Otherwise a slow server would go unnoticed if callers give up waiting for it.
func (t SlowThreshold) exceededBy(run Run) bool {
	return t.FirstEvent > 0 && run.FirstEvent > t.FirstEvent || t.PerToken > 0 && run.PerToken > t.PerToken
}

const (
	// slowMedianFactor and slowTailFactor are the factors by which a time must exceed the
	// stable version's median and 95th percentile to be slow. Bad versions are several
	// times slower. Servers of one version differ by up to four times, which the tail
	// covers.
	slowMedianFactor, slowTailFactor = 2.5, 1.25
	tailPercentile                   = 95
	// minSamples is the number of times that are needed for a threshold.
	minSamples = 20
)

// slowThreshold returns the time above which a run is slow, given the stable version's
// times; 0 if there are too few of them.
func slowThreshold(t Times) time.Duration {
	h := t.histogram()
	if h.TotalCount() < minSamples {
		return 0
	}
	median, tail := h.ValueAtQuantile(50), h.ValueAtQuantile(tailPercentile)
	return time.Duration(max(slowMedianFactor*float64(median), slowTailFactor*float64(tail))) * time.Microsecond
}
