// Package engine simulates a model engine for tests, demonstrations and
// experiments. It runs no model; it reproduces the timing of one: continuous
// batching in steps that are shared between prefill and decode, with a limited
// number of slots, limited KV memory and a limited prefix cache. Faults can be
// injected while it runs.
//
// Engine can be reached in two ways: it implements the interface Engine of the
// module's package engine for callers in the same process, and Serve exposes it
// over HTTP for the adapter httpengine.
package engine

import (
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/lycheekeel/lycheekeel/engine/httpengine/wire"
)

// Options configure an engine. A zero field takes its default.
type Options struct {
	// Models are loaded from the start. With none, the engine serves any model.
	Models []wire.Model `json:"models,omitempty"`
	// Empty starts the engine without a model: it refuses every request until
	// an order has loaded one.
	Empty bool `json:"empty,omitempty"`
	// Slots is the maximum batch size in sequences. Further requests wait in
	// the engine's FIFO queue. Default 16.
	Slots int `json:"slots,omitempty"`
	// StepMs is the fixed part of a step's duration. Default 5.
	StepMs float64 `json:"step_ms,omitempty"`
	// SequenceMs is added to a step's duration for each sequence in the batch,
	// so that decode slows down as the batch grows. Default 0.1.
	SequenceMs float64 `json:"sequence_ms,omitempty"`
	// PrefillPerSecond is the prefill rate in tokens per second. Default 20,000.
	PrefillPerSecond float64 `json:"prefill_per_second,omitempty"`
	// PrefillChunk is the maximum number of prefill tokens in one step.
	// Default 512.
	PrefillChunk int `json:"prefill_chunk,omitempty"`
	// KVTokens is the KV memory for the sequences in the batch, in tokens.
	// Default 200,000.
	KVTokens int `json:"kv_tokens,omitempty"`
	// CacheBlocks is the size of the prefix cache in blocks of
	// engine.BlockTokens. It does not count towards KVTokens. Default 1,024.
	CacheBlocks int `json:"cache_blocks,omitempty"`
	// LoadMs is how long it takes to load a model or an adapter. Default 500.
	LoadMs float64 `json:"load_ms,omitempty"`
	// RestartMs is how long an engine is unreachable after a crash.
	// Default 1,000.
	RestartMs float64 `json:"restart_ms,omitempty"`
	// LingerMs is how long a run continues without a stream, and how long an
	// ended run can be resumed. Default 10,000.
	LingerMs float64 `json:"linger_ms,omitempty"`
	// KeepaliveMs is the interval of keepalive lines on a stream that has no
	// tokens to send. Default 200.
	KeepaliveMs float64 `json:"keepalive_ms,omitempty"`
	// SilenceMs is the silence timeout of streams in the same process, where
	// no adapter enforces one. Default 1,000.
	SilenceMs float64 `json:"silence_ms,omitempty"`
	// Faults are the initial faults.
	Faults Faults `json:"faults,omitzero"`
}

func (o Options) withDefaults() Options {
	setDefault(&o.Slots, 16)
	setDefault(&o.StepMs, 5)
	setDefault(&o.SequenceMs, 0.1)
	setDefault(&o.PrefillPerSecond, 20_000)
	setDefault(&o.PrefillChunk, 512)
	setDefault(&o.KVTokens, 200_000)
	setDefault(&o.CacheBlocks, 1_024)
	setDefault(&o.LoadMs, 500)
	setDefault(&o.RestartMs, 1_000)
	setDefault(&o.LingerMs, 10_000)
	setDefault(&o.KeepaliveMs, 200)
	setDefault(&o.SilenceMs, 1_000)
	return o
}

func setDefault[T int | float64](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// Silence selects the connections of an engine that are silent: they stay
// open, but bytes are dropped in both directions.
type Silence string

// The values of Silence.
const (
	SilenceOff      Silence = ""
	SilenceExisting Silence = "existing" // connections open when the fault was switched on
	SilenceAll      Silence = "all"      // new connections as well
)

// Faults are the faults that can be injected. The zero value injects none.
type Faults struct {
	// Speed multiplies the engine's speed: 0.1 makes it a straggler that runs
	// at a tenth of its speed. Zero means 1.
	Speed float64 `json:"speed"`
	// CrashText crashes the engine when a request whose prompt contains the
	// text gets a slot.
	CrashText string `json:"crash_text"`
	// Silent makes connections silent.
	Silent Silence `json:"silent"`
	// AnswerDelayMs withholds the tokens of every answer for this long after
	// the request was accepted.
	AnswerDelayMs float64 `json:"answer_delay_ms"`
	// CrossAnswers is the number of pairs of answers still to be swapped: each
	// of the two streams carries the other one's answer.
	CrossAnswers int `json:"cross_answers"`
	// IgnoreFencing carries out orders with a stale fencing token.
	IgnoreFencing bool `json:"ignore_fencing"`
	// ReportLagMs is the age of load reports and cache events.
	ReportLagMs float64 `json:"report_lag_ms"`
	// DropEvents drops every nth cache event (1: all of them).
	DropEvents int `json:"drop_events"`
	// Refuse refuses every new request with ErrRefusedNotRun.
	Refuse bool `json:"refuse"`
	// Leaving reports the engine as leaving and refuses new requests.
	Leaving bool `json:"leaving"`
}

// validate returns an error for the first invalid field.
func (f Faults) validate() error {
	switch {
	case f.Speed < 0 || f.AnswerDelayMs < 0 || f.ReportLagMs < 0 || f.CrossAnswers < 0 || f.DropEvents < 0:
		return errors.New("faults: a number is negative")
	case f.Silent != SilenceOff && f.Silent != SilenceExisting && f.Silent != SilenceAll:
		return errors.Errorf("faults: silent is %q, not \"\", %q or %q", f.Silent, SilenceExisting, SilenceAll)
	}
	return nil
}

func (f Faults) speed() float64 {
	if f.Speed <= 0 {
		return 1
	}
	return f.Speed
}

func (f Faults) crashesOn(prompt string) bool {
	return f.CrashText != "" && strings.Contains(prompt, f.CrashText)
}

func ms(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
