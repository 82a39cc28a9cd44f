// Package route models what the operator admits: routes by host and path prefix, the
// services behind them, the workspaces that may use them, and limits on a caller's request.
// A Document is the configuration as the operator wrote it. A Table is its immutable,
// checked form. A request uses one table throughout.
package route

import (
	"time"

	"github.com/lycheekeel/lycheekeel/request"
)

// Kind says which requests of a route may be repeated.
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

// Route sends requests for a host and a path prefix to services.
type Route struct {
	Name   string
	Host   string // lower case, without a port
	Prefix string // begins and ends with a slash
	Kind   Kind
	// Targets are the services that share the route's requests by weight.
	Targets []Target
	// Timeout is the longest time that a request may wait.
	Timeout time.Duration
	// LatencyTarget is the target for the time to the answer, or to the first event of a
	// stream.
	LatencyTarget time.Duration
	// PauseTarget is the target for the longest gap between two events of a stream; zero
	// means no target.
	PauseTarget time.Duration
	Tier        request.Tier
	// MaxAttempts is the maximum number of servers that may start to run one request.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may continue on another server.
	Resumable bool
}

// Target is a service with its weight on a route.
type Target struct {
	Service string
	Weight  int
}

// Repeatable reports whether a second server may run a request.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Pick returns the service for a request. u is uniform in [0, 1).
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

// Service is a set of backend servers that differ only in speed.
type Service struct {
	Name string
	// TokensPerEvent is the number of tokens in one event of an engine's stream.
	TokensPerEvent int
	// Traits are derived by Compile.
	Traits Traits
}

// Workspace is one customer organisation with its keys, priority and quota.
type Workspace struct {
	Name string
	Keys []string
	// Tier takes precedence over the route's tier; nil: none.
	Tier  *request.Tier
	Quota Quota
}

// Quota limits what a workspace may use, summed over all daemons.
type Quota struct {
	// PerSecond and Burst are in requests, or in tokens if Tokens is set. A zero PerSecond
	// means no limit.
	PerSecond float64
	Burst     float64
	Tokens    bool
	// DefaultTokens is the cost of a request that states no number of tokens.
	DefaultTokens int
}

// Cost returns what a request costs in units of the quota. tokens is the number that the
// request states, or zero.
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

// Limits bound a caller's request.
// A zero field is no limit.
type Limits struct {
	MaxHeaderBytes, MaxBodyBytes int
	// HeaderTimeout is how long a caller may take to send a head, and IdleTimeout how long it may
	// keep a connection without a request.
	HeaderTimeout, IdleTimeout time.Duration
}

// Document is one version of the whole configuration.
type Document struct {
	Version    uint64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
	// Patience is that of the callers of streams.
	Patience Patience
}
