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

// closableLedger is the ledger of one entry.
type closableLedger interface {
	claim.Ledger
	Close(ctx context.Context) error
}

var ledgers = map[string]func(objectstore.ObjectAPI) closableLedger{
	"object": func(api objectstore.ObjectAPI) closableLedger { return claim.NewLedger(api, claim.Options{}) },
	"group": func(api objectstore.ObjectAPI) closableLedger {
		return claim.NewGroupLedger(api, claim.GroupOptions{Shards: 2})
	},
}

const (
	numEntries = 3
	numKeys    = 2
	answer     = "booked"
)

// step is one request of a caller, or a change of the store's faults.
type step struct {
	Fault   bool
	Faults  standin.Faults
	Entry   int
	Key     int
	Content byte
	Timeout time.Duration // of the call
	Action  string        // of the entry with its claim
	Pause   time.Duration // until the next step
}

func stepGen() *rapid.Generator[step] {
	ms := func(t *rapid.T, label string, values ...int) time.Duration {
		return time.Duration(rapid.SampledFrom(values).Draw(t, label)) * time.Millisecond
	}
	return rapid.Custom(func(t *rapid.T) step {
		s := step{Pause: ms(t, "pause", 0, 0, 1, 100, 3000)}
		if rapid.IntRange(0, 2).Draw(t, "fault") == 0 {
			s.Fault, s.Faults = true, standin.Faults{
				Down:         rapid.IntRange(0, 3).Draw(t, "down") == 0,
				SlowMs:       rapid.SampledFrom([]int{0, 1, 200, 1500}).Draw(t, "slow"),
				LoseFraction: rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "lose"),
				StaleWrites:  rapid.SampledFrom([]uint64{0, 0, 1}).Draw(t, "stale"),
			}
			return s
		}
		s.Entry = rapid.IntRange(0, numEntries-1).Draw(t, "entry")
		s.Key = rapid.IntRange(0, numKeys-1).Draw(t, "key")
		s.Content = rapid.SampledFrom([]byte("aaaab")).Draw(t, "content")
		s.Timeout = ms(t, "timeout", 50, 1000, 5000)
		s.Action = rapid.SampledFrom([]string{"finish", "die", "release", "release"}).Draw(t, "action")
		return s
	})
}

// simulation runs some entries on one store and tracks which requests ran.
type simulation struct {
	store   *standin.Standin
	ledgers []closableLedger

	mu         sync.Mutex
	runCount   [numKeys]int
	ranContent [numKeys]byte // content of the request that ran
	finished   [numKeys]bool
	contents   [numKeys]map[byte]bool
	err        error
}

func key(i int) claim.Key { return claim.Key{Workspace: "w", IdempotencyKey: fmt.Sprint(i)} }

func (sim *simulation) failf(format string, args ...any) {
	if sim.err == nil {
		sim.err = errors.Errorf(format, args...)
	}
}

// call is one caller's request at one entry.
func (sim *simulation) call(s step) {
	ctx, cancel := context.WithTimeout(context.Background(), s.Timeout)
	defer cancel()
	sim.mu.Lock()
	sim.contents[s.Key][s.Content] = true
	sim.mu.Unlock()
	start := time.Now()
	c, err := sim.ledgers[s.Entry].Claim(ctx, key(s.Key), claim.Hash{s.Content}, request.NewID())
	sim.mu.Lock()
	defer sim.mu.Unlock()
	var existing *claim.ExistingError
	switch {
	case err == nil:
		sim.useClaim(s, c)
	case errors.Is(err, claim.ErrConflict):
		if len(sim.contents[s.Key]) < 2 {
			sim.failf("conflict on a key that was used with one content only")
		}
	case errors.As(err, &existing):
		o := existing.Outcome
		if o.State == claim.NotRun || o.State == claim.Ran && (sim.runCount[s.Key] == 0 || string(o.Answer) != answer) {
			sim.failf("wrong outcome %+v of a request that ran %d times", o, sim.runCount[s.Key])
		}
	case !errors.Is(err, claim.ErrStoreUnavailable):
		sim.failf("unexpected error %v", err)
	}
	if took := time.Since(start); took > s.Timeout {
		sim.failf("answered after %s, the timeout is %s", took, s.Timeout)
	}
}

// useClaim does what an entry does with a claim that it holds.
func (sim *simulation) useClaim(s step, c claim.Claim) {
	if s.Action == "release" {
		c.Release()
		return
	}
	sim.runCount[s.Key]++
	sim.ranContent[s.Key] = s.Content
	if sim.runCount[s.Key] > 1 {
		sim.failf("key %d ran %d times", s.Key, sim.runCount[s.Key])
	}
	if s.Action == "finish" {
		sim.finished[s.Key] = true
		c.Finish(claim.Outcome{State: claim.Ran, Answer: []byte(answer), Status: 200})
	}
}

// healAndClose ends the store's faults and closes the ledgers, which record the
// remaining outcomes.
func (sim *simulation) healAndClose() {
	sim.store.SetFaults(standin.Faults{})
	for _, l := range sim.ledgers {
		if err := l.Close(context.Background()); err != nil {
			sim.failf("close: %v", err)
		}
	}
}

// check checks that each key that ran has its outcome, and that each key that never
// ran can still be claimed.
func (sim *simulation) check(l closableLedger) {
	for k := range numKeys {
		claimable := false
		for content := range sim.contents[k] {
			_, err := l.Claim(context.Background(), key(k), claim.Hash{content}, request.NewID())
			claimable = claimable || err == nil
			var existing *claim.ExistingError
			if sim.finished[k] && content == sim.ranContent[k] && (!errors.As(err, &existing) || existing.Outcome.State != claim.Ran) {
				sim.failf("key %d ran, but a retry got %v", k, err)
			}
		}
		if len(sim.contents[k]) > 0 && claimable != (sim.runCount[k] == 0) {
			sim.failf("key %d ran %d times, claimable %t", k, sim.runCount[k], claimable)
		}
	}
}

func runPlan(t *testing.T, open func(objectstore.ObjectAPI) closableLedger, plan []step, seed uint64) error {
	var sim *simulation
	synctest.Test(t, func(*testing.T) {
		sim = &simulation{store: standin.New(standin.Options{Seed: seed})}
		for i := range numKeys {
			sim.contents[i] = map[byte]bool{}
		}
		for range numEntries {
			sim.ledgers = append(sim.ledgers, open(sim.store))
		}
		var wg sync.WaitGroup
		for _, s := range plan {
			if s.Fault {
				sim.store.SetFaults(s.Faults)
			} else {
				wg.Go(func() { sim.call(s) })
			}
			<-time.After(s.Pause)
		}
		wg.Wait()
		sim.healAndClose()
		last := open(sim.store)
		sim.check(last)
		_ = last.Close(context.Background())
		<-time.After(time.Minute) // for slow writes that are still in flight
	})
	return sim.err
}

// Guards against a request that runs twice, or that never ran and can never be retried.
func TestAtMostOnceUnderFaults(t *testing.T) {
	for name, open := range ledgers {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				plan := rapid.SliceOfN(stepGen(), 1, 30).Draw(rt, "plan")
				if err := runPlan(t, open, plan, rapid.Uint64().Draw(rt, "seed")); err != nil {
					rt.Fatal(err)
				}
			})
		})
	}
}

// Guards against a request that was refused as not run, but is already claimed for every retry.
func TestUnavailableClaimCanBeRetried(t *testing.T) {
	for name, open := range ledgers {
		for _, f := range []standin.Faults{{SlowMs: 200}, {LoseFraction: 1}, {SlowMs: 1500}, {SlowMs: 60, LoseFraction: 1}} {
			call := step{Content: 'a', Timeout: 50 * time.Millisecond, Action: "release", Pause: 3 * time.Second}
			plan := []step{{Fault: true, Faults: f}, call, call}
			if err := runPlan(t, open, plan, 1); err != nil {
				t.Errorf("%s, %+v: %v", name, f, err)
			}
		}
	}
}

// Guards against outcomes lost in an outage, and against requests refused in it that can't be retried.
func TestTenMinuteOutage(t *testing.T) {
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
						t.Fatalf("claim in the outage: %v", err)
					}
					cancel()
				}
				for method, n := range store.Calls() {
					if n > 2*600 {
						t.Errorf("%d calls of %s in an outage of ten minutes", n, method)
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
					t.Errorf("retry of the request that ran before the outage: %v", err)
				}
				if _, err = after.Claim(context.Background(), key(1), claim.Hash{1}, request.NewID()); err != nil {
					t.Errorf("retry of the request refused in the outage: %v", err)
				}
				_ = after.Close(context.Background())
				<-time.After(time.Minute)
			})
		})
	}
}
