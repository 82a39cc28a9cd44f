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

// withoutNext returns a session's message as a version that does not tell
// when it speaks again would write or read it.
func withoutNext(t peer.Type, payload []byte) []byte {
	switch t {
	case peer.TypePoolEvents:
		if b, err := poolwire.DecodeEvents(payload); err == nil {
			b.Next = 0
			return poolwire.EncodeEvents(b)
		}
	case peer.TypePoolCommands:
		if b, err := poolwire.DecodeCommands(payload, ""); err == nil {
			b.Next = 0
			return poolwire.EncodeCommands(b)
		}
	}
	return payload
}

func manyNames(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("n%02d", i)
	}
	return names
}

// usedBy starts a world of some daemons and pools in which each daemon runs one
// request in each pool, after time for the sessions to become idle.
func usedBy(daemons, pools int, old map[string]bool) (*world, []*grant) {
	w := newWorld(daemons, manyNames(daemons)...)
	w.old = old
	snapshot := testSnapshot(daemons, 1)
	for i := 1; i < pools; i++ {
		p := *snapshot.Pools[testPool]
		p.Name, p.Model = fmt.Sprintf("pool-%02d", i), fmt.Sprintf("model-%02d", i)
		snapshot.Pools[p.Name] = &p
	}
	w.snapshot.Store(snapshot)
	w.advance(time.Second)
	var waiters []*waiter
	for _, name := range w.names {
		for _, p := range snapshot.Pools {
			w.sequence++
			s := testSpec(fmt.Sprintf("r%05d", w.sequence), w.now)
			waiters = append(waiters, w.nodes[name].entry.begin(Demand{Spec: s, Candidates: []*workspace.ResolvedPool{p}}))
			w.pump()
		}
	}
	w.advance(5 * time.Second)
	var running []*grant
	for _, x := range waiters {
		if r, _ := ended(x); r.grant != nil {
			running = append(running, r.grant)
		}
	}
	return w, running
}

// Guards against idle sessions of a large region that take more than all control traffic may.
func TestIdleSessionsCost(t *testing.T) {
	const seconds = 20
	for _, c := range []struct{ daemons, pools, least, most int }{
		{daemons: 9, pools: 4, least: 8*4*4 - 1, most: 8 * 4 * 4},
		{daemons: 65, pools: 29, least: 65 * 2, most: 65 * 8},
	} {
		Convey(fmt.Sprintf("Given %d daemons with %d idle sessions each", c.daemons, c.pools), t, func() {
			w, grants := usedBy(c.daemons, c.pools, nil)
			So(len(grants), ShouldEqual, c.daemons*c.pools)
			w.messages, w.bytes = 0, 0
			w.advance(seconds * time.Second)
			t.Logf("%d daemons, %d pools: each sends %.2f messages and %.0f bytes of payload a second on average",
				c.daemons, c.pools, float64(w.messages)/seconds/float64(c.daemons), float64(w.bytes)/seconds/float64(c.daemons))
			So(w.messages/seconds, ShouldBeBetweenOrEqual, c.least, c.most)
			So(w.lostSessions(), ShouldEqual, 0)
		})
	}
}

// lostSessions counts the sessions that any entry has lost.
func (w *world) lostSessions() (n int64) {
	for _, name := range w.names {
		n += w.nodes[name].entry.count.lost.Value()
	}
	return n
}

// Guards against a caller that waits for as long as an idle session may be silent.
func TestRequestOnIdleSession(t *testing.T) {
	Convey("Given an owner that vanishes while its sessions are idle for long", t, func() {
		w, grants := usedBy(40, 1, nil)
		gone, n := w.owner(), w.other()
		So(n.entry.link(testPool).session.next, ShouldBeGreaterThan, 5*time.Second)
		gone.frozen = true
		w.advance(3 * time.Second)
		So(w.lostSessions(), ShouldEqual, 0)
		took := func(lost int64) time.Duration {
			return newLoad(w).advanceUntil(time.Minute, func() bool { return w.lostSessions() >= lost })
		}

		Convey("the entry of a request that comes notices it soon", func() {
			n.begin(1, time.Hour)
			So(took(1), ShouldBeLessThanOrEqualTo, poolhost.SilentAfter+2*poolhost.TickEvery)
		})
		Convey("so does the entry of a request that ends", func() {
			for _, g := range grants {
				if g.link.entry == n.entry {
					g.Release(End{})
				}
			}
			So(took(1), ShouldBeLessThanOrEqualTo, poolhost.SilentAfter+2*poolhost.TickEvery)
		})
		Convey("the others notice it when the announced time has passed", func() {
			So(took(39), ShouldBeLessThan, poolhost.HeartbeatInterval(40))
		})
	})
}

// Guards against slots of a vanished entry that stay taken for longer the larger a region is.
func TestVanishedEntryOnIdleSession(t *testing.T) {
	Convey("Given an entry that vanishes while its session is idle for long", t, func() {
		w := newWorldOf(1, func(int) time.Duration { return poolhost.MaxHeartbeat }, "a", "b")
		w.advance(time.Second)
		n := w.other()
		n.begin(1, time.Hour)
		w.advance(5 * time.Second)
		So(w.owner().host.Summaries()[0].Running, ShouldEqual, 1)
		So(n.entry.link(testPool).session.promised, ShouldEqual, poolhost.MaxHeartbeat)
		owner := w.owner()
		n.frozen = true
		w.advance(40 * time.Second)
		So(owner.host.Summaries()[0].Running, ShouldEqual, 0)
	})
}

// Guards against stragglers found out late, since progress waits for rare heartbeats.
func TestProgressOnIdleSession(t *testing.T) {
	Convey("Given a session that is idle for long", t, func() {
		w, grants := usedBy(2, 29, nil)
		So(grants[0].link.session.promised, ShouldBeGreaterThan, 5*time.Second)
		for i := range 4 {
			grants[0].Progress(time.Second, i+1, time.Millisecond)
			w.advance(poolhost.HeartbeatEvery + poolhost.TickEvery)
			So(len(w.progress()), ShouldEqual, i+1)
		}
	})
}

// Guards against sessions that break while daemons of two versions differ in when the next word comes.
func TestMixedVersionsOfSessions(t *testing.T) {
	for _, oldOwner := range []bool{false, true} {
		Convey(fmt.Sprintf("Given a region of two versions, the owner of the old one: %t", oldOwner), t, func() {
			names := manyNames(30)
			old := map[string]bool{}
			for i, name := range names {
				old[name] = i%2 == 0
			}
			old[newWorld(1, names...).owner().name] = oldOwner
			w, grants := usedBy(30, 1, old)
			So(len(grants), ShouldEqual, 30)
			w.advance(time.Minute)
			So(w.lostSessions(), ShouldEqual, 0)
			for _, name := range w.names {
				So(w.nodes[name].entry.link(testPool).session.open(), ShouldBeTrue)
			}
		})
	}
}
