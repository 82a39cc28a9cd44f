package poolhost

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/lycheekeel/lycheekeel/engine"
	"github.com/lycheekeel/lycheekeel/internal/poolwire"
	"github.com/lycheekeel/lycheekeel/member"
	"github.com/lycheekeel/lycheekeel/pool"
	"github.com/lycheekeel/lycheekeel/workspace"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// fakeEngine returns the load report and cache events that a test sets.
type fakeEngine struct {
	engine.Engine
	report engine.LoadReport
	err    error
	events []engine.CacheEvent
}

func (f *fakeEngine) Load(context.Context) (engine.LoadReport, error) { return f.report, f.err }

func (f *fakeEngine) CacheEvents(_ context.Context, after uint64) ([]engine.CacheEvent, error) {
	var out []engine.CacheEvent
	for _, e := range f.events {
		if e.Seq > after {
			out = append(out, e)
		}
	}
	return out, nil
}

type fakeDialer struct{ engine *fakeEngine }

func (d fakeDialer) Engine(string) engine.Engine { return d.engine }

// harness runs one host on one goroutine with a simulated clock, and records
// all events that its pools handle.
type harness struct {
	host       *Host
	now        time.Time
	snapshot   workspace.CurrentSnapshot
	leaving    bool
	connectErr error // returned by Config.Connect
	events     map[string][]pool.Event
	engine     *fakeEngine
}

func newHarness(pools ...string) *harness {
	b := &harness{now: time.Unix(1_800_000_000, 0), events: map[string][]pool.Event{}, engine: &fakeEngine{}}
	b.engine.report.Incarnation = 1
	b.configure(false, pools...)
	b.host = New(Config{
		Self: "a", Region: "r", Snapshot: &b.snapshot, Engines: fakeDialer{b.engine},
		Now: func() time.Time { return b.now }, Spawn: func(f func()) { f() },
		Connect:   func(context.Context, string) error { return b.connectErr },
		IsLeaving: func(workspace.BackendServer) bool { return b.leaving },
		Trace: func(p string, _ time.Time, ev pool.Event, _ []pool.Command) {
			b.events[p] = append(b.events[p], ev)
		},
	})
	return b
}

func (b *harness) configure(leaving bool, pools ...string) {
	s := &workspace.Snapshot{Pools: map[string]*workspace.ResolvedPool{}, ModelPools: map[workspace.ModelRegion][]*workspace.ResolvedPool{}}
	for _, name := range pools {
		p := &workspace.ResolvedPool{Pool: workspace.Pool{Name: name, Region: "r", Model: "m", Version: "1", Policy: "fifo"}}
		p.Servers = []workspace.BackendServer{{Name: name + "-server", Address: "127.0.0.1:1", Slots: 2, Leaving: leaving}}
		s.Pools[name] = p
		key := workspace.ModelRegion{Model: "m", Version: "1", Region: "r"}
		s.ModelPools[key] = append(s.ModelPools[key], p)
	}
	b.snapshot.Store(s)
}

func (b *harness) advance(d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(TickInterval)
		b.host.Tick()
	}
}

// advanceUntil advances the clock until done, for 10 s at most, and returns
// the time that passed.
func (b *harness) advanceUntil(done func() bool) time.Duration {
	start := b.now
	for !done() && b.now.Sub(start) < 10*time.Second {
		b.advance(TickInterval)
	}
	return b.now.Sub(start)
}

func (b *harness) misses() string { return b.host.count.probeMisses.String() }

// health returns the last health posted to a pool.
func (b *harness) health(p string) (last pool.ServerHealth) {
	for _, ev := range b.events[p] {
		if h, ok := ev.(pool.ServerHealth); ok {
			last = h
		}
	}
	return last
}

// eventsOf returns the events of type T that a pool handled.
func eventsOf[T pool.Event](b *harness, p string) (out []T) {
	for _, ev := range b.events[p] {
		if e, ok := ev.(T); ok {
			out = append(out, e)
		}
	}
	return out
}

func TestMonitor(t *testing.T) {
	Convey("Given a monitored server", t, func() {
		b := newHarness("p")
		b.advance(time.Second)
		So(b.health("p"), ShouldResemble, pool.ServerHealth{Server: "p-server", Health: pool.HealthUp, Incarnation: 1})
		So(len(eventsOf[pool.ServerLoad](b, "p")), ShouldBeBetween, 0, 3)

		Convey("it is unresponsive after three missed probes, and up again after an answer", func() {
			b.engine.err = engine.ErrConnectionLost
			b.advanceUntil(func() bool { return b.misses() == "2" })
			So(b.health("p").Health, ShouldEqual, pool.HealthUp)
			b.advance(2 * probeRetryDelay)
			So(b.health("p").Health, ShouldEqual, pool.HealthUnresponsive)
			b.engine.err = nil
			b.advance(ProbeInterval + probeJitter)
			So(b.health("p").Health, ShouldEqual, pool.HealthUp)
		})
		Convey("it is gone after one refused connection", func() {
			b.engine.err = engine.ErrNotSent
			b.connectErr = fmt.Errorf("probe: %w", syscall.ECONNREFUSED)
			b.advance(ProbeInterval + probeJitter)
			So(b.health("p").Health, ShouldEqual, pool.HealthGone)
		})
		Convey("an engine without the pool's model is warming until it lists the model", func() {
			b.engine.report.Models = []engine.LoadedModel{{Model: "m", Version: "0"}}
			b.advance(ProbeInterval + probeJitter)
			So(b.health("p").Health, ShouldEqual, pool.HealthWarming)
			b.engine.report.Models = append(b.engine.report.Models, engine.LoadedModel{Model: "m", Version: "1"})
			b.advance(unhealthyProbeInterval + TickInterval)
			So(b.health("p").Health, ShouldEqual, pool.HealthUp)
		})
		Convey("probeNow makes the next probe due at once", func() {
			b.advance(ProbeInterval + probeJitter)
			b.engine.report.Leaving = true
			b.host.Owned("p").monitor.probeNow("p-server")
			b.advance(2 * TickInterval)
			So(b.health("p").Health, ShouldEqual, pool.HealthLeaving)
		})
		Convey("a restarted engine has a new incarnation and new sequence numbers of cache events", func() {
			b.engine.events = []engine.CacheEvent{{Seq: 1, Block: 5, Stored: true}, {Seq: 2, Block: 6, Stored: true}}
			b.advanceUntil(func() bool { return len(eventsOf[pool.ServerCache](b, "p")) == 1 })
			b.engine.events = append(b.engine.events, engine.CacheEvent{Seq: 4, Block: 7, Stored: true})
			b.advanceUntil(func() bool { return len(eventsOf[pool.ServerCache](b, "p")) == 2 })
			b.engine.report.Incarnation, b.engine.events = 2, []engine.CacheEvent{{Seq: 1, Block: 8, Stored: true}}
			b.advanceUntil(func() bool { return len(eventsOf[pool.ServerCache](b, "p")) == 3 })
			So(b.health("p").Incarnation, ShouldEqual, 2)
			caches := eventsOf[pool.ServerCache](b, "p")
			So(len(caches), ShouldEqual, 3)
			So([]bool{caches[0].Gap, caches[1].Gap, caches[2].Gap}, ShouldResemble, []bool{false, true, false})
			So(caches[2].Events[0].Block, ShouldEqual, 8)
		})
	})
}

// Guards against running requests of a killed process that still count after
// another process of the same member has started.
func TestNewEntryEndsPreviousEntriesOfItsMember(t *testing.T) {
	Convey("A new entry ends the other entries of its member", t, func() {
		b := newHarness("p")
		b.advance(TickInterval)
		reply := func(poolwire.Commands) error { return nil }
		hello := func(id pool.EntryID, session poolwire.SessionID) {
			b.host.Hello(poolwire.Hello{Pool: "p", Entry: id, Session: session}, reply)
		}
		first, second, other := poolwire.NewEntryID("m", 1), poolwire.NewEntryID("m", 2), poolwire.NewEntryID("n", 1)
		hello(first, 1)
		hello(other, 2)
		hello(first, 3) // new session of the same process
		So(eventsOf[pool.EntryEnded](b, "p"), ShouldBeEmpty)
		hello(second, 4)
		So(eventsOf[pool.EntryEnded](b, "p"), ShouldResemble, []pool.EntryEnded{{Entry: first}})
		sets := eventsOf[pool.EntrySet](b, "p")
		So(sets[len(sets)-1].Entries, ShouldResemble, []pool.EntryID{"a", second, other})
	})
}

// Guards against entries whose zone is not passed on when it becomes known, and against a
// static share that does not know its own zone.
func TestEntriesHaveTheirMembersZones(t *testing.T) {
	Convey("The members' zones are passed on with the entries", t, func() {
		b, view := newHarness("p"), &member.CurrentView{}
		b.host.cfg.View = view
		for _, zone := range []string{"", "z2"} {
			view.Store(member.NewView("a", []member.Member{
				{Name: "a", Region: "r", AvailabilityZone: "z1"},
				{Name: "m", Region: "r", AvailabilityZone: zone, State: member.Leaving},
			}))
			b.advance(2 * entryCheckInterval)
		}
		b.host.OpenStaticShare(b.host.cfg.Snapshot.Load().Pools["p"])
		b.advance(2 * entryCheckInterval)
		So(eventsOf[pool.EntrySet](b, "p"), ShouldResemble, []pool.EntrySet{
			{Entries: []pool.EntryID{"a", "m"}, Zones: map[pool.EntryID]string{"a": "z1"}},
			{Entries: []pool.EntryID{"a", "m"}, Zones: map[pool.EntryID]string{"a": "z1", "m": "z2"}},
			{Entries: []pool.EntryID{"a"}, Zones: map[pool.EntryID]string{"a": "z1"}},
		})
	})
}

// Guards against new requests to a leaving server, whichever source reports it.
func TestLeavingWithinThreeSeconds(t *testing.T) {
	for name, leave := range map[string]func(b *harness){
		"operator": func(b *harness) { b.configure(true, "p") },
		"VM list":  func(b *harness) { b.leaving = true },
		"engine":   func(b *harness) { b.engine.report.Leaving = true },
	} {
		Convey("Given a server that leaves according to the "+name, t, func() {
			b := newHarness("p")
			b.advance(time.Second)
			leave(b)
			took := b.advanceUntil(func() bool { return b.health("p").Health == pool.HealthLeaving })
			So(took, ShouldBeLessThanOrEqualTo, 3*time.Second)
		})
	}
}

func TestSpread(t *testing.T) {
	Convey("Given two pools of the same model", t, func() {
		b := newHarness("p", "q")
		b.advance(time.Second)

		Convey("each receives the other's brief", func() {
			s := eventsOf[pool.Sibling](b, "p")
			So(s, ShouldNotBeEmpty)
			So(s[0], ShouldResemble, pool.Sibling{Pool: "q", Free: 2})
		})
		Convey("an unchanged brief is sent every unchangedBriefInterval", func() {
			before := len(eventsOf[pool.Sibling](b, "p"))
			b.advance(4 * unchangedBriefInterval)
			So(len(eventsOf[pool.Sibling](b, "p"))-before, ShouldBeBetweenOrEqual, 3, 5)
		})
		Convey("a changed brief is sent within SummaryInterval", func() {
			count := func() int { return len(eventsOf[pool.Sibling](b, "q")) }
			first := count()
			b.advanceUntil(func() bool { return count() > first }) // a brief was just sent
			before := count()
			b.host.Owned("p").post(pool.Running{Entry: "a/1", Request: "r", Grant: pool.GrantID{Epoch: 1, Seq: 1}, Server: "p-server"})
			took := b.advanceUntil(func() bool { return count() > before })
			So(took, ShouldBeLessThanOrEqualTo, SummaryInterval+TickInterval)
			briefs := eventsOf[pool.Sibling](b, "q")
			So(briefs[len(briefs)-1].Free, ShouldEqual, 1)
		})
		Convey("a suspect is shared with the other pool, and with a pool that is taken over later", func() {
			b.host.broadcastSuspect(b.host.Owned("p"), pool.ShareSuspect{Fingerprint: 7, State: pool.SuspectConfirmed, ExpiresIn: time.Minute})
			b.configure(false, "p", "q", "later")
			b.advance(time.Second)
			So(eventsOf[pool.SuspectShared](b, "p"), ShouldBeEmpty)
			So(len(eventsOf[pool.SuspectShared](b, "q")), ShouldEqual, 1)
			later := eventsOf[pool.SuspectShared](b, "later")
			So(len(later), ShouldEqual, 1)
			So(later[0].ExpiresIn, ShouldBeBetween, 59*time.Second, time.Minute)
		})
		Convey("and with a static share, as long as it is open", func() {
			share := b.host.OpenStaticShare(b.host.cfg.Snapshot.Load().Pools["p"])
			before := len(eventsOf[pool.SuspectShared](b, "p"))
			b.host.receiveSuspect(nil, pool.SuspectShared{Fingerprint: 8, State: pool.SuspectConfirmed, ExpiresIn: time.Minute})
			b.advance(time.Second)
			So(len(eventsOf[pool.SuspectShared](b, "p"))-before, ShouldEqual, 2) // the owned pool's and the share's
			share.Close()
			b.host.receiveSuspect(nil, pool.SuspectShared{Fingerprint: 9, State: pool.SuspectConfirmed, ExpiresIn: time.Minute})
			b.advance(time.Second)
			So(len(eventsOf[pool.SuspectShared](b, "p"))-before, ShouldEqual, 3)
		})
		Convey("a session with a pool that this daemon does not own is refused", func() {
			var got []poolwire.Commands
			b.host.Hello(poolwire.Hello{Pool: "x", Entry: "e/1", Session: 9}, func(c poolwire.Commands) error {
				got = append(got, c)
				return nil
			})
			So(len(got), ShouldEqual, 1)
			So(got[0].Status, ShouldEqual, poolwire.SessionNotOwner)
		})
	})
}

// TestSharesProperty checks that the static shares of all members sum to each
// server's slots, so that no slot is granted twice in degraded mode. If a pool
// has fewer slots than members, each member without a share gets one extra slot.
func TestSharesProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &workspace.ResolvedPool{}
		slots := 0
		for i := range rapid.IntRange(1, 5).Draw(t, "servers") {
			n := rapid.IntRange(1, 40).Draw(t, "slots")
			slots += n
			p.Servers = append(p.Servers, workspace.BackendServer{Name: fmt.Sprintf("s%d", i), Slots: n})
		}
		var members []string
		for i := range rapid.IntRange(1, 12).Draw(t, "members") {
			members = append(members, fmt.Sprintf("m%d", i))
		}
		sum, withoutSlots := 0, 0
		for _, m := range members {
			own := 0
			for _, s := range p.Servers {
				own += slotShare(s, m, members)
			}
			got := 0
			for _, s := range poolShare(p, m, members).Servers {
				got += s.Slots
			}
			if got != max(1, own) {
				t.Fatalf("member %s has %d slots, want %d", m, got, own)
			}
			sum += own
			if own == 0 {
				withoutSlots++
			}
		}
		if sum != slots || withoutSlots >= len(members) {
			t.Fatalf("shares sum to %d of %d slots; %d members have none", sum, slots, withoutSlots)
		}
	})
}
