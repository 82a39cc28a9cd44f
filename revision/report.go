package revision

import (
	"expvar"
	"fmt"
	"time"

	"github.com/lycheekeel/lycheekeel/internal/metrics"
	"github.com/lycheekeel/lycheekeel/objectstore"
)

// ActiveConfig identifies the active configuration of a member. Members with
// equal hashes have the same one.
type ActiveConfig struct {
	// Version is the newest applied version.
	Version objectstore.Version
	Hash    uint64
	// Floor is the version up to which every change is active.
	Floor objectstore.Version

	changes uint64
}

// Report describes a member's active configuration.
type Report struct {
	Member  string              `json:"member"`
	Version objectstore.Version `json:"version"`
	// Through is the version up to which every change is active. It may be larger
	// than Version, since the object API counts all its writes. On members that do
	// not watch it rises shortly after a change.
	Through objectstore.Version `json:"through"`
	// Hash is equal on members with the same active configuration. It is empty
	// before there is one.
	Hash string `json:"hash"`
	// ConfirmedMs is the time since the object API last confirmed the
	// configuration, in milliseconds; -1 means never.
	ConfirmedMs int64 `json:"confirmed_ms"`
	// Watching reports whether this member itself watches the object API.
	Watching bool `json:"watching"`
}

// Report returns the report on this member's active configuration.
func (s *Syncer) Report() Report {
	r := Report{Member: string(s.opts.Transport.Self()), ConfirmedMs: -1, Watching: s.watching.Load()}
	if active := s.active.Load(); active != nil {
		r.Version, r.Through, r.Hash = active.Version, active.Floor, fmt.Sprintf("%016x", active.Hash)
	}
	if c := s.lastConfirmed(); !c.IsZero() {
		r.ConfirmedMs = s.opts.Now().Sub(c).Milliseconds()
	}
	return r
}

// lastConfirmed returns when the object API last confirmed this member's state.
func (s *Syncer) lastConfirmed() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confirmedAt
}

// Metric groups.
const (
	groupConfig  = "config"
	groupRetries = "config_retries"
)

// counters are a Syncer's metrics.
type counters struct {
	registry                                                *metrics.Registry
	published, fromStore, fromPeers, pulls, pushes          *expvar.Int
	digestsSent, digestsDropped, malformed, watchesReturned *expvar.Int
}

// newCounters returns the counters; if r is nil, they are in a registry of their
// own.
func newCounters(r *metrics.Registry) counters {
	if r == nil {
		r = metrics.New()
	}
	return counters{
		registry:        r,
		published:       r.Counter(groupConfig, "published"),
		fromStore:       r.Counter(groupConfig, "learned_from_store"),
		fromPeers:       r.Counter(groupConfig, "learned_from_peers"),
		pulls:           r.Counter(groupConfig, "pulls"),
		pushes:          r.Counter(groupConfig, "pushes"),
		digestsSent:     r.Counter(groupConfig, "digests_sent"),
		digestsDropped:  r.Counter(groupConfig, "digests_dropped"),
		malformed:       r.Counter(groupConfig, "malformed"),
		watchesReturned: r.Counter(groupConfig, "watches_returned"),
	}
}

// countRetry counts a failed attempt that will be retried, by the error's reason.
func (c counters) countRetry(err error) { c.registry.Counter(groupRetries, errorReason(err)).Add(1) }
