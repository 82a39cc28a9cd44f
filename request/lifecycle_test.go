package request

import (
	"errors"
	"net/http"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"
	"pgregory.net/rapid"
)

// Guards against a request that runs twice because two paths dispatched it.
func TestOnlyOnePathTakesTheDispatchRight(t *testing.T) {
	Convey("One of several racing paths takes the dispatch right", t, func() {
		for range 200 {
			var lc Lifecycle
			So(lc.Advance(Received, Queued), ShouldBeNil)
			So(lc.Advance(Queued, Granted), ShouldBeNil)
			var winners atomic.Int32
			var wg conc.WaitGroup
			for range 8 {
				wg.Go(func() {
					if lc.TakeDispatchRight() == nil {
						winners.Add(1)
					}
				})
			}
			wg.Wait()
			So(winners.Load(), ShouldEqual, 1)
		}
	})
}

// Guards against a sequence of transitions that allows a second dispatch.
func TestLifecycleAllowsAtMostOneDispatch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var lc Lifecycle
		dispatches, ended := 0, false
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) {
				from := State(rapid.IntRange(int(Received), int(Ended)).Draw(t, "from"))
				to := State(rapid.IntRange(int(Received), int(Ended)).Draw(t, "to"))
				if lc.Advance(from, to) == nil && (to == Dispatched || to == Ended) {
					t.Fatalf("Advance reached %s", to)
				}
			},
			"dispatch": func(t *rapid.T) {
				if lc.TakeDispatchRight() != nil {
					return
				}
				if dispatches++; dispatches > 1 || ended {
					t.Fatalf("dispatch number %d, ended %v", dispatches, ended)
				}
			},
			"end": func(t *rapid.T) {
				if _, first := lc.End(); first == ended {
					t.Fatalf("End returned %v after ended=%v", first, ended)
				}
				ended = true
			},
		})
	})
}

func TestEveryReasonHasAStatus(t *testing.T) {
	Convey("Each refusal reason has an error status, and the error keeps its reason", t, func() {
		for _, r := range Reasons() {
			So(r.Status(), ShouldBeGreaterThanOrEqualTo, http.StatusBadRequest)
		}
		var refusal *Refusal
		err := error(Refuse(ReasonShed, "pool %s is full", "a"))
		So(errors.As(err, &refusal), ShouldBeTrue)
		So(refusal.NotRun.JSON(), ShouldEqual, true)
		So(refusal.Error(), ShouldEqual, "shed: pool a is full")
	})
}
