package httpconn

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestHopByHop(t *testing.T) {
	Convey("Headers of one connection are known in any spelling, with those that it names", t, func() {
		options := ConnectionOptions("close, x-secret ,X-Other")
		for _, name := range []string{"transfer-encoding", "Transfer-Encoding", "TE", "X-SECRET", "x-other", "close"} {
			So(HopByHop(name, options), ShouldBeTrue)
		}
		for _, name := range []string{"Content-Type", "X-Secrets", ""} {
			So(HopByHop(name, options), ShouldBeFalse)
		}
		So(HopByHop("X-Secret", nil), ShouldBeFalse)
	})
	Convey("The usual values name nothing", t, func() {
		for _, value := range []string{"", "close", "Keep-Alive"} {
			So(ConnectionOptions(value), ShouldBeNil)
		}
	})
}
