// Package claim makes non-idempotent requests run at most once, across
// entries, callers' resends, VM deaths and store outages. A claim is an object
// in the platform's object API, created if absent before the dispatch.
package claim

import (
	"context"
	"fmt"

	"github.com/lycheekeel/lycheekeel/request"
	"github.com/pkg/errors"
)

// Key names a claim: a workspace and its caller's idempotency key.
type Key struct {
	Workspace      string
	IdempotencyKey string
}

// Hash is the SHA-256 of the canonical request. The same key with another
// hash is an error of the caller's, never a repeat.
type Hash [32]byte

// State is what a claim says of its request.
type State string

// The states of a claim. A claim whose claimant died stays Claimed: whether
// its request ran is unknown until proved otherwise, so it never runs again.
const (
	Claimed State = "claimed"
	NotRun  State = "not_run" // given back: certainly not dispatched
	Ran     State = "ran"
	Unknown State = "unknown"
)

// Outcome is how a claimed request ended.
type Outcome struct {
	State State
	// Answer is the short whole answer where it fits MaxAnswerBytes, else
	// nil; ContentType and Status go with it.
	Answer      []byte
	ContentType string
	Status      int
}

// MaxAnswerBytes is the longest answer that a claim keeps for a resend.
const MaxAnswerBytes = 8 << 10

// Errors of a Ledger; callers test with errors.Is.
var (
	// ErrStoreUnavailable: the claim could not be settled in time. If a claim
	// was or may have been written, the ledger gives it back when it can;
	// the request did not run and the caller may send it again.
	ErrStoreUnavailable = errors.New("claim store unavailable")
	// ErrConflict: the key was used before with other content.
	ErrConflict = errors.New("idempotency key used with other content")
)

// ExistingError reports that the key with the same content was claimed
// before; Outcome is what is known of that run.
type ExistingError struct{ Outcome Outcome }

// Error implements error.
func (e *ExistingError) Error() string {
	return fmt.Sprintf("already claimed, state %s", e.Outcome.State)
}

// Claim is a claim that this process holds: its holder, and nobody else, may
// dispatch the request.
type Claim interface {
	// Finish records the outcome. It retries in the background while the
	// store is down, within a bound; a claim never finished reads "unknown".
	Finish(o Outcome)
	// Release records that the request was not dispatched, so that a resend
	// may run. Call it only where that is certain.
	Release()
}

// Ledger makes claims. Implementations are safe for concurrent use.
type Ledger interface {
	// Claim reserves the key. It returns nil error only where the claim is
	// certainly this caller's, settling a lost answer by reading the token
	// back. Errors: ErrConflict, *ExistingError, ErrStoreUnavailable.
	Claim(ctx context.Context, k Key, h Hash, id request.ID) (Claim, error)
}
