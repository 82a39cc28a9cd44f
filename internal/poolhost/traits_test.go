package poolhost

import (
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/internal/logs"
	"github.com/lycheekeel/lycheekeel/pool"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// Guards against a change of configuration that never reaches a running pool or static
// share, and against a message and a log line at each tick.
func TestTraitsReachRunningPools(t *testing.T) {
	Convey("Given pools whose service has no traits", t, func() {
		b := newHarness("p", "q")
		traits := map[string]pool.Traits{}
		b.host.cfg.Traits = func(p *workspace.ResolvedPool) pool.Traits { return traits[p.Name] }
		logger := logs.For("poolhost").Logger
		hooks := logger.ReplaceHooks(logrus.LevelHooks{})
		Reset(func() { logger.ReplaceHooks(hooks) })
		lines := logtest.NewLocal(logger)
		logged := func(name string, share bool) (n int) {
			for _, l := range lines.AllEntries() {
				if l.Message == "Pool's traits changed." && l.Data["pool"] == name && l.Data["share"] == share {
					n++
				}
			}
			return n
		}
		b.advance(time.Second)
		So(eventsOf[pool.TraitsSet](b, "p"), ShouldBeEmpty)
		So(logged("p", false), ShouldEqual, 0)

		Convey("each change is passed on once, before the next tick, to the pool concerned", func() {
			on := pool.Traits{FinishInTime: true, PauseTarget: time.Second}
			traits["p"] = on
			before := len(b.events["p"])
			b.advance(TickInterval)
			So(b.events["p"][before], ShouldResemble, pool.TraitsSet{Traits: on})
			b.advance(time.Second)
			So(eventsOf[pool.TraitsSet](b, "p"), ShouldResemble, []pool.TraitsSet{{Traits: on}})
			So(logged("p", false), ShouldEqual, 1)
			delete(traits, "p")
			b.advance(time.Second)
			So(eventsOf[pool.TraitsSet](b, "p"), ShouldResemble, []pool.TraitsSet{{Traits: on}, {}})
			So(logged("p", false), ShouldEqual, 2)
			So(eventsOf[pool.TraitsSet](b, "q"), ShouldBeEmpty)
			So(b.host.count.traitChanges.Value(), ShouldEqual, 2)
		})
		Convey("a pool that was given up gets changes as long as it drains", func() {
			b.configure(false, "q")
			r := b.host.Owned("p")
			r.openSessions.Store(1)
			traits["p"] = pool.Traits{PreferZone: true}
			b.host.Tick()
			So(b.host.Owned("p"), ShouldBeNil)
			So(eventsOf[pool.TraitsSet](b, "p"), ShouldResemble, []pool.TraitsSet{{Traits: traits["p"]}})
		})
		Convey("a static share gets them at its start, and later changes", func() {
			traits["p"] = pool.Traits{FinishInTime: true}
			var started []pool.Traits
			b.host.cfg.NewScheduler = func(p *workspace.ResolvedPool, epoch uint64) Scheduler {
				started = append(started, b.host.cfg.Traits(p))
				return pool.New(pool.Config{Name: p.Name, Epoch: epoch, DefaultSlots: defaultSlots, Traits: b.host.cfg.Traits(p)})
			}
			share := b.host.OpenStaticShare(b.host.cfg.Snapshot.Load().Pools["p"])
			defer share.Close()
			So(started, ShouldResemble, []pool.Traits{{FinishInTime: true}})
			So(logged("p", true), ShouldEqual, 1)
			b.advance(time.Second) // the owned pool learns of the change now
			So(len(eventsOf[pool.TraitsSet](b, "p")), ShouldEqual, 1)
			traits["p"] = pool.Traits{FinishInTime: true, Overlap: true}
			b.advance(time.Second)
			So(len(eventsOf[pool.TraitsSet](b, "p")), ShouldEqual, 3) // the owned pool's and the share's
			So(logged("p", true), ShouldEqual, 2)
		})
	})
}

// Guards against a new owner that schedules without traits until they change.
func TestNewPoolHasTraits(t *testing.T) {
	Convey("The default scheduler of a pool is created with its traits", t, func() {
		var asked []string
		c := Config{Traits: func(p *workspace.ResolvedPool) pool.Traits {
			asked = append(asked, p.Model)
			return pool.Traits{FinishInTime: true}
		}}.withDefaults()
		c.NewScheduler(&workspace.ResolvedPool{Pool: workspace.Pool{Name: "m@2#1", Model: "m"}}, 1)
		So(asked, ShouldResemble, []string{"m"})
	})
}

// Guards against a change of traits that is lost because it happens while a pool starts.
func TestTraitsThatChangeWhileAPoolStarts(t *testing.T) {
	Convey("Traits that change after the scheduler was created are posted at the first tick", t, func() {
		b := newHarness()
		current := pool.Traits{}
		b.host.cfg.Traits = func(*workspace.ResolvedPool) pool.Traits { return current }
		b.host.cfg.NewScheduler = func(p *workspace.ResolvedPool, epoch uint64) Scheduler {
			defer func() { current = pool.Traits{FinishInTime: true} }()
			return pool.New(pool.Config{Name: p.Name, Epoch: epoch, DefaultSlots: defaultSlots, Traits: current})
		}
		b.configure(false, "p")
		b.advance(time.Second)
		So(eventsOf[pool.TraitsSet](b, "p"), ShouldResemble, []pool.TraitsSet{{Traits: current}})
	})
}
