// Package route is the aggregate of what the operator lets through: routes by
// host and path prefix, the services that they lead to, the workspaces that
// may use them, and the bounds of a caller's request. A Document is what the
// operator wrote; a Table is its immutable, checked form, which a request
// takes once for its whole life.
package route

import (
	"time"

	"github.com/lycheekeel/lycheekeel/request"
)

// Kind says what of a route's requests may be repeated.
type Kind uint8

// The kinds of routes.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered by a series of events. They run at most
	// once unless the route is Resumable.
	Stream
)

// Route leads requests of a host, under a path prefix, to services.
type Route struct {
	Name   string
	Host   string // lower case, without a port
	Prefix string // begins and ends with a slash
	Kind   Kind
	// Targets are the services that share the route's requests by weight.
	Targets []Target
	// Timeout is the longest time that a request may be kept waiting.
	Timeout time.Duration
	// LatencyTarget is the time to the answer, for streams to the first event.
	LatencyTarget time.Duration
	Tier          request.Tier
	// MaxAttempts bounds the servers that may begin to run one request.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another server.
	Resumable bool
}

// Target is a service's share of a route.
type Target struct {
	Service string
	Weight  int
}

// Repeatable tells whether a request may be run by a second server.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Pick returns the service for a request; roll is uniform in [0,1).
func (r *Route) Pick(u float64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	at := u * float64(total)
	for _, t := range r.Targets {
		at -= float64(t.Weight)
		if at < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Service is a set of backend servers that are alike but for their speed.
type Service struct {
	Name string
	// TokensPerEvent is how many tokens one event of an engine's stream holds.
	TokensPerEvent int
}

// Workspace is one client organisation: its keys, rank and quota.
type Workspace struct {
	Name string
	Keys []string
	// Tier, where not nil, goes before the route's.
	Tier  *request.Tier
	Quota Quota
}

// Quota bounds what a workspace may use over all daemons together.
type Quota struct {
	// PerSecond and Burst are in requests, or in tokens where Tokens is set.
	// A zero PerSecond means no bound.
	PerSecond float64
	Burst     float64
	Tokens    bool
	// DefaultTokens is what a request counts that names no tokens.
	DefaultTokens int
}

// Cost returns what a request uses of the quota; tokens is what the
// request says of itself, zero if nothing.
func (q Quota) Cost(tokens int) float64 {
	switch {
	case !q.Tokens:
		return 1
	case tokens > 0:
		return float64(tokens)
	default:
		return float64(q.DefaultTokens)
	}
}

// Limits bound what a caller may send.
type Limits struct {
	MaxBodyBytes int // zero: no bound
}

// Document is one version of the whole configuration.
type Document struct {
	Version    uint64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}
