package logs

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// blockedWriter blocks every write until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(p)
}

func (s *blockedWriter) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.String()
}

// Guards against: requests stall because the reader of the log stopped reading.
func TestAsyncNeverBlocks(t *testing.T) {
	Convey("Lines beyond the limit are dropped, and reported when the reader continues", t, func() {
		out := &blockedWriter{release: make(chan struct{})}
		a := NewAsync(out)
		line := []byte(strings.Repeat("x", 1023) + "\n")
		for range 1000 {
			n, err := a.Write(line) // a blocking Write would hang the test here
			So(err, ShouldBeNil)
			So(n, ShouldEqual, len(line))
		}
		So(a.Dropped(), ShouldBeGreaterThan, 500)
		close(out.release)
		a.Close(time.Minute)
		So(out.String(), ShouldContainSubstring, `"msg":"Log lines dropped."`)
		So(out.String(), ShouldContainSubstring, string(line))
	})
	Convey("The pending bytes are limited, however long the reader has stopped", t, func() {
		now := time.Unix(1000, 0)
		a := &Async{out: &bytes.Buffer{}, now: func() time.Time { return now }, wake: make(chan struct{}, 1), done: make(chan struct{})}
		line := []byte(strings.Repeat("z", maxBytesPerSecond))
		for range 10 {
			_, _ = a.Write(line)
			now = now.Add(time.Second)
		}
		So(len(a.pending), ShouldBeLessThanOrEqualTo, maxPendingBytes)
		So(a.Dropped(), ShouldEqual, 10-maxPendingBytes/maxBytesPerSecond)
	})
	Convey("The bytes per second are limited, and each second has its own limit", t, func() {
		var out bytes.Buffer
		now := time.Unix(1000, 0)
		a := &Async{out: &out, now: func() time.Time { return now }, wake: make(chan struct{}, 1), done: make(chan struct{})}
		line := []byte(strings.Repeat("y", maxBytesPerSecond/4))
		for range 6 {
			_, _ = a.Write(line)
		}
		So(a.Dropped(), ShouldEqual, 2)
		now = now.Add(time.Second)
		_, _ = a.Write(line)
		So(a.Dropped(), ShouldEqual, 2)
	})
}
