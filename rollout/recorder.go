package rollout

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Run is how one request went that was sent to a server.
type Run struct {
	Route   string
	Server  string
	Canary  bool
	Outcome Outcome
	// FirstEvent is the time to the first event, or to the whole answer of a plain
	// service; Pace the mean time for each further token, 0: none. Of an abandoned
	// run they are what it had taken by then.
	FirstEvent, PerToken time.Duration
	// Total is the time of the whole run.
	Total time.Duration
}

// Outcome is how a run ended.
type Outcome uint8

// The endings.
const (
	Answered Outcome = iota
	// Failed runs brought the server's own word that it failed.
	Failed
	// Broken runs brought no whole answer.
	Broken
	// Abandoned runs were given up by the caller or at their deadline.
	Abandoned
)

// Key names a cell of evidence: a route, and a server of the new version; without a
// server all those of the stable one.
type Key struct{ Route, Server string }

// Counts are the runs of a cell; they only grow.
type Counts struct {
	Runs, Failed, Broken, Slow uint64
}

// minus returns what has been added since an earlier reading.
func (c Counts) minus(o Counts) Counts {
	return Counts{Runs: c.Runs - o.Runs, Failed: c.Failed - o.Failed, Broken: c.Broken - o.Broken, Slow: c.Slow - o.Slow}
}

func (c Counts) plus(o Counts) Counts {
	return Counts{Runs: c.Runs + o.Runs, Failed: c.Failed + o.Failed, Broken: c.Broken + o.Broken, Slow: c.Slow + o.Slow}
}

// Times are durations with how often each was seen, by a value in microseconds that
// stands for all within a tenth of it.
type Times map[int64]int64

// Cell is a cell's counts with, for the stable version, the times of its runs.
type Cell struct {
	Counts
	FirstEvent, PerToken, Total Times
}

const (
	// maxRunTime bounds a measured time.
	maxRunTime = 10 * time.Minute
	// histogramDigits is the precision of Times: within a tenth.
	histogramDigits = 1
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRunTime.Microseconds(), histogramDigits)
}

// timesOf returns what a histogram holds; nil: there is none.
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

// histogram returns the times as a histogram that tells quantiles.
func (t Times) histogram() *hdrhistogram.Histogram {
	h := newHistogram()
	for us, n := range t {
		// Values out of range can only be another daemon's mistake: they are left out.
		_ = h.RecordValues(us, n)
	}
	return h
}

// cellRecord is a cell while it is counted.
type cellRecord struct {
	counts                      Counts
	firstEvent, perToken, total *hdrhistogram.Histogram
	changed                     bool
}

func (c *cellRecord) cell() Cell {
	return Cell{Counts: c.counts, FirstEvent: timesOf(c.firstEvent), PerToken: timesOf(c.perToken), Total: timesOf(c.total)}
}

// Recorder counts what one daemon sees of a rollout. It is safe for concurrent use.
type Recorder struct {
	mu    sync.Mutex
	cells map[Key]*cellRecord
}

// NewRecorder returns a recorder that has seen nothing.
func NewRecorder() *Recorder {
	return &Recorder{cells: map[Key]*cellRecord{}}
}

// Record takes how a run went. Limit is what is slow on its route.
func (r *Recorder) Record(run Run, threshold SlowThreshold) {
	slow := threshold.exceededBy(run)
	if run.Outcome == Abandoned && !slow {
		return // it tells nothing of the server
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

// recordTime counts a duration in a histogram, which is made at the first one.
func recordTime(h **hdrhistogram.Histogram, d time.Duration) {
	if *h == nil {
		*h = newHistogram()
	}
	_ = (*h).RecordValue(min(max(d.Microseconds(), 1), maxRunTime.Microseconds())) // it is in range
}

// TakeChanged returns the cells that have changed since they were told, and marks them
// as told. All asks for every cell: another daemon decides now.
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

// MarkChanged marks cells as not told: their report was not answered.
func (r *Recorder) MarkChanged(cells map[Key]Cell) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key := range cells {
		r.cells[key].changed = true
	}
}

// SlowThreshold is what counts as slow on a route; zero: unknown yet.
type SlowThreshold struct{ FirstEvent, PerToken time.Duration }

// exceededBy tells whether a run was slow. One that was abandoned counts by what it had
// taken: a caller who gave up waiting for a slow server would go unseen otherwise.
func (t SlowThreshold) exceededBy(run Run) bool {
	return t.FirstEvent > 0 && run.FirstEvent > t.FirstEvent || t.PerToken > 0 && run.PerToken > t.PerToken
}

const (
	// slowMedianFactor and slowTailFactor are by how much a time must exceed the median, and the
	// 95th percentile, of the stable version to be slow. Bad versions are several times
	// slower; servers of one version differ by up to four times, which the tail has.
	slowMedianFactor, slowTailFactor = 2.5, 1.25
	tailPercentile                   = 95
	// minSamples is how many times make a limit.
	minSamples = 20
)

// slowThreshold returns the time above which a run is slow, by the stable version's times.
func slowThreshold(t Times) time.Duration {
	h := t.histogram()
	if h.TotalCount() < minSamples {
		return 0
	}
	median, tail := h.ValueAtQuantile(50), h.ValueAtQuantile(tailPercentile)
	return time.Duration(max(slowMedianFactor*float64(median), slowTailFactor*float64(tail))) * time.Microsecond
}
