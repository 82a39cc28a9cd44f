package claim_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lycheekeel/lycheekeel/claim"
	standin "github.com/lycheekeel/lycheekeel/internal/standin/objectstore"
	"github.com/lycheekeel/lycheekeel/objectstore"
	"github.com/lycheekeel/lycheekeel/request"
)

const (
	benchDuration = 2 * time.Second
	claimTimeout  = 500 * time.Millisecond
)

// benchStore answers after 3 ms and accepts 300 writes per second.
var benchStore = standin.Faults{SlowMs: 3, WritesPerSecond: 300}

func grouped(shards int) func(objectstore.ObjectAPI) closableLedger {
	return func(api objectstore.ObjectAPI) closableLedger {
		return claim.NewGroupLedger(api, claim.GroupOptions{Shards: shards})
	}
}

// BenchmarkLedgers compares the ledgers to find where group commit is cheaper: claims
// with their outcomes arrive evenly at several entries for two seconds. Run it with
// -benchtime=1x.
func BenchmarkLedgers(b *testing.B) {
	for _, c := range []struct {
		name    string
		entries int
		open    func(objectstore.ObjectAPI) closableLedger
	}{
		{"object/entries=9", 9, ledgers["object"]},
		{"group=1/entries=9", 9, grouped(1)},
		{"group=16/entries=9", 9, grouped(16)},
		{"group=4/entries=1", 1, grouped(4)},
	} {
		for _, rate := range []int{50, 100, 200, 400, 1000} {
			b.Run(fmt.Sprintf("%s/rate=%d", c.name, rate), func(b *testing.B) {
				measure(b, c.entries, rate, c.open)
			})
		}
	}
}

func measure(b *testing.B, entries, rate int, open func(objectstore.ObjectAPI) closableLedger) {
	store := standin.New(standin.Options{})
	store.SetFaults(benchStore)
	var instances []closableLedger
	for range entries {
		instances = append(instances, open(store))
	}
	var mu sync.Mutex
	latency := hdrhistogram.New(1, claimTimeout.Microseconds()*2, 3)
	var held atomic.Int64
	var wg sync.WaitGroup
	arrivals := time.NewTicker(time.Second / time.Duration(rate))
	defer arrivals.Stop()
	n := int(benchDuration.Seconds() * float64(rate))
	for i := range n {
		<-arrivals.C
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
			defer cancel()
			start := time.Now()
			c, err := instances[i%entries].Claim(ctx, key(i), claim.Hash{1}, request.NewID())
			if err != nil {
				return
			}
			mu.Lock()
			_ = latency.RecordValue(time.Since(start).Microseconds())
			mu.Unlock()
			held.Add(1)
			c.Finish(claim.Outcome{State: claim.Ran, Status: 200})
		})
	}
	wg.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), benchDuration)
	defer cancel()
	for _, l := range instances {
		_ = l.Close(ctx)
	}
	calls := store.Calls()
	b.ReportMetric(100*float64(held.Load())/float64(n), "%held")
	b.ReportMetric(float64(calls["create"]+calls["update"])/float64(max(1, held.Load())), "writes/claim")
	b.ReportMetric(float64(calls["get"])/float64(max(1, held.Load())), "reads/claim")
	b.ReportMetric(float64(latency.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(latency.ValueAtQuantile(99))/1000, "p99-ms")
	b.ReportMetric(0, "ns/op")
}
