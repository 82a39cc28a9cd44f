// Package request models one caller's request: its identity, its classification, its
// lifecycle, its single dispatch right, and the typed refusals that may end it.
package request

import (
	"crypto/rand"
	"encoding/hex"
	"time"
)

// ID identifies one request for its whole lifecycle. The entry that accepted the caller
// generates it. It is never reused.
type ID string

// idBytes is the number of random bytes in an ID, enough to make a collision between
// entries negligible without coordination.
const idBytes = 12

// NewID returns a new random ID.
func NewID() ID {
	var b [idBytes]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(err) // crypto/rand never fails on the supported platforms
	}
	return ID(hex.EncodeToString(b[:]))
}

// Tier is a request's priority class. Tier 0 is the most urgent; higher numbers are shed
// first.
type Tier uint8

// MaxTiers is the maximum number of tiers in a template.
const MaxTiers = 8

// Targets are the latency targets of a tier, counted from when the entry read the request.
// A zero field sets no target.
type Targets struct {
	// FirstToken is the target for the time to the first token.
	FirstToken time.Duration
	// PerToken is the target for the mean time between tokens after the first one.
	PerToken time.Duration
	// Deadline is when a request expires that has not been dispatched, and the latest
	// useful end of the whole answer.
	Deadline time.Duration
}

// Spec is the immutable classification of a request.
type Spec struct {
	ID        ID
	Workspace string
	Template  string
	Tier      Tier
	Targets   Targets
	// Model is the name that the caller asked for, Version the one that the template
	// resolves it to. Both are empty for a plain service.
	Model   string
	Version string
	// Service is the name of the plain service, empty for a model request.
	Service string
	// Idempotent is false if the template forbids repeating the request. Such a request
	// needs a claim before it is dispatched.
	Idempotent bool
	// IdempotencyKey is the caller's Idempotency-Key, or empty.
	IdempotencyKey string
	// PromptTokens is the entry's estimate. MaxTokens is the limit on generated tokens,
	// from the caller or the template.
	PromptTokens int
	MaxTokens    int
	// ExpectedTokens is the caller's estimate of the generated tokens; 0: none.
	ExpectedTokens int
	// Blocks are the chained hashes of the prompt's blocks, in order.
	Blocks []uint64
	// Fingerprint identifies the request's content, so that a request that crashes servers
	// is recognized when it is sent again.
	Fingerprint uint64
	// Parts identify the parts of the prompt that other requests may share, so that a part
	// that crashes servers is recognized in requests that differ otherwise.
	Parts []uint64
	// Received is when the entry read the request (monotonic).
	Received time.Time
}
