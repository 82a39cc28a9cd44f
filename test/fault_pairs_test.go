package test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"

	"github.com/lycheekeel/lycheekeel/internal/faultproxy"
	standin "github.com/lycheekeel/lycheekeel/internal/standin/objectstore"
	service "github.com/lycheekeel/lycheekeel/internal/standin/service"
)

// fault is one injected failure that can overlap with another. The victim is the
// daemon that owned the pool at first. It gets no requests from callers.
type fault struct {
	begin, end func(c *cluster, victim *node)
}

func noop(*cluster, *node) {}

func silenceLinks(links func(c *cluster) []*link) func(*cluster, *node) {
	return func(c *cluster, _ *node) {
		for _, l := range links(c) {
			l.proxy.Silence(faultproxy.Both)
		}
	}
}

func engineLinks(c *cluster) (links []*link) {
	for _, e := range c.engines {
		links = append(links, e.link)
	}
	return links
}

func peerLinks(c *cluster) (links []*link) {
	for _, n := range c.nodes {
		links = append(links, n.peerLink)
	}
	return links
}

func storeFault(f standin.Faults) fault {
	return fault{
		begin: func(c *cluster, _ *node) { c.storeFaults(f) },
		end:   func(c *cluster, _ *node) { c.storeFaults(standin.Faults{}) },
	}
}

func restart(c *cluster, victim *node) {
	c.startNode(victim)
	c.awaitReady(victim)
}

// faults are the injected failures by name.
var faults = map[string]fault{
	"owner dies": {func(_ *cluster, v *node) { v.kill() }, restart},
	"owner paused": {
		func(_ *cluster, v *node) { v.signal(syscall.SIGSTOP) },
		func(_ *cluster, v *node) { v.signal(syscall.SIGCONT) },
	},
	"owner restarted": {func(c *cluster, v *node) { So(v.stop(), ShouldBeNil) }, restart},
	"owner unreachable": {
		func(_ *cluster, v *node) { v.peerLink.proxy.ResetAndRefuse() },
		func(_ *cluster, v *node) { v.peerLink.proxy.ClearFaults() },
	},
	"store loses answers":  storeFault(standin.Faults{LoseFraction: 0.3}),
	"store down":           storeFault(standin.Faults{Down: true}),
	"store slow and stale": storeFault(standin.Faults{SlowMs: 300, StaleWrites: 3}),
	"engines silent":       {silenceLinks(engineLinks), noop},
	"peers silent":         {silenceLinks(peerLinks), noop},
	"straggler": {
		func(c *cluster, _ *node) { c.engineFaults(c.engines[0], `{"speed": 0.2}`) },
		func(c *cluster, _ *node) { c.engineFaults(c.engines[0], `{"speed": 1}`) },
	},
	"crashing request": {
		func(c *cluster, v *node) {
			for _, e := range c.engines {
				c.engineFaults(e, `{"crash_text": "deadly snag"}`)
			}
			for i, n := range c.others(v)[:2] {
				chat(c.t.Context(), n.callerLink.proxy.Addr(), call{prompt: fmt.Sprintf("a deadly snag %d", i), tier: "handover"})
			}
		},
		noop,
	},
}

// faultPairs are the combinations under test. The seed decides after how many
// answers the second fault follows the first.
var faultPairs = []struct {
	seed          uint64
	first, second string
}{
	{1, "owner dies", "store loses answers"},
	{2, "engines silent", "owner restarted"},
	{3, "crashing request", "owner paused"},
	{4, "store down", "owner dies"},
	{5, "peers silent", "engines silent"},
	{6, "owner unreachable", "straggler"},
	{7, "owner paused", "store slow and stale"},
}

// Guards against: the system tolerates one fault, but not two at the same time.
func TestConcurrentFaults(t *testing.T) {
	for _, p := range faultPairs {
		t.Run(fmt.Sprintf("%d: %s, %s", p.seed, p.first, p.second), func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, clusterSpec{nodes: 4, engines: 3, options: slowEngine, slots: 6})
			Convey("no request is lost, run twice or misreported", t, func() {
				rng := rand.New(rand.NewPCG(p.seed, 0))
				victim := c.owner(testPool)
				l := startLoad(t.Context(), 20, 8, roundRobin(c.others(victim)))
				nonIdempotent := c.startNonIdempotentLoad(c.others(victim))
				eventually(t, "traffic flows", func() bool { return l.count() >= 60 })
				first, second := faults[p.first], faults[p.second]
				first.begin(c, victim)
				before := l.count() + rng.IntN(30)
				eventually(t, "traffic continues under the first fault", func() bool { return l.count() >= before })
				second.begin(c, victim)
				before = l.count()
				eventually(t, "traffic continues under both faults", func() bool { return l.count() >= before+100 })
				first.end(c, victim)
				second.end(c, victim)
				before = l.count()
				eventually(t, "traffic continues after both faults", func() bool { return l.count() >= before+100 })
				results := l.stop()
				nonIdempotent.check()
				complete, refused, failed := checkAnswers(t, c, results)
				t.Logf("%d complete, %v refused, %d failed", complete, refused, failed)
				if p.first == "crashing request" {
					So(complete, ShouldBeGreaterThan, len(results)*3/4) // other requests on a crashed engine are lost
					return
				}
				lost := 0
				if p.first == "engines silent" || p.second == "engines silent" {
					lost = lostInTransit(c, results)
					delete(refused, "engine_lost")
				}
				So(refused, ShouldBeEmpty)
				So(failed, ShouldEqual, 0)
				So(complete, ShouldEqual, len(results)-lost)
			})
		})
	}
}

// lostInTransit counts the requests that were in transit to an engine when its
// connections went silent. No engine received them, and their callers were told
// that the outcome is unknown. They can't be retried, because a retry could be a
// second dispatch. A request that an engine did receive must get a complete
// answer, so its engine_lost refusal is not counted and fails the test.
func lostInTransit(c *cluster, results []result) int {
	ran := map[string]bool{}
	for _, r := range c.runs() {
		ran[r.RequestID] = true
	}
	lost := 0
	for _, r := range results {
		if r.answer.code == "engine_lost" && r.answer.notRun == "unknown" && !ran[r.answer.requestID] {
			lost++
		}
	}
	return lost
}

// nonIdempotentLoad sends non-idempotent calls, each to one entry and then again
// to another one.
type nonIdempotentLoad struct {
	c     *cluster
	stop  chan struct{}
	wg    conc.WaitGroup
	mu    sync.Mutex
	byKey map[string][]answer
}

func (c *cluster) startNonIdempotentLoad(nodes []*node) *nonIdempotentLoad {
	s := &nonIdempotentLoad{c: c, stop: make(chan struct{}), byKey: map[string][]answer{}}
	s.wg.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-s.stop:
				return
			default:
			}
			key := fmt.Sprintf("pair-%d", n)
			for i := range 2 {
				a := send(c.t.Context(), nodes[(n+i)%len(nodes)].callerLink.proxy.Addr(), "/services/"+testService+"/dispatch/"+key,
					[]byte(key), call{header: map[string]string{"Idempotency-Key": key, "X-Lycheekeel-Deadline-Ms": "8000"}})
				s.mu.Lock()
				s.byKey[key] = append(s.byKey[key], a)
				s.mu.Unlock()
			}
		}
	})
	return s
}

// check compares the answers to callers with the calls that the service received.
func (s *nonIdempotentLoad) check() {
	close(s.stop)
	s.wg.Wait()
	var calls []service.CallCount
	s.c.getJSON(s.c.service.link.target, service.PathCalls, &calls)
	ran := map[string]int{}
	for _, k := range calls {
		ran[k.Path] += k.Count
	}
	total := 0
	for key, answers := range s.byKey {
		n := ran["/dispatch/"+key]
		succeeded, notRun := false, true
		for _, a := range answers {
			succeeded = succeeded || a.status == 200
			notRun = notRun && a.notRun == true
		}
		if n > 1 || succeeded && n == 0 || notRun && n > 0 {
			s.c.t.Errorf("non-idempotent call %s ran %d times; its answers are %+v", key, n, answers)
		}
		total += n
	}
	s.c.t.Logf("%d non-idempotent calls, %d ran", len(s.byKey), total)
	So(total, ShouldBeGreaterThan, 0)
}
