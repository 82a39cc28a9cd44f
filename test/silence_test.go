package test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/internal/faultproxy"
	engine "github.com/lycheekeel/lycheekeel/internal/standin/engine"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// Guards against: streams on silent connections stall until their callers time
// out, or their requests run twice.
func TestSilentEngineConnectionsMidStream(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterSpec{nodes: 2, engines: 2, options: slowEngine})
	Convey("every stream resumes on a new connection and none runs twice", t, func() {
		for round, d := range []faultproxy.Direction{faultproxy.Both, faultproxy.ToClient} {
			before := len(c.runs())
			l := startStreams(t.Context(), 12, round, roundRobin(c.nodes))
			eventually(t, "every stream has started", func() bool { return l.started.Load() == 12 })
			for _, e := range c.engines {
				e.link.proxy.Silence(d)
			}
			l.wg.Wait()
			complete, refused, failed := checkAnswers(t, c, l.all())
			So(refused, ShouldBeEmpty)
			So(failed, ShouldEqual, 0)
			So(complete, ShouldEqual, 12)
			So(len(c.runs())-before, ShouldEqual, 12)
		}
	})
}

// Guards against: requests sent on silent idle connections are lost with unknown outcome.
func TestSilentIdleEngineConnections(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterSpec{nodes: 2, engines: 2})
	Convey("no request is lost on them", t, func() {
		l := &recorder{}
		for n := range 30 {
			request, _ := echoCall(0, n, 3)
			l.add(request, chat(t.Context(), c.nodes[n%2].callerLink.proxy.Addr(), request))
			for _, e := range c.engines {
				e.link.proxy.Silence(faultproxy.Both)
			}
		}
		complete, refused, failed := checkAnswers(t, c, l.all())
		So(refused, ShouldBeEmpty)
		So(failed, ShouldEqual, 0)
		So(complete, ShouldEqual, 30)
	})
}

// Guards against: requests hang at an entry whose connection to a live owner is silent.
func TestSilentPeerConnections(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterSpec{nodes: 3, engines: 2, options: slowEngine, slots: 6})
	Convey("sessions reopen on new connections; no request is lost or run twice", t, func() {
		l := startLoad(t.Context(), 20, 5, roundRobin(c.nodes))
		for _, d := range []faultproxy.Direction{faultproxy.ToTarget, faultproxy.ToClient, faultproxy.Both} {
			before := l.count()
			eventually(t, "traffic flows", func() bool { return l.count() >= before+60 })
			for _, n := range c.nodes {
				n.peerLink.proxy.Silence(d)
			}
		}
		before := l.count()
		eventually(t, "traffic continues", func() bool { return l.count() >= before+120 })
		results := l.stop()
		complete, refused, failed := checkAnswers(t, c, results)
		So(refused, ShouldBeEmpty)
		So(failed, ShouldEqual, 0)
		So(complete, ShouldEqual, len(results))
	})
}

// Guards against: a configuration change silently misses some daemons.
func TestSilentPlatformConnections(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterSpec{nodes: 3, engines: 1})
	Convey("the next change still becomes active at every daemon", t, func() {
		for _, n := range c.nodes {
			n.platformLink.proxy.Silence(faultproxy.Both)
		}
		version := c.put(workspace.KindPool, testPool, workspace.Pool{
			Name: testPool, Region: testRegion, Model: testModel, Version: "v1", MaxWaiting: 777,
		})
		c.awaitVersion(uint64(version))
	})
}

// Guards against: a caller receives the answer, or a late answer, of another request.
func TestDelayedAndMismatchedAnswers(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterSpec{nodes: 2, engines: 2, options: engine.Options{StepMs: 10}})
	Convey("mismatched answers are discarded and every caller gets its own", t, func() {
		l := startLoad(t.Context(), 12, 10, roundRobin(c.nodes))
		eventually(t, "traffic flows", func() bool { return l.count() >= 30 })
		c.engineFaults(c.engines[0], `{"answer_delay_ms": 300}`)
		c.engineFaults(c.engines[1], `{"cross_answers": 10}`)
		before := l.count()
		eventually(t, "traffic continues", func() bool { return l.count() >= before+200 })
		results := l.stop()
		complete, _, failed := checkAnswers(t, c, results)
		So(failed, ShouldEqual, 0)
		So(complete, ShouldBeGreaterThanOrEqualTo, len(results)-20)
	})
}
