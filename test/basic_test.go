package test

import (
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	engine "github.com/lycheekeel/lycheekeel/internal/standin/engine"
)

// Guards against: a caller of a healthy cluster gets no answer or a wrong one.
func TestClusterServesItsCallers(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterSpec{nodes: 3, engines: 3})
	Convey("every caller at every entry gets its own complete answer", t, func() {
		l := startLoad(t.Context(), 12, 5, func(caller, n int) string {
			return c.nodes[(caller+n)%len(c.nodes)].callerLink.proxy.Addr()
		})
		eventually(t, "300 answers", func() bool { return l.count() >= 300 })
		results := l.stop()
		complete, refused, failed := checkAnswers(t, c, results)
		So(refused, ShouldBeEmpty)
		So(failed, ShouldEqual, 0)
		So(complete, ShouldEqual, len(results))
		So(len(c.runs()), ShouldEqual, len(results))
	})
	Convey("a wrong key is refused as unauthorized and not run", t, func() {
		address := c.nodes[0].callerLink.proxy.Addr()
		a := chat(t.Context(), address, call{prompt: "echo:x", header: map[string]string{"Authorization": "Bearer wrong"}})
		So(a.status, ShouldEqual, http.StatusUnauthorized)
		So(a.code, ShouldEqual, "unauthorized")
		So(a.notRun, ShouldEqual, true)
	})
}

// Guards against: an engine crash under load fails requests on other engines.
func TestEngineCrashUnderLoad(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterSpec{nodes: 3, engines: 3, options: engine.Options{StepMs: 8}})
	Convey("only requests on that engine are lost, and nothing runs twice", t, func() {
		l := startLoad(t.Context(), 12, 20, func(caller, n int) string {
			return c.nodes[(caller+n)%len(c.nodes)].callerLink.proxy.Addr()
		})
		eventually(t, "50 answers", func() bool { return l.count() >= 50 })
		killed := c.engines[0]
		logged := c.runsOf(killed)
		killed.kill()
		before := l.count()
		eventually(t, "the other engines answer", func() bool { return l.count() >= before+150 })
		results := l.stop()
		complete, refused, failed := checkAnswers(t, c, results)
		So(len(logged), ShouldBeGreaterThan, 0)
		So(complete, ShouldBeGreaterThan, len(results)/2)
		So(failed+refused["engine_lost"], ShouldBeLessThanOrEqualTo, 12)
	})
}
