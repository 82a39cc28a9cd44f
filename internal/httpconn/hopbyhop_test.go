package httpconn

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestHopByHop(t *testing.T) {
	Convey("Hop-by-hop headers are recognized in any letter case, as are those that the Connection header names", t, func() {
		options := ConnectionOptions("close, x-secret ,X-Other")
		for _, name := range []string{"transfer-encoding", "Transfer-Encoding", "TE", "X-SECRET", "x-other", "close"} {
			So(HopByHop(name, options), ShouldBeTrue)
		}
		for _, name := range []string{"Content-Type", "X-Secrets", ""} {
			So(HopByHop(name, options), ShouldBeFalse)
		}
		So(HopByHop("X-Secret", nil), ShouldBeFalse)
	})
	Convey("Common values of the Connection header name no further headers", t, func() {
		for _, value := range []string{"", "close", "Keep-Alive"} {
			So(ConnectionOptions(value), ShouldBeNil)
		}
	})
}
