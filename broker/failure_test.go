package broker

import (
	"testing"
	"time"

	"github.com/lycheekeel/lycheekeel/pool"
	"github.com/lycheekeel/lycheekeel/request"
	. "github.com/smartystreets/goconvey/convey"
)

// load is a set of Acquires under watch: what each got, and what runs where.
type load struct {
	w       *world
	waiting []*waiter
	running []*grant
	ended   map[*waiter]int
	most    map[string]int // the most grants held at once, by server
}

func newLoad(w *world) *load {
	return &load{w: w, ended: map[*waiter]int{}, most: map[string]int{}}
}

// begin starts n Acquires on a node.
func (l *load) begin(n *node, count int) {
	for range count {
		l.waiting = append(l.waiting, n.begin(1, time.Hour))
		l.w.advance(25 * time.Millisecond) // no two are of one age
	}
	l.collect()
}

// collect takes what has ended.
func (l *load) collect() {
	var still []*waiter
	for _, x := range l.waiting {
		r, ok := ended(x)
		if !ok {
			still = append(still, x)
			continue
		}
		l.ended[x]++
		if r.grant != nil {
			l.running = append(l.running, r.grant)
		}
	}
	l.waiting = still
	count := map[string]int{}
	for _, g := range l.running {
		count[g.server.Name]++
		l.most[g.server.Name] = max(l.most[g.server.Name], count[g.server.Name])
	}
}

// release ends the oldest running request.
func (l *load) release() {
	l.running[0].Release(End{Outcome: pool.OutcomeDone})
	l.running = l.running[1:]
	l.w.pump()
	l.collect()
}

// advanceUntil lets time pass until done, and returns how long that took; it
// gives up after the limit.
func (l *load) advanceUntil(limit time.Duration, done func() bool) time.Duration {
	from := l.w.now
	for !done() && l.w.now.Sub(from) < limit {
		l.w.advance(25 * time.Millisecond)
		l.collect()
	}
	return l.w.now.Sub(from)
}

// drain releases everything until nothing waits or runs.
func (l *load) drain() {
	for range 1000 {
		for len(l.running) > 0 {
			l.release()
		}
		if len(l.waiting) == 0 {
			return
		}
		l.w.advance(50 * time.Millisecond)
		l.collect()
	}
}

func (l *load) mostOnOne() int {
	most := 0
	for _, n := range l.most {
		most = max(most, n)
	}
	return most
}

// Guards against callers that wait for good, or run twice, after the VM of the pool's owner died.
func TestOwnerDies(t *testing.T) {
	Convey("Given three daemons, a full pool and waiting requests", t, func() {
		w := newWorld(2, "a", "b", "c")
		w.advance(time.Second)
		dying := w.owner()
		l := newLoad(w)
		for _, name := range w.without(dying) {
			l.begin(w.nodes[name], 5)
		}
		So(len(l.running), ShouldEqual, 4)
		So(len(l.waiting), ShouldEqual, 6)

		w.kill(dying)
		oldest := l.waiting[0].id()
		l.release()
		So(len(l.running), ShouldEqual, 3)
		left := w.without(dying)
		took := l.advanceUntil(10*time.Second, func() bool {
			if len(w.nodes[left[0]].views.Load().Members) == 3 && w.now.Sub(dying.died) >= time.Second {
				w.setMembers(left...)
			}
			return len(l.running) == 4
		})
		So(took, ShouldBeLessThanOrEqualTo, 3*time.Second)
		So(l.running[3].spec.ID, ShouldEqual, oldest) // it kept its place

		w.advance(2 * time.Second)
		l.collect()
		So(w.owner(), ShouldNotEqual, dying)
		So(w.owner().host.Summaries()[0].Running, ShouldEqual, len(l.running))
		l.drain()
		So(len(l.ended), ShouldEqual, 10)
		So(l.mostOnOne(), ShouldBeLessThanOrEqualTo, 2)
		So(w.free(), ShouldEqual, 4)
	})
}

// Guards against slots that stay taken by requests of a daemon that is gone, or back under its name.
func TestEntryDies(t *testing.T) {
	for name, after := range map[string]func(w *world, dead *node){
		"stays away": func(w *world, dead *node) { w.setMembers(w.without(dead)...) },
		"is back":    func(w *world, dead *node) { w.add(dead.name).setMembers(w.names...) },
	} {
		Convey("Given an entry that dies and "+name, t, func() {
			w := newWorld(2, "a", "b", "c")
			w.advance(time.Second)
			dead := w.other()
			l := newLoad(w)
			l.begin(dead, 6)
			So(len(l.running), ShouldEqual, 4)
			w.kill(dead)
			w.advance(500 * time.Millisecond)
			after(w, dead)
			from := w.now
			for w.owner().host.Summaries()[0].Free < 4 && w.now.Sub(from) < time.Minute {
				w.advance(100 * time.Millisecond)
			}
			So(w.now.Sub(from), ShouldBeLessThanOrEqualTo, 6*time.Second)
			So(w.owner().host.Summaries()[0].Waiting, ShouldResemble, [request.MaxTiers]int{})
		})
	}
}

// Guards against requests that stand still after an owner vanished, since hellos to it are awaited.
func TestOwnerVanishes(t *testing.T) {
	for name, requests := range map[string]int{"what runs": 2, "what runs and waits": 3} {
		Convey("Given an owner that has not answered for 3.2 s: "+name, t, func() {
			w := newWorld(1, "a", "b", "c")
			w.advance(time.Second)
			gone := w.owner()
			n := w.other()
			for range requests {
				n.begin(1, time.Hour)
			}
			gone.frozen = true
			w.advance(3200 * time.Millisecond)
			for _, name := range w.without(gone) {
				w.nodes[name].setMembers(w.without(gone)...)
			}
			w.advance(time.Second)
			So(w.owner().host.Summaries()[0].Running, ShouldEqual, 2)
			So(w.owner().host.Summaries()[0].Waiting[1], ShouldEqual, requests-2)
		})
	}
}

// Guards against twice the load on each server while a paused owner is back beside the new one.
func TestOwnerPausedAndBack(t *testing.T) {
	Convey("Given a full pool whose owner is paused and replaced", t, func() {
		w := newWorld(2, "a", "b", "c")
		w.advance(time.Second)
		old := w.owner()
		l := newLoad(w)
		for _, name := range w.without(old) {
			l.begin(w.nodes[name], 5)
		}
		old.frozen = true
		l.release() // the old owner has this release in its buffers
		l.advanceUntil(time.Second, func() bool { return false })
		for _, name := range w.without(old) {
			w.nodes[name].setMembers(w.without(old)...)
		}
		l.advanceUntil(3*time.Second, func() bool { return len(l.running) == 4 })
		So(len(l.running), ShouldEqual, 4)

		old.thaw()
		l.advanceUntil(time.Second, func() bool { return false })
		So(len(l.running), ShouldEqual, 4) // its late grant was not used
		w.setMembers(w.names...)
		l.advanceUntil(2*time.Second, func() bool { return false })
		So(w.owner(), ShouldEqual, old)
		So(old.host.Summaries()[0].Running, ShouldEqual, 4)
		l.drain()
		So(len(l.ended), ShouldEqual, 10)
		So(l.mostOnOne(), ShouldBeLessThanOrEqualTo, 2)
		So(w.free(), ShouldEqual, 4)
	})
}

// Guards against half a second without slots while daemons hear one after the other that an owner leaves.
func TestOwnerLeavesStepByStep(t *testing.T) {
	Convey("Given a full pool and views that change one by one", t, func() {
		w := newWorld(2, "a", "b", "c")
		w.policy = pool.PolicyLycheekeel
		w.advance(time.Second)
		leaving := w.owner()
		left := w.without(leaving)
		l := newLoad(w)
		for _, name := range w.names {
			l.begin(w.nodes[name], 6)
		}
		full := len(l.running)
		So(full, ShouldBeGreaterThan, 1)
		for _, n := range []*node{leaving, w.nodes[left[0]], w.nodes[left[1]]} {
			n.setMembers(left...)
			w.advance(200 * time.Millisecond)
			l.collect()
			for range 2 {
				l.release()
				took := l.advanceUntil(time.Second, func() bool { return len(l.running) >= full })
				So(took, ShouldBeLessThanOrEqualTo, 250*time.Millisecond)
			}
		}
		w.advance(3 * time.Second)
		l.collect()
		So(w.owner().host.Summaries()[0].Running, ShouldEqual, len(l.running))
		l.drain()
		So(len(l.ended), ShouldEqual, 18)
		So(l.mostOnOne(), ShouldBeLessThanOrEqualTo, 2)
	})
}

// Guards against requests that expire beside free servers while one entry is cut off from the owner.
func TestCutLinkToOwner(t *testing.T) {
	Convey("Given an entry that is cut off from the owner", t, func() {
		w := newWorld(4, "a", "b")
		w.advance(time.Second)
		owner, cut := w.owner(), w.other()
		w.setCut(owner.name, cut.name, true)
		l := newLoad(w)
		l.begin(cut, 8)
		So(len(l.running), ShouldEqual, 0)
		took := l.advanceUntil(10*time.Second, func() bool { return len(l.running) > 0 })
		So(took, ShouldBeLessThanOrEqualTo, 1600*time.Millisecond)
		l.advanceUntil(20*time.Second, func() bool { return false })
		So(len(l.running), ShouldEqual, 4) // half of two servers' four slots each
		So(w.entryCount(cut, "degraded_entered"), ShouldEqual, "1")
		l.begin(owner, 8)
		So(len(l.running), ShouldEqual, 12)
		So(l.mostOnOne(), ShouldBeLessThanOrEqualTo, 4+2) // the share is the overshoot

		w.setCut(owner.name, cut.name, false)
		l.advanceUntil(time.Second, func() bool { return false })
		So(w.entryCount(cut, "degraded_left"), ShouldEqual, "1")
		So(owner.host.Summaries()[0].Running, ShouldEqual, 12)
		l.drain()
		So(len(l.ended), ShouldEqual, 16)
		So(w.free(), ShouldEqual, 8)
	})
}

// Guards against seconds without service until membership names another owner.
func TestSharesServeUntilAnotherOwnerIsNamed(t *testing.T) {
	Convey("Given entries that use their shares early, and an owner without power", t, func() {
		w := newWorld(6, "a", "b", "c")
		w.degradedAfter = 100 * time.Millisecond
		for _, name := range w.names {
			w.add(name)
		}
		w.setMembers(w.names...)
		w.advance(time.Second)
		dead := w.owner()
		for _, name := range w.without(dead) {
			w.setCut(dead.name, name, true)
			w.breakLink(dead.name, name)
		}
		l := newLoad(w)
		for _, name := range w.without(dead) {
			l.begin(w.nodes[name], 4)
		}
		took := l.advanceUntil(time.Second, func() bool { return len(l.running) >= 8 })
		So(took, ShouldBeLessThanOrEqualTo, 300*time.Millisecond)
		So(l.mostOnOne(), ShouldBeLessThanOrEqualTo, 6)
		w.kill(dead)
		w.setMembers(w.without(dead)...)
		l.advanceUntil(time.Second, func() bool { return false })
		So(w.owner().host.Summaries()[0].Running, ShouldEqual, 8)
		l.drain()
		So(len(l.ended), ShouldEqual, 8)
	})
}

// Guards against the last daemon of a region that refuses what it could still serve.
func TestLastOneLeaves(t *testing.T) {
	Convey("Given a daemon alone that leaves", t, func() {
		w := newWorld(1, "a")
		w.advance(time.Second)
		n := w.nodes["a"]
		l := newLoad(w)
		l.begin(n, 3)
		n.setMembers()
		l.advanceUntil(5*time.Second, func() bool { return false })
		l.release()
		So(len(l.running), ShouldEqual, 2)
		So(w.entryCount(n, "degraded_entered"), ShouldEqual, "0")
	})
}

// Guards against an entry whose session begins anew for good, since more waits than the send queue holds.
func TestFullSendQueue(t *testing.T) {
	Convey("Given more waiting requests than fit a send queue", t, func() {
		w := newWorld(1, "a", "b")
		w.advance(time.Second)
		owner, n := w.owner(), w.other()
		l := newLoad(w)
		for range 1000 {
			l.waiting = append(l.waiting, n.begin(1, time.Hour))
		}
		w.limit = 3
		w.breakLink(owner.name, n.name)
		w.advance(2 * time.Second)
		So(owner.host.Summaries()[0].Waiting[1], ShouldEqual, 998)
		So(w.entryCount(n, "sessions_lost"), ShouldEqual, "1")
	})
}

// Guards against a request that waits, or a slot that stays taken, for good after a lost batch.
func TestLostBatch(t *testing.T) {
	Convey("Given an open session", t, func() {
		w := newWorld(1, "a", "b")
		w.advance(time.Second)
		owner, other := w.owner(), w.other()
		l := newLoad(w)
		l.begin(other, 1)
		So(len(l.running), ShouldEqual, 1)

		Convey("a lost enqueue is made again", func() {
			w.lose[[2]string{other.name, owner.name}] = true
			l.begin(other, 1)
			w.lose = map[[2]string]bool{}
			took := l.advanceUntil(5*time.Second, func() bool { return len(l.running) == 2 })
			So(took, ShouldBeLessThanOrEqualTo, time.Second)
			So(w.entryCount(other, "sessions_reset"), ShouldEqual, "1")
		})
		Convey("a lost grant is taken back and given again", func() {
			w.lose[[2]string{owner.name, other.name}] = true
			l.begin(other, 1)
			w.lose = map[[2]string]bool{}
			l.advanceUntil(5*time.Second, func() bool { return len(l.running) == 2 })
			So(len(l.running), ShouldEqual, 2)
			So(w.entryCount(other, "batch_gaps"), ShouldEqual, "1")
		})
		Convey("a lost release is made again", func() {
			w.lose[[2]string{other.name, owner.name}] = true
			l.running[0].Release(End{Outcome: pool.OutcomeCrashed})
			l.running = nil
			w.pump()
			w.lose = map[[2]string]bool{}
			w.advance(time.Second)
			var outcomes []pool.Outcome
			for _, ev := range w.events {
				if r, ok := ev.(pool.Release); ok {
					outcomes = append(outcomes, r.Outcome)
				}
			}
			So(outcomes, ShouldResemble, []pool.Outcome{pool.OutcomeCrashed})
		})
		l.drain()
		So(w.free(), ShouldEqual, 2)
	})
}

// Guards against a slot that stays taken by a caller that left while its grant was on its way.
func TestWithdrawCrossesGrant(t *testing.T) {
	Convey("Given a grant under way to a caller that leaves", t, func() {
		w := newWorld(1, "a", "b")
		w.advance(time.Second)
		other := w.other()
		x := other.entry.begin(Demand{
			Spec: testSpec("crossing", w.now), Candidates: candidates(w),
		})
		w.deliver() // the enqueue; the grant is under way now
		x.withdraw()
		w.pump()
		_, ok := ended(x)
		So(ok, ShouldBeFalse)
		So(w.entryCount(other, "late_grants"), ShouldEqual, "1")
		So(w.free(), ShouldEqual, 2)
	})
}

// Guards against two requests in one slot after a repeated grant that was released before.
func TestRepeatedGrant(t *testing.T) {
	Convey("Given a grant that the owner will repeat", t, func() {
		w := newWorld(1, "a", "b")
		w.advance(time.Second)
		n := w.other()
		d := Demand{Spec: testSpec("again", w.now), Candidates: candidates(w)}
		first := n.entry.begin(d)
		w.deliver() // the enqueue; the grant is under way now
		first.withdraw()
		second := n.entry.begin(d)
		w.deliver() // the grant; withdrawal and second enqueue are under way
		r, ok := ended(second)
		So(ok, ShouldBeTrue)
		r.grant.Return()
		third := n.entry.begin(d)
		w.pump()
		again, ok := ended(third)
		So(ok, ShouldBeTrue)
		So(again.grant.id, ShouldNotEqual, r.grant.id)
		So(w.entryCount(n, "doubled_grants"), ShouldEqual, "1")
		again.grant.Release(End{Outcome: pool.OutcomeDone})
		w.pump()
		So(w.free(), ShouldEqual, 2)
	})
}

func (w *world) entryCount(n *node, name string) string {
	return n.host.Config().Metrics.Counter("broker", name).String()
}
