// Package objectstore simulates the platform for tests: an object API with
// versions, conditional updates and watches, a VM list that may lag, and a
// rate-limited weight store. Faults can be injected. It implements
// objectstore.Platform for callers in the same process and also serves HTTP. All
// state is kept in memory.
package objectstore

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/lycheekeel/lycheekeel/internal/wait"
	port "github.com/lycheekeel/lycheekeel/objectstore"
)

// Defaults of Options: history in changes, loads per second, and burst in loads.
const (
	defaultHistory     = 20000
	defaultLoadsPerSec = 10
	defaultLoadBurst   = 4
)

// Options configure a stand-in. A zero History takes its default, and so do both
// load fields if LoadsPerSecond is zero.
type Options struct {
	// History is the number of changes kept for watches. Older changes are
	// compacted.
	History int
	// LoadsPerSecond and LoadBurst are the rate and the burst of the weight
	// store's token bucket.
	LoadsPerSecond float64
	LoadBurst      int
	// Seed seeds the choice of the answers that Faults.LoseFraction loses.
	Seed uint64
	// VMs is the initial VM list.
	VMs []port.VM
}

// Standin is a simulated platform. It is safe for concurrent use.
type Standin struct {
	store       *store
	faults      atomic.Pointer[faultState]
	loadLimiter *rate.Limiter
	calls       sync.Map // method -> *atomic.Int64

	mu  sync.Mutex
	rnd *rand.Rand
	vms []vmState
}

// vmState is a VM list and the time since which it has been current.
type vmState struct {
	since time.Time
	vms   []port.VM
}

var _ port.Platform = (*Standin)(nil)

// New returns a stand-in without faults.
func New(o Options) *Standin {
	if o.History == 0 {
		o.History = defaultHistory
	}
	if o.LoadsPerSecond == 0 {
		o.LoadsPerSecond, o.LoadBurst = defaultLoadsPerSec, defaultLoadBurst
	}
	s := &Standin{
		store:       newStore(o.History),
		loadLimiter: rate.NewLimiter(rate.Limit(o.LoadsPerSecond), max(1, o.LoadBurst)),
		rnd:         rand.New(rand.NewPCG(o.Seed, 1)),
		vms:         []vmState{{vms: o.VMs}},
	}
	s.SetFaults(Faults{})
	return s
}

// SetFaults replaces the active faults.
func (s *Standin) SetFaults(f Faults) { s.faults.Store(newFaultState(f)) }

// Faults returns the active faults as they were set.
func (s *Standin) Faults() Faults { return s.faults.Load().Faults }

// SetVMs replaces the VM list. VMs returns it after Faults.VMLagMs.
func (s *Standin) SetVMs(vms []port.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = append(s.vms, vmState{since: time.Now(), vms: vms})
}

// Calls returns the number of calls of each method, including refused calls.
func (s *Standin) Calls() map[string]int64 {
	out := map[string]int64{}
	s.calls.Range(func(k, v any) bool {
		out[k.(string)] = v.(*atomic.Int64).Load()
		return true
	})
	return out
}

func (s *Standin) countCall(method string) {
	c, ok := s.calls.Load(method)
	if !ok {
		c, _ = s.calls.LoadOrStore(method, new(atomic.Int64))
	}
	c.(*atomic.Int64).Add(1)
}

// Get implements objectstore.ObjectAPI.
func (s *Standin) Get(ctx context.Context, kind port.Kind, name string) (port.Object, error) {
	f, err := s.beginRead(ctx, "get")
	if err != nil {
		return port.Object{}, err
	}
	return s.store.get(kind, name, f.StaleWrites)
}

// List implements objectstore.ObjectAPI.
func (s *Standin) List(ctx context.Context, kind port.Kind, prefix string) (port.List, error) {
	f, err := s.beginRead(ctx, "list")
	if err != nil {
		return port.List{}, err
	}
	return s.store.list(kind, prefix, f.StaleWrites), nil
}

// Create implements objectstore.ObjectAPI.
func (s *Standin) Create(ctx context.Context, kind port.Kind, name string, value []byte) (port.Version, error) {
	return s.write(ctx, "create", func() (port.Version, error) { return s.store.create(kind, name, value) })
}

// Update implements objectstore.ObjectAPI. It returns ErrNotFound if the object
// does not exist.
func (s *Standin) Update(ctx context.Context, kind port.Kind, name string, value []byte, expected port.Version) (port.Version, error) {
	return s.write(ctx, "update", func() (port.Version, error) {
		return s.store.update(kind, name, value, expected, false)
	})
}

// Delete implements objectstore.ObjectAPI. It returns ErrNotFound if the object
// does not exist.
func (s *Standin) Delete(ctx context.Context, kind port.Kind, name string, expected port.Version) (port.Version, error) {
	return s.write(ctx, "delete", func() (port.Version, error) {
		return s.store.update(kind, name, nil, expected, true)
	})
}

// Watch implements objectstore.ObjectAPI.
func (s *Standin) Watch(ctx context.Context, kinds []port.Kind, after port.Version, wait time.Duration) ([]port.Event, port.Version, error) {
	if _, err := s.beginRead(ctx, "watch"); err != nil {
		return nil, 0, err
	}
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		events, next, changed, err := s.store.eventsSince(kinds, after)
		if err != nil || len(events) > 0 {
			return events, next, err
		}
		select {
		case <-changed:
			if s.faults.Load().Down {
				return nil, 0, errors.Wrap(port.ErrUnavailable, "watch")
			}
		case <-end.C:
			return nil, next, nil
		case <-ctx.Done():
			return nil, 0, errors.Wrap(port.ErrUnknownOutcome, ctx.Err().Error())
		}
	}
}

// VMs implements objectstore.VMList. It returns the list as of Faults.VMLagMs ago.
func (s *Standin) VMs(ctx context.Context) ([]port.VM, error) {
	f, err := s.beginRead(ctx, "vms")
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	asOf := time.Now().Add(-time.Duration(f.VMLagMs) * time.Millisecond)
	list := s.vms[0].vms
	for _, st := range s.vms {
		if !st.since.After(asOf) {
			list = st.vms
		}
	}
	return list, nil
}

// Reserve implements objectstore.WeightStore.
func (s *Standin) Reserve(ctx context.Context, _, _ string) (time.Duration, error) {
	if _, err := s.beginRead(ctx, "reserve"); err != nil {
		return 0, err
	}
	r := s.loadLimiter.Reserve()
	wait := r.Delay()
	if wait > 0 {
		r.Cancel()
	}
	return wait, nil
}

// beginRead counts a read-only call, applies the faults and returns them.
func (s *Standin) beginRead(ctx context.Context, method string) (*faultState, error) {
	s.countCall(method)
	f := s.faults.Load()
	if f.Down {
		return nil, errors.Wrap(port.ErrUnavailable, method)
	}
	if !wait.For(ctx, f.delay()) {
		return nil, errors.Wrap(port.ErrUnknownOutcome, ctx.Err().Error())
	}
	return f, nil
}

type writeResult struct {
	version port.Version
	err     error
}

// write counts a write, applies the faults and then performs the write. An
// accepted write takes effect even if its caller stops waiting.
func (s *Standin) write(ctx context.Context, method string, apply func() (port.Version, error)) (port.Version, error) {
	s.countCall(method)
	f := s.faults.Load()
	if f.Down {
		return 0, errors.Wrap(port.ErrUnavailable, method)
	}
	done := make(chan writeResult, 1)
	run := func() {
		if f.writeLimiter != nil {
			_ = f.writeLimiter.Wait(context.Background()) // can't fail without a deadline
		}
		wait.For(context.Background(), f.delay())
		v, err := apply()
		done <- writeResult{v, err}
	}
	if f.writeLimiter == nil && f.SlowMs == 0 {
		run()
	} else {
		go run()
	}
	select {
	case r := <-done:
		if f.losesAnswer(r.err == nil, s.randomFraction()) {
			return 0, errors.Wrap(port.ErrUnknownOutcome, "answer lost")
		}
		return r.version, r.err
	case <-ctx.Done():
		return 0, errors.Wrap(port.ErrUnknownOutcome, ctx.Err().Error())
	}
}

func (s *Standin) randomFraction() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rnd.Float64()
}
