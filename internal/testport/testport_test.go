package testport

import (
	"net"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against this: a daemon that a test kills and starts again does not listen: "address already in use".
func TestAllocatorsHandOutDistinctPorts(t *testing.T) {
	Convey("Given two allocators, as of two test programs", t, func() {
		var one, two Allocator
		defer one.Close()
		defer two.Close()

		Convey("no address of one is handed out by the other, nor twice, over more than a block each", func() {
			seen := map[string]bool{}
			for range blockSize + 10 {
				for _, a := range []*Allocator{&one, &two} {
					address, err := a.Address()
					So(err, ShouldBeNil)
					So(seen[address], ShouldBeFalse)
					seen[address] = true
				}
			}
		})
		Convey("an address that somebody else listens at is passed over", func() {
			before, err := one.Address()
			So(err, ShouldBeNil)
			taken := loopback(one.nextPort)
			ln, err := net.Listen("tcp", taken)
			So(err, ShouldBeNil)
			defer ln.Close()
			after, err := one.Address()
			So(err, ShouldBeNil)
			So(after, ShouldNotEqual, taken)
			So(after, ShouldNotEqual, before)
		})
	})
}
