package forward

import (
	"context"
	"net"
	"testing"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/valyala/fasthttp"
)

// openAtTheEnd are requests that are open when a shutdown gives up.
type openAtTheEnd struct {
	*harness
	lines                *logtest.Hook
	call, queued, stream *caller
}

// waiting counts the requests that wait for this.
func (o *openRequests) waiting(s waitState) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for x := range o.all {
		if x.waits.current() == waitNames[s] {
			n++
		}
	}
	return n
}

// newOpenAtTheEnd has a call and a stream whose server is silent, and a call without a slot.
func newOpenAtTheEnd(t *testing.T) *openAtTheEnd {
	end := make(chan struct{})
	server := newBackend(t, func(_ int, head, _ string, c net.Conn) bool {
		if headerOf(head, "X-Request-Id") == "stream" {
			writeStreamHead(c, head)
			writeChunk(c, eventText(1))
		}
		<-end
		return false
	})
	o := &openAtTheEnd{harness: newHarness(t, server)}
	t.Cleanup(func() { close(end) })
	logger, lines := logtest.NewNullLogger()
	o.lines, o.server.log = lines, logrus.NewEntry(logger)
	o.broker.unblock, o.broker.blockAfter = make(chan struct{}), 2
	send := func(path, id string) *caller {
		c := o.dial()
		c.send("POST", path, id, "", "body")
		return c
	}
	o.call, o.stream = send("/once/", "call"), send("/stream/", "stream")
	o.waitUntil("the server has both requests", func() bool { return len(server.requests()) == 2 })
	o.queued = send("/once/", "queued")
	o.waitUntil("the third waits for a slot", func() bool { return o.broker.acquireCount() == 3 })
	o.waitUntil("the stream waits for its next event", func() bool { return o.server.open.waiting(waitsForEvents) == 1 })
	return o
}

// giveUp shuts the server down without any time to wait.
func (o *openAtTheEnd) giveUp() error {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return o.server.Shutdown(ctx)
}

// Guards against requests that end with their process and of which no log tells the end.
func TestOpenRequestsAreLoggedWhenAShutdownGivesUp(t *testing.T) {
	Convey("Each request that is open has a line with its server and what it waits for", t, func() {
		o := newOpenAtTheEnd(t)
		So(o.giveUp(), ShouldNotBeNil)
		got := map[any][]any{}
		for _, l := range o.lines.AllEntries() {
			if l.Message == "Not answered by the end of the shutdown." {
				got[l.Data["request"]] = []any{l.Data["waits_for"], l.Data["server"], l.Data["sends"]}
			}
		}
		So(got, ShouldResemble, map[any][]any{
			"call": {"answer", "i-1", 1}, "stream": {"events", "i-1", 1}, "queued": {"slot", nil, nil},
		})
	})
}

// Guards against: a caller gets not one byte as its server has not answered when the process ends.
func TestOpenRequestsAreEndedWhenAShutdownGivesUp(t *testing.T) {
	Convey("A call that may have run gets an answer that promises nothing, one without a slot is refused as not run, a stream is broken off", t, func() {
		o := newOpenAtTheEnd(t)
		So(o.giveUp(), ShouldNotBeNil)
		So(o.server.OpenCounts().Requests, ShouldEqual, 0)
		call, queued, stream := o.call.receive(), o.queued.receive(), o.stream.receive()
		So([]any{call.status, call.body, call.complete}, ShouldResemble, []any{502, "shutting_down\n", true})
		So(call.header.Peek("Retry-After"), ShouldBeEmpty)
		So([]any{queued.status, queued.body, queued.complete}, ShouldResemble, []any{503, "shutting_down\n", true})
		So(queued.header.Peek("Retry-After"), ShouldNotBeEmpty)
		So([]any{stream.status, stream.body, stream.complete}, ShouldResemble, []any{200, eventText(1), false})
		So(o.ends(), ShouldResemble, map[any]string{"call": "Refused.", "queued": "Refused.", "stream": "Stream cut."})
	})
	Convey("A request that is read after that is refused as not run", t, func() {
		o := newOpenAtTheEnd(t)
		So(o.giveUp(), ShouldNotBeNil)
		x := o.server.newExchange(&fasthttp.RequestCtx{})
		ctx, cancel := context.WithCancelCause(context.Background())
		x.cancel = cancel
		o.server.open.add(x)
		So(context.Cause(ctx), ShouldEqual, errShutdown)
	})
}

// ends returns the last line of each request.
func (o *openAtTheEnd) ends() map[any]string {
	out := map[any]string{}
	for _, l := range o.lines.AllEntries() {
		if id := l.Data["request"]; id != nil {
			out[id] = l.Message
		}
	}
	return out
}
