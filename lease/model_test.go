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

	"pgregory.net/rapid"

	"github.com/lycheekeel/lycheekeel/internal/logs"
	standin "github.com/lycheekeel/lycheekeel/internal/standin/platform"
	"github.com/lycheekeel/lycheekeel/lease"
	"github.com/lycheekeel/lycheekeel/platform"
)

const (
	name     = "controller"
	duration = time.Second
	drift    = 0.05
	tick     = 10 * time.Millisecond
)

func TestMain(m *testing.M) {
	_ = logs.Configure(io.Discard, "error", false)
	os.Exit(m.Run())
}

// process is one candidate that can be paused: while it is, no answer reaches
// it, no timer of its wakes it, and its Waited clock stands still. Its clocks
// run at their own rate.
type process struct {
	platform.ObjectAPI
	start time.Time
	rate  float64
	lease atomic.Pointer[lease.Lease]
	late  atomic.Int64 // how long answers to its writes take after the effect

	mu     sync.Mutex
	until  time.Time // paused until
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

func (p *process) Get(ctx context.Context, k platform.Kind, n string) (platform.Object, error) {
	p.waitResumed()
	defer p.waitResumed()
	return p.ObjectAPI.Get(ctx, k, n)
}

func (p *process) Create(ctx context.Context, k platform.Kind, n string, v []byte) (platform.Version, error) {
	p.waitResumed()
	defer p.answerLate(ctx)
	return p.ObjectAPI.Create(ctx, k, n, v)
}

func (p *process) Update(ctx context.Context, k platform.Kind, n string, v []byte, e platform.Version) (platform.Version, error) {
	p.waitResumed()
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

func (w *world) apply(s step) {
	p := w.processes[s.Who]
	switch s.Do {
	case "pause":
		p.pause(s.For)
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

func stepGen(processes int) *rapid.Generator[step] {
	return rapid.Custom(func(t *rapid.T) step {
		return step{
			Do:  rapid.SampledFrom([]string{"pause", "pause", "faults", "faults", "late", "heal", "delete", "release"}).Draw(t, "do"),
			Who: rapid.IntRange(0, processes-1).Draw(t, "who"),
			For: time.Duration(rapid.IntRange(1, 3000).Draw(t, "for_ms")) * time.Millisecond,
			Faults: standin.Faults{
				Down:         rapid.IntRange(0, 3).Draw(t, "down") == 0,
				SlowMs:       rapid.SampledFrom([]int{0, 1, 100, 400, 1500}).Draw(t, "slow"),
				LoseFraction: rapid.SampledFrom([]float64{0, 0.3, 1}).Draw(t, "lose"),
				StaleWrites:  rapid.SampledFrom([]uint64{0, 0, 1}).Draw(t, "stale"),
			},
		}
	})
}

// Symptom: two controllers give orders at once.
// Sequence: holders pause, renewals' answers get lost, the store is slow or
// down or stale, the object is deleted, clocks run at unlike rates.
// Cause: a holder trusts a deadline that a waiter no longer respects.
func TestOneHolderWhateverFails(t *testing.T) {
	const processes = 3
	rapid.Check(t, func(rt *rapid.T) {
		plan := rapid.SliceOfN(stepGen(processes), 1, 20).Draw(rt, "plan")
		rates := rapid.SliceOfN(rapid.Float64Range(1-drift, 1+drift), processes, processes).Draw(rt, "rates")
		seed := rapid.Uint64().Draw(rt, "seed")
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
			w.advance(duration)
			for _, s := range plan {
				w.apply(s)
			}
			w.store.SetFaults(standin.Faults{})
			for _, p := range w.processes {
				p.late.Store(0)
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
			rt.Fatal(w.err)
		case !healed:
			rt.Fatal("nobody holds the lease long after the faults ended")
		case !slices.IsSorted(w.tokens) || len(slices.Compact(slices.Clone(w.tokens))) != len(w.tokens):
			rt.Fatalf("tokens do not grow: %v", w.tokens)
		}
	})
}
