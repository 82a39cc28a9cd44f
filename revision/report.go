package revision

import (
	"expvar"
	"fmt"
	"time"

	"github.com/lycheekeel/lycheekeel/internal/metrics"
	"github.com/lycheekeel/lycheekeel/objectstore"
)

// ActiveConfig names the configuration that a member has in force. Members with
// equal hashes have the same.
type ActiveConfig struct {
	// Version is the newest version applied.
	Version objectstore.Version
	Hash    uint64
	// Floor is the floor: every change up to it is in force.
	Floor objectstore.Version

	changes uint64
}

// Report is what a member tells of its configuration.
type Report struct {
	Member  string              `json:"member"`
	Version objectstore.Version `json:"version"`
	// Floor is the version up to which every change is in force. It may be
	// larger than Version, since the object API counts all its writes, and
	// follows a moment after a change on members that do not watch.
	Through objectstore.Version `json:"through"`
	// Hash is equal on members that have the same configuration in force;
	// empty before there is one.
	Hash string `json:"hash"`
	// ConfirmedMs is how long ago the object API last confirmed it, in
	// milliseconds; -1 for never.
	ConfirmedMs int64 `json:"confirmed_ms"`
	// Watching tells whether this member watches the object API itself.
	Watching bool `json:"watching"`
}

// Report returns what this member has in force.
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

// lastConfirmed is when the object API last confirmed what is held.
func (s *Syncer) lastConfirmed() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confirmedAt
}

// The metric groups.
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

// newCounters makes the counters; a nil registry gets one of its own.
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

// countRetry counts an attempt that will be made again, by its reason.
func (c counters) countRetry(err error) { c.registry.Counter(groupRetries, errorReason(err)).Add(1) }
