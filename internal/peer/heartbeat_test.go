package peer

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/time/rate"
)

func TestPingOrder(t *testing.T) {
	// Guards against a silent connection with a request on it that is detected many seconds
	// late, because idle ones were pinged first.
	Convey("Unanswered messages are pinged first, then the connection that was quiet longest", t, func() {
		transport, err := NewTCP(Options{Name: "a", Listen: "127.0.0.1:0", Keys: [][]byte{testKey}})
		So(err, ShouldBeNil)
		Reset(transport.Close)
		transport.pingLimiter = rate.NewLimiter(0, 3)
		transport.start = time.Now().Add(-time.Hour)
		newQuietLink := func(quiet, unanswered time.Duration) *link {
			l := newLink(transport, "b", true)
			now := l.nanos()
			l.receivedAt.Store(now - int64(quiet))
			l.appMessageAt.Store(now)
			if unanswered > 0 {
				l.awaitingSince.Store(now - int64(unanswered))
			}
			close(l.up)
			return l
		}
		var links []*link
		for i := range 60 {
			links = append(links, newQuietLink(time.Duration(2000+i)*time.Millisecond, 0))
		}
		recentUnanswered := newQuietLink(time.Second/2, time.Second/2)
		oldUnanswered := newQuietLink(time.Second, time.Second)
		fresh := newQuietLink(time.Millisecond, time.Millisecond)
		due := transport.checkAll(append(links, recentUnanswered, oldUnanswered, fresh), false)
		So(len(due), ShouldEqual, 62)
		transport.pingDue(due)

		So(recentUnanswered.pingedAt.Load() != 0, ShouldBeTrue)
		So(oldUnanswered.pingedAt.Load() != 0, ShouldBeTrue)
		So(links[59].pingedAt.Load() != 0, ShouldBeTrue)
		pinged := 0
		for _, l := range append(links, recentUnanswered, oldUnanswered, fresh) {
			if l.pingedAt.Load() != 0 {
				pinged++
			}
		}
		So(pinged, ShouldEqual, 3)
	})
}
