package testport

import (
	"net"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against: a daemon that a test restarts fails with "address already in use".
func TestAllocatorsHandOutDistinctPorts(t *testing.T) {
	Convey("Given two allocators, as in two test programs", t, func() {
		var one, two Allocator
		defer one.Close()
		defer two.Close()

		Convey("each returns more than a block of addresses and no address is returned twice", func() {
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
		Convey("an address that is in use is skipped", func() {
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
