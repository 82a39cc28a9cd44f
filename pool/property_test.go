package pool

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lycheekeel/lycheekeel/request"
)

// model is an independent account of the events sent to a pool and of its commands.
type model struct {
	t            *rapid.T
	p            *Pool
	now          time.Time
	epoch        uint64
	nextID       int
	events       []Event
	times        []time.Time
	outputs      [][]Command
	waiting      map[request.ID]Enqueue
	running      map[GrantID]Running
	ended        []Release // sent again later
	health       map[string]Health
	slots        map[string]int
	leftAt       map[EntryID]time.Time // when an entry left
	incarnations [propertyServers]int  // of each server
	// maxWaitShare is Config.MaxWaitShare.
	maxWaitShare float64
	// traits are the current ones, startTraits those with which the owner started.
	traits, startTraits Traits
	// callsOnly is set if no streams are sent. Extra calls are rare beside streams.
	callsOnly bool
}

const (
	propertyServers = 3
	// callTime is how long a call to a plain service takes.
	callTime = 100 * time.Millisecond
)

func newModel(t *rapid.T) *model {
	m := &model{
		t: t, now: start, epoch: 1, maxWaitShare: rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "max wait share"), waiting: map[request.ID]Enqueue{}, running: map[GrantID]Running{},
		health: map[string]Health{}, slots: map[string]int{}, leftAt: map[EntryID]time.Time{},
	}
	m.traits, m.callsOnly = drawTraits(t), rapid.Bool().Draw(t, "calls only")
	m.startOwner()
	if m.callsOnly {
		m.fillWithCalls(t)
	}
	return m
}

// fillWithCalls fills the servers with calls after one has been measured, so that the next
// one may be an extra call.
func (m *model) fillWithCalls(t *rapid.T) {
	for _, e := range m.entries() {
		m.send(EntryReported{Entry: e})
	}
	m.enqueue(t)
	m.now = m.now.Add(2 * callTime)
	for id := range m.running {
		m.end(id, OutcomeDone)
	}
	for range m.slots["s0"] + m.slots["s1"] + m.slots["s2"] {
		m.enqueue(t)
	}
}

func drawTraits(t *rapid.T) Traits {
	x := Traits{Overlap: rapid.Bool().Draw(t, "overlap"), PreferZone: rapid.Bool().Draw(t, "prefer zone")}
	if rapid.Bool().Draw(t, "mixed targets") {
		x.FinishInTime, x.PauseTarget, x.TokensPerEvent = true, 300*time.Millisecond, 8
		x.Patience = Patience{Min: 2 * time.Second, TargetFactor: 4, PauseFactor: 8}
	}
	return x
}

func (m *model) config() Config {
	return Config{
		Name: "p", Epoch: m.epoch, MaxWaiting: 8, Seed: 7, MaxWaitShare: m.maxWaitShare, ExtendedWaitShare: 2 * m.maxWaitShare,
		Traits: m.startTraits,
	}
}

// startOwner starts a new pool owner that knows the servers and entries.
func (m *model) startOwner() {
	m.startTraits = m.traits
	m.p = New(m.config())
	m.events, m.times, m.outputs = nil, nil, nil
	for i := range propertyServers {
		name := fmt.Sprint("s", i)
		m.slots[name], m.health[name] = i+1, HealthUp
	}
	m.send(m.servers())
	m.send(m.entrySet())
}

func (m *model) servers() (set ServerSet) {
	for i, n := range m.incarnations {
		name := fmt.Sprint("s", i)
		set.Servers = append(set.Servers, ServerInfo{Name: name, Generation: "g", Slots: m.slots[name], Incarnation: fmt.Sprint(n), Version: versionOf(name),
			AvailabilityZone: fmt.Sprint("z", i%2)})
	}
	return set
}

// versionOf returns the version of a server: one has the first, two the second.
func versionOf(server string) string {
	if server == "s0" {
		return "v1"
	}
	return "v2"
}

// restartServer restarts a server: its runs end and their releases arrive late.
func (m *model) restartServer(t *rapid.T) {
	i := rapid.IntRange(0, propertyServers-1).Draw(t, "server")
	m.incarnations[i]++
	for _, r := range m.sortedRuns() {
		if r.Server == fmt.Sprint("s", i) {
			delete(m.running, r.Grant)
			m.ended = append(m.ended, Release{Request: r.Request, Entry: r.Entry, Grant: r.Grant, Server: r.Server, Outcome: OutcomeStreamLost})
		}
	}
	m.send(m.servers())
}

func (m *model) entries() []EntryID {
	var alive []EntryID
	for _, e := range []EntryID{"e0", "e1"} {
		if m.leftAt[e].IsZero() {
			alive = append(alive, e)
		}
	}
	return alive
}

func (m *model) entrySet() EntrySet {
	return EntrySet{Entries: m.entries(), Zones: map[EntryID]string{"e0": "z0", "e1": "z1"}}
}

func (m *model) send(ev Event) {
	out := m.p.Handle(m.now, ev, nil)
	m.events, m.times, m.outputs = append(m.events, ev), append(m.times, m.now), append(m.outputs, out)
	for _, c := range out {
		m.check(c)
	}
}

func (m *model) check(c Command) {
	switch c := c.(type) {
	case Grant:
		e, ok := m.waiting[c.Request]
		if !ok || e.Entry != c.Entry {
			m.t.Fatalf("grant of %s, which is not waiting", c.Request)
		}
		if m.health[c.Server] != HealthUp {
			m.t.Fatalf("grant on %s, which is not up", c.Server)
		}
		if e.Version != "" && e.Version != versionOf(c.Server) {
			m.t.Fatalf("%s is for version %s, and was granted on %s", c.Request, e.Version, c.Server)
		}
		if _, twice := m.running[c.Grant]; twice {
			m.t.Fatalf("grant %v was issued twice", c.Grant)
		}
		delete(m.waiting, c.Request)
		m.running[c.Grant] = Running{Entry: c.Entry, Request: c.Request, Grant: c.Grant, Server: c.Server, Workspace: e.Workspace,
			Tier: e.Tier, Fingerprint: e.Fingerprint, PromptTokens: e.PromptTokens, MaxTokens: e.MaxTokens, ExpectedTokens: e.ExpectedTokens}
		if n := m.runningOn(c.Server); n > m.slots[c.Server]+m.extraCalls(c.Server, e) {
			m.t.Fatalf("%d requests run on %s, which has %d slots", n, c.Server, m.slots[c.Server])
		}
	case Shed:
		e, ok := m.waiting[c.Request]
		if !ok {
			m.t.Fatalf("shed of %s, which is not waiting", c.Request)
		}
		delete(m.waiting, c.Request)
		m.checkShed(c, e)
	}
}

// extraCalls returns how many requests beyond its slots a server may have once a request is
// granted there.
func (m *model) extraCalls(server string, e Enqueue) int {
	if !m.traits.Overlap || !isCall(e.PromptTokens, e.MaxTokens) {
		return 0
	}
	return m.slots[server] / 3
}

func isCall(promptTokens, maxTokens int) bool { return promptTokens == 0 && maxTokens == 0 }

func (m *model) checkShed(c Shed, e Enqueue) {
	if c.RetryAfter <= 0 {
		m.t.Fatalf("shed of %s without Retry-After", c.Request)
	}
	if c.Reason == request.ReasonVersionUnavailable {
		for server, h := range m.health {
			if x := m.p.servers[server]; x != nil && m.p.up(x) && versionOf(server) == e.Version {
				m.t.Fatalf("%s is refused for its version %s, but %s of it is up (%v)", c.Request, e.Version, server, h)
			}
		}
	}
	if c.Reason != request.ReasonShed && c.Reason != request.ReasonWorkspaceLimit {
		return
	}
	for id, w := range m.waiting {
		if w.Tier > e.Tier {
			m.t.Fatalf("%s of tier %d was shed (%s) while %s of tier %d waits", c.Request, e.Tier, c.Reason, id, w.Tier)
		}
	}
}

func (m *model) runningOn(server string) int {
	n := 0
	for _, r := range m.running {
		if r.Server == server {
			n++
		}
	}
	return n
}

func (m *model) enqueue(t *rapid.T) {
	m.nextID++
	e := Enqueue{
		Request: request.ID(fmt.Sprint("r", m.nextID)), Entry: rapid.SampledFrom(m.entries()).Draw(t, "entry"),
		Workspace: rapid.SampledFrom([]string{"v", "w"}).Draw(t, "workspace"), Template: "t", Model: "m",
		Tier:         request.Tier(rapid.IntRange(0, 2).Draw(t, "tier")),
		FirstTokenIn: time.Second, DeadlineIn: time.Duration(rapid.IntRange(1, 20).Draw(t, "deadline")) * time.Second,
		PerToken: 62 * time.Millisecond, PromptTokens: rapid.IntRange(1, 4000).Draw(t, "prompt"),
		MaxTokens: rapid.IntRange(1, 300).Draw(t, "max"), ExpectedTokens: rapid.IntRange(0, 400).Draw(t, "hint"), MaxWaiting: rapid.IntRange(0, 4).Draw(t, "bound"),
		Fingerprint: uint64(rapid.IntRange(0, 12).Draw(t, "fingerprint")),
	}
	if m.callsOnly || rapid.Bool().Draw(t, "call") {
		e.PromptTokens, e.MaxTokens, e.ExpectedTokens, e.PerToken = 0, 0, 0, 0
	}
	if m.nextID%4 == 0 {
		e.Version = versionOf(fmt.Sprint("s", m.nextID/4%propertyServers))
	}
	for i := range e.PromptTokens / 64 {
		e.Blocks = append(e.Blocks, uint64(rapid.SampledFrom([]int{1, 2}).Example(0)<<32+i+1))
	}
	m.waiting[e.Request] = e
	m.send(e)
}

func (m *model) drawRunning(t *rapid.T) Running {
	ids := make([]GrantID, 0, len(m.running))
	for id := range m.running {
		ids = append(ids, id)
	}
	if len(ids) == 0 {
		t.Skip()
	}
	slices.SortFunc(ids, func(a, c GrantID) int { return int(a.Epoch*1e6+a.Seq) - int(c.Epoch*1e6+c.Seq) })
	return m.running[rapid.SampledFrom(ids).Draw(t, "run")]
}

func (m *model) release(t *rapid.T) {
	r := m.drawRunning(t)
	outcome := rapid.SampledFrom([]Outcome{
		OutcomeDone, OutcomeDone, OutcomeNotDispatched, OutcomeCanceled, OutcomeStreamLost, OutcomeCrashed, OutcomeFailed, OutcomeRefused,
	}).Draw(t, "outcome")
	m.end(r.Grant, outcome)
}

// end sends the release of a running request.
func (m *model) end(id GrantID, outcome Outcome) {
	r := m.running[id]
	rel := Release{Request: r.Request, Entry: r.Entry, Grant: id, Server: r.Server, Outcome: outcome,
		FirstToken: 50 * time.Millisecond, Total: time.Second, OutputTokens: 10, PromptTokens: 100, PrefillComputed: 50}
	if isCall(r.PromptTokens, r.MaxTokens) {
		rel.FirstToken, rel.Total, rel.OutputTokens, rel.PromptTokens, rel.PrefillComputed = 0, callTime, 0, 0, 0
	}
	delete(m.running, id)
	m.ended = append(m.ended, rel)
	m.send(rel)
}

// checkCounts compares the pool's counts with the model.
func (m *model) checkCounts(t *rapid.T) {
	sum := m.p.Summary(m.now)
	if sum.Running != len(m.running) {
		t.Fatalf("pool counts %d running requests, want %d", sum.Running, len(m.running))
	}
	for _, s := range sum.Servers {
		if s.Running != m.runningOn(s.Name) {
			t.Fatalf("pool counts %d requests on %s, want %d", s.Running, s.Name, m.runningOn(s.Name))
		}
	}
	waiting := 0
	for _, n := range sum.Waiting {
		waiting += n
	}
	if waiting != len(m.waiting) || waiting > m.p.maxWaiting() {
		t.Fatalf("pool counts %d waiting requests, want %d", waiting, len(m.waiting))
	}
	m.checkSuspectsIsolated(t)
	for _, s := range m.p.sorted {
		prefill, tokens := 0, 0
		for _, r := range s.running {
			tokens += r.kvTokens
			if !r.prefillDone {
				prefill += r.uncachedTokens
			}
		}
		if prefill != s.pendingPrefill || tokens != s.kvTokens || s.heldCount != m.heldFor(s) {
			t.Fatalf("%s: count of prefill, memory or holds is wrong", s.info.Name)
		}
	}
}

func (m *model) heldFor(s *server) int {
	n := 0
	for _, w := range m.p.held {
		if w.heldFor == s {
			n++
		}
	}
	return n
}

// checkSuspectsIsolated checks that a suspect runs alone, and only one at a time.
func (m *model) checkSuspectsIsolated(t *rapid.T) {
	n := 0
	for _, r := range m.p.byGrant {
		if !r.suspect {
			continue
		}
		n++
		if len(r.server.running) != 1 {
			t.Fatalf("a suspect runs beside other requests on %s", r.server.info.Name)
		}
	}
	if n > 1 {
		t.Fatalf("%d suspects run at once", n)
	}
}

// Checks the invariants of a pool under any order of events, including crashes, missed
// health checks, late releases, leaving entries, changes of owner and of traits: no request
// is lost or granted twice, counts match grants and releases, limits hold, and no tier is
// shed before a lower one.
func TestInvariantsUnderAnyEventOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"enqueue":  m.enqueue,
			"enqueue2": m.enqueue,
			"enqueue3": m.enqueue,
			"release":  m.release,
			"withdraw": func(t *rapid.T) {
				for _, w := range m.p.sortedWaiters() {
					delete(m.waiting, w.Request)
					m.send(Withdraw{Request: w.Request, Entry: w.Entry})
					return
				}
			},
			"progress": func(t *rapid.T) {
				r := m.drawRunning(t)
				m.send(Progress{Request: r.Request, Grant: r.Grant, Server: r.Server, Tokens: rapid.IntRange(1, 90).Draw(t, "tokens"),
					FirstToken: time.Duration(rapid.IntRange(1, 3000).Draw(t, "first")) * time.Millisecond,
					PerToken:   time.Duration(rapid.IntRange(0, 200).Draw(t, "per")) * time.Millisecond})
			},
			"late": func(t *rapid.T) {
				if len(m.ended) > 0 {
					m.send(rapid.SampledFrom(m.ended).Draw(t, "release"))
				}
			},
			"health": func(t *rapid.T) {
				name := fmt.Sprint("s", rapid.IntRange(0, propertyServers-1).Draw(t, "server"))
				m.health[name] = rapid.SampledFrom([]Health{HealthUp, HealthUp, HealthLeaving, HealthUnresponsive, HealthGone}).Draw(t, "health")
				m.send(ServerHealth{Server: name, Health: m.health[name], Incarnation: uint64(rapid.IntRange(1, 2).Draw(t, "incarnation"))})
			},
			"time": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
				for id, r := range m.running {
					if left := m.leftAt[r.Entry]; !left.IsZero() && m.now.Sub(left) >= entryGrace {
						delete(m.running, id)
					}
				}
				m.send(Tick{})
			},
			"traits": func(t *rapid.T) {
				m.traits = drawTraits(t)
				m.send(TraitsSet{m.traits})
			},
			"again": m.restartServer,
			"entry": func(*rapid.T) { m.leaveOrReturn("e1") },
			"ended": func(*rapid.T) { m.restartEntry("e1") },
			"owner": func(t *rapid.T) { m.changeOwner() },
			"":      func(t *rapid.T) { m.checkCounts(t) },
		})
		m.checkDeterminism(t)
	})
}

// leaveOrReturn lets an entry leave or return. Its waiting requests are removed at once,
// its runs after the grace time unless it returns.
func (m *model) leaveOrReturn(id EntryID) {
	if !m.leftAt[id].IsZero() {
		delete(m.leftAt, id)
		m.send(m.entrySet())
		return
	}
	m.leftAt[id] = m.now
	for r, e := range m.waiting {
		if e.Entry == id {
			delete(m.waiting, r)
		}
	}
	m.send(m.entrySet())
}

// restartEntry ends an entry's process and starts another one. Its waiting requests and
// runs are removed at once.
func (m *model) restartEntry(id EntryID) {
	for r, e := range m.waiting {
		if e.Entry == id {
			delete(m.waiting, r)
		}
	}
	for g, r := range m.running {
		if r.Entry == id {
			delete(m.running, g)
		}
	}
	m.send(EntryEnded{Entry: id})
	if m.leftAt[id].IsZero() {
		m.send(m.entrySet())
	}
}

// changeOwner starts a new owner. The entries report their runs and enqueue their
// waiting requests again.
func (m *model) changeOwner() {
	m.epoch++
	waiting := m.p.sortedWaiters()
	health := m.health
	m.health = map[string]Health{}
	for id, r := range m.running {
		if !m.leftAt[r.Entry].IsZero() {
			delete(m.running, id) // no entry will report it
		}
	}
	m.startOwner()
	for _, r := range m.sortedRuns() {
		m.send(r)
	}
	for _, e := range m.entries() {
		m.send(EntryReported{Entry: e})
	}
	for i := range propertyServers {
		name := fmt.Sprint("s", i)
		m.health[name] = health[name]
		m.send(ServerHealth{Server: name, Health: health[name], Incarnation: 1})
	}
	for _, w := range waiting {
		m.send(m.waiting[w.Request])
	}
}

func (m *model) sortedRuns() []Running {
	var all []Running
	for _, r := range m.running {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, c Running) int { return int(a.Grant.Epoch*1e6+a.Grant.Seq) - int(c.Grant.Epoch*1e6+c.Grant.Seq) })
	return all
}

// checkDeterminism checks that the same events produce the same commands.
func (m *model) checkDeterminism(t *rapid.T) {
	p := New(m.config())
	for i, ev := range m.events {
		if out := p.Handle(m.times[i], ev, nil); !reflect.DeepEqual(out, m.outputs[i]) {
			t.Fatalf("event %d (%T) produced %v, then %v", i, ev, m.outputs[i], out)
		}
	}
}

// Checks that each grant goes to the most urgent waiting tier, with one slot and distant
// targets.
func TestTierOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := New(Config{Name: "p", Epoch: 1})
		oneServer(p, 1)
		waiting := map[request.ID]request.Tier{}
		for i, tr := range rapid.SliceOfN(rapid.IntRange(0, 5), 2, 30).Draw(t, "tiers") {
			e := enqueue(fmt.Sprint("r", i), request.Tier(tr))
			e.FirstTokenIn, e.DeadlineIn = time.Hour, time.Hour
			e.Workspace = fmt.Sprint(i % 3)
			waiting[e.Request] = e.Tier
			for _, g := range grants(p.Handle(start, e, nil)) {
				delete(waiting, g.Request)
			}
		}
		for seq := uint64(1); len(waiting) > 0; seq++ {
			out := grants(p.Handle(start, Release{Entry: "e1", Grant: GrantID{1, seq}, Outcome: OutcomeDone}, nil))
			if len(out) != 1 {
				t.Fatalf("%d grants for one slot", len(out))
			}
			for id, tr := range waiting {
				if tr < waiting[out[0].Request] {
					t.Fatalf("tier %d was granted before %s of tier %d", waiting[out[0].Request], id, tr)
				}
			}
			delete(waiting, out[0].Request)
		}
	})
}
