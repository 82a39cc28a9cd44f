package lease_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/lycheekeel/lycheekeel/internal/logs"
	standin "github.com/lycheekeel/lycheekeel/internal/standin/objectstore"
	"github.com/lycheekeel/lycheekeel/lease"
	"github.com/lycheekeel/lycheekeel/objectstore"
)

const (
	name     = "controller"
	duration = time.Second
	drift    = 0.05
	tick     = 10 * time.Millisecond

	numProcesses  = 3
	currentHolder = numProcesses // as a step's Target
)

func TestMain(m *testing.M) {
	_ = logs.Configure(io.Discard, "error", false)
	if addr := os.Getenv(envHolder); addr != "" {
		runHolder(addr) // this process was started by TestStoppedProcess
		return
	}
	os.Exit(m.Run())
}

// process is a candidate that can be paused. While it is paused, it gets no response,
// none of its timers fires, and its WaiterElapsed clock stops. Its clocks run at a rate
// of their own.
type process struct {
	objectstore.ObjectAPI
	start       time.Time
	rate        float64
	lease       atomic.Pointer[lease.Lease]
	answerDelay atomic.Int64 // delay of the responses to its writes, after they take effect

	mu          sync.Mutex
	pausedUntil time.Time // zero or past: not paused
	cutUntil    time.Time // cut off from the store until then
	paused      time.Duration
}

func (p *process) pause(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := time.Now(); p.pausedUntil.Before(now) {
		p.pausedUntil = now.Add(d)
		p.paused += d
	}
}

// waitReachable waits until the process is resumed. If it is cut off from the store,
// the call hangs until its context ends, with an unknown outcome.
func (p *process) waitReachable(ctx context.Context) error {
	p.waitResumed()
	p.mu.Lock()
	cut := time.Until(p.cutUntil)
	p.mu.Unlock()
	if cut <= 0 {
		return nil
	}
	<-ctx.Done()
	p.waitResumed()
	return objectstore.ErrUnknownOutcome
}

func (p *process) pauseLeft() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(0, time.Until(p.pausedUntil))
}

func (p *process) waitResumed() {
	for d := p.pauseLeft(); d > 0; d = p.pauseLeft() {
		<-time.After(d)
	}
}

func (p *process) scaled(d time.Duration) time.Duration { return time.Duration(float64(d) * p.rate) }

func (p *process) HolderElapsed() time.Duration { return p.scaled(time.Since(p.start)) }

func (p *process) WaiterElapsed() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.scaled(time.Since(p.start) - p.paused)
}

func (p *process) Sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(max(d, time.Microsecond)):
	case <-ctx.Done():
	}
	p.waitResumed()
}

func (p *process) delayAnswer(ctx context.Context) { p.Sleep(ctx, time.Duration(p.answerDelay.Load())) }

func (p *process) Get(ctx context.Context, k objectstore.Kind, n string) (objectstore.Object, error) {
	if err := p.waitReachable(ctx); err != nil {
		return objectstore.Object{}, err
	}
	defer p.waitResumed()
	return p.ObjectAPI.Get(ctx, k, n)
}

func (p *process) Create(ctx context.Context, k objectstore.Kind, n string, v []byte) (objectstore.Version, error) {
	if err := p.waitReachable(ctx); err != nil {
		return 0, err
	}
	defer p.delayAnswer(ctx)
	return p.ObjectAPI.Create(ctx, k, n, v)
}

func (p *process) Update(ctx context.Context, k objectstore.Kind, n string, v []byte, e objectstore.Version) (objectstore.Version, error) {
	if err := p.waitReachable(ctx); err != nil {
		return 0, err
	}
	defer p.delayAnswer(ctx)
	return p.ObjectAPI.Update(ctx, k, n, v, e)
}

// simulation runs some processes against one store and checks that at most one of them
// holds the lease.
type simulation struct {
	store     *standin.Standin
	processes []*process
	tokens    []lease.Token
	err       error
	mu        sync.Mutex
}

func (sim *simulation) run(ctx context.Context, i int, seed uint64) {
	p, random := sim.processes[i], rand.New(rand.NewPCG(seed, uint64(i)))
	jitter := func() float64 {
		sim.mu.Lock()
		defer sim.mu.Unlock()
		return random.Float64()
	}
	e, err := lease.NewElector(p, lease.Options{
		Name: name, Holder: fmt.Sprint(i), Duration: duration, MaxDrift: drift, Margin: tick,
		Clock: p, Jitter: jitter,
	})
	if err != nil {
		panic(err)
	}
	for {
		l, err := e.Acquire(ctx)
		if err != nil {
			return
		}
		sim.mu.Lock()
		sim.tokens = append(sim.tokens, l.Token())
		sim.mu.Unlock()
		p.lease.Store(l)
		select {
		case <-l.Lost():
		case <-ctx.Done():
			_ = l.Release(ctx)
			return
		}
	}
}

// holders returns the number of processes that hold the lease now.
func (sim *simulation) holders() int {
	n := 0
	for _, p := range sim.processes {
		if l := p.lease.Load(); l != nil && p.pauseLeft() == 0 {
			if _, err := l.Check(); err == nil {
				n++
			}
		}
	}
	return n
}

// advance advances the simulated time and checks the invariant at each tick.
func (sim *simulation) advance(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		<-time.After(tick)
		synctest.Wait()
		if n := sim.holders(); n > 1 && sim.err == nil {
			sim.err = fmt.Errorf("%d holders at once", n)
		}
	}
}

// step is one event of a plan, followed by half of its Duration.
type step struct {
	Action   string
	Target   int
	Duration time.Duration
	Faults   standin.Faults
}

// target returns a process by its index; currentHolder stands for the process that
// holds the lease now.
func (sim *simulation) target(i int) *process {
	if i != currentHolder {
		return sim.processes[i]
	}
	for _, p := range sim.processes {
		if l := p.lease.Load(); l != nil && l.Remaining() > 0 {
			return p
		}
	}
	return sim.processes[0]
}

func (sim *simulation) apply(s step) {
	p := sim.target(s.Target)
	switch s.Action {
	case "pause":
		p.pause(s.Duration)
	case "cut":
		p.mu.Lock()
		p.cutUntil = time.Now().Add(s.Duration)
		p.mu.Unlock()
	case "late":
		p.answerDelay.Store(int64(s.Duration / 4))
	case "faults":
		sim.store.SetFaults(s.Faults)
	case "heal":
		p.answerDelay.Store(0)
		sim.store.SetFaults(standin.Faults{})
	case "delete":
		ctx := context.Background()
		if o, err := sim.store.Get(ctx, lease.Kind, name); err == nil {
			_, _ = sim.store.Delete(ctx, lease.Kind, name, o.Version)
		}
	case "release":
		if l := p.lease.Load(); l != nil && p.pauseLeft() == 0 {
			go func() { _ = l.Release(context.Background()) }()
		}
	}
	sim.advance(s.Duration / 2)
}

func stepGen() *rapid.Generator[step] {
	return rapid.Custom(func(t *rapid.T) step {
		return step{
			Action:   rapid.SampledFrom([]string{"pause", "cut", "cut", "faults", "late", "heal", "delete", "release"}).Draw(t, "action"),
			Target:   rapid.IntRange(0, currentHolder).Draw(t, "target"),
			Duration: time.Duration(rapid.SampledFrom([]int{50, 300, 1000, 1200, 3000}).Draw(t, "duration_ms")) * time.Millisecond,
			Faults: standin.Faults{
				Down:         rapid.IntRange(0, 3).Draw(t, "down") == 0,
				SlowMs:       rapid.SampledFrom([]int{0, 1, 100, 400, 1500}).Draw(t, "slow"),
				LoseFraction: rapid.SampledFrom([]float64{0, 0.3, 1}).Draw(t, "lose"),
				StaleWrites:  rapid.SampledFrom([]uint64{0, 0, 1}).Draw(t, "stale"),
			},
		}
	})
}

// runPlan runs a plan in simulated time and returns an error if an invariant is
// violated.
func runPlan(t *testing.T, plan []step, rates []float64, seed uint64) error {
	var sim *simulation
	healed := false
	synctest.Test(t, func(*testing.T) {
		sim = &simulation{store: standin.New(standin.Options{Seed: seed})}
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		for i := range numProcesses {
			sim.processes = append(sim.processes, &process{ObjectAPI: sim.store, start: time.Now(), rate: rates[i]})
		}
		for i := range numProcesses {
			wg.Go(func() { sim.run(ctx, i, seed) })
		}
		sim.advance(3 * duration)
		for _, s := range plan {
			sim.apply(s)
		}
		for i := range numProcesses {
			sim.apply(step{Action: "heal", Target: i})
		}
		for range 20 {
			sim.advance(duration)
			healed = healed || sim.holders() == 1
		}
		cancel()
		wg.Wait()
	})
	switch {
	case sim.err != nil:
		return sim.err
	case !healed:
		return errors.New("no process holds the lease long after the faults ended")
	case !slices.IsSorted(sim.tokens) || len(slices.Compact(slices.Clone(sim.tokens))) != len(sim.tokens):
		return errors.Errorf("tokens do not increase: %v", sim.tokens)
	}
	return nil
}

// Guards against two controllers that act at once.
func TestOneHolderUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		plan := rapid.SliceOfN(stepGen(), 1, 30).Draw(rt, "plan")
		rates := rapid.SliceOfN(rapid.SampledFrom([]float64{1 - drift, 1, 1 + drift}), numProcesses, numProcesses).Draw(rt, "rates")
		if err := runPlan(t, plan, rates, rapid.Uint64().Draw(rt, "seed")); err != nil {
			rt.Fatal(err)
		}
	})
}

// Guards against a holder that acts for some hundred milliseconds after its successor has started.
func TestDeadlineCountsFromRequestStart(t *testing.T) {
	plan := []step{{Action: "none", Duration: 2 * duration},
		{Action: "late", Target: currentHolder, Duration: 1200 * time.Millisecond}, {Action: "none", Duration: 2 * duration}, {Action: "cut", Target: currentHolder, Duration: 6 * duration}}
	for seed := range uint64(20) {
		if err := runPlan(t, plan, []float64{1, 1, 1}, seed); err != nil {
			t.Fatal(err)
		}
	}
}
