package claim_test

import (
	"context"
	"fmt"
	"io"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/lycheekeel/lycheekeel/claim"
	"github.com/lycheekeel/lycheekeel/internal/logs"
	standin "github.com/lycheekeel/lycheekeel/internal/standin/objectstore"
	"github.com/lycheekeel/lycheekeel/objectstore"
	"github.com/lycheekeel/lycheekeel/request"
)

func TestMain(m *testing.M) {
	_ = logs.Configure(io.Discard, "error", false)
	os.Exit(m.Run())
}

// closable is a ledger of one entry.
type closable interface {
	claim.Ledger
	Close(ctx context.Context) error
}

var ledgers = map[string]func(objectstore.ObjectAPI) closable{
	"object": func(api objectstore.ObjectAPI) closable { return claim.NewLedger(api, claim.Options{}) },
	"group": func(api objectstore.ObjectAPI) closable {
		return claim.NewGroupLedger(api, claim.GroupOptions{Shards: 2})
	},
}

const (
	entries = 3
	keys    = 2
	answer  = "booked"
)

// step is one call of a caller, or a change of the store's faults.
type step struct {
	Fault   bool
	Faults  standin.Faults
	Entry   int
	Key     int
	Content byte
	Patient time.Duration // the call's target
	Then    string        // what the entry does with its claim
	After   time.Duration // until the next step
}

func stepGen() *rapid.Generator[step] {
	ms := func(t *rapid.T, label string, values ...int) time.Duration {
		return time.Duration(rapid.SampledFrom(values).Draw(t, label)) * time.Millisecond
	}
	return rapid.Custom(func(t *rapid.T) step {
		s := step{After: ms(t, "after", 0, 0, 1, 100, 3000)}
		if rapid.IntRange(0, 2).Draw(t, "fault") == 0 {
			s.Fault, s.Faults = true, standin.Faults{
				Down:         rapid.IntRange(0, 3).Draw(t, "down") == 0,
				SlowMs:       rapid.SampledFrom([]int{0, 1, 200, 1500}).Draw(t, "slow"),
				LoseFraction: rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "lose"),
				StaleWrites:  rapid.SampledFrom([]uint64{0, 0, 1}).Draw(t, "stale"),
			}
			return s
		}
		s.Entry = rapid.IntRange(0, entries-1).Draw(t, "entry")
		s.Key = rapid.IntRange(0, keys-1).Draw(t, "key")
		s.Content = rapid.SampledFrom([]byte("aaaab")).Draw(t, "content")
		s.Patient = ms(t, "patient", 50, 1000, 5000)
		s.Then = rapid.SampledFrom([]string{"finish", "die", "give back", "give back"}).Draw(t, "then")
		return s
	})
}

// world is some entries on one store, and what really ran.
type world struct {
	store   *standin.Standin
	ledgers []closable

	mu       sync.Mutex
	ran      [keys]int
	ranAs    [keys]byte // content that ran
	finished [keys]bool
	contents [keys]map[byte]bool
	err      error
}

func key(i int) claim.Key { return claim.Key{Workspace: "w", IdempotencyKey: fmt.Sprint(i)} }

func (w *world) failf(format string, args ...any) {
	if w.err == nil {
		w.err = errors.Errorf(format, args...)
	}
}

// call is one caller's request at one entry.
func (w *world) call(s step) {
	ctx, cancel := context.WithTimeout(context.Background(), s.Patient)
	defer cancel()
	w.mu.Lock()
	w.contents[s.Key][s.Content] = true
	w.mu.Unlock()
	began := time.Now()
	c, err := w.ledgers[s.Entry].Claim(ctx, key(s.Key), claim.Hash{s.Content}, request.NewID())
	w.mu.Lock()
	defer w.mu.Unlock()
	var existing *claim.ExistingError
	switch {
	case err == nil:
		w.act(s, c)
	case errors.Is(err, claim.ErrConflict):
		if len(w.contents[s.Key]) < 2 {
			w.failf("conflict on a key with one content")
		}
	case errors.As(err, &existing):
		o := existing.Outcome
		if o.State == claim.NotRun || o.State == claim.Ran && (w.ran[s.Key] == 0 || string(o.Answer) != answer) {
			w.failf("false outcome %+v, ran %d times", o, w.ran[s.Key])
		}
	case !errors.Is(err, claim.ErrStoreUnavailable):
		w.failf("unexpected error %v", err)
	}
	if took := time.Since(began); took > s.Patient {
		w.failf("answered after %s of %s", took, s.Patient)
	}
}

// act is what an entry does with a claim that it holds.
func (w *world) act(s step, c claim.Claim) {
	if s.Then == "give back" {
		c.GiveBack()
		return
	}
	w.ran[s.Key]++
	w.ranAs[s.Key] = s.Content
	if w.ran[s.Key] > 1 {
		w.failf("key %d ran %d times", s.Key, w.ran[s.Key])
	}
	if s.Then == "finish" {
		w.finished[s.Key] = true
		c.Finish(claim.Outcome{State: claim.Ran, Answer: []byte(answer), Status: 200})
	}
}

// settle heals the store, lets the ledgers finish and checks the end: what
// ran says so, and what never ran can still be claimed.
func (w *world) settle() {
	w.store.SetFaults(standin.Faults{})
	for _, l := range w.ledgers {
		if err := l.Close(context.Background()); err != nil {
			w.failf("close: %v", err)
		}
	}
}

func (w *world) check(l closable) {
	for k := range keys {
		claimable := false
		for content := range w.contents[k] {
			_, err := l.Claim(context.Background(), key(k), claim.Hash{content}, request.NewID())
			claimable = claimable || err == nil
			var existing *claim.ExistingError
			if w.finished[k] && content == w.ranAs[k] && (!errors.As(err, &existing) || existing.Outcome.State != claim.Ran) {
				w.failf("key %d ran, a resend got %v", k, err)
			}
		}
		if len(w.contents[k]) > 0 && claimable != (w.ran[k] == 0) {
			w.failf("key %d ran %d times, claimable %t", k, w.ran[k], claimable)
		}
	}
}

func play(t *testing.T, open func(objectstore.ObjectAPI) closable, plan []step, seed uint64) error {
	var w *world
	synctest.Test(t, func(*testing.T) {
		w = &world{store: standin.New(standin.Options{Seed: seed})}
		for i := range keys {
			w.contents[i] = map[byte]bool{}
		}
		for range entries {
			w.ledgers = append(w.ledgers, open(w.store))
		}
		var all sync.WaitGroup
		for _, s := range plan {
			if s.Fault {
				w.store.SetFaults(s.Faults)
			} else {
				all.Go(func() { w.call(s) })
			}
			<-time.After(s.After)
		}
		all.Wait()
		w.settle()
		last := open(w.store)
		w.check(last)
		_ = last.Close(context.Background())
		<-time.After(time.Minute) // for slow writes that nobody waits for
	})
	return w.err
}

// Guards against this: a cover is booked twice, or a request that ran nowhere can never be sent again.
func TestAtMostOnceWhateverFails(t *testing.T) {
	for name, open := range ledgers {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				plan := rapid.SliceOfN(stepGen(), 1, 30).Draw(rt, "plan")
				if err := play(t, open, plan, rapid.Uint64().Draw(rt, "seed")); err != nil {
					rt.Fatal(err)
				}
			})
		})
	}
}

// Guards against this: a caller was told "not run, send again", and every resend is told "already claimed".
func TestRefusedCallersCanSendAgain(t *testing.T) {
	for name, open := range ledgers {
		for _, f := range []standin.Faults{{SlowMs: 200}, {LoseFraction: 1}, {SlowMs: 1500}, {SlowMs: 60, LoseFraction: 1}} {
			call := step{Content: 'a', Patient: 50 * time.Millisecond, Then: "give back", After: 3 * time.Second}
			plan := []step{{Fault: true, Faults: f}, call, call}
			if err := play(t, open, plan, 1); err != nil {
				t.Errorf("%s, %+v: %v", name, f, err)
			}
		}
	}
}

// Guards against this: after an outage callers learn nothing of what ran, or what was refused during it can't be sent again.
func TestTenMinutesOutage(t *testing.T) {
	for name, open := range ledgers {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := standin.New(standin.Options{})
				l := open(store)
				c, err := l.Claim(context.Background(), key(0), claim.Hash{1}, request.NewID())
				if err != nil {
					t.Fatal(err)
				}
				store.SetFaults(standin.Faults{Down: true})
				c.Finish(claim.Outcome{State: claim.Ran, Answer: []byte(answer), Status: 200})
				for range 600 {
					ctx, cancel := context.WithTimeout(context.Background(), time.Second)
					if _, err := l.Claim(ctx, key(1), claim.Hash{1}, request.NewID()); !errors.Is(err, claim.ErrStoreUnavailable) {
						t.Fatalf("in the outage: %v", err)
					}
					cancel()
				}
				for method, n := range store.Calls() {
					if n > 2*600 {
						t.Errorf("%d calls of %s in ten minutes of outage", n, method)
					}
				}
				store.SetFaults(standin.Faults{})
				if err := l.Close(context.Background()); err != nil {
					t.Fatal(err)
				}
				after := open(store)
				_, err = after.Claim(context.Background(), key(0), claim.Hash{1}, request.NewID())
				var existing *claim.ExistingError
				if !errors.As(err, &existing) || existing.Outcome.State != claim.Ran || string(existing.Outcome.Answer) != answer {
					t.Errorf("what ran before the outage reads %v", err)
				}
				if _, err = after.Claim(context.Background(), key(1), claim.Hash{1}, request.NewID()); err != nil {
					t.Errorf("what was refused in the outage: %v", err)
				}
				_ = after.Close(context.Background())
				<-time.After(time.Minute)
			})
		})
	}
}
