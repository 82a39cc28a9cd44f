package broker

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lycheekeel/lycheekeel/internal/peer"
	"github.com/lycheekeel/lycheekeel/internal/peer/peertest"
	"github.com/lycheekeel/lycheekeel/internal/poolhost"
	"github.com/lycheekeel/lycheekeel/member"
	"github.com/lycheekeel/lycheekeel/pool"
	"github.com/lycheekeel/lycheekeel/request"
	"github.com/lycheekeel/lycheekeel/workspace"
	"github.com/sourcegraph/conc"
)

// cluster runs the hosts and brokers of some daemons with their own goroutines, in
// real time and on an in-memory network.
type cluster struct {
	net      *peertest.Network
	snapshot workspace.CurrentSnapshot
	view     member.CurrentView
	entries  map[string]*Entry
	stop     context.CancelFunc
	group    conc.WaitGroup
	requests atomic.Int64
}

func newCluster(slots int, names ...string) *cluster {
	net := peertest.NewNetwork()
	c := startCluster(slots, names, func(name string) peer.Transport { return net.Node(peer.Name(name)) })
	c.net = net
	return c
}

func startCluster(slots int, names []string, transport func(name string) peer.Transport) *cluster {
	c := &cluster{entries: map[string]*Entry{}}
	c.snapshot.Store(testSnapshot(slots, 2))
	var ms []member.Member
	for _, name := range names {
		ms = append(ms, member.Member{Name: name, Region: testRegion})
	}
	c.view.Store(member.NewView("", ms))
	var ctx context.Context
	ctx, c.stop = context.WithCancel(context.Background())
	for _, name := range names {
		h := poolhost.New(poolhost.Config{
			Self: name, Region: testRegion, Snapshot: &c.snapshot, View: &c.view, Transport: transport(name),
			NewScheduler: func(p *workspace.ResolvedPool, epoch uint64) poolhost.Scheduler {
				return pool.New(pool.Config{Name: p.Name, Policy: pool.PolicyFIFO, Epoch: epoch, MaxWaiting: 100000})
			},
		})
		e := New(h)
		c.entries[name] = e
		c.group.Go(func() { h.Run(ctx) })
		c.group.Go(func() { e.Run(ctx) })
	}
	return c
}

func (c *cluster) close() {
	c.stop()
	c.group.Wait()
	if c.net != nil {
		c.net.Close()
	}
}

// owner returns the entry of the pool's owner and another entry.
func (c *cluster) owner() (owner, other *Entry) {
	m, _ := c.view.Load().Owner(testPool, testRegion)
	for name, e := range c.entries {
		if name == m.Name {
			owner = e
		} else {
			other = e
		}
	}
	return owner, other
}

func (c *cluster) demand() Demand {
	s := testSpec(fmt.Sprintf("%024x", c.requests.Add(1)), time.Now())
	s.Tier, s.Targets = 1, request.Targets{FirstToken: time.Minute, Deadline: time.Minute}
	s.Blocks = []uint64{1, 2, 3, 4}
	return Demand{Spec: s, Candidates: []*workspace.ResolvedPool{c.snapshot.Load().Pools[testPool]}}
}

// TestConcurrentAcquires checks that no server ever runs more requests than it has
// slots, with many callers at three daemons and connections that break.
func TestConcurrentAcquires(t *testing.T) {
	const slots, callers, rounds = 4, 60, 20
	c := newCluster(slots, "a", "b", "c")
	defer c.close()
	var running [2]atomic.Int64
	index := map[string]int{"server-0": 0, "server-1": 1}
	var group conc.WaitGroup
	for i := range callers {
		e := c.entries[string("abc"[i%3])]
		group.Go(func() {
			for r := range rounds {
				g, err := e.Acquire(context.Background(), c.demand())
				if err != nil {
					t.Error(err)
					return
				}
				n := &running[index[g.Server().Name]]
				if now := n.Add(1); now > slots {
					t.Errorf("%d requests run on %s", now, g.Server().Name)
				}
				g.Progress(time.Millisecond, 1, 0)
				n.Add(-1)
				g.Release(Completion{Outcome: pool.OutcomeDone})
				if i == 0 && r%5 == 4 {
					c.net.BreakConnection("a", "b")
					c.net.BreakConnection("b", "c")
				}
			}
		})
	}
	group.Wait()
}

// BenchmarkAcquire measures a grant and its release at the owner, and at another
// daemon with 1 and with 64 callers.
func BenchmarkAcquire(b *testing.B) {
	for _, v := range []struct {
		name    string
		remote  bool
		callers int
	}{{"local", false, 1}, {"remote", true, 1}, {"remote64", true, 64}} {
		b.Run(v.name, func(b *testing.B) {
			c := newCluster(1000, "a", "b")
			defer c.close()
			e, other := c.owner()
			if v.remote {
				e = other
			}
			acquire(b, c, e) // opens the session
			before := c.traffic()
			b.ResetTimer()
			var group conc.WaitGroup
			for range v.callers {
				group.Go(func() {
					for range b.N / v.callers {
						acquire(b, c, e)
					}
				})
			}
			group.Wait()
			b.StopTimer()
			n := float64(b.N / v.callers * v.callers)
			after := c.traffic()
			b.ReportMetric(float64(after.MessagesOut-before.MessagesOut)/n, "messages/op")
			b.ReportMetric(float64(after.BytesOut-before.BytesOut)/n, "bytes/op")
		})
	}
}

func acquire(tb testing.TB, c *cluster, e *Entry) {
	g, err := e.Acquire(context.Background(), c.demand())
	if err != nil {
		tb.Error(err)
		return
	}
	g.Release(Completion{Outcome: pool.OutcomeDone, FirstToken: time.Second, Total: 2 * time.Second, OutputTokens: 100, PromptTokens: 256})
}

// traffic returns the total that all daemons have sent.
func (c *cluster) traffic() (sum peertest.Counters) {
	for name := range c.entries {
		n := c.net.Node(peer.Name(name)).Counters()
		sum.MessagesOut += n.MessagesOut
		sum.BytesOut += n.BytesOut
	}
	return sum
}

// BenchmarkAcquireTCP measures a grant at another daemon over TCP on loopback,
// without load.
func BenchmarkAcquireTCP(b *testing.B) {
	transports := map[string]*peer.TCP{}
	for _, name := range []string{"a", "b"} {
		t, err := peer.NewTCP(peer.Options{
			Name: peer.Name(name), Listen: "127.0.0.1:0", Keys: [][]byte{[]byte("0123456789abcdef")},
		})
		if err != nil {
			b.Fatal(err)
		}
		defer t.Close()
		transports[name] = t
	}
	transports["a"].SetAddress("b", transports["b"].Addr().String())
	transports["b"].SetAddress("a", transports["a"].Addr().String())
	c := startCluster(1000, []string{"a", "b"}, func(name string) peer.Transport { return transports[name] })
	defer c.close()
	for _, t := range transports {
		t.Start()
	}
	_, other := c.owner()
	acquire(b, c, other)
	b.ResetTimer()
	for range b.N {
		acquire(b, c, other)
	}
}

// BenchmarkSession measures the heartbeat traffic of an open session without events,
// by the injected clock.
func BenchmarkSession(b *testing.B) {
	for range b.N {
		sim := newSimulation(1, "a", "b")
		sim.nonOwner().acquire(1, time.Hour)
		sim.advance(time.Second)
		messages, bytes := sim.messages, sim.bytes
		sim.advance(10 * time.Second)
		b.ReportMetric(float64(sim.messages-messages)/10, "messages/s")
		b.ReportMetric(float64(sim.bytes-bytes)/10, "bytes/s")
	}
}

// BenchmarkOwnerChange measures the time to move 10,000 waiting requests to a new
// owner, with all steps on one thread.
func BenchmarkOwnerChange(b *testing.B) {
	for range b.N {
		b.StopTimer()
		sim := newSimulation(1, "a", "b", "c")
		sim.advance(time.Second)
		survivors := sim.namesWithout(sim.owner())
		_, n := sim.nextOwner(survivors)
		for range 10000 {
			n.acquire(1, time.Hour)
		}
		sim.kill(sim.owner())
		sim.setMembers(survivors...)
		before := sim.bytes
		b.StartTimer()
		sim.advance(200 * time.Millisecond) // a hello is retried after 100 ms
		b.StopTimer()
		if got := sim.counter(n, "enqueued_again"); got != "9998" {
			b.Fatalf("%s requests moved", got)
		}
		b.ReportMetric(float64(sim.bytes-before), "bytes/op")
		b.StartTimer()
	}
}
