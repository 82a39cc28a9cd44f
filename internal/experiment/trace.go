package experiment

import (
	"slices"
	"sync"
	"time"

	"github.com/lycheekeel/lycheekeel/pool"
	"github.com/lycheekeel/lycheekeel/request"
)

// TraceRecord is one event of a pool and the commands that it caused.
type TraceRecord struct {
	At       time.Time
	Event    pool.Event
	Commands []pool.Command
}

// Trace collects the records of one pool in order. It is safe for concurrent use.
type Trace struct {
	mu      sync.Mutex
	records []TraceRecord
}

// Record appends a record with a copy of the commands. It omits ticks without
// commands.
func (t *Trace) Record(_ string, now time.Time, ev pool.Event, cmds []pool.Command) {
	if _, tick := ev.(pool.Tick); tick && len(cmds) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.records = append(t.records, TraceRecord{At: now, Event: ev, Commands: slices.Clone(cmds)})
}

// Records returns a copy of the records so far.
func (t *Trace) Records() []TraceRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.records)
}

// blocksByRequest returns the prompts' block hashes by request.
func blocksByRequest(records []TraceRecord) map[request.ID][]uint64 {
	out := map[request.ID][]uint64{}
	for _, r := range records {
		if e, ok := r.Event.(pool.Enqueue); ok {
			out[e.Request] = e.Blocks
		}
	}
	return out
}
