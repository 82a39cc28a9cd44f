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

// stateMachine drives three daemons through random sequences of work and faults, and
// checks the invariants after each step.
type stateMachine struct {
	sim        *simulation
	waiting    map[*waiter]*node
	running    map[*grant]*node
	endCounts  map[*waiter]int
	usedGrants map[pool.GrantID]request.ID // grants that callers have received
	cutLink    [2]string
}

func newStateMachine(p pool.Policy, idle time.Duration) *stateMachine {
	heartbeat := func(int) time.Duration { return idle }
	m := &stateMachine{
		sim: newSimulationWithHeartbeat(2, heartbeat, "a", "b", "c"), waiting: map[*waiter]*node{}, running: map[*grant]*node{},
		endCounts: map[*waiter]int{}, usedGrants: map[pool.GrantID]request.ID{},
	}
	m.sim.policy = p
	m.sim.advance(time.Second)
	return m
}

func (m *stateMachine) collect(t *rapid.T) {
	for x, n := range m.waiting {
		r, ok := poll(x)
		if !ok {
			continue
		}
		delete(m.waiting, x)
		m.endCounts[x]++
		if r.grant == nil {
			continue
		}
		if other, doubled := m.usedGrants[r.grant.id]; doubled {
			t.Fatalf("grant %v was delivered to %s and to %s", r.grant.id, other, x.id())
		}
		m.usedGrants[r.grant.id] = x.id()
		m.running[r.grant] = n
	}
	for x := range m.endCounts {
		if _, again := poll(x); again {
			t.Fatalf("%s ended twice", x.id())
		}
	}
}

// drawAlive draws a node that is neither dead nor paused.
func (m *stateMachine) drawAlive(t *rapid.T) *node {
	var all []string
	for _, name := range m.sim.names {
		if n := m.sim.nodes[name]; !n.dead && !n.paused {
			all = append(all, name)
		}
	}
	if len(all) == 0 {
		t.Skip("no node is alive")
	}
	return m.sim.nodes[rapid.SampledFrom(all).Draw(t, "node")]
}

func (m *stateMachine) firstRunning() (*grant, *node) {
	var first *grant
	for g, n := range m.running {
		if !n.dead && !n.paused && (first == nil || g.spec.ID < first.spec.ID) {
			first = g
		}
	}
	return first, m.running[first]
}

func (m *stateMachine) firstWaiting() *waiter {
	var first *waiter
	for x, n := range m.waiting {
		if !n.dead && !n.paused && (first == nil || x.id() < first.id()) {
			first = x
		}
	}
	return first
}

func (m *stateMachine) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"acquire": func(t *rapid.T) {
			n := m.drawAlive(t)
			m.waiting[n.acquire(request.Tier(rapid.IntRange(0, 2).Draw(t, "tier")), time.Hour)] = n
		},
		"acquire undelivered": func(t *rapid.T) {
			n := m.drawAlive(t)
			s := testSpec("u"+rapid.StringN(8, 8, 8).Draw(t, "id"), m.sim.now)
			m.waiting[n.entry.startAcquire(Demand{Spec: s, Candidates: candidates(m.sim)})] = n
		},
		"withdraw": func(t *rapid.T) {
			if x := m.firstWaiting(); x != nil {
				delete(m.waiting, x)
				x.withdraw()
			}
		},
		"release": func(t *rapid.T) {
			if g, _ := m.firstRunning(); g != nil {
				delete(m.running, g)
				g.Release(Completion{Outcome: pool.OutcomeDone})
			}
		},
		"return and acquire again": func(t *rapid.T) {
			g, n := m.firstRunning()
			if g == nil {
				return
			}
			delete(m.running, g)
			g.ReturnUnused()
			m.waiting[n.entry.startAcquire(Demand{Spec: g.spec, Candidates: candidates(m.sim)})] = n
		},
		"deliver one": func(t *rapid.T) { m.sim.deliver() },
		"lose one": func(t *rapid.T) {
			if len(m.sim.queue) > 0 {
				m.sim.queue = m.sim.queue[1:]
			}
		},
		"break a connection": func(t *rapid.T) {
			a, b := m.drawAlive(t), m.drawAlive(t)
			if a != b {
				m.sim.breakConnection(a.name, b.name)
			}
		},
		"cut or heal": func(t *rapid.T) {
			if m.cutLink != [2]string{} {
				m.sim.setCut(m.cutLink[0], m.cutLink[1], false)
				m.cutLink = [2]string{}
				return
			}
			a, b := m.drawAlive(t), m.drawAlive(t)
			if a != b {
				m.cutLink = [2]string{a.name, b.name}
				m.sim.setCut(a.name, b.name, true)
			}
		},
		"one node's view changes": func(t *rapid.T) {
			n, gone := m.drawAlive(t), m.drawAlive(t)
			if n != gone {
				n.setMembers(m.sim.namesWithout(gone)...)
			}
		},
		"views agree": func(t *rapid.T) { m.sim.setMembers(m.sim.names...) },
		"pause or go on": func(t *rapid.T) {
			for _, name := range m.sim.names {
				if n := m.sim.nodes[name]; n.paused {
					n.resume()
					return
				}
			}
			m.drawAlive(t).paused = true
		},
		"crash and start again": func(t *rapid.T) {
			n := m.drawAlive(t)
			m.sim.kill(n)
			maps.DeleteFunc(m.waiting, func(_ *waiter, of *node) bool { return of == n })
			maps.DeleteFunc(m.running, func(_ *grant, of *node) bool { return of == n })
			m.sim.add(n.name).setMembers(m.sim.names...)
		},
		"time": func(t *rapid.T) {
			m.sim.advance(time.Duration(rapid.IntRange(1, 80).Draw(t, "ticks")) * 25 * time.Millisecond)
		},
		"": func(t *rapid.T) { m.collect(t) },
	}
}

// recoverAndCheck ends all faults, completes every request, and checks that no
// request and no slot was lost.
func (m *stateMachine) recoverAndCheck(t *rapid.T) {
	if m.cutLink != [2]string{} {
		m.sim.setCut(m.cutLink[0], m.cutLink[1], false)
	}
	for _, n := range m.sim.nodes {
		if n.paused {
			n.resume()
		}
	}
	m.sim.setMembers(m.sim.names...)
	for range 2000 {
		m.sim.advance(25 * time.Millisecond)
		m.collect(t)
		for g := range m.running {
			delete(m.running, g)
			g.Release(Completion{Outcome: pool.OutcomeDone})
		}
		if len(m.waiting) == 0 {
			break
		}
	}
	if len(m.waiting) > 0 {
		t.Fatalf("%d requests never ended", len(m.waiting))
	}
	m.sim.advance(40 * time.Second) // grants of ended sessions are held for 30 s
	s := m.sim.owner().host.Summaries()[0]
	// The default policy may set limits below the number of slots.
	if s.Running != 0 || (s.Free != 4 && m.sim.policy == pool.PolicyFIFO) {
		t.Fatalf("slots were lost: %d running, %d free of 4", s.Running, s.Free)
	}
}

// TestSessionsProperty checks that each Acquire ends once, no grant is used twice and
// no slot is lost, whatever messages are lost and daemons are paused or considered
// dead.
func TestSessionsProperty(t *testing.T) {
	if err := logs.Configure(io.Discard, "error", false); err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		m := newStateMachine(
			rapid.SampledFrom([]pool.Policy{pool.PolicyFIFO, pool.PolicyLycheekeel}).Draw(t, "policy"),
			rapid.SampledFrom([]time.Duration{poolhost.MinHeartbeatInterval, poolhost.MaxHeartbeatInterval}).Draw(t, "idle heartbeat"),
		)
		t.Repeat(m.actions())
		m.recoverAndCheck(t)
	})
}
