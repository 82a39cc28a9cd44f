package engine

import (
	"time"

	port "github.com/lycheekeel/lycheekeel/engine"
)

// Outcome says how a run ended.
type Outcome string

// The outcomes.
const (
	OutcomeRunning   Outcome = "running"
	OutcomeStop      Outcome = finishStop
	OutcomeLength    Outcome = finishLength
	OutcomeCancelled Outcome = "cancelled"
	OutcomeCrashed   Outcome = "crashed"   // the engine crashed under it
	OutcomeAbandoned Outcome = "abandoned" // nobody listened for too long
)

// RunRecord is one entry of the run log. The log has an entry for every run
// that the engine took on: a request that was dispatched twice stands in it
// twice.
type RunRecord struct {
	RequestID       string     `json:"request_id"`
	Model           string     `json:"model"`
	StartedAt       time.Time  `json:"started_at"`
	PromptTokens    int        `json:"prompt_tokens"`
	PrefillComputed int        `json:"prefill_computed"`
	Tokens          int        `json:"tokens"`
	Ended           *time.Time `json:"ended"` // null while it runs
	Outcome         Outcome    `json:"outcome"`
}

// run is one sequence. The engine's lock guards it.
type run struct {
	req    port.Run
	text   string // the whole answer
	total  int    // its tokens
	finish string

	promptTokens int
	prefillLeft  int
	share        int // prefill tokens in the current step
	computed     int
	generated    int

	visibleAt time.Time // tokens are withheld until then
	idleSince time.Time // since it ended, or lost its last stream
	ended     bool
	broken    bool // the engine crashed
	streams   []*cursor
	record    *RunRecord
}

func newRun(r port.Run, now time.Time) *run {
	x := &run{req: r, promptTokens: r.PromptTokens}
	if x.promptTokens <= 0 {
		x.promptTokens = max(1, port.EstimateTokens(r.Prompt))
	}
	x.text, x.total, x.finish = answerFor(&x.req)
	x.record = &RunRecord{
		RequestID: r.RequestID, Model: r.Model, StartedAt: now,
		PromptTokens: x.promptTokens, Outcome: OutcomeRunning,
	}
	return x
}

// memory is the KV memory that the run holds while in the batch, in tokens.
func (x *run) memory() int { return x.promptTokens + x.total }

// begin sets how much of the prompt must be computed, given the cached blocks.
// The last token of a prompt is always computed.
func (x *run) begin(cachedBlocks int) {
	cached := min(cachedBlocks*port.BlockTokens, x.promptTokens-1)
	x.computed = x.promptTokens - cached
	x.prefillLeft = x.computed
	x.record.PrefillComputed = x.computed
}

func (x *run) end(outcome Outcome, now time.Time) {
	if x.ended {
		return
	}
	x.ended = true
	x.idleSince = now
	x.record.Ended = &now
	x.record.Outcome = outcome
	x.record.Tokens = x.generated
	x.wake()
}

func (x *run) wake() {
	for _, c := range x.streams {
		select {
		case c.ready <- struct{}{}:
		default: // it has not yet seen the last one
		}
	}
}

func (x *run) attach(c *cursor) {
	x.streams = append(x.streams, c)
	if !x.ended {
		x.idleSince = time.Time{}
	}
}

func (x *run) detach(c *cursor, now time.Time) {
	for i, s := range x.streams {
		if s == c {
			x.streams = append(x.streams[:i], x.streams[i+1:]...)
			break
		}
	}
	if len(x.streams) == 0 && !x.ended {
		x.idleSince = now
	}
}

// idle reports whether nobody has listened since before the time.
func (x *run) idle(before time.Time) bool {
	return !x.idleSince.IsZero() && x.idleSince.Before(before)
}
