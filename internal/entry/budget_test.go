package entry

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	standin "github.com/lycheekeel/lycheekeel/internal/standin/engine"
	"github.com/lycheekeel/lycheekeel/request"
)

func TestHigherTierEvictsLowerTier(t *testing.T) {
	Convey("When the memory budget is full, the lowest waiting tier is evicted", t, func() {
		r := newRig(t, standin.Options{}, Limits{BodyBytes: 2*requestOverhead + requestOverhead/2}, longSilence)
		r.broker.hold.Store(true)
		refused := make(chan [2]any, 4)
		send := func(tier string) {
			_, body := r.post(pathChat, chatBody(testModel, "echo:x", false), headerTier, tier)
			code, notRun := refusalOf(body)
			refused <- [2]any{code, notRun}
		}
		go send("late")
		go send("urgent")
		r.eventually("both requests wait", func() bool { return r.broker.waiting.Load() == 2 })
		memory := [2]any{string(request.ReasonEntryMemory), true}
		go send("late")
		So(<-refused, ShouldResemble, memory) // the new request itself: no lower tier waits
		So(r.broker.waiting.Load(), ShouldEqual, 2)
		go send("urgent")
		So(<-refused, ShouldResemble, memory) // the waiting request of the lower tier was evicted
		r.eventually("both urgent requests wait", func() bool { return r.broker.waiting.Load() == 2 })
		So(r.counter(groupRefusals, string(request.ReasonEntryMemory)), ShouldEqual, 2)
		close(r.broker.freed)
		So([][2]any{<-refused, <-refused}, ShouldResemble, [][2]any{{"", nil}, {"", nil}}) // both get an answer
	})
}
