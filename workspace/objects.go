// Package workspace is the aggregate of the configuration: templates for each
// kind of service, workspaces that instantiate them with parameters, pools and
// backend servers. It checks them, reports every finding with its place, and
// resolves them into immutable snapshots that a request reads without locks.
package workspace

import (
	"encoding/json"

	"github.com/lycheekeel/lycheekeel/objectstore"
)

// The kinds of configuration objects in the object API.
const (
	KindTemplate      objectstore.Kind = "Template"
	KindWorkspace     objectstore.Kind = "Workspace"
	KindPool          objectstore.Kind = "Pool"
	KindBackendServer objectstore.Kind = "BackendServer"
	// KindAssignment is written by the placement controller, not by
	// operators: which pool a backend server serves now.
	KindAssignment objectstore.Kind = "Assignment"
)

// Kinds returns every kind that a daemon must know to serve.
func Kinds() []objectstore.Kind {
	return []objectstore.Kind{KindTemplate, KindWorkspace, KindPool, KindBackendServer, KindAssignment}
}

// Number is an integer in a template: a literal, or "${parameter}".
type Number struct {
	Value     int64
	Parameter string // set where the value is a parameter's
}

// Template describes one kind of service.
type Template struct {
	Name       string               `json:"name"`
	Parameters map[string]Parameter `json:"parameters,omitempty"`
	Tiers      []TierSpec           `json:"tiers"`
	// DefaultTier names the tier of a request that names none.
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
	// MaxWaiting bounds how many requests one workspace may have waiting in
	// this tier of one pool; 0 means the daemon's default.
	MaxWaiting Number `json:"max_waiting"`
}

// ModelSpec names a model, the version that serves it, and its rules.
type ModelSpec struct {
	Name    string `json:"name"`
	Version string `json:"version"` // may be "${parameter}"
	Tier    string `json:"tier,omitempty"`
	// NonIdempotent marks a model whose requests may not be repeated.
	NonIdempotent bool `json:"non_idempotent,omitempty"`
}

// ServiceSpec names a plain service, the pool that serves it, and which of
// its calls may not be repeated. The first rule that matches decides; a call
// that matches none is idempotent only if its method is GET or HEAD.
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

// Workspace is one client organisation's instance of a template.
type Workspace struct {
	Name       string                     `json:"name"`
	Template   string                     `json:"template"`
	Parameters map[string]json.RawMessage `json:"parameters,omitempty"`
	Keys       []Key                      `json:"keys"`
}

// Key is a caller's bearer key; only its SHA-256 is kept, in hex.
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
	// MaxWaiting bounds the pool's queue; 0 means the daemon's default.
	MaxWaiting int `json:"max_waiting,omitempty"`
}

// MaxPoolServers bounds a pool, and so the cost of one scheduling decision.
const MaxPoolServers = 32

// BackendServer is one model engine or one server of a plain service.
type BackendServer struct {
	Name             string `json:"name"`
	Address          string `json:"address"` // IP:port
	Region           string `json:"region"`
	AvailabilityZone string `json:"availability_zone"`
	Generation       string `json:"generation,omitempty"`
	// Pool is where the server serves unless an Assignment says otherwise.
	Pool string `json:"pool"`
	// Slots is how many requests it may run at once at the most; the limit
	// adapts below it. 0 means the daemon's default.
	Slots int `json:"slots,omitempty"`
	// ChecksTokens tells whether it refuses orders with old fencing tokens.
	ChecksTokens bool `json:"checks_tokens,omitempty"`
	// Leaving is the operator's order to give it no new work.
	Leaving bool `json:"leaving,omitempty"`
	// Incarnation changes when the server starts again, where its registration
	// tells; no operator sets it.
	Incarnation string `json:"-"`
}

// Assignment is the placement controller's decision for one backend server.
type Assignment struct {
	Server string `json:"server"`
	Pool   string `json:"pool"`
	Role   string `json:"role,omitempty"`
	// Warm is true once the server confirmed that it holds the model.
	Warm  bool   `json:"warm"`
	Token uint64 `json:"token"` // fencing token of the controller's lease
}
