package test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/internal/faultproxy"
	engine "github.com/lycheekeel/lycheekeel/internal/standin/engine"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// Guards against this: streams stop in the middle and their callers wait until they give up; prompts are computed twice.
func TestEngineConnectionsGoSilentInMidStream(t *testing.T) {
	t.Parallel()
	c := newCluster(t, plan{nodes: 2, engines: 2, options: slowEngine})
	Convey("every stream is resumed on a new connection and none is run again", t, func() {
		for round, d := range []faultproxy.Direction{faultproxy.Both, faultproxy.ToClient} {
			before := len(c.runs())
			l := startStreams(t.Context(), 12, round, through(c.nodes))
			eventually(t, "every stream has begun", func() bool { return l.begun.Load() == 12 })
			for _, e := range c.engines {
				e.link.proxy.Silence(d)
			}
			l.lanes.Wait()
			whole, refused, broken := checkAnswers(t, c, l.all())
			So(refused, ShouldBeEmpty)
			So(broken, ShouldEqual, 0)
			So(whole, ShouldEqual, 12)
			So(len(c.runs())-before, ShouldEqual, 12)
		}
	})
}

// Guards against this: the first requests after a quiet moment are lost, outcome unknown.
func TestIdleEngineConnectionsGoSilent(t *testing.T) {
	t.Parallel()
	c := newCluster(t, plan{nodes: 2, engines: 2})
	Convey("no request is sent into them", t, func() {
		l := &recorder{}
		for n := range 30 {
			request, _ := echoCall(0, n, 3)
			l.add(request, chat(t.Context(), c.nodes[n%2].callers.proxy.Addr(), request))
			for _, e := range c.engines {
				e.link.proxy.Silence(faultproxy.Both)
			}
		}
		whole, refused, broken := checkAnswers(t, c, l.all())
		So(refused, ShouldBeEmpty)
		So(broken, ShouldEqual, 0)
		So(whole, ShouldEqual, 30)
	})
}

// Guards against this: requests hang at entries whose owner seems alive.
func TestPeerConnectionsGoSilent(t *testing.T) {
	t.Parallel()
	c := newCluster(t, plan{nodes: 3, engines: 2, options: slowEngine, slots: 6})
	Convey("sessions are opened again on new connections; nothing is lost or doubled", t, func() {
		l := startLoad(t.Context(), 20, 5, through(c.nodes))
		for _, d := range []faultproxy.Direction{faultproxy.ToTarget, faultproxy.ToClient, faultproxy.Both} {
			at := l.count()
			eventually(t, "traffic flows", func() bool { return l.count() >= at+60 })
			for _, n := range c.nodes {
				n.peers.proxy.Silence(d)
			}
		}
		at := l.count()
		eventually(t, "traffic goes on", func() bool { return l.count() >= at+120 })
		results := l.stop()
		whole, refused, broken := checkAnswers(t, c, results)
		So(refused, ShouldBeEmpty)
		So(broken, ShouldEqual, 0)
		So(whole, ShouldEqual, len(results))
	})
}

// Guards against this: a change of configuration reaches some daemons only, without error.
func TestPlatformConnectionsGoSilent(t *testing.T) {
	t.Parallel()
	c := newCluster(t, plan{nodes: 3, engines: 1})
	Convey("the next change is in force everywhere all the same", t, func() {
		for _, n := range c.nodes {
			n.store.proxy.Silence(faultproxy.Both)
		}
		version := c.put(workspace.KindPool, testPool, workspace.Pool{
			Name: testPool, Region: testRegion, Model: testModel, Version: "v1", MaxWaiting: 777,
		})
		c.awaitVersion(uint64(version))
	})
}

// Guards against this: callers receive another caller's text, or a late answer as theirs.
func TestAnswersComeLateAndCrossed(t *testing.T) {
	t.Parallel()
	c := newCluster(t, plan{nodes: 2, engines: 2, options: engine.Options{StepMs: 10}})
	Convey("crossed answers are discarded and every caller gets its own", t, func() {
		l := startLoad(t.Context(), 12, 10, through(c.nodes))
		eventually(t, "traffic flows", func() bool { return l.count() >= 30 })
		c.engineFaults(c.engines[0], `{"answer_delay_ms": 300}`)
		c.engineFaults(c.engines[1], `{"cross_answers": 10}`)
		at := l.count()
		eventually(t, "traffic goes on", func() bool { return l.count() >= at+200 })
		results := l.stop()
		whole, _, broken := checkAnswers(t, c, results)
		So(broken, ShouldEqual, 0)
		So(whole, ShouldBeGreaterThanOrEqualTo, len(results)-20)
	})
}
