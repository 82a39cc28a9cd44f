package httpconn

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestHopByHop(t *testing.T) {
	Convey("Headers of one connection are known in any spelling, with those that it names", t, func() {
		named := ConnectionNames("close, x-secret ,X-Other")
		for _, name := range []string{"transfer-encoding", "Transfer-Encoding", "TE", "X-SECRET", "x-other", "close"} {
			So(HopByHop(name, named), ShouldBeTrue)
		}
		for _, name := range []string{"Content-Type", "X-Secrets", ""} {
			So(HopByHop(name, named), ShouldBeFalse)
		}
		So(HopByHop("X-Secret", nil), ShouldBeFalse)
	})
	Convey("The usual values name nothing", t, func() {
		for _, value := range []string{"", "close", "Keep-Alive"} {
			So(ConnectionNames(value), ShouldBeNil)
		}
	})
}
