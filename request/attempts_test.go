package request

import (
	"testing"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a request that runs twice although it must not be repeated.
func TestAttempts(t *testing.T) {
	Convey("A request that must not be repeated is started once", t, func() {
		a := Attempts{Max: 5}
		So(a.NotRun(), ShouldEqual, NotRunTrue)
		So(a.Take(), ShouldBeNil)
		So(a.CanSend(), ShouldBeFalse)
		So(errors.Is(a.Take(), ErrNoDispatchRight), ShouldBeTrue)
		So(a.NotRun(), ShouldEqual, RanUnknown)
		Convey("It may be started again if no byte of it was sent, and that was no send", func() {
			a.Unsend()
			So(a.NotRun(), ShouldEqual, NotRunTrue)
			So(a.Sends(), ShouldEqual, 0)
			So(a.Take(), ShouldBeNil)
		})
		Convey("It may be started again after the server said that it did not run it", func() {
			a.Undo()
			So(a.NotRun(), ShouldEqual, NotRunTrue)
			So(a.Take(), ShouldBeNil)
			So(a.Sends(), ShouldEqual, 2)
		})
	})
	Convey("A repeatable request is started by as many servers as its route allows", t, func() {
		a := Attempts{Repeatable: true, Max: 2}
		So(a.Take(), ShouldBeNil)
		So(a.Take(), ShouldBeNil)
		So(a.Take(), ShouldNotBeNil)
	})
}
