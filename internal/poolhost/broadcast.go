package poolhost

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/lycheekeel/lycheekeel/internal/peer"
	"github.com/lycheekeel/lycheekeel/internal/poolwire"
	"github.com/lycheekeel/lycheekeel/pool"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// maxSuspects limits the number of fingerprints that a host remembers.
const maxSuspects = 1024

// suspects remembers the suspect fingerprints that were shared, so that pools
// taken over later learn of them.
type suspects struct {
	mu    sync.Mutex
	known *simplelru.LRU[uint64, knownSuspect]
}

type knownSuspect struct {
	state   pool.SuspectState
	expires time.Time
}

func newSuspects() *suspects {
	known, err := simplelru.NewLRU[uint64, knownSuspect](maxSuspects, nil)
	if err != nil {
		panic(err) // NewLRU fails for a size below 1 only
	}
	return &suspects{known: known}
}

func (s *suspects) record(now time.Time, ev pool.SuspectShared) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.known.Add(ev.Fingerprint, knownSuspect{ev.State, now.Add(ev.ExpiresIn)})
}

// state returns the last shared state of a fingerprint.
func (s *suspects) state(fingerprint uint64) pool.SuspectState {
	s.mu.Lock()
	defer s.mu.Unlock()
	k, _ := s.known.Peek(fingerprint)
	return k.state
}

// replayTo posts the known suspects to a new runtime.
func (s *suspects) replayTo(r *Runtime, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.known.Keys() {
		k, _ := s.known.Peek(f)
		if left := k.expires.Sub(now); left > 0 && k.state != pool.SuspectCleared {
			r.post(pool.SuspectShared{Fingerprint: f, State: k.state, ExpiresIn: left})
		}
	}
}

// broadcastSuspect sends a suspect to this daemon's other pools and to all members.
func (h *Host) broadcastSuspect(from *Runtime, c pool.ShareSuspect) {
	h.count.suspectsShared.Add(1)
	ev := pool.SuspectShared(c)
	from.logSuspect(ev, h.suspects.state(ev.Fingerprint))
	h.receiveSuspect(from, ev)
	if h.cfg.Transport == nil || h.cfg.View == nil {
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

func (h *Host) receiveSuspect(from *Runtime, ev pool.SuspectShared) {
	h.suspects.record(h.cfg.Now(), ev)
	for _, r := range *h.owned.Load() {
		if r != from {
			r.post(ev)
		}
	}
}

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
