// Package workspace holds the configuration model: templates for kinds of
// services, workspaces that instantiate templates with parameters, pools and
// backend servers. It checks them, reports every finding with its location, and
// resolves them into immutable snapshots that requests read without locks.
package workspace

import (
	"encoding/json"

	"github.com/lycheekeel/lycheekeel/objectstore"
)

// Kinds of configuration objects in the object API.
const (
	KindTemplate      objectstore.Kind = "Template"
	KindWorkspace     objectstore.Kind = "Workspace"
	KindPool          objectstore.Kind = "Pool"
	KindBackendServer objectstore.Kind = "BackendServer"
	// KindAssignment is written by the placement controller, not by operators. It
	// names the pool that a backend server serves now.
	KindAssignment objectstore.Kind = "Assignment"
)

// Kinds returns every kind that a daemon needs in order to serve.
func Kinds() []objectstore.Kind {
	return []objectstore.Kind{KindTemplate, KindWorkspace, KindPool, KindBackendServer, KindAssignment}
}

// Number is an integer in a template: a literal, or "${parameter}".
type Number struct {
	Value     int64
	Parameter string // set if the value is that of a parameter
}

// Template describes one kind of service.
type Template struct {
	Name       string               `json:"name"`
	Parameters map[string]Parameter `json:"parameters,omitempty"`
	Tiers      []TierSpec           `json:"tiers"`
	// DefaultTier is the tier of requests that do not name one.
	DefaultTier         string        `json:"default_tier"`
	AllowTierHeader     bool          `json:"allow_tier_header,omitempty"`
	AllowDeadlineHeader bool          `json:"allow_deadline_header,omitempty"`
	MaxTokens           Number        `json:"max_tokens"`
	MaxBodyBytes        Number        `json:"max_body_bytes"`
	Models              []ModelSpec   `json:"models,omitempty"`
	Services            []ServiceSpec `json:"services,omitempty"`
}

// Parameter is one parameter of a template, with its type and bounds.
type Parameter struct {
	Type    string          `json:"type"` // "int", "string"
	Default json.RawMessage `json:"default,omitempty"`
	Min     *int64          `json:"min,omitempty"`
	Max     *int64          `json:"max,omitempty"`
	Enum    []string        `json:"enum,omitempty"`
}

// TierSpec is one tier of a template. Priority is comparable across all
// templates: 0 is the most urgent.
type TierSpec struct {
	Name         string `json:"name"`
	Priority     int    `json:"priority"`
	FirstTokenMs Number `json:"first_token_ms"`
	PerTokenMs   Number `json:"per_token_ms"`
	DeadlineMs   Number `json:"deadline_ms"`
	// MaxWaiting limits the waiting requests of one workspace in this tier of one
	// pool; 0 means the daemon's default.
	MaxWaiting Number `json:"max_waiting"`
}

// ModelSpec names a model, the version that serves it, its default tier, and whether
// its requests may be retried.
type ModelSpec struct {
	Name    string `json:"name"`
	Version string `json:"version"` // may be "${parameter}"
	Tier    string `json:"tier,omitempty"`
	// NonIdempotent marks a model whose requests must not be retried.
	NonIdempotent bool `json:"non_idempotent,omitempty"`
}

// ServiceSpec names a plain service, the pool that serves it, and which of its
// calls are idempotent. The first matching rule decides; a call that matches none
// is idempotent only if its method is GET or HEAD.
type ServiceSpec struct {
	Name  string        `json:"name"`
	Pool  string        `json:"pool"`
	Tier  string        `json:"tier,omitempty"`
	Rules []ServiceRule `json:"rules,omitempty"`
}

// ServiceRule matches calls by method ("*" for any) and path pattern, where
// "*" matches one path segment and a final "**" the rest.
type ServiceRule struct {
	Method     string `json:"method"`
	Path       string `json:"path"`
	Idempotent bool   `json:"idempotent"`
	Tier       string `json:"tier,omitempty"`
}

// Workspace is one customer's instance of a template.
type Workspace struct {
	Name       string                     `json:"name"`
	Template   string                     `json:"template"`
	Parameters map[string]json.RawMessage `json:"parameters,omitempty"`
	Keys       []Key                      `json:"keys"`
}

// Key is a caller's bearer key, of which only the SHA-256 is kept, in hex.
type Key struct {
	ID     string `json:"id"`
	SHA256 string `json:"sha256"`
}

// Pool is a set of at most MaxPoolServers backend servers in one region that
// serve one version of one model, or one plain service.
type Pool struct {
	Name    string `json:"name"`
	Region  string `json:"region"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Service string `json:"service,omitempty"`
	// Policy is a pool.Policy; empty means "lycheekeel".
	Policy     string `json:"policy,omitempty"`
	MinServers int    `json:"min_servers,omitempty"`
	MaxServers int    `json:"max_servers,omitempty"`
	// MaxWaiting limits the pool's queue; 0 means the daemon's default.
	MaxWaiting int `json:"max_waiting,omitempty"`
}

// MaxPoolServers limits a pool, and with it the cost of a scheduling decision.
const MaxPoolServers = 32

// BackendServer is one model engine or one server of a plain service.
type BackendServer struct {
	Name             string `json:"name"`
	Address          string `json:"address"` // IP:port
	Region           string `json:"region"`
	AvailabilityZone string `json:"availability_zone"`
	Generation       string `json:"generation,omitempty"`
	// Pool is the pool of the server unless an Assignment names another.
	Pool string `json:"pool"`
	// Slots is the maximum number of concurrent requests; the adaptive limit stays
	// at or below it. 0 means the daemon's default.
	Slots int `json:"slots,omitempty"`
	// ChecksTokens reports whether the server rejects orders with old fencing
	// tokens.
	ChecksTokens bool `json:"checks_tokens,omitempty"`
	// Leaving is set by the operator to give the server no new work.
	Leaving bool `json:"leaving,omitempty"`
	// Incarnation changes when the server restarts, if its registration reports
	// that. Operators do not set it.
	Incarnation string `json:"-"`
	// Version is the version of the server's software, as its registration reports it.
	Version string `json:"-"`
}

// Assignment is the placement controller's decision for one backend server.
type Assignment struct {
	Server string `json:"server"`
	Pool   string `json:"pool"`
	Role   string `json:"role,omitempty"`
	// Warm is true once the server has confirmed that it has loaded the model.
	Warm  bool   `json:"warm"`
	Token uint64 `json:"token"` // fencing token of the controller's lease
}
