package poolhost

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/workspace"
)

// Guards against: a tick that panicked leaves a lock, on which the next tick waits for ever.
func TestTickAfterAPanic(t *testing.T) {
	Convey("Given a pool whose check of a server panics once", t, func() {
		b := newHarness("p")
		b.host.Tick()
		b.host.cfg.IsLeaving = func(workspace.BackendServer) bool { panic("of the test") }
		So(func() { b.host.Tick() }, ShouldPanicWith, "of the test")
		b.host.cfg.IsLeaving = func(workspace.BackendServer) bool { return false }

		Convey("no lock is left, and the next tick works", func() {
			So(b.host.mu.TryLock(), ShouldBeTrue)
			b.host.mu.Unlock()
			m := b.host.Owned("p").monitor
			So(m.mu.TryLock(), ShouldBeTrue)
			m.mu.Unlock()
			b.host.Tick()
		})
	})
}
