package test

import (
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	engine "github.com/lycheekeel/lycheekeel/internal/standin/engine"
)

func TestAWholeClusterServesItsCallers(t *testing.T) {
	t.Parallel()
	c := newCluster(t, plan{nodes: 3, engines: 3})
	Convey("every caller at every entry gets its own whole answer", t, func() {
		l := startLoad(t.Context(), 12, 5, func(lane, n int) string {
			return c.nodes[(lane+n)%len(c.nodes)].callers.proxy.Addr()
		})
		eventually(t, "300 answers", func() bool { return l.count() >= 300 })
		results := l.stop()
		whole, refused, broken := checkAnswers(t, c, results)
		So(refused, ShouldBeEmpty)
		So(broken, ShouldEqual, 0)
		So(whole, ShouldEqual, len(results))
		So(len(c.runs()), ShouldEqual, len(results))
	})
	Convey("a wrong key and an unknown path are refused with their reasons", t, func() {
		address := c.nodes[0].callers.proxy.Addr()
		a := chat(t.Context(), address, call{text: "echo:x", header: map[string]string{"Authorization": "Bearer wrong"}})
		So(a.status, ShouldEqual, http.StatusUnauthorized)
		So(a.code, ShouldEqual, "unauthorized")
		So(a.notRun, ShouldEqual, true)
	})
}

// Guards against this: callers get errors when an engine goes away in a moment of load.
func TestAnEngineDiesUnderLoad(t *testing.T) {
	t.Parallel()
	c := newCluster(t, plan{nodes: 3, engines: 3, options: engine.Options{StepMs: 8}})
	Convey("only what ran there is lost, and is said to be; nothing runs twice", t, func() {
		l := startLoad(t.Context(), 12, 20, func(lane, n int) string {
			return c.nodes[(lane+n)%len(c.nodes)].callers.proxy.Addr()
		})
		eventually(t, "the first answers", func() bool { return l.count() >= 50 })
		lost := c.engines[0]
		logged := c.runsOf(lost)
		lost.kill()
		at := l.count()
		eventually(t, "answers from the other engines", func() bool { return l.count() >= at+150 })
		results := l.stop()
		whole, refused, broken := checkAnswers(t, c, results)
		So(len(logged), ShouldBeGreaterThan, 0)
		So(whole, ShouldBeGreaterThan, len(results)/2)
		So(broken+refused["engine_lost"], ShouldBeLessThanOrEqualTo, 12)
	})
}
