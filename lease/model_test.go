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

	processes = 3
	holder    = processes // as a step's Who
)

func TestMain(m *testing.M) {
	_ = logs.Configure(io.Discard, "error", false)
	if addr := os.Getenv(envHolder); addr != "" {
		hold(addr) // this process was started by TestStoppedProcess
		return
	}
	os.Exit(m.Run())
}

// process is one candidate that can be paused: while it is, no answer reaches
// it, no timer of its wakes it, and its Waited clock stands still. Its clocks
// run at their own rate.
type process struct {
	objectstore.ObjectAPI
	start time.Time
	rate  float64
	lease atomic.Pointer[lease.Lease]
	late  atomic.Int64 // how long answers to its writes take after the effect

	mu     sync.Mutex
	until  time.Time // paused until
	cut    time.Time // cut off from the store until
	paused time.Duration
}

func (p *process) pause(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := time.Now(); p.until.Before(now) {
		p.until = now.Add(d)
		p.paused += d
	}
}

// reach waits until resumed; while the process is cut off from the store,
// the call hangs until its context ends.
func (p *process) reach(ctx context.Context) error {
	p.waitResumed()
	p.mu.Lock()
	cut := time.Until(p.cut)
	p.mu.Unlock()
	if cut <= 0 {
		return nil
	}
	<-ctx.Done()
	p.waitResumed()
	return objectstore.ErrUnknownOutcome
}

func (p *process) left() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(0, time.Until(p.until))
}

func (p *process) waitResumed() {
	for d := p.left(); d > 0; d = p.left() {
		<-time.After(d)
	}
}

func (p *process) scaled(d time.Duration) time.Duration { return time.Duration(float64(d) * p.rate) }

func (p *process) Held() time.Duration { return p.scaled(time.Since(p.start)) }

func (p *process) Waited() time.Duration {
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

func (p *process) answerLate(ctx context.Context) { p.Sleep(ctx, time.Duration(p.late.Load())) }

func (p *process) Get(ctx context.Context, k objectstore.Kind, n string) (objectstore.Object, error) {
	if err := p.reach(ctx); err != nil {
		return objectstore.Object{}, err
	}
	defer p.waitResumed()
	return p.ObjectAPI.Get(ctx, k, n)
}

func (p *process) Create(ctx context.Context, k objectstore.Kind, n string, v []byte) (objectstore.Version, error) {
	if err := p.reach(ctx); err != nil {
		return 0, err
	}
	defer p.answerLate(ctx)
	return p.ObjectAPI.Create(ctx, k, n, v)
}

func (p *process) Update(ctx context.Context, k objectstore.Kind, n string, v []byte, e objectstore.Version) (objectstore.Version, error) {
	if err := p.reach(ctx); err != nil {
		return 0, err
	}
	defer p.answerLate(ctx)
	return p.ObjectAPI.Update(ctx, k, n, v, e)
}

// world runs some processes against one store and watches the invariant.
type world struct {
	store     *standin.Standin
	processes []*process
	tokens    []lease.Token
	err       error
	mu        sync.Mutex
}

func (w *world) run(ctx context.Context, i int, seed uint64) {
	p, random := w.processes[i], rand.New(rand.NewPCG(seed, uint64(i)))
	jitter := func() float64 {
		w.mu.Lock()
		defer w.mu.Unlock()
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
		w.mu.Lock()
		w.tokens = append(w.tokens, l.Token())
		w.mu.Unlock()
		p.lease.Store(l)
		select {
		case <-l.Lost():
		case <-ctx.Done():
			_ = l.Release(ctx)
			return
		}
	}
}

// holders counts the processes that would act now.
func (w *world) holders() int {
	n := 0
	for _, p := range w.processes {
		if l := p.lease.Load(); l != nil && p.left() == 0 {
			if _, err := l.Check(); err == nil {
				n++
			}
		}
	}
	return n
}

// advance lets model time pass, checking the invariant at each tick.
func (w *world) advance(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		<-time.After(tick)
		synctest.Wait()
		if n := w.holders(); n > 1 && w.err == nil {
			w.err = fmt.Errorf("%d holders at once", n)
		}
	}
}

// step is one event of a plan, followed by some time.
type step struct {
	Do     string
	Who    int
	For    time.Duration
	Faults standin.Faults
}

// who returns a process; holder is whoever holds the lease now.
func (w *world) who(i int) *process {
	if i != holder {
		return w.processes[i]
	}
	for _, p := range w.processes {
		if l := p.lease.Load(); l != nil && l.Remaining() > 0 {
			return p
		}
	}
	return w.processes[0]
}

func (w *world) apply(s step) {
	p := w.who(s.Who)
	switch s.Do {
	case "pause":
		p.pause(s.For)
	case "cut":
		p.mu.Lock()
		p.cut = time.Now().Add(s.For)
		p.mu.Unlock()
	case "late":
		p.late.Store(int64(s.For / 4))
	case "faults":
		w.store.SetFaults(s.Faults)
	case "heal":
		p.late.Store(0)
		w.store.SetFaults(standin.Faults{})
	case "delete":
		ctx := context.Background()
		if o, err := w.store.Get(ctx, lease.Kind, name); err == nil {
			_, _ = w.store.Delete(ctx, lease.Kind, name, o.Version)
		}
	case "release":
		if l := p.lease.Load(); l != nil && p.left() == 0 {
			go func() { _ = l.Release(context.Background()) }()
		}
	}
	w.advance(s.For / 2)
}

func stepGen() *rapid.Generator[step] {
	return rapid.Custom(func(t *rapid.T) step {
		return step{
			Do:  rapid.SampledFrom([]string{"pause", "cut", "cut", "faults", "late", "heal", "delete", "release"}).Draw(t, "do"),
			Who: rapid.IntRange(0, holder).Draw(t, "who"),
			For: time.Duration(rapid.SampledFrom([]int{50, 300, 1000, 1200, 3000}).Draw(t, "for_ms")) * time.Millisecond,
			Faults: standin.Faults{
				Down:         rapid.IntRange(0, 3).Draw(t, "down") == 0,
				SlowMs:       rapid.SampledFrom([]int{0, 1, 100, 400, 1500}).Draw(t, "slow"),
				LoseFraction: rapid.SampledFrom([]float64{0, 0.3, 1}).Draw(t, "lose"),
				StaleWrites:  rapid.SampledFrom([]uint64{0, 0, 1}).Draw(t, "stale"),
			},
		}
	})
}

// play runs a plan in model time and returns what broke.
func play(t *testing.T, plan []step, rates []float64, seed uint64) error {
	var w *world
	healed := false
	synctest.Test(t, func(*testing.T) {
		w = &world{store: standin.New(standin.Options{Seed: seed})}
		ctx, cancel := context.WithCancel(context.Background())
		var all sync.WaitGroup
		for i := range processes {
			w.processes = append(w.processes, &process{ObjectAPI: w.store, start: time.Now(), rate: rates[i]})
		}
		for i := range processes {
			all.Go(func() { w.run(ctx, i, seed) })
		}
		w.advance(3 * duration)
		for _, s := range plan {
			w.apply(s)
		}
		for i := range processes {
			w.apply(step{Do: "heal", Who: i})
		}
		for range 20 {
			w.advance(duration)
			healed = healed || w.holders() == 1
		}
		cancel()
		all.Wait()
	})
	switch {
	case w.err != nil:
		return w.err
	case !healed:
		return errors.New("nobody holds the lease long after the faults ended")
	case !slices.IsSorted(w.tokens) || len(slices.Compact(slices.Clone(w.tokens))) != len(w.tokens):
		return errors.Errorf("tokens do not grow: %v", w.tokens)
	}
	return nil
}

// Guards against this: two controllers give orders at once.
func TestOneHolderWhateverFails(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		plan := rapid.SliceOfN(stepGen(), 1, 30).Draw(rt, "plan")
		rates := rapid.SliceOfN(rapid.SampledFrom([]float64{1 - drift, 1, 1 + drift}), processes, processes).Draw(rt, "rates")
		if err := play(t, plan, rates, rapid.Uint64().Draw(rt, "seed")); err != nil {
			rt.Fatal(err)
		}
	})
}

// Guards against this: a holder acts for some hundred milliseconds after its successor began.
func TestDeadlineCountsFromBeforeTheRequest(t *testing.T) {
	plan := []step{{Do: "none", For: 2 * duration},
		{Do: "late", Who: holder, For: 1200 * time.Millisecond}, {Do: "none", For: 2 * duration}, {Do: "cut", Who: holder, For: 6 * duration}}
	for seed := range uint64(20) {
		if err := play(t, plan, []float64{1, 1, 1}, seed); err != nil {
			t.Fatal(err)
		}
	}
}
