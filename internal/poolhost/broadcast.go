package poolhost

import (
	"sync"
	"time"

	"github.com/lycheekeel/lycheekeel/internal/logs"
	"github.com/lycheekeel/lycheekeel/internal/peer"
	"github.com/lycheekeel/lycheekeel/internal/poolwire"
	"github.com/lycheekeel/lycheekeel/pool"
	"github.com/lycheekeel/lycheekeel/pool/suspect"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// suspects remembers what is known of suspect fingerprints, so that pools taken over
// later learn of it.
type suspects struct {
	mu    sync.Mutex
	known *suspect.Registry
}

// suspectRetention is how long a host remembers a fingerprint at the most; its pools may
// forget it sooner.
const suspectRetention = 10 * time.Minute

func newSuspects(confirmAfterCrashes int) *suspects {
	return &suspects{known: suspect.NewRegistry(suspect.Rules{Retention: suspectRetention, ConfirmAfter: confirmAfterCrashes})}
}

// record merges what a pool knows of a fingerprint. It returns the state before.
func (s *suspects) record(now time.Time, ev pool.SuspectShared) pool.SuspectState {
	s.mu.Lock()
	defer s.mu.Unlock()
	was := s.known.State(now, ev.Fingerprint)
	s.known.Merge(now, ev.Fingerprint, ev.Record())
	s.known.TakeWithdrawn() // the pool that withdraws a verdict tells so itself
	return pool.SuspectState(was)
}

// all returns what is known of all fingerprints under which at least this many servers
// have crashed, or that are confirmed.
func (s *suspects) all(now time.Time, minCrashes int) []pool.SuspectShared {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []pool.SuspectShared
	for f, x := range s.known.All(now) {
		if len(x.Crashes) >= minCrashes || x.State == suspect.Confirmed {
			out = append(out, pool.NewSuspectShared(f, x))
		}
	}
	return out
}

// replayTo posts what is known to a new runtime.
func (s *suspects) replayTo(r *Runtime, now time.Time) {
	for _, ev := range s.all(now, 0) {
		r.post(ev)
	}
}

// sharedCrashes is the number of crashes under a fingerprint from which all members hear
// of it. Most fingerprints were beside the one that crashes servers, and are cleared soon.
const sharedCrashes = 2

// broadcastSuspect sends a suspect to this daemon's other pools and to all members.
func (h *Host) broadcastSuspect(from *Runtime, c pool.ShareSuspect) {
	h.count.suspectsShared.Add(1)
	ev := pool.SuspectShared(c)
	from.logSuspect(ev, h.receiveSuspect(from, ev))
	if h.cfg.Transport == nil || h.cfg.View == nil || len(ev.Crashes) > 0 && len(ev.Crashes) < sharedCrashes && !from.hasSiblings.Load() {
		return
	}
	payload := poolwire.EncodeSuspect(ev)
	for _, m := range h.cfg.View.Load().Members {
		if m.Name != h.cfg.Self {
			// A member that misses the message detects the suspect by a crash
			// on one of its own servers at the latest.
			_ = h.cfg.Transport.Send(peer.Name(m.Name), peer.TypeSuspect, payload)
		}
	}
}

// receiveSuspect records what a pool of this daemon, or another member, knows of a
// fingerprint, and tells the other pools. It returns the state before.
func (h *Host) receiveSuspect(from *Runtime, ev pool.SuspectShared) pool.SuspectState {
	was := h.suspects.record(h.cfg.Now(), ev)
	for _, r := range *h.owned.Load() {
		if r != from {
			r.post(ev)
		}
	}
	for _, s := range *h.openShares.Load() {
		if s.Runtime != from {
			s.post(ev)
		}
	}
	return was
}

// SendSuspects tells a member what this daemon knows of fingerprints under which servers crash.
// A pool's owner and an entry tell each other as their session opens. A static share, which has
// no member's name, is told when it is opened.
//
// A daemon that has just started knows nothing, and may own pools, or serve on its static
// share, at once.
func (h *Host) SendSuspects(member string) {
	if h.cfg.Transport == nil || member == h.cfg.Self || member == "" {
		return
	}
	for _, ev := range h.SharedSuspects() {
		if err := h.cfg.Transport.Send(peer.Name(member), peer.TypeSuspect, poolwire.EncodeSuspect(ev)); err != nil {
			logs.For("poolhost").WithField("member", member).WithError(err).Info("Suspects not sent.")
			return
		}
	}
}

// SharedSuspects returns what all members hear of suspects.
func (h *Host) SharedSuspects() []pool.SuspectShared {
	return h.suspects.all(h.cfg.Now(), sharedCrashes)
}

// LearnSuspect takes over what is known of a suspect from elsewhere.
func (h *Host) LearnSuspect(s pool.SuspectShared) { h.receiveSuspect(nil, s) }

// sendBriefs sends a pool's brief to the owners of its sibling pools, unless
// the same brief was sent less than unchangedBriefInterval ago.
func (h *Host) sendBriefs(r *Runtime, s pool.Summary) {
	snapshot := h.cfg.Snapshot.Load()
	if r.degraded || snapshot == nil {
		return
	}
	brief := poolwire.BriefOf(s)
	inputs := reconcileInputs{snapshot: snapshot}
	if h.cfg.View != nil {
		inputs.view = h.cfg.View.Load()
	}
	if brief == r.lastBrief && inputs == r.briefInputs && r.now.Sub(r.briefSentAt) < unchangedBriefInterval {
		return
	}
	r.lastBrief, r.briefInputs, r.briefSentAt = brief, inputs, r.now
	notified := map[string]bool{}
	for _, sibling := range siblings(snapshot, r.name) {
		owner, ok := h.Owner(sibling, h.cfg.Region)
		switch {
		case !ok || notified[owner]:
		case owner == h.cfg.Self:
			h.receiveBrief(brief)
			notified[owner] = true
		case h.cfg.Transport != nil:
			_ = h.cfg.Transport.Send(peer.Name(owner), peer.TypePoolSummary, poolwire.EncodeBrief(brief))
			notified[owner] = true
		}
	}
}

// receiveBrief posts a pool's brief to its siblings that this daemon owns.
func (h *Host) receiveBrief(b poolwire.Brief) {
	snapshot := h.cfg.Snapshot.Load()
	if snapshot == nil {
		return
	}
	for _, name := range siblings(snapshot, b.Pool) {
		if r := h.Owned(name); r != nil {
			r.post(pool.Sibling{Pool: b.Pool, Waiting: b.Waiting, Free: b.Free})
		}
	}
}

// siblings returns the names of the other pools that serve the same model
// version in the same region.
func siblings(s *workspace.Snapshot, name string) []string {
	p := s.Pools[name]
	if p == nil || p.Model == "" {
		return nil
	}
	var out []string
	for _, q := range s.ModelPools[workspace.ModelRegion{Model: p.Model, Version: p.Version, Region: p.Region}] {
		if q.Name != name {
			out = append(out, q.Name)
		}
	}
	return out
}
