package callermem

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/lycheekeel/lycheekeel/request"
)

// Guards against: an urgent request is refused for lack of memory while background requests keep theirs.
func TestTheLowestTierIsEvictedFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &accountModel{account: New(Limits{Bytes: 100}, Events{})}
		t.Repeat(map[string]func(*rapid.T){"pin": m.pin, "release": m.release, "arrive": m.arrive, "": m.check})
	})
}

// accountModel drives an Account with requests of four tiers.
type accountModel struct {
	account *Account
	all     []*modelRequest
}

type modelRequest struct {
	res           *Reservation
	ended, pinned bool
}

func (m *accountModel) pick(t *rapid.T) *modelRequest {
	if len(m.all) == 0 {
		t.Skip("no requests")
	}
	return rapid.SampledFrom(m.all).Draw(t, "holder")
}

func (m *accountModel) pin(t *rapid.T) {
	h := m.pick(t)
	if h.res.Pin() == h.ended {
		t.Fatalf("pin did not match the request's state: ended %v", h.ended)
	}
	h.pinned = true
}

func (m *accountModel) release(t *rapid.T) {
	h := m.pick(t)
	h.res.Release()
	h.ended = true
}

// evictable returns the number of evictable requests of each tier, and their bytes.
func (m *accountModel) evictable() (count [4]int, bytes [4]int64) {
	for _, h := range m.all {
		if !h.ended && !h.pinned {
			count[h.res.tier]++
			bytes[h.res.tier] += h.res.bytes
		}
	}
	return count, bytes
}

func (m *accountModel) arrive(t *rapid.T) {
	tier := rapid.IntRange(0, 3).Draw(t, "tier")
	bytes := rapid.Int64Range(1, 60).Draw(t, "bytes")
	before, held := m.evictable()
	room := m.account.limits.Bytes - m.account.Used()
	for lower := tier + 1; lower < len(held); lower++ {
		room += held[lower]
	}
	h := &modelRequest{}
	h.res = m.account.Reserve(nil, "", request.Tier(tier), func() { h.ended = true })
	if granted := h.res.Resize(bytes); granted != (bytes <= room) {
		t.Fatalf("tier %d, %d bytes: resize returned %v with room for %d bytes", tier, bytes, granted, room)
	} else if !granted {
		h.res.Release()
		h.ended = true
	}
	after, _ := m.evictable()
	for evicted := range before {
		if before[evicted] == after[evicted] {
			continue
		}
		if evicted <= tier {
			t.Fatalf("tier %d evicted tier %d", tier, evicted)
		}
		for lower := evicted + 1; lower < len(after); lower++ {
			if after[lower] > 0 {
				t.Fatalf("tier %d was evicted while tier %d still waits", evicted, lower)
			}
		}
	}
	m.all = append(m.all, h)
}

func (m *accountModel) check(t *rapid.T) {
	if used := m.account.Used(); used > m.account.limits.Bytes || used < 0 {
		t.Fatalf("%d bytes reserved, limit %d", used, m.account.limits.Bytes)
	}
}
