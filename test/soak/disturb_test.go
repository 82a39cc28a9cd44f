package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"
)

// faultRecord collects when each content crashed a server, and when nodes were killed.
type faultRecord struct {
	mu      sync.Mutex
	crashes map[string][]time.Time // by body
	kills   map[*node][]time.Time
}

func (c *faultRecord) addCrash(body string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashes[body] = append(c.crashes[body], time.Now())
}

func (c *faultRecord) addKill(n *node) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.kills[n] = append(c.kills[n], time.Now())
}

func newFaultRecord() *faultRecord {
	return &faultRecord{crashes: map[string][]time.Time{}, kills: map[*node][]time.Time{}}
}

// killedWithin reports whether a node was killed between two times.
func (c *faultRecord) killedWithin(n *node, from, to time.Time) bool {
	return slices.ContainsFunc(c.kills[n], func(kill time.Time) bool { return kill.After(from) && kill.Before(to) })
}

// justStarted reports whether a node was killed, and so started, within crashNotice before.
func (c *faultRecord) justStarted(n *node, at time.Time) bool {
	return slices.ContainsFunc(c.kills[n], func(kill time.Time) bool {
		since := at.Sub(kill)
		return since >= 0 && since < crashNotice
	})
}

// disturbance disturbs a fleet until the context ends.
type disturbance func(context.Context, *fleet, *faultRecord)

func undisturbed(context.Context, *fleet, *faultRecord) {}

// killInTurn kills a random node every one to three seconds and starts it again.
func killInTurn(seed int64) disturbance {
	return func(ctx context.Context, f *fleet, record *faultRecord) {
		r := rand.New(rand.NewPCG(uint64(seed), 2))
		for ctx.Err() == nil {
			sleep(ctx, time.Duration(1000+r.IntN(2000))*time.Millisecond)
			n := f.nodes[r.IntN(len(f.nodes))]
			restart := n.restarter()
			n.kill()
			record.addKill(n)
			restart()
		}
	}
}

// killAllAfter kills all nodes at once, each time another delay has passed, and starts them again.
func killAllAfter(delays ...time.Duration) disturbance {
	return func(ctx context.Context, f *fleet, record *faultRecord) {
		for _, delay := range delays {
			sleep(ctx, delay)
			var killed sync.WaitGroup
			for _, n := range f.nodes {
				killed.Go(n.kill)
			}
			killed.Wait()
			for _, n := range f.nodes {
				record.addKill(n)
				n.restarter()()
			}
		}
	}
}

// eachSeed runs a test for each of the requested seeds.
func eachSeed(t *testing.T, run func(t *testing.T, seed int64)) {
	for i := range *seedCount {
		seed := *firstSeed + int64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { run(t, seed) })
	}
}
