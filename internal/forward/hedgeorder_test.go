package forward

import (
	"bufio"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/pool"
	"github.com/lycheekeel/lycheekeel/request"
)

// shortSilence starts hedges early.
const shortSilence = 50 * time.Millisecond

func startHedgesEarly(s *stream) { s.events.reply.conn.SetSilenceTimeout(shortSilence) }

// bytesHeldUntilAbort passes on the bytes that follow a silence only once a hedge has
// interrupted the connection. A goroutine that is preempted after its read does the same.
type bytesHeldUntilAbort struct {
	inner  io.Reader
	silent bool
	read   chan struct{} // closed when the bytes were read
}

func (h *bytesHeldUntilAbort) Read(p []byte) (int, error) {
	n, err := h.inner.Read(p)
	if err != nil {
		h.silent = true
	}
	if n > 0 && h.silent {
		h.silent = false
		close(h.read)
		_, _ = h.inner.Read(make([]byte, 1))
	}
	return n, err
}

// holdUntilAbort makes a stream read its server through h.
func holdUntilAbort(h *bytesHeldUntilAbort) func(*stream) {
	return func(s *stream) {
		startHedgesEarly(s)
		conn := s.events.reply.conn
		h.inner = conn.Reader
		conn.Reader = bufio.NewReader(h)
	}
}

// simultaneousCase is a first server that goes on in the moment in which the hedge does.
type simultaneousCase struct {
	name string
	// before and after are what the first server sends before and after its silence.
	before, after func(c net.Conn)
	// next is what the second server sends first, and rest what follows, before its end.
	next, rest string
	withdraw   bool // the key is withdrawn while both attempts are pending
}

func sendChunk(text string) func(net.Conn) { return func(c net.Conn) { writeChunk(c, text) } }

func simultaneousCases() []simultaneousCase {
	return []simultaneousCase{
		{name: "the first server's next event", before: sendChunk(eventsText(1, 3)), after: sendChunk(eventText(4)), next: eventText(4), rest: eventsText(5, 6)},
		{name: "the first server's next event, the key is withdrawn", before: sendChunk(eventsText(1, 3)), after: sendChunk(eventText(4)), next: eventText(4), rest: eventsText(5, 6), withdraw: true},
		{name: "the first server's end of stream", before: sendChunk(eventsText(1, 6)), after: writeStreamEndTo, next: ": alive\n\n"},
	}
}

func writeStreamEndTo(c net.Conn) { writeStreamEnd(c) }

// callSimultaneous forces the case's order and returns the caller's answer.
func callSimultaneous(t *testing.T, c simultaneousCase) result {
	hedged := newTrigger()
	held := &bytesHeldUntilAbort{read: make(chan struct{})}
	firstDropped, firstEventsPassedOn := make(chan struct{}), make(chan struct{})
	first := newBackend(t, func(_ int, head, _ string, conn net.Conn) bool {
		writeStreamHead(conn, head)
		c.before(conn)
		<-hedged.fired
		c.after(conn)
		_, _ = conn.Read(make([]byte, 1))
		close(firstDropped)
		return false
	})
	second := newBackend(t, func(_ int, head, _ string, conn net.Conn) bool {
		hedged.fire()
		writeStreamHead(conn, head)
		<-held.read
		writeChunk(conn, c.next)
		if c.rest == "" {
			writeStreamEnd(conn)
		}
		<-firstDropped
		<-firstEventsPassedOn
		if c.rest != "" {
			writeChunk(conn, c.rest)
			writeStreamEnd(conn)
		}
		return true
	})
	r := newHarnessWithHook(t, holdUntilAbort(held), first, second)
	if c.withdraw {
		hedged.beforeFire = func() { withdrawKey(r) }
	}
	caller := r.dial()
	caller.send("POST", "/resume/", "1", "", "x")
	caller.reader = bufio.NewReader(&signalingReader{inner: caller.Conn, until: c.next, seen: firstEventsPassedOn})
	return caller.receive()
}

// signalingReader closes seen once a text was read in full.
type signalingReader struct {
	inner io.Reader
	until string
	text  string
	seen  chan struct{}
	once  sync.Once
}

func (r *signalingReader) Read(p []byte) (int, error) {
	n, err := r.inner.Read(p)
	r.text += string(p[:n])
	if err != nil || strings.Contains(r.text, r.until) {
		r.once.Do(func() { close(r.seen) })
	}
	return n, err
}

// Guards against cutting a stream, which both of its servers would have continued, because they did so at the same moment.
func TestBothServersContinueAtTheSameMoment(t *testing.T) {
	Convey("The caller gets the complete answer", t, func() {
		for _, c := range simultaneousCases() {
			Convey(c.name, func() {
				got := callSimultaneous(t, c)
				So(got.body, ShouldContainSubstring, eventsText(1, 6))
				So(got.complete, ShouldBeTrue)
			})
		}
	})
}

// Guards against the same cut where no hook orders the two servers' events.
func TestBothServersContinueUnordered(t *testing.T) {
	const streams = 300
	got := make([]result, streams)
	var group sync.WaitGroup
	for i := range streams {
		group.Go(func() { got[i] = callUnordered(t, i%2 == 0) })
	}
	group.Wait()
	var cut [2]int
	for i, g := range got {
		if !g.complete || g.body != eventsText(1, 6) {
			cut[i%2]++
		}
	}
	Convey("No stream is cut, whichever server is written to first", t, func() { So(cut, ShouldResemble, [2]int{}) })
}

// callUnordered has one goroutine write the next event of both servers, and lets each
// server write the rest once the caller has that event.
func callUnordered(t *testing.T, secondFirst bool) result {
	firstConn, passedOn := make(chan net.Conn, 1), make(chan struct{})
	writeRest := func(c net.Conn) {
		<-passedOn
		writeChunk(c, eventsText(5, 6))
		writeStreamEnd(c)
	}
	first := newBackend(t, func(_ int, head, _ string, c net.Conn) bool {
		writeStreamHead(c, head)
		writeChunk(c, eventsText(1, 3))
		firstConn <- c
		writeRest(c)
		return true
	})
	second := newBackend(t, func(_ int, head, _ string, c net.Conn) bool {
		writeStreamHead(c, head)
		other := <-firstConn
		if secondFirst {
			writeChunk(c, eventText(4))
			writeChunk(other, eventText(4))
		} else {
			writeChunk(other, eventText(4))
			writeChunk(c, eventText(4))
		}
		writeRest(c)
		return true
	})
	caller := newHarnessWithHook(t, startHedgesEarly, first, second).dial()
	caller.send("POST", "/resume/", "1", "", "x")
	caller.reader = bufio.NewReader(&signalingReader{inner: caller.Conn, until: eventText(4), seen: passedOn})
	return caller.receive()
}

// brokenCase is a stream whose own server stops after an event, where another would go on.
type brokenCase struct {
	name string
	// silent: the first server stays silent; otherwise it closes its connection.
	silent  bool
	prepare func(r *harness)
	// goesOn: the first server brings an event after its first hedge was not started.
	goesOn bool
}

// staleAt makes the configuration stale in the nth check alone.
func staleAt(nth int) func(r *harness) {
	return func(r *harness) {
		r.admission.onFresh = func(n int) { r.admission.stale.Store(n == nth) }
	}
}

func refuseSecondAcquire(r *harness) {
	r.broker.refusal, r.broker.refuseAfter, r.broker.refuseFirst = request.Refuse(request.ReasonShed, "no slot"), 1, 2
}

func brokenCases() []brokenCase {
	return []brokenCase{
		{name: "closes, its hedge was refused while the configuration was stale", prepare: staleAt(5)},
		{name: "closes, its hedge was not started while no slot was free", prepare: refuseSecondAcquire},
		{name: "stays silent, its hedge was refused while the configuration was stale", silent: true, prepare: staleAt(5)},
		{name: "stays silent, its hedge was not started while the configuration was stale", silent: true, prepare: staleAt(3)},
		{name: "stays silent, its hedge was not started while no slot was free", silent: true, prepare: refuseSecondAcquire},
		{name: "is silent again, its first hedge was not started while no slot was free", silent: true, goesOn: true, prepare: refuseSecondAcquire},
	}
}

// callBroken returns the caller's answer in a case, and how its stream ended in the log.
func callBroken(t *testing.T, c brokenCase) (result, error) {
	hedged := newTrigger()
	var seen *stream
	var r *harness
	first := newBackend(t, func(_ int, head, _ string, conn net.Conn) bool {
		writeStreamHead(conn, head)
		writeChunk(conn, eventsText(1, 3))
		if c.goesOn {
			r.waitUntil("the hedge asked for a slot", func() bool { return r.broker.acquireCount() >= 2 })
			writeChunk(conn, eventText(4))
		}
		if c.silent {
			_, _ = conn.Read(make([]byte, 1))
		} else {
			<-hedged.fired
		}
		return false
	})
	others := newBackend(t, streamEvents(6, 0, ""))
	r = newHarnessWithHook(t, func(s *stream) {
		seen = s
		startHedgesEarly(s)
	}, first, others, others)
	c.prepare(r)
	wrapFire(r, c, hedged)
	caller := r.dial()
	caller.send("POST", "/resume/", "1", "", "x")
	got := caller.receive()
	r.waitUntil("the request has ended", func() bool { return r.server.openRequests.Load() == 0 })
	return got, seen.err
}

// wrapFire fires hedged once the hedge was refused or not started.
func wrapFire(r *harness, c brokenCase, hedged *trigger) {
	if c.silent {
		return
	}
	if r.admission.onFresh != nil {
		inner := r.admission.onFresh
		r.admission.onFresh = func(n int) {
			inner(n)
			if n == 5 {
				hedged.fire()
			}
		}
		return
	}
	go func() {
		r.waitUntil("the hedge asked for a slot", func() bool { return r.broker.acquireCount() >= 2 })
		hedged.fire()
	}()
}

// Guards against cutting a stream, which another server would continue, for an obstacle that has passed.
func TestBrokenStreamIsResumedAfterAPassingObstacle(t *testing.T) {
	cases := brokenCases()
	got, errs := make([]result, len(cases)), make([]error, len(cases))
	var group sync.WaitGroup
	for i, c := range cases {
		group.Go(func() { got[i], errs[i] = callBroken(t, c) })
	}
	group.Wait()
	Convey("Another server continues a stream whose server", t, func() {
		for i, c := range cases {
			Convey(c.name, func() {
				So(errs[i], ShouldBeNil)
				So(got[i].body, ShouldEqual, eventsText(1, 6))
				So(got[i].complete, ShouldBeTrue)
			})
		}
	})
}

// Guards against dropping a silent server, which would have continued its stream, for a comment of another one that then fails.
func TestCommentOfAHedgeDropsNoServer(t *testing.T) {
	hedgeEnded := newTrigger()
	var r *harness
	second := newBackend(t, func(_ int, head, _ string, c net.Conn) bool {
		writeStreamHead(c, head)
		withdrawKey(r)
		writeChunk(c, ": alive\n\n")
		_ = c.Close()
		r.waitUntil("an attempt has ended", func() bool { return len(r.broker.outcomes()) > 0 })
		hedgeEnded.fire()
		return false
	})
	r = newHarnessWithHook(t, startHedgesEarly, newBackend(t, silentUntil(hedgeEnded)), second)
	got := r.call("POST", "/resume/", "1", "", "x")
	Convey("The silent server continues the stream", t, func() {
		So(got.body, ShouldEqual, eventsText(1, 6))
		So(got.complete, ShouldBeTrue)
	})
}

// Guards against losing what another server sends before its first event with an id.
func TestBlocksWithoutAnIDSurviveAHedge(t *testing.T) {
	const last = "data: [DONE]\n\n"
	first := newBackend(t, func(_ int, head, _ string, c net.Conn) bool {
		writeStreamHead(c, head)
		writeChunk(c, eventsText(1, 6))
		_, _ = c.Read(make([]byte, 1))
		return false
	})
	second := newBackend(t, func(_ int, head, _ string, c net.Conn) bool {
		writeStreamHead(c, head)
		writeChunk(c, last)
		writeStreamEnd(c)
		return true
	})
	got := newHarnessWithHook(t, startHedgesEarly, first, second).call("POST", "/resume/", "1", "", "x")
	Convey("The caller gets them", t, func() {
		So(got.body, ShouldEqual, eventsText(1, 6)+last)
		So(got.complete, ShouldBeTrue)
	})
}

const keepOpenComment = ": alive\n\n"

// commentReader sends on processed once the stream reads on after a comment.
type commentReader struct {
	inner     io.Reader
	text      string
	comments  int
	processed chan struct{}
}

func (r *commentReader) Read(p []byte) (int, error) {
	if n := strings.Count(r.text, keepOpenComment); n > r.comments {
		r.comments = n
		r.processed <- struct{}{}
	}
	n, err := r.inner.Read(p)
	r.text += string(p[:n])
	return n, err
}

// Guards against dropping each hedge for a comment of a server that brings no event.
func TestCommentOfASilentServerDropsNoHedge(t *testing.T) {
	const maxHedges = 2 // three attempts are allowed
	asked := make(chan struct{}, maxHedges)
	comments := &commentReader{processed: make(chan struct{}, maxHedges)}
	first := newBackend(t, func(_ int, head, _ string, c net.Conn) bool {
		writeStreamHead(c, head)
		writeChunk(c, eventsText(1, 3))
		go func() {
			for range maxHedges {
				<-asked
				writeChunk(c, keepOpenComment)
			}
		}()
		_, _ = c.Read(make([]byte, 1))
		return false
	})
	others := newBackend(t, func(_ int, head, _ string, c net.Conn) bool {
		writeStreamHead(c, head)
		asked <- struct{}{}
		<-comments.processed
		writeChunk(c, eventsText(4, 6))
		writeStreamEnd(c)
		return true
	})
	r := newHarnessWithHook(t, func(s *stream) {
		startHedgesEarly(s)
		comments.inner = s.events.reply.conn.Reader
		s.events.reply.conn.Reader = bufio.NewReader(comments)
	}, first, others, others)
	got := r.call("POST", "/resume/", "1", "", "x")
	Convey("The other server continues the stream", t, func() {
		So(strings.ReplaceAll(got.body, keepOpenComment, ""), ShouldEqual, eventsText(1, 6))
		So(got.complete, ShouldBeTrue)
	})
}

// Guards against a slot that a broken server's attempt holds while the other server is waited for.
func TestBrokenServerFreesItsSlotDuringAHedge(t *testing.T) {
	hedged, released := newTrigger(), newTrigger()
	first := newBackend(t, func(_ int, head, _ string, c net.Conn) bool {
		writeStreamHead(c, head)
		writeChunk(c, eventsText(1, 3))
		<-hedged.fired
		return false
	})
	second := newBackend(t, func(_ int, head, _ string, c net.Conn) bool {
		writeStreamHead(c, head)
		hedged.fire()
		<-released.fired
		writeChunk(c, eventsText(4, 6))
		writeStreamEnd(c)
		return true
	})
	r := newHarnessWithHook(t, startHedgesEarly, first, second)
	r.broker.onRelease = released.fire
	got := r.call("POST", "/resume/", "1", "", "x")
	Convey("The second server continues the stream after the first one's slot was freed", t, func() {
		So(got.body, ShouldEqual, eventsText(1, 6))
		So(got.complete, ShouldBeTrue)
		So(r.broker.outcomes(), ShouldResemble, []pool.Outcome{pool.OutcomeStreamLost, pool.OutcomeDone})
	})
}
