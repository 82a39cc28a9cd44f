package broker

import (
	"testing"
	"time"

	"github.com/lycheekeel/lycheekeel/pool"
	"github.com/lycheekeel/lycheekeel/request"
	. "github.com/smartystreets/goconvey/convey"
)

// workload tracks a set of Acquires: the result of each and the grants held.
type workload struct {
	sim       *simulation
	waiting   []*waiter
	running   []*grant
	endCounts map[*waiter]int
	maxHeld   map[string]int // largest number of grants held at once, by server
}

func newWorkload(sim *simulation) *workload {
	return &workload{sim: sim, endCounts: map[*waiter]int{}, maxHeld: map[string]int{}}
}

// acquire starts count Acquires on a node.
func (work *workload) acquire(n *node, count int) {
	for range count {
		work.waiting = append(work.waiting, n.acquire(1, time.Hour))
		work.sim.advance(25 * time.Millisecond) // no two requests have the same age
	}
	work.collect()
}

// collect collects the results of the Acquires that have ended.
func (work *workload) collect() {
	var still []*waiter
	for _, x := range work.waiting {
		r, ok := poll(x)
		if !ok {
			still = append(still, x)
			continue
		}
		work.endCounts[x]++
		if r.grant != nil {
			work.running = append(work.running, r.grant)
		}
	}
	work.waiting = still
	count := map[string]int{}
	for _, g := range work.running {
		count[g.server.Name]++
		work.maxHeld[g.server.Name] = max(work.maxHeld[g.server.Name], count[g.server.Name])
	}
}

// release releases the oldest grant.
func (work *workload) release() {
	work.running[0].Release(Completion{Outcome: pool.OutcomeDone})
	work.running = work.running[1:]
	work.sim.pump()
	work.collect()
}

// advanceUntil advances the time until done returns true or limit has passed, and
// returns the time advanced.
func (work *workload) advanceUntil(limit time.Duration, done func() bool) time.Duration {
	from := work.sim.now
	for !done() && work.sim.now.Sub(from) < limit {
		work.sim.advance(25 * time.Millisecond)
		work.collect()
	}
	return work.sim.now.Sub(from)
}

// drain releases all grants until no request waits or runs.
func (work *workload) drain() {
	for range 1000 {
		for len(work.running) > 0 {
			work.release()
		}
		if len(work.waiting) == 0 {
			return
		}
		work.sim.advance(50 * time.Millisecond)
		work.collect()
	}
}

func (work *workload) maxOnOneServer() int {
	most := 0
	for _, n := range work.maxHeld {
		most = max(most, n)
	}
	return most
}

// Guards against callers that wait forever, or run twice, after the VM of the pool's owner died.
func TestOwnerDies(t *testing.T) {
	Convey("Given three daemons, a full pool and waiting requests", t, func() {
		sim := newSimulation(2, "a", "b", "c")
		sim.advance(time.Second)
		dying := sim.owner()
		work := newWorkload(sim)
		for _, name := range sim.namesWithout(dying) {
			work.acquire(sim.nodes[name], 5)
		}
		So(len(work.running), ShouldEqual, 4)
		So(len(work.waiting), ShouldEqual, 6)

		sim.kill(dying)
		oldest := work.waiting[0].id()
		work.release()
		So(len(work.running), ShouldEqual, 3)
		survivors := sim.namesWithout(dying)
		took := work.advanceUntil(10*time.Second, func() bool {
			if len(sim.nodes[survivors[0]].view.Load().Members) == 3 && sim.now.Sub(dying.died) >= time.Second {
				sim.setMembers(survivors...)
			}
			return len(work.running) == 4
		})
		So(took, ShouldBeLessThanOrEqualTo, 3*time.Second)
		So(work.running[3].spec.ID, ShouldEqual, oldest) // the oldest request kept its place

		sim.advance(2 * time.Second)
		work.collect()
		So(sim.owner(), ShouldNotEqual, dying)
		So(sim.owner().host.Summaries()[0].Running, ShouldEqual, len(work.running))
		work.drain()
		So(len(work.endCounts), ShouldEqual, 10)
		So(work.maxOnOneServer(), ShouldBeLessThanOrEqualTo, 2)
		So(sim.freeSlots(), ShouldEqual, 4)
	})
}

// Guards against slots that stay taken by requests of a daemon that died, or restarted under its name.
func TestEntryDies(t *testing.T) {
	for name, after := range map[string]func(sim *simulation, dead *node){
		"stays away": func(sim *simulation, dead *node) { sim.setMembers(sim.namesWithout(dead)...) },
		"is back":    func(sim *simulation, dead *node) { sim.add(dead.name).setMembers(sim.names...) },
	} {
		Convey("Given an entry that dies and "+name, t, func() {
			sim := newSimulation(2, "a", "b", "c")
			sim.advance(time.Second)
			dead := sim.nonOwner()
			work := newWorkload(sim)
			work.acquire(dead, 6)
			So(len(work.running), ShouldEqual, 4)
			sim.kill(dead)
			sim.advance(500 * time.Millisecond)
			after(sim, dead)
			from := sim.now
			for sim.owner().host.Summaries()[0].Free < 4 && sim.now.Sub(from) < time.Minute {
				sim.advance(100 * time.Millisecond)
			}
			So(sim.now.Sub(from), ShouldBeLessThanOrEqualTo, 6*time.Second)
			So(sim.owner().host.Summaries()[0].Waiting, ShouldResemble, [request.MaxTiers]int{})
		})
	}
}

// Guards against requests that stall after their owner vanished, while hellos to it time out.
func TestOwnerVanishes(t *testing.T) {
	for name, requests := range map[string]int{"what runs": 2, "what runs and waits": 3} {
		Convey("Given an owner that has not answered for 3.2 s: "+name, t, func() {
			sim := newSimulation(1, "a", "b", "c")
			sim.advance(time.Second)
			gone := sim.owner()
			n := sim.nonOwner()
			for range requests {
				n.acquire(1, time.Hour)
			}
			gone.paused = true
			sim.advance(3200 * time.Millisecond)
			for _, name := range sim.namesWithout(gone) {
				sim.nodes[name].setMembers(sim.namesWithout(gone)...)
			}
			sim.advance(time.Second)
			So(sim.owner().host.Summaries()[0].Running, ShouldEqual, 2)
			So(sim.owner().host.Summaries()[0].Waiting[1], ShouldEqual, requests-2)
		})
	}
}

// Guards against double load on each server when a paused owner resumes beside the new one.
func TestPausedOwnerResumes(t *testing.T) {
	Convey("Given a full pool whose owner is paused and replaced", t, func() {
		sim := newSimulation(2, "a", "b", "c")
		sim.advance(time.Second)
		old := sim.owner()
		work := newWorkload(sim)
		for _, name := range sim.namesWithout(old) {
			work.acquire(sim.nodes[name], 5)
		}
		old.paused = true
		work.release() // the old owner has this release in its receive buffer
		work.advanceUntil(time.Second, func() bool { return false })
		for _, name := range sim.namesWithout(old) {
			sim.nodes[name].setMembers(sim.namesWithout(old)...)
		}
		work.advanceUntil(3*time.Second, func() bool { return len(work.running) == 4 })
		So(len(work.running), ShouldEqual, 4)

		old.resume()
		work.advanceUntil(time.Second, func() bool { return false })
		So(len(work.running), ShouldEqual, 4) // the late grant of the old owner was not used
		sim.setMembers(sim.names...)
		work.advanceUntil(2*time.Second, func() bool { return false })
		So(sim.owner(), ShouldEqual, old)
		So(old.host.Summaries()[0].Running, ShouldEqual, 4)
		work.drain()
		So(len(work.endCounts), ShouldEqual, 10)
		So(work.maxOnOneServer(), ShouldBeLessThanOrEqualTo, 2)
		So(sim.freeSlots(), ShouldEqual, 4)
	})
}

// Guards against half a second without grants while daemons learn one by one that an owner leaves.
func TestOwnerLeavesStepByStep(t *testing.T) {
	Convey("Given a full pool and membership views that change one by one", t, func() {
		sim := newSimulation(2, "a", "b", "c")
		sim.policy = pool.PolicyLycheekeel
		sim.advance(time.Second)
		leaving := sim.owner()
		survivors := sim.namesWithout(leaving)
		work := newWorkload(sim)
		for _, name := range sim.names {
			work.acquire(sim.nodes[name], 6)
		}
		full := len(work.running)
		So(full, ShouldBeGreaterThan, 1)
		for _, n := range []*node{leaving, sim.nodes[survivors[0]], sim.nodes[survivors[1]]} {
			n.setMembers(survivors...)
			sim.advance(200 * time.Millisecond)
			work.collect()
			for range 2 {
				work.release()
				took := work.advanceUntil(time.Second, func() bool { return len(work.running) >= full })
				So(took, ShouldBeLessThanOrEqualTo, 250*time.Millisecond)
			}
		}
		sim.advance(3 * time.Second)
		work.collect()
		So(sim.owner().host.Summaries()[0].Running, ShouldEqual, len(work.running))
		work.drain()
		So(len(work.endCounts), ShouldEqual, 18)
		So(work.maxOnOneServer(), ShouldBeLessThanOrEqualTo, 2)
	})
}

// Guards against requests that expire while servers are free, at an entry that is cut off from the owner.
func TestEntryCutOffFromOwner(t *testing.T) {
	Convey("Given an entry that is cut off from the owner", t, func() {
		sim := newSimulation(4, "a", "b")
		sim.advance(time.Second)
		owner, cut := sim.owner(), sim.nonOwner()
		sim.setCut(owner.name, cut.name, true)
		work := newWorkload(sim)
		work.acquire(cut, 8)
		So(len(work.running), ShouldEqual, 0)
		took := work.advanceUntil(10*time.Second, func() bool { return len(work.running) > 0 })
		So(took, ShouldBeLessThanOrEqualTo, 1600*time.Millisecond)
		work.advanceUntil(20*time.Second, func() bool { return false })
		So(len(work.running), ShouldEqual, 4) // half of the four slots of each of two servers
		So(sim.counter(cut, "degraded_entered"), ShouldEqual, "1")
		work.acquire(owner, 8)
		So(len(work.running), ShouldEqual, 12)
		So(work.maxOnOneServer(), ShouldBeLessThanOrEqualTo, 4+2) // the share is granted beyond the owner's limit

		sim.setCut(owner.name, cut.name, false)
		work.advanceUntil(time.Second, func() bool { return false })
		So(sim.counter(cut, "degraded_left"), ShouldEqual, "1")
		So(owner.host.Summaries()[0].Running, ShouldEqual, 12)
		work.drain()
		So(len(work.endCounts), ShouldEqual, 16)
		So(sim.freeSlots(), ShouldEqual, 8)
	})
}

// Guards against seconds without grants until membership names another owner.
func TestSharesServeUntilNewOwner(t *testing.T) {
	Convey("Given entries that enter degraded mode early, and an owner that loses power", t, func() {
		sim := newSimulation(6, "a", "b", "c")
		sim.degradedAfter = 100 * time.Millisecond
		for _, name := range sim.names {
			sim.add(name)
		}
		sim.setMembers(sim.names...)
		sim.advance(time.Second)
		dead := sim.owner()
		for _, name := range sim.namesWithout(dead) {
			sim.setCut(dead.name, name, true)
			sim.breakConnection(dead.name, name)
		}
		work := newWorkload(sim)
		for _, name := range sim.namesWithout(dead) {
			work.acquire(sim.nodes[name], 4)
		}
		took := work.advanceUntil(time.Second, func() bool { return len(work.running) >= 8 })
		So(took, ShouldBeLessThanOrEqualTo, 300*time.Millisecond)
		So(work.maxOnOneServer(), ShouldBeLessThanOrEqualTo, 6)
		sim.kill(dead)
		sim.setMembers(sim.namesWithout(dead)...)
		work.advanceUntil(time.Second, func() bool { return false })
		So(sim.owner().host.Summaries()[0].Running, ShouldEqual, 8)
		work.drain()
		So(len(work.endCounts), ShouldEqual, 8)
	})
}

// Guards against the last daemon of a region refusing requests that it could still serve.
func TestLastDaemonLeaves(t *testing.T) {
	Convey("Given a single daemon that leaves the membership", t, func() {
		sim := newSimulation(1, "a")
		sim.advance(time.Second)
		n := sim.nodes["a"]
		work := newWorkload(sim)
		work.acquire(n, 3)
		n.setMembers()
		work.advanceUntil(5*time.Second, func() bool { return false })
		work.release()
		So(len(work.running), ShouldEqual, 2)
		So(sim.counter(n, "degraded_entered"), ShouldEqual, "0")
	})
}

// Guards against an entry that reopens its session forever because its requests exceed the send queue.
func TestFullSendQueue(t *testing.T) {
	Convey("Given more waiting requests than a send queue holds", t, func() {
		sim := newSimulation(1, "a", "b")
		sim.advance(time.Second)
		owner, n := sim.owner(), sim.nonOwner()
		work := newWorkload(sim)
		for range 1000 {
			work.waiting = append(work.waiting, n.acquire(1, time.Hour))
		}
		sim.queueLimit = 3
		sim.breakConnection(owner.name, n.name)
		sim.advance(2 * time.Second)
		So(owner.host.Summaries()[0].Waiting[1], ShouldEqual, 998)
		So(sim.counter(n, "sessions_lost"), ShouldEqual, "1")
	})
}

// Guards against a request that waits, or a slot that stays taken, forever after a lost batch.
func TestLostBatch(t *testing.T) {
	Convey("Given an open session", t, func() {
		sim := newSimulation(1, "a", "b")
		sim.advance(time.Second)
		owner, other := sim.owner(), sim.nonOwner()
		work := newWorkload(sim)
		work.acquire(other, 1)
		So(len(work.running), ShouldEqual, 1)

		Convey("a lost enqueue is repeated", func() {
			sim.lossyLinks[[2]string{other.name, owner.name}] = true
			work.acquire(other, 1)
			sim.lossyLinks = map[[2]string]bool{}
			took := work.advanceUntil(5*time.Second, func() bool { return len(work.running) == 2 })
			So(took, ShouldBeLessThanOrEqualTo, time.Second)
			So(sim.counter(other, "sessions_reset"), ShouldEqual, "1")
		})
		Convey("a lost grant is revoked and granted again", func() {
			sim.lossyLinks[[2]string{owner.name, other.name}] = true
			work.acquire(other, 1)
			sim.lossyLinks = map[[2]string]bool{}
			work.advanceUntil(5*time.Second, func() bool { return len(work.running) == 2 })
			So(len(work.running), ShouldEqual, 2)
			So(sim.counter(other, "batch_gaps"), ShouldEqual, "1")
		})
		Convey("a lost release is repeated", func() {
			sim.lossyLinks[[2]string{other.name, owner.name}] = true
			work.running[0].Release(Completion{Outcome: pool.OutcomeCrashed})
			work.running = nil
			sim.pump()
			sim.lossyLinks = map[[2]string]bool{}
			sim.advance(time.Second)
			var outcomes []pool.Outcome
			for _, ev := range sim.events {
				if r, ok := ev.(pool.Release); ok {
					outcomes = append(outcomes, r.Outcome)
				}
			}
			So(outcomes, ShouldResemble, []pool.Outcome{pool.OutcomeCrashed})
		})
		work.drain()
		So(sim.freeSlots(), ShouldEqual, 2)
	})
}

// Guards against a slot that stays taken by a caller that left while its grant was in flight.
func TestWithdrawCrossesGrant(t *testing.T) {
	Convey("Given a grant in flight to a caller that leaves", t, func() {
		sim := newSimulation(1, "a", "b")
		sim.advance(time.Second)
		other := sim.nonOwner()
		x := other.entry.startAcquire(Demand{
			Spec: testSpec("crossing", sim.now), Candidates: candidates(sim),
		})
		sim.deliver() // the enqueue; the grant is in flight now
		x.withdraw()
		sim.pump()
		_, ok := poll(x)
		So(ok, ShouldBeFalse)
		So(sim.counter(other, "late_grants"), ShouldEqual, "1")
		So(sim.freeSlots(), ShouldEqual, 2)
	})
}

// Guards against a slot that stays taken by a caller that left while its request was redirected to another pool.
func TestWithdrawCrossesRedirect(t *testing.T) {
	Convey("Given a request that is withdrawn at the pool to which it is being redirected", t, func() {
		sim := newSimulation(1, "a", "b")
		sim.advance(time.Second)
		n := sim.nonOwner()
		x := newWaiter(Demand{Spec: testSpec("crossing", sim.now), Candidates: candidates(sim)})
		// handleRedirect stores the new link before it posts the request there.
		to := n.entry.link(testPool)
		x.link.Store(to)
		x.withdraw()
		to.box.Post(acquireMessage{x})
		sim.pump()
		_, ok := poll(x)
		So(ok, ShouldBeFalse)
		So(sim.freeSlots(), ShouldEqual, 2)
	})
}

// Guards against two requests in one slot after an owner repeats a grant that was released.
func TestRepeatedGrant(t *testing.T) {
	Convey("Given a grant that the owner will repeat", t, func() {
		sim := newSimulation(1, "a", "b")
		sim.advance(time.Second)
		n := sim.nonOwner()
		d := Demand{Spec: testSpec("again", sim.now), Candidates: candidates(sim)}
		first := n.entry.startAcquire(d)
		sim.deliver() // the enqueue; the grant is in flight now
		first.withdraw()
		second := n.entry.startAcquire(d)
		sim.deliver() // the grant; the withdrawal and the second enqueue are in flight
		r, ok := poll(second)
		So(ok, ShouldBeTrue)
		r.grant.ReturnUnused()
		third := n.entry.startAcquire(d)
		sim.pump()
		again, ok := poll(third)
		So(ok, ShouldBeTrue)
		So(again.grant.id, ShouldNotEqual, r.grant.id)
		So(sim.counter(n, "doubled_grants"), ShouldEqual, "1")
		again.grant.Release(Completion{Outcome: pool.OutcomeDone})
		sim.pump()
		So(sim.freeSlots(), ShouldEqual, 2)
	})
}

func (sim *simulation) counter(n *node, name string) string {
	return n.host.Config().Metrics.Counter("broker", name).String()
}
