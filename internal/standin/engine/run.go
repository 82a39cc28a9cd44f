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
	OutcomeCrashed   Outcome = "crashed"   // the engine crashed during the run
	OutcomeAbandoned Outcome = "abandoned" // it had no stream for longer than Options.LingerMs
)

// RunRecord is one entry of the run log. The log has an entry for every run
// that the engine accepted, so a request that was dispatched twice has two.
type RunRecord struct {
	RequestID       string     `json:"request_id"`
	Model           string     `json:"model"`
	StartedAt       time.Time  `json:"started_at"`
	PromptTokens    int        `json:"prompt_tokens"`
	PrefillComputed int        `json:"prefill_computed"`
	Tokens          int        `json:"tokens"`
	Ended           *time.Time `json:"ended"` // null while the run is in progress
	Outcome         Outcome    `json:"outcome"`
}

// run is one sequence. Engine.mu guards it.
type run struct {
	req          port.Run
	answer       string // the full text that the run will generate
	totalTokens  int    // length of answer in tokens
	finishReason string

	promptTokens    int
	prefillLeft     int
	stepPrefill     int // prefill tokens in the current step
	prefillComputed int
	generatedTokens int

	visibleAt time.Time // streams deliver no tokens before this time
	idleSince time.Time // when the run ended or lost its last stream
	ended     bool
	crashed   bool // the engine crashed or was closed, possibly after the run ended
	streams   []*cursor
	record    *RunRecord
}

func newRun(req port.Run, now time.Time) *run {
	r := &run{req: req, promptTokens: req.PromptTokens}
	if r.promptTokens <= 0 {
		r.promptTokens = max(1, port.EstimateTokens(req.Prompt))
	}
	r.answer, r.totalTokens, r.finishReason = answerFor(&r.req)
	r.record = &RunRecord{
		RequestID: req.RequestID, Model: req.Model, StartedAt: now,
		PromptTokens: r.promptTokens, Outcome: OutcomeRunning,
	}
	return r
}

// kvTokens is the KV memory that the run holds while in the batch, in tokens.
func (r *run) kvTokens() int { return r.promptTokens + r.totalTokens }

// startPrefill sets how many prompt tokens must be computed, given the number of
// cached leading blocks. The last token of a prompt is always computed.
func (r *run) startPrefill(cachedBlocks int) {
	cached := min(cachedBlocks*port.BlockTokens, r.promptTokens-1)
	r.prefillComputed = r.promptTokens - cached
	r.prefillLeft = r.prefillComputed
	r.record.PrefillComputed = r.prefillComputed
}

func (r *run) end(outcome Outcome, now time.Time) {
	if r.ended {
		return
	}
	r.ended = true
	r.idleSince = now
	r.record.Ended = &now
	r.record.Outcome = outcome
	r.record.Tokens = r.generatedTokens
	r.notifyStreams()
}

func (r *run) notifyStreams() {
	for _, c := range r.streams {
		select {
		case c.ready <- struct{}{}:
		default: // a notification is already pending
		}
	}
}

func (r *run) attach(c *cursor) {
	r.streams = append(r.streams, c)
	if !r.ended {
		r.idleSince = time.Time{}
	}
}

func (r *run) detach(c *cursor, now time.Time) {
	for i, s := range r.streams {
		if s == c {
			r.streams = append(r.streams[:i], r.streams[i+1:]...)
			break
		}
	}
	if len(r.streams) == 0 && !r.ended {
		r.idleSince = now
	}
}

// idleBefore reports whether the run has been idle since before the cutoff.
func (r *run) idleBefore(cutoff time.Time) bool {
	return !r.idleSince.IsZero() && r.idleSince.Before(cutoff)
}
