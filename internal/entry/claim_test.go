package entry

import (
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	standin "github.com/lycheekeel/lycheekeel/internal/standin/engine"
	"github.com/lycheekeel/lycheekeel/request"
)

// Guards against: a non-idempotent call, such as a booking, runs twice.
func TestNonIdempotentCallRunsOnce(t *testing.T) {
	Convey("A non-idempotent call", t, func() {
		r := newRig(t, standin.Options{}, Limits{}, longSilence)
		const path = "/services/booking/confirm"
		Convey("runs once, and a resend gets the stored answer", func() {
			first, body := r.post(path, []byte("lesson 7"), headerIdempotencyKey, "k1")
			So(first.StatusCode, ShouldEqual, http.StatusOK)
			again, same := r.post(path, []byte("lesson 7"), headerIdempotencyKey, "k1")
			So(again.StatusCode, ShouldEqual, http.StatusOK)
			So(string(same), ShouldEqual, string(body))
			So(again.Header.Get(headerReplayed), ShouldEqual, "true")
			So(r.serviceCalls(), ShouldEqual, 1)
			Convey("a resend with other content is a conflict", func() {
				_, answer := r.post(path, []byte("lesson 8"), headerIdempotencyKey, "k1")
				code, notRun := refusalOf(answer)
				So(code, ShouldEqual, string(request.ReasonClaimConflict))
				So(notRun, ShouldEqual, true)
				So(r.serviceCalls(), ShouldEqual, 1)
			})
		})
		Convey("to a model stores its stream for the resend", func() {
			_, body := r.post(pathChat, chatBody("once", "echo:x", true), headerIdempotencyKey, "k2")
			_, same := r.post(pathChat, chatBody("once", "echo:x", true), headerIdempotencyKey, "k2")
			So(string(same), ShouldEqual, string(body))
			So(len(r.engine.Runs()), ShouldEqual, 1)
		})
		Convey("releases its claim if the engine did not run it", func() {
			r.setFaults(`{"refuse":true}`)
			_, body := r.post(pathChat, chatBody("once", "echo:x", false), headerIdempotencyKey, "k3")
			code, notRun := refusalOf(body)
			So(code, ShouldEqual, string(request.ReasonEngineRefused))
			So(notRun, ShouldEqual, true)
			r.setFaults(`{"refuse":false}`)
			again, _ := r.post(pathChat, chatBody("once", "echo:x", false), headerIdempotencyKey, "k3")
			So(again.StatusCode, ShouldEqual, http.StatusOK)
			So(len(r.engine.Runs()), ShouldEqual, 1)
		})
		Convey("without a complete reply is never run again", func() {
			f := standinServiceFaults{CloseAfterRead: true}
			r.service.SetFaults(f)
			_, body := r.post(path, []byte("lesson 9"), headerIdempotencyKey, "k4")
			code, notRun := refusalOf(body)
			So(code, ShouldEqual, string(request.ReasonAnswerIncomplete))
			So(notRun, ShouldEqual, "unknown")
			r.service.SetFaults(standinServiceFaults{})
			_, body = r.post(path, []byte("lesson 9"), headerIdempotencyKey, "k4")
			code, notRun = refusalOf(body)
			So(code, ShouldEqual, string(request.ReasonClaimUnknown))
			So(notRun, ShouldEqual, "unknown")
			So(r.serviceCalls(), ShouldEqual, 1)
		})
		Convey("that the template declares idempotent needs no key", func() {
			resp, _ := r.post("/services/booking/search/lessons", nil)
			So(resp.StatusCode, ShouldEqual, http.StatusOK)
		})
	})
}

// Guards against: requests that wait for a slow claim store occupy all slots, and engines are idle.
func TestSlotIsReturnedWhileClaimStoreIsUnavailable(t *testing.T) {
	Convey("While the claim store does not answer", t, func() {
		r := newRig(t, standin.Options{}, Limits{}, longSilence)
		down := make(chan struct{})
		r.ledger.unavailable.Store(&down)
		body := chatBody("once", "echo:x", false)
		Convey("the slot is returned, and the call runs after the store recovers", func() {
			answered := make(chan int, 1)
			go func() {
				resp, _ := r.post(pathChat, body, headerIdempotencyKey, "k")
				answered <- resp.StatusCode
			}()
			r.eventually("slot is returned", func() bool { return r.broker.returned.Load() == 1 })
			So(r.engine.Runs(), ShouldBeEmpty)
			close(down)
			So(<-answered, ShouldEqual, http.StatusOK)
			So(len(r.engine.Runs()), ShouldEqual, 1)
		})
		Convey("the call is refused at its deadline, and did not run", func() {
			_, answer := r.post(pathChat, body, headerIdempotencyKey, "k", headerDeadline, "400")
			code, notRun := refusalOf(answer)
			So(code, ShouldEqual, string(request.ReasonStoreUnavailable))
			So(notRun, ShouldEqual, true)
			So(r.engine.Runs(), ShouldBeEmpty)
		})
	})
}
