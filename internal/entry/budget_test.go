package entry

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	standin "github.com/lycheekeel/lycheekeel/internal/standin/engine"
	"github.com/lycheekeel/lycheekeel/request"
)

// Guards against: an urgent request is refused for lack of memory while background requests keep theirs.
func TestBodyBudgetEvictsTheLowestTierFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &budgetModel{budget: newBodyBudget(100, 0)}
		t.Repeat(map[string]func(*rapid.T){"pin": m.pin, "release": m.release, "arrive": m.arrive, "": m.check})
	})
}

// budgetModel drives a bodyBudget with requests of four tiers.
type budgetModel struct {
	budget *bodyBudget
	all    []*modelRequest
}

type modelRequest struct {
	res           *reservation
	ended, pinned bool
}

func (m *budgetModel) pick(t *rapid.T) *modelRequest {
	if len(m.all) == 0 {
		t.Skip("no requests")
	}
	return rapid.SampledFrom(m.all).Draw(t, "holder")
}

func (m *budgetModel) pin(t *rapid.T) {
	h := m.pick(t)
	if h.res.pin() == h.ended {
		t.Fatalf("pin did not match the request's state: ended %v", h.ended)
	}
	h.pinned = true
}

func (m *budgetModel) release(t *rapid.T) {
	h := m.pick(t)
	h.res.release()
	h.ended = true
}

// evictable returns the number of evictable requests of each tier, and their bytes.
func (m *budgetModel) evictable() (count [4]int, bytes [4]int64) {
	for _, h := range m.all {
		if !h.ended && !h.pinned {
			count[h.res.tier]++
			bytes[h.res.tier] += h.res.bytes
		}
	}
	return count, bytes
}

func (m *budgetModel) arrive(t *rapid.T) {
	tier := rapid.IntRange(0, 3).Draw(t, "tier")
	bytes := rapid.Int64Range(1, 60).Draw(t, "bytes")
	before, held := m.evictable()
	room := m.budget.limit - m.budget.Used()
	for lower := tier + 1; lower < len(held); lower++ {
		room += held[lower]
	}
	h := &modelRequest{}
	h.res = m.budget.newReservation(request.Tier(tier), func() { h.ended = true })
	if granted := h.res.resize(bytes); granted != (bytes <= room) {
		t.Fatalf("tier %d, %d bytes: resize returned %v with room for %d bytes", tier, bytes, granted, room)
	} else if !granted {
		h.res.release()
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

func (m *budgetModel) check(t *rapid.T) {
	if used := m.budget.Used(); used > m.budget.limit || used < 0 {
		t.Fatalf("%d bytes reserved, limit %d", used, m.budget.limit)
	}
}

func TestHigherTierEvictsLowerTier(t *testing.T) {
	Convey("When the memory budget is full, the lowest waiting tier is evicted", t, func() {
		r := newRig(t, standin.Options{}, Limits{BodyBytes: 2*requestOverhead + requestOverhead/2}, longSilence)
		r.broker.hold.Store(true)
		refused := make(chan [2]any, 4)
		send := func(tier string) {
			_, body := r.post(pathChat, chatBody(testModel, "echo:x", false), headerTier, tier)
			code, notRun := refusalOf(body)
			refused <- [2]any{code, notRun}
		}
		go send("late")
		go send("urgent")
		r.eventually("both requests wait", func() bool { return r.broker.waiting.Load() == 2 })
		memory := [2]any{string(request.ReasonEntryMemory), true}
		go send("late")
		So(<-refused, ShouldResemble, memory) // the new request itself: no lower tier waits
		So(r.broker.waiting.Load(), ShouldEqual, 2)
		go send("urgent")
		So(<-refused, ShouldResemble, memory) // the waiting request of the lower tier was evicted
		r.eventually("both urgent requests wait", func() bool { return r.broker.waiting.Load() == 2 })
		So(r.counter(groupRefusals, string(request.ReasonEntryMemory)), ShouldEqual, 2)
		close(r.broker.freed)
		So([][2]any{<-refused, <-refused}, ShouldResemble, [][2]any{{"", nil}, {"", nil}}) // both get an answer
	})
}
