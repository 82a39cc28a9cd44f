package cli

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/internal/standin/malformed"
)

// answerAll starts a server that answers the nth connection with answer(n) and closes it.
func answerAll(t *testing.T, answer func(n int) string) (address string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, answer(n))
			}
			_ = c.Close()
		}
	}()
	return ln.Addr().String()
}

// Guards against: the tool reports the state that an answer without a valid head, or another
// status, holds.
func TestStatusNeedsAWellFormedAnswer(t *testing.T) {
	const state = `{"name":"vm-1","state":"ready"}`
	Convey("Malformed heads and redirects are errors, a 200 is the daemon's state", t, func() {
		heads := malformed.Heads()
		address := answerAll(t, func(n int) string { return heads[n].Answer("", state) })
		wrong := []string(nil)
		for _, h := range heads {
			if s, err := fetchStatus(context.Background(), address, false); err == nil {
				wrong = append(wrong, fmt.Sprintf("%s: %v", h.Name, s))
			}
		}
		So(wrong, ShouldBeEmpty)
		_, err := fetchStatus(context.Background(), answerAll(t, func(int) string { return "HTTP/1.1 302 Found\r\nContent-Length: 31\r\n\r\n" + state }), false)
		So(err, ShouldNotBeNil)
		s, err := fetchStatus(context.Background(), answerAll(t, func(int) string { return malformed.Head{}.Answer("", state) }), false)
		So(err, ShouldBeNil)
		So(s.Name, ShouldEqual, "vm-1")
	})
}
