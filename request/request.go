// Package request is the aggregate of one caller's request: its identity, its
// classification, its life from first byte to last, its one dispatch right,
// and the typed refusals that may end it.
package request

import (
	"crypto/rand"
	"encoding/hex"
	"time"
)

// ID identifies one request for its whole life. It is made by the entry that
// accepted the caller and is never reused.
type ID string

// idBytes is the number of random bytes in an ID: enough that two entries
// never make the same one without talking to each other.
const idBytes = 12

// NewID returns a fresh random ID.
func NewID() ID {
	var b [idBytes]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(err) // crypto/rand never fails on the supported platforms
	}
	return ID(hex.EncodeToString(b[:]))
}

// Tier is a request's priority class. Tier 0 is the most urgent; a larger
// number is shed first.
type Tier uint8

// MaxTiers bounds how many tiers a template may define.
const MaxTiers = 8

// Targets are what a tier promises, counted from the moment the entry read
// the request. A zero field promises nothing.
type Targets struct {
	// FirstToken is the longest time to the first token.
	FirstToken time.Duration
	// PerToken is the longest mean time between two tokens after the first.
	PerToken time.Duration
	// Deadline is when a request that has not been dispatched expires, and
	// the latest useful end of the whole answer.
	Deadline time.Duration
}

// Spec is the immutable classification of a request.
type Spec struct {
	ID        ID
	Workspace string
	Template  string
	Tier      Tier
	Targets   Targets
	// Model is the name that the caller asked for; Version is what the
	// template resolves it to. Both are empty for a plain service.
	Model   string
	Version string
	// Service is the plain service's name, empty for a model request.
	Service string
	// Idempotent is false where the template says that the request may not
	// be repeated. Such a request needs a claim before it is dispatched.
	Idempotent bool
	// IdempotencyKey is the caller's Idempotency-Key, or empty.
	IdempotencyKey string
	// PromptTokens is the entry's estimate; MaxTokens is the caller's or the
	// template's cap on generated tokens.
	PromptTokens int
	MaxTokens    int
	// ExpectedTokens is the caller's own estimate of the generated tokens; 0:
	// none.
	ExpectedTokens int
	// Blocks are chained hashes of the prompt's blocks, first block first.
	Blocks []uint64
	// Fingerprint identifies the request's content, so that a request that
	// crashes servers is recognized when its caller sends it again.
	Fingerprint uint64
	// Received is when the entry read the request (monotonic).
	Received time.Time
}
