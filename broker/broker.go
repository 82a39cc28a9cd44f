// Package broker is the entry's side of the pools: it finds a request's pool
// and the pool's owner, holds the request while it waits, and hands out the
// grants. The entry knows nothing of owners and pools beyond this interface.
package broker

import (
	"context"
	"time"

	"github.com/lycheekeel/lycheekeel/pool"
	"github.com/lycheekeel/lycheekeel/request"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// Demand is one request's wish for a slot, made from one snapshot.
type Demand struct {
	Spec *request.Spec
	// Candidates are the pools that can serve it, in the entry's region.
	Candidates []*workspace.ResolvedPool
	MaxWaiting int
	// SentTo are the servers that the request was sent to before.
	SentTo []string
}

// Broker gets slots for requests. Implementations are safe for concurrent use.
type Broker interface {
	// Acquire waits for a slot. It returns at once when the request is shed,
	// expired or withdrawn (ctx ended). The error is a *request.Refusal with
	// NotRunTrue, or ctx's error. It may be called again for the same request
	// after Grant.Return: the request keeps its place by its age.
	Acquire(ctx context.Context, d Demand) (Grant, error)
}

// Grant is a slot on one backend server. Exactly one of Release and Return
// must be called, once; Progress only before it.
type Grant interface {
	Server() workspace.BackendServer
	// Progress reports a running request: time from dispatch to first token,
	// tokens so far, mean time between the tokens since the last report.
	Progress(firstToken time.Duration, tokens int, perToken time.Duration)
	// Release frees the slot after a dispatch.
	Release(end Completion)
	// ReturnUnused gives the slot back; nothing was dispatched.
	ReturnUnused()
}

// Completion is how a dispatched request ended.
type Completion struct {
	Outcome         pool.Outcome
	FirstToken      time.Duration
	Total           time.Duration
	OutputTokens    int
	PromptTokens    int
	PrefillComputed int
	RefusedLeaving  bool
}
