package request

import (
	"testing"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"
)

// Guards against this: a request that must not be repeated runs twice.
func TestAttempts(t *testing.T) {
	Convey("A request that may not be repeated is begun once", t, func() {
		a := Attempts{Max: 5}
		So(a.NotRun(), ShouldEqual, NotRunTrue)
		So(a.Take(), ShouldBeNil)
		So(a.CanSend(), ShouldBeFalse)
		So(errors.Is(a.Take(), ErrNoDispatchRight), ShouldBeTrue)
		So(a.NotRun(), ShouldEqual, RanUnknown)
		Convey("unless the server says that it did not run it", func() {
			a.Undo()
			So(a.NotRun(), ShouldEqual, NotRunTrue)
			So(a.Take(), ShouldBeNil)
			So(a.Sends(), ShouldEqual, 2)
		})
	})
	Convey("One that may be is begun by as many servers as its route allows", t, func() {
		a := Attempts{Repeatable: true, Max: 2}
		So(a.Take(), ShouldBeNil)
		So(a.Take(), ShouldBeNil)
		So(a.Take(), ShouldNotBeNil)
	})
}
