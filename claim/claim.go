// Package claim makes non-idempotent requests run at most once, despite several
// entries, callers' retries, VM failures and store outages. A claim is stored in the
// platform's object API: it is created, if absent, before the request is dispatched.
package claim

import (
	"context"
	"fmt"

	"github.com/lycheekeel/lycheekeel/request"
	"github.com/pkg/errors"
)

// Key identifies a claim: a workspace and the caller's idempotency key.
type Key struct {
	Workspace      string
	IdempotencyKey string
}

// Hash is the SHA-256 of the canonical request. The same key with another hash is an
// error of the caller, not a retry.
type Hash [32]byte

// State is the state of a claimed request.
type State string

// The states of a claim. A claim whose claimant died stays Claimed: whether its
// request ran is unknown, so it never runs again.
const (
	Claimed State = "claimed"
	NotRun  State = "not_run" // released: certainly not dispatched
	Ran     State = "ran"
	Unknown State = "unknown"
)

// Outcome describes how a claimed request ended.
type Outcome struct {
	State State
	// Answer is the complete answer if it fits MaxAnswerBytes, else nil. ContentType
	// and Status belong to it.
	Answer      []byte
	ContentType string
	Status      int
}

// MaxAnswerBytes is the size of the longest answer that a claim keeps for retries.
const MaxAnswerBytes = 8 << 10

// Errors of a Ledger, to be tested with errors.Is.
var (
	// ErrStoreUnavailable reports that the claim could not be decided in time. The
	// request did not run and the caller may retry it. If the claim was or may have
	// been written, the ledger releases it as soon as it can.
	ErrStoreUnavailable = errors.New("claim store unavailable")
	// ErrConflict reports that the key was used before with other content.
	ErrConflict = errors.New("idempotency key used with other content")
)

// ExistingError reports that the key was claimed before with the same content.
// Outcome is what is known of that request.
type ExistingError struct{ Outcome Outcome }

// Error implements error.
func (e *ExistingError) Error() string {
	return fmt.Sprintf("already claimed, state %s", e.Outcome.State)
}

// Claim is a claim that this process holds. Only its holder may dispatch the request.
type Claim interface {
	// Finish records the outcome. While the store is unavailable it retries in the
	// background, up to a bound. The outcome of a claim that is never finished is
	// unknown to retries.
	Finish(o Outcome)
	// Release records that the request was not dispatched, so that a retry may run.
	// Call it only if that is certain.
	Release()
}

// Ledger creates claims. Implementations are safe for concurrent use.
type Ledger interface {
	// Claim claims the key. It returns a nil error only if this caller certainly
	// holds the claim; after a lost response it reads the claim's token back. The
	// errors are ErrConflict, *ExistingError and ErrStoreUnavailable.
	Claim(ctx context.Context, k Key, h Hash, id request.ID) (Claim, error)
}
