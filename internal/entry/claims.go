package entry

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/pkg/errors"

	"github.com/lycheekeel/lycheekeel/broker"
	"github.com/lycheekeel/lycheekeel/claim"
	"github.com/lycheekeel/lycheekeel/internal/callerwatch"
	"github.com/lycheekeel/lycheekeel/request"
)

// replayError ends a request with the stored answer of its first run. It is an error
// so that handler treats it like everything else that ends a request early.
type replayError struct{ outcome claim.Outcome }

// Error implements error.
func (r *replayError) Error() string { return "answered with the stored answer of the first run" }

// claimHash identifies a call by its content. Each part is hashed with its length, so
// that moving bytes between parts changes the hash.
func claimHash(parts ...[]byte) claim.Hash {
	h := sha256.New()
	var length [8]byte
	for _, p := range parts {
		binary.LittleEndian.PutUint64(length[:], uint64(len(p)))
		_, _ = h.Write(length[:])
		_, _ = h.Write(p)
	}
	return claim.Hash(h.Sum(nil))
}

type claimResult struct {
	claim claim.Claim
	err   error
}

// claim obtains the request's claim while it holds a slot. slotKept is false if the
// store took too long and the slot was returned; the request then has its claim and
// must acquire another slot.
//
// Without returning the slot, requests that wait for a slow claim store would occupy
// every slot, and engines would be idle while their queues are full.
func (x *exchange) claim(ctx context.Context, grant broker.Grant) (slotKept bool, err error) {
	if x.heldClaim != nil {
		return true, nil
	}
	results := make(chan claimResult, 1)
	go func() {
		key := claim.Key{Workspace: x.spec.Workspace, IdempotencyKey: x.spec.IdempotencyKey}
		c, err := x.entry.deps.Ledger.Claim(ctx, key, x.contentHash, x.id)
		results <- claimResult{c, err}
	}()
	timeout := time.NewTimer(x.entry.limits.ClaimSlotTimeout)
	defer timeout.Stop()
	select {
	case r := <-results:
		return true, x.acceptClaim(ctx, r)
	case <-timeout.C:
	}
	if err := x.lifecycle.Advance(request.Granted, request.Queued); err != nil {
		return false, err
	}
	grant.ReturnUnused()
	return false, x.acceptClaim(ctx, <-results)
}

// acceptClaim stores a new claim, or returns the error for a request without one.
func (x *exchange) acceptClaim(ctx context.Context, r claimResult) error {
	var existing *claim.ExistingError
	switch {
	case r.err == nil:
		x.heldClaim = r.claim
		return nil
	case errors.As(r.err, &existing):
		return resendRefusal(existing.Outcome)
	case errors.Is(r.err, claim.ErrConflict):
		return request.Refuse(request.ReasonClaimConflict, "this %s was used with other content", headerIdempotencyKey)
	case errors.Is(context.Cause(ctx), callerwatch.ErrDisconnected):
		return contextRefusal(ctx)
	case errors.Is(r.err, claim.ErrStoreUnavailable), ctx.Err() != nil:
		return request.Refuse(request.ReasonStoreUnavailable, "the claim could not be recorded in time")
	default:
		return errors.Wrap(r.err, "claim")
	}
}

// resendRefusal ends a resent request according to the outcome of its first run.
func resendRefusal(o claim.Outcome) error {
	switch {
	case o.State == claim.Ran && o.Answer != nil:
		return &replayError{o}
	case o.State == claim.Ran:
		return &request.Refusal{Reason: request.ReasonClaimRan, NotRun: request.NotRunFalse,
			Message: "this request ran before; its answer is not kept"}
	case o.State == claim.Claimed:
		return &request.Refusal{Reason: request.ReasonClaimInProgress, NotRun: request.RanUnknown,
			Message: "this request was claimed before and is not known to have ended"}
	default:
		return &request.Refusal{Reason: request.ReasonClaimUnknown, NotRun: request.RanUnknown,
			Message: "this request was claimed before; whether it ran is unknown, so it is not run again"}
	}
}

// settleClaim records the outcome of a claimed request. notRun must be NotRunTrue only
// if the request certainly did not run.
func (x *exchange) settleClaim(notRun request.NotRun, answer *claim.Outcome) {
	if x.heldClaim == nil {
		return
	}
	c := x.heldClaim
	x.heldClaim = nil
	switch {
	case answer != nil:
		c.Finish(*answer)
	case notRun == request.NotRunTrue:
		c.Release()
	default:
		c.Finish(claim.Outcome{State: claim.Unknown})
	}
}
