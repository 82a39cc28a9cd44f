package placement_test

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/lycheekeel/lycheekeel/engine"
	"github.com/lycheekeel/lycheekeel/internal/logs"
	standin "github.com/lycheekeel/lycheekeel/internal/standin/objectstore"
	"github.com/lycheekeel/lycheekeel/lease"
	"github.com/lycheekeel/lycheekeel/objectstore"
	"github.com/lycheekeel/lycheekeel/placement"
	"github.com/lycheekeel/lycheekeel/workspace"
	"github.com/lycheekeel/lycheekeel/workspace/workspacetest"
)

func TestMain(m *testing.M) {
	_ = logs.Configure(io.Discard, "error", false)
	os.Exit(m.Run())
}

const loadTime = 3 * time.Second

// fakeEngine is an engine that only loads and unloads models.
type fakeEngine struct {
	engine.Engine
	checksTokens bool

	mu          sync.Mutex
	models      []engine.LoadedModel
	loadedAt    time.Time
	newestToken uint64
	refused     int
	missProbes  int      // number of probes to leave unanswered
	tokens      []uint64 // of accepted orders
}

func (m *fakeEngine) Load(context.Context) (engine.LoadReport, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.missProbes > 0 {
		m.missProbes--
		return engine.LoadReport{}, engine.ErrConnectionLost
	}
	return engine.LoadReport{Slots: 8, Models: slices.Clone(m.models), Warming: time.Now().Before(m.loadedAt)}, nil
}

func (m *fakeEngine) Order(_ context.Context, o engine.Order) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.checksTokens && o.Token < m.newestToken {
		m.refused++
		return errors.Wrapf(engine.ErrStaleToken, "%d after %d", o.Token, m.newestToken)
	}
	m.newestToken = max(m.newestToken, o.Token)
	m.tokens = append(m.tokens, o.Token)
	loaded := engine.LoadedModel{Model: o.Model, Version: o.Version}
	alreadyLoaded := slices.Contains(m.models, loaded)
	switch {
	case o.Kind == engine.OrderUnloadModel:
		m.models = slices.DeleteFunc(m.models, func(x engine.LoadedModel) bool { return x == loaded })
	case !alreadyLoaded:
		m.models, m.loadedAt = append(m.models, loaded), time.Now().Add(loadTime)
	}
	return nil
}

// fakeDialer connects one controller to the engines. If release is set, an order of
// kind heldKind waits until release is closed and is then delivered late.
type fakeDialer struct {
	fixture  *fixture
	heldKind engine.OrderKind
	release  chan struct{}
	held     chan string // addresses of waiting orders
}

func (d *fakeDialer) Engine(address string) engine.Engine {
	return &delayedEngine{d.fixture.engines[address], d, address}
}

type delayedEngine struct {
	*fakeEngine
	dialer  *fakeDialer
	address string
}

func (e *delayedEngine) Order(ctx context.Context, o engine.Order) error {
	if e.dialer.release != nil && o.Kind == e.dialer.heldKind {
		select {
		case <-e.dialer.release:
		default:
			e.dialer.held <- e.address
			<-e.dialer.release
		}
	}
	return e.fakeEngine.Order(ctx, o)
}

type fixture struct {
	store    *standin.Standin
	engines  map[string]*fakeEngine // by address
	snapshot workspace.CurrentSnapshot
	mu       sync.Mutex
	demand   map[string]placement.Demand
}

func newFixture(servers int, checks bool) *fixture {
	f := &fixture{store: standin.New(standin.Options{LoadsPerSecond: 0.5, LoadBurst: 1}), engines: map[string]*fakeEngine{}}
	put := func(k objectstore.Kind, name string, v any) {
		_, _ = f.store.Create(context.Background(), k, name, workspacetest.StoredObject(k, name, 1, v).Value)
	}
	put(workspace.KindTemplate, "template", workspacetest.Template("template", 2))
	put(workspace.KindWorkspace, "w", workspacetest.Workspace("w", "template"))
	for i, name := range []string{"a", "b"} {
		put(workspace.KindPool, name, workspace.Pool{Name: name, Region: "r", Model: fmt.Sprintf("model-%d", i), Version: "v1"})
	}
	for i := range servers {
		address := fmt.Sprintf("127.0.0.1:%d", 9000+i)
		put(workspace.KindBackendServer, fmt.Sprint("s", i), workspace.BackendServer{
			Name: fmt.Sprint("s", i), Address: address, Region: "r", AvailabilityZone: "z", Pool: "a", ChecksTokens: checks, Slots: 8,
		})
		f.engines[address] = &fakeEngine{checksTokens: checks, models: []engine.LoadedModel{{Model: "model-0", Version: "v1"}}}
	}
	f.setDemand(20, 20)
	return f
}

func (f *fixture) setDemand(a, b float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.demand = map[string]placement.Demand{"a": {a}, "b": {b}}
}

func (f *fixture) config() *workspace.Snapshot {
	var all []objectstore.Object
	for _, k := range workspace.Kinds() {
		l, err := f.store.List(context.Background(), k, "")
		if err != nil {
			return f.snapshot.Load() // the last valid configuration stays in use
		}
		all = append(all, l.Objects...)
	}
	s, _ := workspace.Compile(all)
	f.snapshot.Store(s)
	return s
}

func (f *fixture) controller(holder string, d *fakeDialer) *placement.Controller {
	e, err := lease.NewElector(f.store, lease.Options{Name: "placement-r", Holder: holder})
	if err != nil {
		panic(err)
	}
	return placement.NewController(placement.Options{
		Region: "r", Elector: e, API: f.store, Weights: f.store, Engines: d, Config: f.config,
		Demand: func(context.Context) map[string]placement.Demand {
			f.mu.Lock()
			defer f.mu.Unlock()
			return map[string]placement.Demand{"a": f.demand["a"], "b": f.demand["b"]}
		},
	})
}

// poolOf returns the pool that the server at the address serves.
func (f *fixture) poolOf(address string) string {
	for name, p := range f.config().Pools {
		if slices.ContainsFunc(p.Servers, func(s workspace.BackendServer) bool { return s.Address == address }) {
			return name
		}
	}
	return ""
}

// serving returns the number of servers by pool that hold exactly their pool's model.
func (f *fixture) serving() map[string]int {
	out := map[string]int{}
	for name, p := range f.config().Pools {
		for _, s := range p.Servers {
			r, _ := f.engines[s.Address].Load(context.Background())
			if len(r.Models) == 1 && r.Models[0].Model == p.Model && !r.Warming {
				out[name]++
			}
		}
	}
	return out
}

// waitForServing waits at most ten minutes of virtual time until the pools a and b have
// the given numbers of serving servers.
func (f *fixture) waitForServing(t *testing.T, a, b int) {
	t.Helper()
	for range 600 {
		<-time.After(time.Second)
		if s := f.serving(); s["a"] == a && s["b"] == b {
			return
		}
	}
	t.Fatalf("pools a and b: want %d and %d serving servers, got %v", a, b, f.serving())
}

// Guards against a delayed order of an earlier controller that unloads the model that a
// server serves.
func TestLateOrderOfPausedController(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks=%t", checks), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(4, checks)
				first := &fakeDialer{fixture: f, heldKind: engine.OrderUnloadModel, release: make(chan struct{}), held: make(chan string, 1)}
				ctx, cancel := context.WithCancel(context.Background())
				var all sync.WaitGroup
				all.Go(func() { _ = f.controller("first", first).Run(ctx) })
				address := <-first.held
				f.setDemand(50, 1)
				// The first controller renews its lease while its order is pending.
				// Another one can only acquire the lease once the first releases it or
				// dies.
				f.stealLease(t)
				all.Go(func() { _ = f.controller("second", &fakeDialer{fixture: f}).Run(ctx) })
				for f.poolOf(address) != "a" {
					<-time.After(time.Second)
				}
				lateEngine := f.engines[address]
				close(first.release)
				synctest.Wait()
				if r, _ := lateEngine.Load(ctx); checks && (lateEngine.refused != 1 || len(r.Models) == 0) {
					t.Errorf("late order: refused %d, engine holds %v", lateEngine.refused, r.Models)
				}
				f.waitForServing(t, 3, 1)
				cancel()
				all.Wait()
				<-time.After(time.Minute)
			})
		})
	}
}

// stealLease gives the current lease to another holder, as if its holder had failed to
// renew it for longer than its duration.
func (f *fixture) stealLease(t *testing.T) {
	o, err := f.store.Get(context.Background(), lease.Kind, "placement-r")
	if err == nil {
		_, err = f.store.Update(context.Background(), lease.Kind, "placement-r", []byte(`{"holder":"nobody"}`), o.Version)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// Guards against engines that get orders from two controllers in turns.
func TestOneControllerAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(4, false)
		ctx, cancel := context.WithCancel(context.Background())
		var all sync.WaitGroup
		for i := range 3 {
			all.Go(func() { _ = f.controller(fmt.Sprint(i), &fakeDialer{fixture: f}).Run(ctx) })
		}
		f.waitForServing(t, 2, 2)
		f.store.SetFaults(standin.Faults{Down: true})
		f.setDemand(1, 50)
		<-time.After(time.Minute)
		if s := f.serving(); s["a"] != 2 || s["b"] != 2 {
			t.Errorf("servers were moved without a lease: %v", s)
		}
		f.store.SetFaults(standin.Faults{LoseFraction: 0.3, SlowMs: 100})
		f.waitForServing(t, 1, 3)
		for _, e := range f.engines {
			if !slices.IsSorted(e.tokens) {
				t.Errorf("got orders of an older lease after a newer one: tokens %v", e.tokens)
			}
		}
		cancel()
		all.Wait()
		<-time.After(time.Minute)
	})
}

// Guards against moves caused by a slow answer, or by a broken link between the
// controller and an AvailabilityZone.
func TestMissedProbesMoveNoServer(t *testing.T) {
	for _, c := range []struct{ servers, misses int }{{1, 2}, {5, 100}} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(8, false)
			f.setDemand(1, 90)
			ctx, cancel := context.WithCancel(context.Background())
			var all sync.WaitGroup
			all.Go(func() { _ = f.controller("only", &fakeDialer{fixture: f}).Run(ctx) })
			f.waitForServing(t, 1, 7)
			<-time.After(time.Minute)
			before := f.orderCount()
			pools := f.config().Pools
			for _, s := range append(pools["a"].Servers, pools["b"].Servers...)[:c.servers] {
				e := f.engines[s.Address]
				e.mu.Lock()
				e.missProbes = c.misses
				e.mu.Unlock()
			}
			<-time.After(time.Minute)
			if n := f.orderCount() - before; n != 0 {
				t.Errorf("%d servers missed %d probes: got %d orders, want none", c.servers, c.misses, n)
			}
			cancel()
			all.Wait()
			<-time.After(time.Minute)
		})
	}
}

// orderCount returns the number of orders that the engines accepted.
func (f *fixture) orderCount() int {
	n := 0
	for _, e := range f.engines {
		e.mu.Lock()
		n += len(e.tokens)
		e.mu.Unlock()
	}
	return n
}
