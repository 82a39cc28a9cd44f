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

// model is an engine that only holds models.
type model struct {
	engine.Engine
	checks bool

	mu      sync.Mutex
	models  []engine.LoadedModel
	ready   time.Time
	fence   uint64
	refused int
	deaf    int      // probes still to be missed
	tokens  []uint64 // of obeyed orders
}

func (m *model) Load(context.Context) (engine.LoadReport, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.deaf > 0 {
		m.deaf--
		return engine.LoadReport{}, engine.ErrBroken
	}
	return engine.LoadReport{Slots: 8, Models: slices.Clone(m.models), Warming: time.Now().Before(m.ready)}, nil
}

func (m *model) Order(_ context.Context, o engine.Order) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.checks && o.Token < m.fence {
		m.refused++
		return errors.Wrapf(engine.ErrStaleToken, "%d after %d", o.Token, m.fence)
	}
	m.fence = max(m.fence, o.Token)
	m.tokens = append(m.tokens, o.Token)
	lm := engine.LoadedModel{Model: o.Model, Version: o.Version}
	has := slices.Contains(m.models, lm)
	switch {
	case o.Kind == engine.OrderUnloadModel:
		m.models = slices.DeleteFunc(m.models, func(x engine.LoadedModel) bool { return x == lm })
	case !has:
		m.models, m.ready = append(m.models, lm), time.Now().Add(loadTime)
	}
	return nil
}

// dialer reaches the engines for one controller. While paused is set, an order
// of the held kind waits until it is closed, and is then delivered, late.
type dialer struct {
	w      *world
	hold   engine.OrderKind
	paused chan struct{}
	late   chan string // addresses of orders that wait
}

func (d *dialer) Engine(address string) engine.Engine {
	return &delayed{d.w.engines[address], d, address}
}

type delayed struct {
	*model
	d       *dialer
	address string
}

func (e *delayed) Order(ctx context.Context, o engine.Order) error {
	if e.d.paused != nil && o.Kind == e.d.hold {
		select {
		case <-e.d.paused:
		default:
			e.d.late <- e.address
			<-e.d.paused
		}
	}
	return e.model.Order(ctx, o)
}

type world struct {
	store   *standin.Standin
	engines map[string]*model // by address
	live    workspace.Live
	mu      sync.Mutex
	demand  map[string]placement.Demand
}

func newWorld(servers int, checks bool) *world {
	w := &world{store: standin.New(standin.Options{LoadsPerSecond: 0.5, LoadBurst: 1}), engines: map[string]*model{}}
	put := func(k objectstore.Kind, name string, v any) {
		_, _ = w.store.Create(context.Background(), k, name, workspacetest.Stored(k, name, 1, v).Value)
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
		w.engines[address] = &model{checks: checks, models: []engine.LoadedModel{{Model: "model-0", Version: "v1"}}}
	}
	w.want(20, 20)
	return w
}

func (w *world) want(a, b float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.demand = map[string]placement.Demand{"a": {a}, "b": {b}}
}

func (w *world) config() *workspace.Snapshot {
	var all []objectstore.Object
	for _, k := range workspace.Kinds() {
		l, err := w.store.List(context.Background(), k, "")
		if err != nil {
			return w.live.Load() // the last good one stays in force
		}
		all = append(all, l.Objects...)
	}
	s, _ := workspace.Compile(all)
	w.live.Store(s)
	return s
}

func (w *world) controller(holder string, d *dialer) *placement.Controller {
	e, err := lease.NewElector(w.store, lease.Options{Name: "placement-r", Holder: holder})
	if err != nil {
		panic(err)
	}
	return placement.NewController(placement.Options{
		Region: "r", Elector: e, API: w.store, Weights: w.store, Engines: d, Config: w.config,
		Demand: func(context.Context) map[string]placement.Demand {
			w.mu.Lock()
			defer w.mu.Unlock()
			return map[string]placement.Demand{"a": w.demand["a"], "b": w.demand["b"]}
		},
	})
}

// poolOf returns the pool that the server at the address serves.
func (w *world) poolOf(address string) string {
	for name, p := range w.config().Pools {
		if slices.ContainsFunc(p.Servers, func(s workspace.BackendServer) bool { return s.Address == address }) {
			return name
		}
	}
	return ""
}

// serving counts servers by pool that hold exactly their pool's model.
func (w *world) serving() map[string]int {
	out := map[string]int{}
	for name, p := range w.config().Pools {
		for _, s := range p.Servers {
			r, _ := w.engines[s.Address].Load(context.Background())
			if len(r.Models) == 1 && r.Models[0].Model == p.Model && !r.Warming {
				out[name]++
			}
		}
	}
	return out
}

// until lets model time pass until the pools serve so many, at most ten minutes.
func (w *world) until(t *testing.T, a, b int) {
	t.Helper()
	for range 600 {
		<-time.After(time.Second)
		if s := w.serving(); s["a"] == a && s["b"] == b {
			return
		}
	}
	t.Fatalf("want %d and %d, serving %v", a, b, w.serving())
}

// Guards against this: a server loses the model that it serves, long after a takeover.
func TestLateOrderOfPausedController(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks=%t", checks), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(4, checks)
				first := &dialer{w: w, hold: engine.OrderUnloadModel, paused: make(chan struct{}), late: make(chan string, 1)}
				ctx, cancel := context.WithCancel(context.Background())
				var all sync.WaitGroup
				all.Go(func() { _ = w.controller("first", first).Run(ctx) })
				address := <-first.late
				w.want(50, 1)
				// The first one renews its lease while its order hangs: only
				// its release of the lease, or its death, lets another in.
				w.takeLease(t)
				all.Go(func() { _ = w.controller("second", &dialer{w: w}).Run(ctx) })
				for w.poolOf(address) != "a" {
					<-time.After(time.Second)
				}
				late := w.engines[address]
				close(first.paused)
				synctest.Wait()
				if r, _ := late.Load(ctx); checks && (late.refused != 1 || len(r.Models) == 0) {
					t.Errorf("refused %d, holds %v", late.refused, r.Models)
				}
				w.until(t, 3, 1)
				cancel()
				all.Wait()
				<-time.After(time.Minute)
			})
		})
	}
}

// takeLease makes the present lease pass to nobody, as if its holder's
// renewals had failed for longer than its duration.
func (w *world) takeLease(t *testing.T) {
	o, err := w.store.Get(context.Background(), lease.Kind, "placement-r")
	if err == nil {
		_, err = w.store.Update(context.Background(), lease.Kind, "placement-r", []byte(`{"holder":"nobody"}`), o.Version)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// Guards against this: engines get orders from two controllers in turns.
func TestOneControllerAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(4, false)
		ctx, cancel := context.WithCancel(context.Background())
		var all sync.WaitGroup
		for i := range 3 {
			all.Go(func() { _ = w.controller(fmt.Sprint(i), &dialer{w: w}).Run(ctx) })
		}
		w.until(t, 2, 2)
		w.store.SetFaults(standin.Faults{Down: true})
		w.want(1, 50)
		<-time.After(time.Minute)
		if s := w.serving(); s["a"] != 2 || s["b"] != 2 {
			t.Errorf("servers moved without a lease: %v", s)
		}
		w.store.SetFaults(standin.Faults{LoseFraction: 0.3, SlowMs: 100})
		w.until(t, 1, 3)
		for _, e := range w.engines {
			if !slices.IsSorted(e.tokens) {
				t.Errorf("orders of an older lease after a newer one's: %v", e.tokens)
			}
		}
		cancel()
		all.Wait()
		<-time.After(time.Minute)
	})
}

// Guards against this: a slow answer, or a cut between the controller and an AvailabilityZone, sets servers moving between pools.
func TestMissedProbesMoveNothing(t *testing.T) {
	for _, c := range []struct{ servers, misses int }{{1, 2}, {5, 100}} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(8, false)
			w.want(1, 90)
			ctx, cancel := context.WithCancel(context.Background())
			var all sync.WaitGroup
			all.Go(func() { _ = w.controller("only", &dialer{w: w}).Run(ctx) })
			w.until(t, 1, 7)
			<-time.After(time.Minute)
			given := w.orders()
			pools := w.config().Pools
			for _, s := range append(pools["a"].Servers, pools["b"].Servers...)[:c.servers] {
				e := w.engines[s.Address]
				e.mu.Lock()
				e.deaf = c.misses
				e.mu.Unlock()
			}
			<-time.After(time.Minute)
			if n := w.orders() - given; n != 0 {
				t.Errorf("%d servers missed %d probes: %d orders", c.servers, c.misses, n)
			}
			cancel()
			all.Wait()
			<-time.After(time.Minute)
		})
	}
}

// orders counts the orders that the engines obeyed.
func (w *world) orders() int {
	n := 0
	for _, e := range w.engines {
		e.mu.Lock()
		n += len(e.tokens)
		e.mu.Unlock()
	}
	return n
}
