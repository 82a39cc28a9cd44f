package workspace

import (
	"crypto/sha256"
	"sync/atomic"
	"time"

	"github.com/lycheekeel/lycheekeel/objectstore"
	"github.com/lycheekeel/lycheekeel/request"
)

// KeyHash is the SHA-256 of a bearer key.
type KeyHash [sha256.Size]byte

// Snapshot is one immutable, resolved view of the whole configuration. A
// request takes one snapshot for its whole life.
type Snapshot struct {
	// Version is the largest object version in the snapshot.
	Version objectstore.Version
	// Workspaces by the hash of each of their keys.
	Workspaces map[KeyHash]*ResolvedWorkspace
	// Pools by name; ModelPools by model, version and region; ServicePools
	// are looked up by name.
	Pools      map[string]*ResolvedPool
	ModelPools map[ModelRegion][]*ResolvedPool
}

// ModelRegion is a model's version in a region.
type ModelRegion struct{ Model, Version, Region string }

// ResolvedPool is a pool with the backend servers that serve it now.
type ResolvedPool struct {
	Pool
	Servers []BackendServer // sorted by name
}

// ResolvedWorkspace is a workspace: its template with its parameters put in.
type ResolvedWorkspace struct {
	Workspace           string
	Template            string
	Tiers               []ResolvedTier // by priority
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
	Tier         *ResolvedTier // nil: the service's
}

// ByKey returns the workspace of a bearer key.
func (s *Snapshot) ByKey(bearer string) (*ResolvedWorkspace, bool) {
	w, ok := s.Workspaces[sha256.Sum256([]byte(bearer))]
	return w, ok
}

// Milliseconds converts a checked configuration value.
func Milliseconds(v int64) time.Duration { return time.Duration(v) * time.Millisecond }

// CurrentSnapshot holds the snapshot in force. Load is one atomic read.
type CurrentSnapshot struct{ p atomic.Pointer[Snapshot] }

// Load returns the snapshot in force, or nil before the first one.
func (c *CurrentSnapshot) Load() *Snapshot { return c.p.Load() }

// Store puts a snapshot in force for every request that comes after.
func (c *CurrentSnapshot) Store(s *Snapshot) { c.p.Store(s) }
