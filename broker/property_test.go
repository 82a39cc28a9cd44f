package broker

import (
	"io"
	"maps"
	"testing"
	"time"

	"github.com/lycheekeel/lycheekeel/internal/logs"
	"github.com/lycheekeel/lycheekeel/internal/poolhost"
	"github.com/lycheekeel/lycheekeel/pool"
	"github.com/lycheekeel/lycheekeel/request"
	"pgregory.net/rapid"
)

// machine drives three daemons through any order of work and faults, and
// checks after each step what must hold at all times.
type machine struct {
	w       *world
	waiting map[*waiter]*node
	running map[*grant]*node
	results map[*waiter]int
	used    map[pool.GrantID]request.ID // grants that a caller got
	cut     [2]string
}

func newMachine(p pool.Policy, idle time.Duration) *machine {
	heartbeat := func(int) time.Duration { return idle }
	m := &machine{
		w: newWorldOf(2, heartbeat, "a", "b", "c"), waiting: map[*waiter]*node{}, running: map[*grant]*node{},
		results: map[*waiter]int{}, used: map[pool.GrantID]request.ID{},
	}
	m.w.policy = p
	m.w.advance(time.Second)
	return m
}

func (m *machine) collect(t *rapid.T) {
	for x, n := range m.waiting {
		r, ok := ended(x)
		if !ok {
			continue
		}
		delete(m.waiting, x)
		m.results[x]++
		if r.grant == nil {
			continue
		}
		if other, doubled := m.used[r.grant.id]; doubled {
			t.Fatalf("grant %v went to %s and to %s", r.grant.id, other, x.id())
		}
		m.used[r.grant.id] = x.id()
		m.running[r.grant] = n
	}
	for x := range m.results {
		if _, again := ended(x); again {
			t.Fatalf("%s ended twice", x.id())
		}
	}
}

// alive draws a node that is neither dead nor paused.
func (m *machine) alive(t *rapid.T) *node {
	var all []string
	for _, name := range m.w.names {
		if n := m.w.nodes[name]; !n.dead && !n.frozen {
			all = append(all, name)
		}
	}
	if len(all) == 0 {
		t.Skip("nobody lives")
	}
	return m.w.nodes[rapid.SampledFrom(all).Draw(t, "node")]
}

func (m *machine) oneRunning() (*grant, *node) {
	var first *grant
	for g, n := range m.running {
		if !n.dead && !n.frozen && (first == nil || g.spec.ID < first.spec.ID) {
			first = g
		}
	}
	return first, m.running[first]
}

func (m *machine) oneWaiting() *waiter {
	var first *waiter
	for x, n := range m.waiting {
		if !n.dead && !n.frozen && (first == nil || x.id() < first.id()) {
			first = x
		}
	}
	return first
}

func (m *machine) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"acquire": func(t *rapid.T) {
			n := m.alive(t)
			m.waiting[n.begin(request.Tier(rapid.IntRange(0, 2).Draw(t, "tier")), time.Hour)] = n
		},
		"acquire undelivered": func(t *rapid.T) {
			n := m.alive(t)
			s := testSpec("u"+rapid.StringN(8, 8, 8).Draw(t, "id"), m.w.now)
			m.waiting[n.entry.begin(Demand{Spec: s, Candidates: candidates(m.w)})] = n
		},
		"withdraw": func(t *rapid.T) {
			if x := m.oneWaiting(); x != nil {
				delete(m.waiting, x)
				x.withdraw()
			}
		},
		"release": func(t *rapid.T) {
			if g, _ := m.oneRunning(); g != nil {
				delete(m.running, g)
				g.Release(End{Outcome: pool.OutcomeDone})
			}
		},
		"return and acquire again": func(t *rapid.T) {
			g, n := m.oneRunning()
			if g == nil {
				return
			}
			delete(m.running, g)
			g.Return()
			m.waiting[n.entry.begin(Demand{Spec: g.spec, Candidates: candidates(m.w)})] = n
		},
		"deliver one": func(t *rapid.T) { m.w.deliver() },
		"lose one": func(t *rapid.T) {
			if len(m.w.queue) > 0 {
				m.w.queue = m.w.queue[1:]
			}
		},
		"break a connection": func(t *rapid.T) {
			a, b := m.alive(t), m.alive(t)
			if a != b {
				m.w.breakLink(a.name, b.name)
			}
		},
		"cut or heal": func(t *rapid.T) {
			if m.cut != [2]string{} {
				m.w.setCut(m.cut[0], m.cut[1], false)
				m.cut = [2]string{}
				return
			}
			a, b := m.alive(t), m.alive(t)
			if a != b {
				m.cut = [2]string{a.name, b.name}
				m.w.setCut(a.name, b.name, true)
			}
		},
		"one node's view changes": func(t *rapid.T) {
			n, gone := m.alive(t), m.alive(t)
			if n != gone {
				n.setMembers(m.w.without(gone)...)
			}
		},
		"views agree": func(t *rapid.T) { m.w.setMembers(m.w.names...) },
		"pause or go on": func(t *rapid.T) {
			for _, name := range m.w.names {
				if n := m.w.nodes[name]; n.frozen {
					n.thaw()
					return
				}
			}
			m.alive(t).frozen = true
		},
		"crash and start again": func(t *rapid.T) {
			n := m.alive(t)
			m.w.kill(n)
			maps.DeleteFunc(m.waiting, func(_ *waiter, of *node) bool { return of == n })
			maps.DeleteFunc(m.running, func(_ *grant, of *node) bool { return of == n })
			m.w.add(n.name).setMembers(m.w.names...)
		},
		"time": func(t *rapid.T) {
			m.w.advance(time.Duration(rapid.IntRange(1, 80).Draw(t, "ticks")) * 25 * time.Millisecond)
		},
		"": func(t *rapid.T) { m.collect(t) },
	}
}

// settle ends all faults, lets every request end, and checks that no request
// and no slot was lost.
func (m *machine) settle(t *rapid.T) {
	if m.cut != [2]string{} {
		m.w.setCut(m.cut[0], m.cut[1], false)
	}
	for _, n := range m.w.nodes {
		if n.frozen {
			n.thaw()
		}
	}
	m.w.setMembers(m.w.names...)
	for range 2000 {
		m.w.advance(25 * time.Millisecond)
		m.collect(t)
		for g := range m.running {
			delete(m.running, g)
			g.Release(End{Outcome: pool.OutcomeDone})
		}
		if len(m.waiting) == 0 {
			break
		}
	}
	if len(m.waiting) > 0 {
		t.Fatalf("%d requests never ended", len(m.waiting))
	}
	m.w.advance(40 * time.Second) // grants of ended sessions are held for 30 s
	s := m.w.owner().host.Summaries()[0]
	// The default policy adapts its limits below the slots.
	if s.Running != 0 || (s.Free != 4 && m.w.policy == pool.PolicyFIFO) {
		t.Fatalf("slots are lost: %d running, %d free of 4", s.Running, s.Free)
	}
}

// TestSessionsProperty checks that, whatever is lost and whoever is paused or
// taken for dead, each Acquire ends once, no grant is used twice, and no slot
// is lost for good.
func TestSessionsProperty(t *testing.T) {
	if err := logs.Configure(io.Discard, "error", false); err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(
			rapid.SampledFrom([]pool.Policy{pool.PolicyFIFO, pool.PolicyLycheekeel}).Draw(t, "policy"),
			rapid.SampledFrom([]time.Duration{poolhost.HeartbeatEvery, poolhost.MaxHeartbeat}).Draw(t, "idle heartbeat"),
		)
		t.Repeat(m.actions())
		m.settle(t)
	})
}
