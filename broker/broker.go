// Package broker is the entry's client of the pools. It selects a pool for a
// request, finds the pool's owner, keeps the request while it waits and returns its
// grant. The entry knows nothing of owners and pools beyond this interface.
package broker

import (
	"context"
	"time"

	"github.com/lycheekeel/lycheekeel/pool"
	"github.com/lycheekeel/lycheekeel/request"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// Demand asks for a slot for one request. All of it comes from one snapshot.
type Demand struct {
	Spec *request.Spec
	// Candidates are the pools in the entry's region that can serve the request.
	Candidates []*workspace.ResolvedPool
	MaxWaiting int
	// SentTo are the servers to which the request was sent before.
	SentTo []string
	// Version, if not empty, is the software version whose servers alone may get the request.
	Version string
}

// Broker acquires slots for requests. Implementations are safe for concurrent use.
type Broker interface {
	// Acquire waits for a slot. It returns at once when the request is shed, has
	// expired, or is withdrawn because ctx ended. The error is a *request.Refusal
	// with NotRunTrue, or ctx's error. Acquire may be called again for the same
	// request after Grant.ReturnUnused: the request keeps its place by its age.
	Acquire(ctx context.Context, d Demand) (Grant, error)
}

// Grant is a slot on one backend server. Call exactly one of Release and
// ReturnUnused, once, and Progress only before it.
type Grant interface {
	Server() workspace.BackendServer
	// Progress reports on the running request: the time from dispatch to first
	// token, the tokens so far, and the mean time per token since the last report.
	Progress(firstToken time.Duration, tokens int, perToken time.Duration)
	// RateLimited reports, before Progress and Release, the requests per second that the
	// answer says its server takes from all daemons together.
	RateLimited(perSecond float64)
	// Brittle reports, before Progress and Release, that the answer says its server falls
	// over when it has to reject more requests in a second.
	Brittle(rejections int)
	// Leaving reports that the answer says its server is leaving.
	Leaving()
	// Pushback reports, before Release, that the server has refused the request and asked this
	// daemon to send it nothing for a while.
	Pushback(wait time.Duration)
	// PushedBack tells whether the server has asked this daemon to send it nothing now.
	PushedBack() bool
	// Release frees the slot after the request was dispatched and has ended.
	Release(c Completion)
	// ReturnUnused frees the slot; the request was not dispatched.
	ReturnUnused()
}

// Completion describes how a dispatched request ended.
type Completion struct {
	Outcome         pool.Outcome
	FirstToken      time.Duration
	Total           time.Duration
	OutputTokens    int
	PromptTokens    int
	PrefillComputed int
	RefusedLeaving  bool
	ServerGone      bool
	// Reach tells what another daemon found of a server that this one could not reach.
	Reach pool.Reach
}
