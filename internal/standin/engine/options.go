// Package engine is a stand-in for a model engine, for tests, demonstrations
// and experiments. It computes nothing, but it takes the time that an engine
// would: it batches continuously in steps, shares each step between prefill
// and decode, has a limited number of slots, limited KV memory and a limited
// prefix cache. Faults can be switched on while it runs.
//
// One core (Engine) has two fronts: it implements the engine port in the same
// process, and Serve serves it over HTTP for the adapter httpengine.
package engine

import (
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/lycheekeel/lycheekeel/engine/httpengine/wire"
)

// Options describe an engine. A zero field takes its default.
type Options struct {
	// Models that it holds from the start. With none it serves any model.
	Models []wire.Model `json:"models,omitempty"`
	// Empty starts it without a model: it refuses every request until an
	// order has loaded one.
	Empty bool `json:"empty,omitempty"`
	// Slots is how many sequences it batches; more requests wait inside,
	// first come, first served. Default 16.
	Slots int `json:"slots,omitempty"`
	// StepMs is the fixed part of a step's time. Default 5.
	StepMs float64 `json:"step_ms,omitempty"`
	// SequenceMs is what each decoding sequence adds to a step, so that
	// decode slows down as the batch grows. Default 0.1.
	SequenceMs float64 `json:"sequence_ms,omitempty"`
	// PrefillPerSecond is the prefill rate in tokens. Default 20,000.
	PrefillPerSecond float64 `json:"prefill_per_second,omitempty"`
	// PrefillChunk is the most prefill tokens in one step. Default 512.
	PrefillChunk int `json:"prefill_chunk,omitempty"`
	// KVTokens is the KV memory of the sequences in the batch. Default 200,000.
	KVTokens int `json:"kv_tokens,omitempty"`
	// CacheBlocks is the size of the prefix cache in blocks of
	// engine.BlockTokens, kept beside KVTokens. Default 1,024.
	CacheBlocks int `json:"cache_blocks,omitempty"`
	// LoadMs is how long an order to load takes. Default 500.
	LoadMs float64 `json:"load_ms,omitempty"`
	// RestartMs is how long a crashed engine stays away. Default 1,000.
	RestartMs float64 `json:"restart_ms,omitempty"`
	// LingerMs is how long a run goes on without a connection, and how long
	// an ended one can be resumed. Default 10,000.
	LingerMs float64 `json:"linger_ms,omitempty"`
	// KeepaliveMs is how often a stream without tokens sends a keepalive
	// line. Default 200.
	KeepaliveMs float64 `json:"keepalive_ms,omitempty"`
	// SilenceMs is the silence limit of streams used in the same process,
	// where no adapter watches over them. Default 1,000.
	SilenceMs float64 `json:"silence_ms,omitempty"`
	// Faults at the start.
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

// Silence says which connections of an engine are silent: what is sent on
// them is lost in both directions, while they stay open.
type Silence string

// The values of Silence.
const (
	SilenceOff      Silence = ""
	SilenceExisting Silence = "existing" // those open when it was switched on
	SilenceAll      Silence = "all"      // new ones as well
)

// Faults are what an engine can be told to do wrong. The zero value is a
// sound engine.
type Faults struct {
	// Speed multiplies the engine's speed: 0.1 is a straggler at a tenth.
	// Zero means 1.
	Speed float64 `json:"speed"`
	// CrashText crashes the engine when a request whose prompt holds the
	// text gets a slot.
	CrashText string `json:"crash_text"`
	// Silent makes connections silent.
	Silent Silence `json:"silent"`
	// AnswerDelayMs withholds every answer's tokens for so long.
	AnswerDelayMs float64 `json:"answer_delay_ms"`
	// CrossAnswers is how many pairs of answers are still to be swapped: each
	// of two connections gets the other's answer.
	CrossAnswers int `json:"cross_answers"`
	// IgnoreFencing obeys orders with an old fencing token.
	IgnoreFencing bool `json:"ignore_fencing"`
	// ReportLagMs is how old load reports and cache events are.
	ReportLagMs float64 `json:"report_lag_ms"`
	// DropEvents loses every nth cache event (1: all of them).
	DropEvents int `json:"drop_events"`
	// Refuse answers every new request that it will not run.
	Refuse bool `json:"refuse"`
	// Leaving announces that the engine leaves and refuses new requests.
	Leaving bool `json:"leaving"`
}

// validate returns an error that names the first bad field.
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
