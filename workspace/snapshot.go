package workspace

import (
	"crypto/sha256"
	"slices"
	"sync/atomic"
	"time"

	"github.com/lycheekeel/lycheekeel/objectstore"
	"github.com/lycheekeel/lycheekeel/request"
)

// KeyHash is the SHA-256 of a bearer key.
type KeyHash [sha256.Size]byte

// Snapshot is an immutable, resolved view of the whole configuration. A request
// uses one snapshot throughout.
type Snapshot struct {
	// Version is the largest object version in the snapshot.
	Version objectstore.Version
	// Workspaces maps the hash of each key to its workspace.
	Workspaces map[KeyHash]*ResolvedWorkspace
	// Pools are by name, ModelPools by model, version and region. The pool of a
	// plain service is found by its name.
	Pools      map[string]*ResolvedPool
	ModelPools map[ModelRegion][]*ResolvedPool
}

// ModelRegion identifies a version of a model in a region.
type ModelRegion struct{ Model, Version, Region string }

// ResolvedPool is a pool with the backend servers that serve it now.
type ResolvedPool struct {
	Pool
	Servers []BackendServer // sorted by name
}

// HasVersion reports whether a server of a software version is in the pool and not leaving.
func (p *ResolvedPool) HasVersion(version string) bool {
	return slices.ContainsFunc(p.Servers, func(s BackendServer) bool { return s.Version == version && !s.Leaving })
}

// ResolvedWorkspace is a template with a workspace's parameters substituted.
type ResolvedWorkspace struct {
	Workspace           string
	Template            string
	Tiers               []ResolvedTier // sorted by priority
	TierByName          map[string]*ResolvedTier
	DefaultTier         *ResolvedTier
	AllowTierHeader     bool
	AllowDeadlineHeader bool
	MaxTokens           int
	MaxBodyBytes        int
	Models              map[string]*ResolvedModel
	Services            map[string]*ResolvedService
}

// ResolvedTier is a tier with its targets.
type ResolvedTier struct {
	Name       string
	Tier       request.Tier
	Targets    request.Targets
	MaxWaiting int
}

// ResolvedModel is a model with its version and default tier.
type ResolvedModel struct {
	Name, Version string
	Tier          *ResolvedTier
	NonIdempotent bool
}

// ResolvedService is a plain service with its rules.
type ResolvedService struct {
	Name, Pool string
	Tier       *ResolvedTier
	Rules      []ResolvedRule
}

// ResolvedRule is a service rule with its tier.
type ResolvedRule struct {
	Method, Path string
	Idempotent   bool
	Tier         *ResolvedTier // nil means the tier of the service
}

// ByKey returns the workspace that a bearer key belongs to.
func (s *Snapshot) ByKey(bearer string) (*ResolvedWorkspace, bool) {
	w, ok := s.Workspaces[sha256.Sum256([]byte(bearer))]
	return w, ok
}

// Milliseconds converts a configuration value in milliseconds to a duration.
func Milliseconds(v int64) time.Duration { return time.Duration(v) * time.Millisecond }

// CurrentSnapshot holds the active snapshot. Load is one atomic read.
type CurrentSnapshot struct{ p atomic.Pointer[Snapshot] }

// Load returns the active snapshot, or nil before the first Store.
func (c *CurrentSnapshot) Load() *Snapshot { return c.p.Load() }

// Store makes a snapshot active for all later requests.
func (c *CurrentSnapshot) Store(s *Snapshot) { c.p.Store(s) }
