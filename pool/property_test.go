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

// books is an independent count of what a pool was told and what it said.
type books struct {
	t       *rapid.T
	p       *Pool
	now     time.Time
	epoch   uint64
	n       int
	events  []Event
	times   []time.Time
	said    [][]Command
	waiting map[request.ID]Enqueue
	running map[GrantID]Running
	ended   []Release // to be sent again, late
	health  map[string]Health
	slots   map[string]int
	leaves  map[EntryID]time.Time // when an entry left
	starts  [propertyServers]int  // of each server
	// patience is Config.Patience.
	patience float64
}

const propertyServers = 3

func newBooks(t *rapid.T) *books {
	b := &books{
		t: t, now: start, epoch: 1, patience: rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "patience"), waiting: map[request.ID]Enqueue{}, running: map[GrantID]Running{},
		health: map[string]Health{}, slots: map[string]int{}, leaves: map[EntryID]time.Time{},
	}
	b.owner()
	return b
}

func (b *books) config() Config {
	return Config{Name: "p", Epoch: b.epoch, MaxWaiting: 8, Seed: 7, Patience: b.patience, LongPatience: 2 * b.patience}
}

// owner starts a new owner of the pool that knows the servers and entries.
func (b *books) owner() {
	b.p = New(b.config())
	b.events, b.times, b.said = nil, nil, nil
	for i := range propertyServers {
		name := fmt.Sprint("s", i)
		b.slots[name], b.health[name] = i+1, HealthUp
	}
	b.send(b.servers())
	b.send(EntrySet{Entries: b.entries()})
}

func (b *books) servers() (set ServerSet) {
	for i, n := range b.starts {
		name := fmt.Sprint("s", i)
		set.Servers = append(set.Servers, ServerInfo{Name: name, Generation: "g", Slots: b.slots[name], Incarnation: fmt.Sprint(n)})
	}
	return set
}

// startAgain starts a server again: what ran there has ended, and its releases come
// late.
func (b *books) startAgain(t *rapid.T) {
	i := rapid.IntRange(0, propertyServers-1).Draw(t, "server")
	b.starts[i]++
	for _, r := range b.runsInOrder() {
		if r.Server == fmt.Sprint("s", i) {
			delete(b.running, r.Grant)
			b.ended = append(b.ended, Release{Request: r.Request, Entry: r.Entry, Grant: r.Grant, Server: r.Server, Outcome: OutcomeBroken})
		}
	}
	b.send(b.servers())
}

func (b *books) entries() []EntryID {
	var alive []EntryID
	for _, e := range []EntryID{"e0", "e1"} {
		if b.leaves[e].IsZero() {
			alive = append(alive, e)
		}
	}
	return alive
}

func (b *books) send(ev Event) {
	out := b.p.Handle(b.now, ev, nil)
	b.events, b.times, b.said = append(b.events, ev), append(b.times, b.now), append(b.said, out)
	for _, c := range out {
		b.check(c)
	}
}

func (b *books) check(c Command) {
	switch c := c.(type) {
	case Grant:
		e, ok := b.waiting[c.Request]
		if !ok || e.Entry != c.Entry {
			b.t.Fatalf("grant of %s, which doesn't wait", c.Request)
		}
		if b.health[c.Server] != HealthUp {
			b.t.Fatalf("grant on %s, which is not up", c.Server)
		}
		if _, twice := b.running[c.Grant]; twice {
			b.t.Fatalf("grant %v twice", c.Grant)
		}
		delete(b.waiting, c.Request)
		b.running[c.Grant] = Running{Entry: c.Entry, Request: c.Request, Grant: c.Grant, Server: c.Server, Workspace: e.Workspace,
			Tier: e.Tier, Fingerprint: e.Fingerprint, PromptTokens: e.PromptTokens, MaxTokens: e.MaxTokens, ExpectedTokens: e.ExpectedTokens}
		if n := b.on(c.Server); n > b.slots[c.Server] {
			b.t.Fatalf("%d run on %s, which has %d slots", n, c.Server, b.slots[c.Server])
		}
	case Shed:
		e, ok := b.waiting[c.Request]
		if !ok {
			b.t.Fatalf("shed of %s, which doesn't wait", c.Request)
		}
		delete(b.waiting, c.Request)
		b.checkShed(c, e)
	}
}

func (b *books) checkShed(c Shed, e Enqueue) {
	if c.RetryAfter <= 0 {
		b.t.Fatalf("shed of %s without a time to come back", c.Request)
	}
	if c.Reason != request.ReasonShed && c.Reason != request.ReasonWorkspaceLimit {
		return
	}
	for id, w := range b.waiting {
		if w.Tier > e.Tier {
			b.t.Fatalf("%s of tier %d shed (%s) while %s of tier %d waits", c.Request, e.Tier, c.Reason, id, w.Tier)
		}
	}
}

func (b *books) on(server string) int {
	n := 0
	for _, r := range b.running {
		if r.Server == server {
			n++
		}
	}
	return n
}

func (b *books) enqueue(t *rapid.T) {
	b.n++
	e := Enqueue{
		Request: request.ID(fmt.Sprint("r", b.n)), Entry: rapid.SampledFrom(b.entries()).Draw(t, "entry"),
		Workspace: rapid.SampledFrom([]string{"v", "w"}).Draw(t, "workspace"), Template: "t", Model: "m",
		Tier:         request.Tier(rapid.IntRange(0, 2).Draw(t, "tier")),
		FirstTokenIn: time.Second, DeadlineIn: time.Duration(rapid.IntRange(1, 20).Draw(t, "deadline")) * time.Second,
		PerToken: 62 * time.Millisecond, PromptTokens: rapid.IntRange(1, 4000).Draw(t, "prompt"),
		MaxTokens: rapid.IntRange(1, 300).Draw(t, "max"), ExpectedTokens: rapid.IntRange(0, 400).Draw(t, "hint"), MaxWaiting: rapid.IntRange(0, 4).Draw(t, "bound"),
		Fingerprint: uint64(rapid.IntRange(0, 12).Draw(t, "fingerprint")),
	}
	for i := range e.PromptTokens / 64 {
		e.Blocks = append(e.Blocks, uint64(rapid.SampledFrom([]int{1, 2}).Example(0)<<32+i+1))
	}
	b.waiting[e.Request] = e
	b.send(e)
}

func (b *books) pick(t *rapid.T) Running {
	ids := make([]GrantID, 0, len(b.running))
	for id := range b.running {
		ids = append(ids, id)
	}
	if len(ids) == 0 {
		t.Skip()
	}
	slices.SortFunc(ids, func(a, c GrantID) int { return int(a.Epoch*1e6+a.Seq) - int(c.Epoch*1e6+c.Seq) })
	return b.running[rapid.SampledFrom(ids).Draw(t, "run")]
}

func (b *books) release(t *rapid.T) {
	r := b.pick(t)
	outcome := rapid.SampledFrom([]Outcome{
		OutcomeDone, OutcomeDone, OutcomeNotDispatched, OutcomeCanceled, OutcomeBroken, OutcomeCrashed, OutcomeFailed,
	}).Draw(t, "outcome")
	rel := Release{Request: r.Request, Entry: r.Entry, Grant: r.Grant, Server: r.Server, Outcome: outcome,
		FirstToken: 50 * time.Millisecond, Total: time.Second, OutputTokens: 10, PromptTokens: 100, PrefillComputed: 50}
	delete(b.running, r.Grant)
	b.ended = append(b.ended, rel)
	b.send(rel)
}

// countsAgree compares the pool's counts with the books.
func (b *books) countsAgree(t *rapid.T) {
	sum := b.p.Summary(b.now)
	if sum.Running != len(b.running) {
		t.Fatalf("counts %d running, not %d", sum.Running, len(b.running))
	}
	for _, s := range sum.Servers {
		if s.Running != b.on(s.Name) {
			t.Fatalf("counts %d on %s, not %d", s.Running, s.Name, b.on(s.Name))
		}
	}
	waiting := 0
	for _, n := range sum.Waiting {
		waiting += n
	}
	if waiting != len(b.waiting) || waiting > b.p.maxWaiting() {
		t.Fatalf("counts %d waiting, not %d", waiting, len(b.waiting))
	}
	b.suspectsAlone(t)
	for _, s := range b.p.order {
		prefill, tokens := 0, 0
		for _, r := range s.running {
			tokens += r.tokens
			if !r.first {
				prefill += r.uncached
			}
		}
		if prefill != s.prefill || tokens != s.tokens || s.held != b.heldFor(s) {
			t.Fatalf("%s: books of prefill, memory or holds are off", s.info.Name)
		}
	}
}

func (b *books) heldFor(s *server) int {
	n := 0
	for _, w := range b.p.held {
		if w.heldFor == s {
			n++
		}
	}
	return n
}

// suspectsAlone checks that a suspect runs alone, and one at a time.
func (b *books) suspectsAlone(t *rapid.T) {
	n := 0
	for _, r := range b.p.byGrant {
		if !r.alone {
			continue
		}
		n++
		if len(r.server.running) != 1 {
			t.Fatalf("a suspect shares %s", r.server.info.Name)
		}
	}
	if n > 1 {
		t.Fatalf("%d suspects run at once", n)
	}
}

// Under any order of events, crashes, silence, late releases, entries that
// leave and owner changes included, nothing is lost or granted twice, counts
// are grants less releases, limits hold, and no tier is shed before a lower.
func TestAnyOrderOfEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBooks(t)
		t.Repeat(map[string]func(*rapid.T){
			"enqueue":  b.enqueue,
			"enqueue2": b.enqueue,
			"release":  b.release,
			"withdraw": func(t *rapid.T) {
				for _, w := range b.p.waitingInOrder() {
					delete(b.waiting, w.Request)
					b.send(Withdraw{Request: w.Request, Entry: w.Entry})
					return
				}
			},
			"progress": func(t *rapid.T) {
				r := b.pick(t)
				b.send(Progress{Request: r.Request, Grant: r.Grant, Server: r.Server, Tokens: rapid.IntRange(1, 90).Draw(t, "tokens"),
					FirstToken: time.Duration(rapid.IntRange(1, 3000).Draw(t, "first")) * time.Millisecond,
					PerToken:   time.Duration(rapid.IntRange(0, 200).Draw(t, "per")) * time.Millisecond})
			},
			"late": func(t *rapid.T) {
				if len(b.ended) > 0 {
					b.send(rapid.SampledFrom(b.ended).Draw(t, "again"))
				}
			},
			"health": func(t *rapid.T) {
				name := fmt.Sprint("s", rapid.IntRange(0, propertyServers-1).Draw(t, "server"))
				b.health[name] = rapid.SampledFrom([]Health{HealthUp, HealthUp, HealthLeaving, HealthSilent, HealthGone}).Draw(t, "health")
				b.send(ServerHealth{Server: name, Health: b.health[name], Incarnation: uint64(rapid.IntRange(1, 2).Draw(t, "incarnation"))})
			},
			"time": func(t *rapid.T) {
				b.now = b.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
				for id, r := range b.running {
					if left := b.leaves[r.Entry]; !left.IsZero() && b.now.Sub(left) >= lostGrace {
						delete(b.running, id)
					}
				}
				b.send(Tick{})
			},
			"again": b.startAgain,
			"entry": func(*rapid.T) { b.leaveOrReturn("e1") },
			"ended": func(*rapid.T) { b.restart("e1") },
			"owner": func(t *rapid.T) { b.changeOwner() },
			"":      func(t *rapid.T) { b.countsAgree(t) },
		})
		b.sameAgain(t)
	})
}

// leaveOrReturn lets an entry leave: what waits for it is gone at once, what it
// runs after the grace time, unless it returns.
func (b *books) leaveOrReturn(id EntryID) {
	if !b.leaves[id].IsZero() {
		delete(b.leaves, id)
		b.send(EntrySet{Entries: b.entries()})
		return
	}
	b.leaves[id] = b.now
	for r, e := range b.waiting {
		if e.Entry == id {
			delete(b.waiting, r)
		}
	}
	b.send(EntrySet{Entries: b.entries()})
}

// restart ends an entry's process: what waits for it and what it runs are gone
// at once, and another process takes its place.
func (b *books) restart(id EntryID) {
	for r, e := range b.waiting {
		if e.Entry == id {
			delete(b.waiting, r)
		}
	}
	for g, r := range b.running {
		if r.Entry == id {
			delete(b.running, g)
		}
	}
	b.send(EntryEnded{Entry: id})
	if b.leaves[id].IsZero() {
		b.send(EntrySet{Entries: b.entries()})
	}
}

// changeOwner starts a new owner; the entries report and ask again.
func (b *books) changeOwner() {
	b.epoch++
	waiting := b.p.waitingInOrder()
	health := b.health
	b.health = map[string]Health{}
	for id, r := range b.running {
		if !b.leaves[r.Entry].IsZero() {
			delete(b.running, id) // nobody will report it
		}
	}
	b.owner()
	for _, r := range b.runsInOrder() {
		b.send(r)
	}
	for _, e := range b.entries() {
		b.send(EntryReported{Entry: e})
	}
	for i := range propertyServers {
		name := fmt.Sprint("s", i)
		b.health[name] = health[name]
		b.send(ServerHealth{Server: name, Health: health[name], Incarnation: 1})
	}
	for _, w := range waiting {
		b.send(b.waiting[w.Request])
	}
}

func (b *books) runsInOrder() []Running {
	var all []Running
	for _, r := range b.running {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, c Running) int { return int(a.Grant.Epoch*1e6+a.Grant.Seq) - int(c.Grant.Epoch*1e6+c.Grant.Seq) })
	return all
}

// sameAgain checks that the same events give the same commands.
func (b *books) sameAgain(t *rapid.T) {
	p := New(b.config())
	for i, ev := range b.events {
		if out := p.Handle(b.times[i], ev, nil); !reflect.DeepEqual(out, b.said[i]) {
			t.Fatalf("event %d (%T) gave %v, then %v", i, ev, b.said[i], out)
		}
	}
}

// With one slot and targets far away, each grant goes to the most urgent tier
// that waits.
func TestTierOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := New(Config{Name: "p", Epoch: 1})
		oneServer(p, 1)
		waiting := map[request.ID]request.Tier{}
		for i, tr := range rapid.SliceOfN(rapid.IntRange(0, 5), 2, 30).Draw(t, "tiers") {
			e := ask(fmt.Sprint("r", i), request.Tier(tr))
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
				t.Fatalf("%d grants for a slot", len(out))
			}
			for id, tr := range waiting {
				if tr < waiting[out[0].Request] {
					t.Fatalf("tier %d before %s of tier %d", waiting[out[0].Request], id, tr)
				}
			}
			delete(waiting, out[0].Request)
		}
	})
}
