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

// maxSuspects bounds the fingerprints that a host remembers.
const maxSuspects = 1024

// suspects remembers what was shared, for pools that this daemon takes later.
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
		panic(err) // only for a size below one
	}
	return &suspects{known: known}
}

func (s *suspects) record(now time.Time, ev pool.SuspectShared) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.known.Add(ev.Fingerprint, knownSuspect{ev.State, now.Add(ev.ExpiresIn)})
}

// replayTo tells a new runtime what is known.
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

// broadcastSuspect tells this daemon's other pools and every other member.
func (h *Host) broadcastSuspect(from *Runtime, c pool.ShareSuspect) {
	h.count.suspectsShared.Add(1)
	ev := pool.SuspectShared(c)
	h.receiveSuspect(from, ev)
	if h.cfg.Transport == nil || h.cfg.View == nil {
		return
	}
	payload := poolwire.EncodeSuspect(ev)
	for _, m := range h.cfg.View.Load().Members {
		if m.Name != h.cfg.Self {
			// A member that misses it learns at the worst from a crash of its own.
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

// sendBriefs tells the owners of a pool's siblings how it stands.
func (h *Host) sendBriefs(r *Runtime, s pool.Summary) {
	snapshot := h.cfg.Snapshots.Load()
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

// receiveBrief tells the owned siblings of a pool how it stands.
func (h *Host) receiveBrief(b poolwire.Brief) {
	snapshot := h.cfg.Snapshots.Load()
	if snapshot == nil {
		return
	}
	for _, name := range siblings(snapshot, b.Pool) {
		if r := h.Owned(name); r != nil {
			r.post(pool.Sibling{Pool: b.Pool, Waiting: b.Waiting, Free: b.Free})
		}
	}
}

// siblings returns the other pools of the same model version and region.
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
