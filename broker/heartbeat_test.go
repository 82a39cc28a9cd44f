package broker

import (
	"fmt"
	"testing"
	"time"

	"github.com/lycheekeel/lycheekeel/internal/peer"
	"github.com/lycheekeel/lycheekeel/internal/poolhost"
	"github.com/lycheekeel/lycheekeel/internal/poolwire"
	"github.com/lycheekeel/lycheekeel/workspace"
	. "github.com/smartystreets/goconvey/convey"
)

// stripNext returns a session's message as written or read by a version that does
// not announce its next message.
func stripNext(t peer.Type, payload []byte) []byte {
	switch t {
	case peer.TypePoolEvents:
		if b, err := poolwire.DecodeEvents(payload); err == nil {
			b.NextWithin = 0
			return poolwire.EncodeEvents(b)
		}
	case peer.TypePoolCommands:
		if b, err := poolwire.DecodeCommands(payload, ""); err == nil {
			b.NextWithin = 0
			return poolwire.EncodeCommands(b)
		}
	}
	return payload
}

func nodeNames(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("n%02d", i)
	}
	return names
}

// newIdleRegion simulates daemons that each run one request in each pool, after the
// time for their sessions to become idle.
func newIdleRegion(daemons, pools int, old map[string]bool) (*simulation, []*grant) {
	sim := newSimulation(daemons, nodeNames(daemons)...)
	sim.oldVersion = old
	snapshot := testSnapshot(daemons, 1)
	for i := 1; i < pools; i++ {
		p := *snapshot.Pools[testPool]
		p.Name, p.Model = fmt.Sprintf("pool-%02d", i), fmt.Sprintf("model-%02d", i)
		snapshot.Pools[p.Name] = &p
	}
	sim.snapshot.Store(snapshot)
	sim.advance(time.Second)
	var waiters []*waiter
	for _, name := range sim.names {
		for _, p := range snapshot.Pools {
			sim.lastID++
			s := testSpec(fmt.Sprintf("r%05d", sim.lastID), sim.now)
			waiters = append(waiters, sim.nodes[name].entry.startAcquire(Demand{Spec: s, Candidates: []*workspace.ResolvedPool{p}}))
			sim.pump()
		}
	}
	sim.advance(5 * time.Second)
	var running []*grant
	for _, x := range waiters {
		if r, _ := poll(x); r.grant != nil {
			running = append(running, r.grant)
		}
	}
	return sim, running
}

// Guards against idle sessions of a large region exceeding the budget of all control traffic.
func TestIdleSessionTraffic(t *testing.T) {
	const seconds = 20
	for _, c := range []struct{ daemons, pools, least, most int }{
		{daemons: 9, pools: 4, least: 8*4*4 - 1, most: 8 * 4 * 4},
		{daemons: 65, pools: 29, least: 65 * 2, most: 65 * 8},
	} {
		Convey(fmt.Sprintf("Given %d daemons with %d idle sessions each", c.daemons, c.pools), t, func() {
			sim, grants := newIdleRegion(c.daemons, c.pools, nil)
			So(len(grants), ShouldEqual, c.daemons*c.pools)
			sim.messages, sim.bytes = 0, 0
			sim.advance(seconds * time.Second)
			t.Logf("%d daemons, %d pools: each sends %.2f messages and %.0f bytes of payload per second on average",
				c.daemons, c.pools, float64(sim.messages)/seconds/float64(c.daemons), float64(sim.bytes)/seconds/float64(c.daemons))
			So(sim.messages/seconds, ShouldBeBetweenOrEqual, c.least, c.most)
			So(sim.lostSessions(), ShouldEqual, 0)
		})
	}
}

// lostSessions returns the number of sessions lost by all entries.
func (sim *simulation) lostSessions() (n int64) {
	for _, name := range sim.names {
		n += sim.nodes[name].entry.counters.sessionsLost.Value()
	}
	return n
}

// Guards against a caller that waits as long as the heartbeat interval of an idle session.
func TestRequestOnIdleSession(t *testing.T) {
	Convey("Given an owner that vanishes while its sessions have long heartbeat intervals", t, func() {
		sim, grants := newIdleRegion(40, 1, nil)
		gone, n := sim.owner(), sim.nonOwner()
		So(n.entry.link(testPool).session.ownerInterval, ShouldBeGreaterThan, 5*time.Second)
		gone.paused = true
		sim.advance(3 * time.Second)
		So(sim.lostSessions(), ShouldEqual, 0)
		took := func(lost int64) time.Duration {
			return newWorkload(sim).advanceUntil(time.Minute, func() bool { return sim.lostSessions() >= lost })
		}

		Convey("the entry of a new request notices it soon", func() {
			n.acquire(1, time.Hour)
			So(took(1), ShouldBeLessThanOrEqualTo, poolhost.SilenceTimeout+2*poolhost.TickInterval)
		})
		Convey("so does the entry of a request that ends", func() {
			for _, g := range grants {
				if g.link.entry == n.entry {
					g.Release(Completion{})
				}
			}
			So(took(1), ShouldBeLessThanOrEqualTo, poolhost.SilenceTimeout+2*poolhost.TickInterval)
		})
		Convey("the other entries notice it after the announced interval", func() {
			So(took(39), ShouldBeLessThan, poolhost.HeartbeatInterval(40))
		})
	})
}

// Guards against slots of a vanished entry that stay taken longer in a larger region.
func TestVanishedEntryOnIdleSession(t *testing.T) {
	Convey("Given an entry that vanishes while its session has a long heartbeat interval", t, func() {
		sim := newSimulationWithHeartbeat(1, func(int) time.Duration { return poolhost.MaxHeartbeatInterval }, "a", "b")
		sim.advance(time.Second)
		n := sim.nonOwner()
		n.acquire(1, time.Hour)
		sim.advance(5 * time.Second)
		So(sim.owner().host.Summaries()[0].Running, ShouldEqual, 1)
		So(n.entry.link(testPool).session.announcedInterval, ShouldEqual, poolhost.MaxHeartbeatInterval)
		owner := sim.owner()
		n.paused = true
		sim.advance(40 * time.Second)
		So(owner.host.Summaries()[0].Running, ShouldEqual, 0)
	})
}

// Guards against stragglers detected late because progress waits for rare heartbeats.
func TestProgressOnIdleSession(t *testing.T) {
	Convey("Given a session with a long heartbeat interval", t, func() {
		sim, grants := newIdleRegion(2, 29, nil)
		So(grants[0].link.session.announcedInterval, ShouldBeGreaterThan, 5*time.Second)
		for i := range 4 {
			grants[0].Progress(time.Second, i+1, time.Millisecond)
			sim.advance(poolhost.MinHeartbeatInterval + poolhost.TickInterval)
			So(len(sim.progressReports()), ShouldEqual, i+1)
		}
	})
}

// Guards against sessions that break between versions which differ in announcing heartbeat intervals.
func TestSessionsAcrossVersions(t *testing.T) {
	for _, oldOwner := range []bool{false, true} {
		Convey(fmt.Sprintf("Given a region of two versions, with an owner of the old version: %t", oldOwner), t, func() {
			names := nodeNames(30)
			old := map[string]bool{}
			for i, name := range names {
				old[name] = i%2 == 0
			}
			old[newSimulation(1, names...).owner().name] = oldOwner
			sim, grants := newIdleRegion(30, 1, old)
			So(len(grants), ShouldEqual, 30)
			sim.advance(time.Minute)
			So(sim.lostSessions(), ShouldEqual, 0)
			for _, name := range sim.names {
				So(sim.nodes[name].entry.link(testPool).session.open(), ShouldBeTrue)
			}
		})
	}
}
