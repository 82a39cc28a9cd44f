package capacity

import (
	"fmt"
	"time"

	"github.com/lycheekeel/lycheekeel/pool"
	"github.com/lycheekeel/lycheekeel/request"
)

// Names of the pool series.
const (
	seriesDecisionServers = "decision_seconds_by_servers"
	seriesDecisionWaiting = "decision_seconds_by_waiting"
	seriesWaitingHeap     = "pool_heap_by_waiting"
	seriesServerHeap      = "pool_heap_by_servers"
)

// Parameters of the pool measurement.
const (
	rigSlots        = 16
	rigWorkspaces   = 50
	rigTiers        = 4
	rigPromptTokens = 1500
	rigBlocks       = 24 // prompt blocks of 64 tokens
	rigCycles       = 4000
	rigEntry        = pool.EntryID("capacity#1")
	maxRigServers   = 32
	maxRigWaiting   = 10000
	rigDeadline     = time.Hour // nothing expires during the measurement
)

// poolRig drives one pool whose servers are full, so that each grant follows a
// release.
type poolRig struct {
	pool     *pool.Pool
	now      time.Time
	enqueued int
	granted  int
	running  []pool.Grant
	commands []pool.Command
}

// newPoolRig returns a pool of full servers with the given number of waiting requests.
func newPoolRig(servers, waiting int) *poolRig {
	r := &poolRig{
		pool: pool.New(pool.Config{Name: "capacity", Epoch: 1, MaxWaiting: 2 * maxRigWaiting}),
		now:  time.Unix(0, 0),
	}
	r.handle(pool.EntrySet{Entries: []pool.EntryID{rigEntry}})
	r.handle(pool.EntryReported{Entry: rigEntry})
	set := pool.ServerSet{}
	for i := range servers {
		set.Servers = append(set.Servers, pool.ServerInfo{Name: fmt.Sprintf("server-%02d", i), Generation: "g1", Slots: rigSlots})
	}
	r.handle(set)
	for _, s := range set.Servers {
		r.handle(pool.ServerHealth{Server: s.Name, Health: pool.HealthUp, Incarnation: 1})
	}
	for r.enqueued-r.granted < waiting {
		r.enqueue()
	}
	return r
}

// handle passes one event to the pool and records its grants.
func (r *poolRig) handle(ev pool.Event) {
	r.now = r.now.Add(time.Microsecond)
	r.commands = r.pool.Handle(r.now, ev, r.commands[:0])
	for _, c := range r.commands {
		if g, ok := c.(pool.Grant); ok {
			r.granted++
			r.running = append(r.running, g)
		}
	}
}

func (r *poolRig) enqueue() {
	r.handle(rigRequest(r.enqueued))
	r.enqueued++
}

// cycle releases the oldest grant, which lets a waiting request run, and enqueues
// another request.
func (r *poolRig) cycle() {
	g := r.running[0]
	r.running = r.running[1:]
	r.handle(pool.Release{
		Request: g.Request, Entry: rigEntry, Grant: g.Grant, Server: g.Server, Outcome: pool.OutcomeDone,
		FirstToken: 300 * time.Millisecond, Total: 9 * time.Second,
		OutputTokens: 273, PromptTokens: rigPromptTokens, PrefillComputed: rigPromptTokens / 2,
	})
	r.enqueue()
}

// rigRequest returns the n-th request. Half of its blocks are a prefix shared within
// its workspace.
func rigRequest(n int) pool.Enqueue {
	blocks := make([]uint64, rigBlocks)
	for i := range blocks {
		owner := uint64(n)
		if i < rigBlocks/2 {
			owner = uint64(n % rigWorkspaces)
		}
		blocks[i] = owner<<16 | uint64(i)
	}
	return pool.Enqueue{
		Request: request.ID(fmt.Sprintf("%024d", n)), Entry: rigEntry,
		Workspace: fmt.Sprintf("workspace-%d", n%rigWorkspaces), Template: "t", Model: "m",
		Tier: request.Tier(n % rigTiers), FirstTokenIn: rigDeadline, DeadlineIn: rigDeadline,
		PerToken: 62 * time.Millisecond, PromptTokens: rigPromptTokens, MaxTokens: 1024,
		Blocks: blocks, Fingerprint: uint64(n),
	}
}

// decisionCPU returns the CPU seconds of one enqueue-grant-release cycle.
func decisionCPU(servers, waiting int) float64 {
	r := newPoolRig(servers, waiting)
	return cpuPerOp(rigCycles, func() {
		for range rigCycles {
			r.cycle()
		}
	})
}

// measurePool measures the scheduler's CPU time and heap against the numbers of
// servers and of waiting requests.
func measurePool(m *Measurements) {
	var byServers, byWaiting, heapServers, heapWaiting []Point
	for _, n := range []int{4, 8, 16, maxRigServers} {
		byServers = append(byServers, Point{float64(n), decisionCPU(n, 1000)})
		heapServers = append(heapServers, Point{float64(n), retainedHeap(func() any { return newPoolRig(n, 1) })})
	}
	for _, n := range []int{100, 1000, 3000, maxRigWaiting} {
		byWaiting = append(byWaiting, Point{float64(n), decisionCPU(maxRigServers, n)})
		heapWaiting = append(heapWaiting, Point{float64(n), retainedHeap(func() any { return newPoolRig(maxRigServers, n) })})
	}
	m.Add(NewSeries(seriesDecisionServers, "one enqueue-grant-release cycle with 1,000 waiting", "servers", "s", byServers))
	m.Add(NewSeries(seriesDecisionWaiting, "one enqueue-grant-release cycle with 32 servers", "waiting", "s", byWaiting))
	m.Add(NewSeries(seriesServerHeap, "live heap of a pool whose servers are full", "servers", "B", heapServers))
	m.Add(NewSeries(seriesWaitingHeap, "live heap of a pool of 32 servers", "waiting", "B", heapWaiting))
}
