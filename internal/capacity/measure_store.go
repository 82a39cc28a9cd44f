package capacity

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/lycheekeel/lycheekeel/claim"
	"github.com/lycheekeel/lycheekeel/internal/apply"
	standin "github.com/lycheekeel/lycheekeel/internal/standin/objectstore"
	"github.com/lycheekeel/lycheekeel/lease"
	"github.com/lycheekeel/lycheekeel/request"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// Names of the object store series.
const (
	seriesClaimCalls  = "store_calls_by_claims"
	seriesLeaseCalls  = "store_calls_by_lease_seconds"
	seriesChangeCalls = "store_calls_by_applied_changes"
)

// callCount returns the number of calls that the stand-in has answered.
func callCount(s *standin.Standin) float64 {
	sum := int64(0)
	for _, n := range s.Calls() {
		sum += n
	}
	return float64(sum)
}

// measureStore measures the object API calls of claims, applied changes and leases.
func measureStore(ctx context.Context, m *Measurements) error {
	var claims []Point
	for _, n := range []int{100, 400, 1000} {
		calls, err := claimCalls(ctx, n)
		if err != nil {
			return errors.Wrap(err, "claims")
		}
		claims = append(claims, Point{float64(n), calls})
	}
	m.Add(NewSeries(seriesClaimCalls, "calls of the object API for claims with their outcomes, object per claim", "claims", "calls", claims))
	changes, err := changeCalls(ctx)
	if err != nil {
		return errors.Wrap(err, "changes")
	}
	m.Add(NewSeries(seriesChangeCalls, "calls of the object API for one applied change: what is stored is read, checked against, written and read again", "changes in one apply", "calls", changes))
	leases, err := leaseCalls(ctx)
	if err != nil {
		return errors.Wrap(err, "lease")
	}
	m.Add(NewSeries(seriesLeaseCalls, "calls of the object API by one lease's holder with the default duration", "s held", "calls", leases))
	return nil
}

// claimCalls returns the calls for n claims and their outcomes.
func claimCalls(ctx context.Context, n int) (float64, error) {
	store := standin.New(standin.Options{})
	ledger := claim.NewLedger(store, claim.Options{})
	for i := range n {
		key := claim.Key{Workspace: "kotte", IdempotencyKey: fmt.Sprint("key-", i)}
		c, err := ledger.Claim(ctx, key, claim.Hash{1}, request.NewID())
		if err != nil {
			return 0, err
		}
		c.Finish(claim.Outcome{State: claim.Ran, Answer: []byte("done"), Status: 200})
	}
	if err := ledger.Close(ctx); err != nil {
		return 0, err
	}
	return callCount(store), nil
}

// changeCalls returns the calls for applying several changed pools at once, as the
// apply command does.
func changeCalls(ctx context.Context) ([]Point, error) {
	var points []Point
	for _, n := range []int{1, 5, 20} {
		store := standin.New(standin.Options{})
		before := callCount(store)
		stored, err := apply.Read(ctx, store)
		if err != nil {
			return nil, err
		}
		changes, err := apply.Plan(poolDocuments(n), nil, stored)
		if err != nil {
			return nil, err
		}
		for _, c := range changes {
			if _, err := apply.Write(ctx, store, c); err != nil {
				return nil, err
			}
		}
		if _, err := apply.Recheck(ctx, store, stored); err != nil {
			return nil, err
		}
		points = append(points, Point{float64(n), callCount(store) - before})
	}
	return points, nil
}

// poolDocuments returns n new pools, parsed as from a file.
func poolDocuments(n int) []workspace.Document {
	var docs []workspace.Document
	for i := range n {
		text := fmt.Sprintf(`{"kind":"Pool","name":"pool-%d","region":"r","model":"m","version":"v1"}`, i)
		parsed, _ := workspace.ParseFile("pools.json", []byte(text))
		docs = append(docs, parsed...)
	}
	return docs
}

// leaseHoldTime is how long the lease is held, in real time.
const leaseHoldTime = 12 * time.Second

// leaseCalls counts the holder's calls at regular intervals. Renewal times are
// jittered.
func leaseCalls(ctx context.Context) ([]Point, error) {
	store := standin.New(standin.Options{})
	elector, err := lease.NewElector(store, lease.Options{Name: "controller", Holder: "entry-1"})
	if err != nil {
		return nil, err
	}
	held, err := elector.Acquire(ctx)
	if err != nil {
		return nil, err
	}
	start, initialCalls := time.Now(), callCount(store)
	var points []Point
	tick := time.NewTicker(leaseHoldTime / 4)
	defer tick.Stop()
	for len(points) < 4 {
		select {
		case <-tick.C:
			points = append(points, Point{time.Since(start).Seconds(), callCount(store) - initialCalls})
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return points, held.Release(ctx)
}
