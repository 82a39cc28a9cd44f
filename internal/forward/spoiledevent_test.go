package forward

import (
	"fmt"
	"net"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// lastOfStream is the id of the last event of the streams that are spoiled.
const lastOfStream = 9

// spoilings change one event, so that its caller or the next reader can't place it any more.
var spoilings = map[string]func(event string, id int) string{
	"another number":      func(e string, id int) string { return replaceID(e, id, fmt.Sprintf(" %d", id+4)) },
	"a negative number":   func(e string, id int) string { return replaceID(e, id, fmt.Sprintf(" -%d", id)) },
	"a sign":              func(e string, id int) string { return replaceID(e, id, fmt.Sprintf(" +%d", id)) },
	"more than an int64":  func(e string, id int) string { return replaceID(e, id, " 99999999999999999999") },
	"no id":               func(e string, _ int) string { return e[strings.Index(e, "data:"):] },
	"an empty id":         func(e string, id int) string { return replaceID(e, id, "") },
	"a letter behind":     func(e string, id int) string { return replaceID(e, id, fmt.Sprintf(" %dx", id)) },
	"another field":       func(e string, _ int) string { return strings.Replace(e, "id:", "ie:", 1) },
	"both fields changed": func(e string, _ int) string { return strings.NewReplacer("id:", "ie:", "data:", "dbta:").Replace(e) },
	"no colon":            func(e string, id int) string { return strings.Replace(e, "id: ", "id", 1) },
	"no blank line":       func(e string, _ int) string { return strings.TrimSuffix(e, "\n") },
}

func replaceID(event string, id int, with string) string {
	return strings.Replace(event, fmt.Sprintf("id: %d", id), "id:"+with, 1)
}

// spoiledStream is the events after from, one chunk each or in chunks of three, with one spoiled.
func spoiledStream(from, spoiled int, spoil func(string, int) string, together bool) script {
	var chunks []string
	for id := from + 1; id <= lastOfStream; id++ {
		event := eventText(id)
		if id == spoiled {
			event = spoil(event, id)
		}
		if together && len(chunks) > 0 && id%3 != 1 {
			chunks[len(chunks)-1] += event
		} else {
			chunks = append(chunks, event)
		}
	}
	return writesEvents(chunks...)
}

// resumedStream answers with the events after Last-Event-Id, or all if that is no number.
func resumedStream(n int, head, body string, c net.Conn) bool {
	from := 0
	_, _ = fmt.Sscanf(headerOf(head, "Last-Event-Id"), "%d", &from)
	return writesEvents(eventsText(max(0, from)+1, lastOfStream))(n, head, body, c)
}

// eachSpoiling calls f for each way to spoil an event of a stream that begins after from.
func eachSpoiling(from int, f func(name string, spoiled int, s script)) {
	for how, spoil := range spoilings {
		for _, spoiled := range []int{from + 1, from + 4, lastOfStream} {
			for _, together := range []bool{false, true} {
				name := fmt.Sprintf("%s, event %d, together with others: %v", how, spoiled, together)
				f(name, spoiled, spoiledStream(from, spoiled, spoil, together))
			}
		}
	}
}

// Guards against: a stream of which an event was spoiled looks complete without it, or brings it twice.
func TestSpoiledEventsAreNotPassedOn(t *testing.T) {
	eachSpoiling(0, func(name string, spoiled int, s script) {
		Convey("The caller gets the rest from another server: "+name, t, func() {
			r := newHarness(t, newBackend(t, s), newBackend(t, resumedStream))
			got := r.call("POST", "/resume/", "1", "", "x")
			So(got.body, ShouldEqual, eventsText(1, lastOfStream))
			So(got.complete, ShouldBeTrue)
		})
		Convey("A stream that can't be resumed does not look complete: "+name, t, func() {
			r := newHarness(t, newBackend(t, s))
			got := r.call("POST", "/stream/", "1", "", "x")
			if got.status == 200 {
				So(got.complete, ShouldBeFalse)
				So(eventsText(1, spoiled-1), ShouldStartWith, got.body)
			} else {
				So(got.status, ShouldEqual, 502)
			}
		})
	})
}

// Guards against: events are lost where a stream goes on, because the first one there was spoiled.
func TestSpoiledEventsOfATakenUpStream(t *testing.T) {
	eachSpoiling(3, func(name string, _ int, s script) {
		Convey("Its caller gets what follows the event that it named: "+name, t, func() {
			r := newHarness(t, newBackend(t, s), newBackend(t, resumedStream))
			got := r.call("POST", "/resume/", "1", "Last-Event-Id: 3\r\n", "x")
			So(got.body, ShouldEqual, eventsText(4, lastOfStream))
			So(got.complete, ShouldBeTrue)
		})
		Convey("So does the caller of a stream that was resumed before: "+name, t, func() {
			breaksOff := func(n int, head, body string, c net.Conn) bool {
				writeStreamHead(c, head)
				writeChunk(c, eventsText(1, 3))
				return false
			}
			r := newHarness(t, newBackend(t, breaksOff), newBackend(t, s), newBackend(t, resumedStream))
			got := r.call("POST", "/resume/", "1", "", "x")
			So(got.body, ShouldEqual, eventsText(1, lastOfStream))
			So(got.complete, ShouldBeTrue)
		})
	})
	for _, named := range []string{"0", "-5", "none", "99999999999999999999"} {
		Convey("What names no event is no reason to begin anywhere: "+named, t, func() {
			spoiled := spoiledStream(0, 1, spoilings["another number"], false)
			r := newHarness(t, newBackend(t, spoiled), newBackend(t, func(n int, _, body string, c net.Conn) bool {
				return writesEvents(eventsText(1, lastOfStream))(n, "X-Request-Id: 1\r\n", body, c)
			}))
			got := r.call("POST", "/resume/", "1", "Last-Event-Id: "+named+"\r\n", "x")
			So(got.body, ShouldEqual, eventsText(1, lastOfStream))
			So(got.complete, ShouldBeTrue)
		})
	}
}

// Guards against: a hedge whose first event is spoiled takes over a silent stream.
func TestSpoiledEventOfAHedgeDropsNoServer(t *testing.T) {
	for _, how := range []string{"another number", "no id", "a negative number"} {
		Convey("The silent server continues the stream; the hedge's event has "+how, t, func() {
			hedgeEnded := newTrigger()
			var r *harness
			spoiled := newBackend(t, func(_ int, head, _ string, c net.Conn) bool {
				writeStreamHead(c, head)
				writeChunk(c, spoilings[how](eventText(4), 4)+eventsText(5, 6))
				r.waitUntil("the hedge has ended", func() bool { return len(r.broker.outcomes()) > 0 })
				hedgeEnded.fire()
				return false
			})
			r = newHarnessWithHook(t, startHedgesEarly, newBackend(t, silentUntil(hedgeEnded)), spoiled)
			got := r.call("POST", "/resume/", "1", "", "x")
			So(got.body, ShouldEqual, eventsText(1, 6))
			So(got.complete, ShouldBeTrue)
		})
	}
}

// Guards against: blocks that are no events end a stream.
func TestBlocksWithoutEventsArePassedOn(t *testing.T) {
	Convey("Comments, waits and names of events reach the caller, and so do events with other fields", t, func() {
		text := ": hello\n\nretry: 3000\n\nx-version: 3\n" + eventText(1) + ":\n\nevent: ping\n\n" + eventsText(2, 3) + "event: end\n" + eventText(4) + ": bye\n\n"
		for _, path := range []string{"/stream/", "/resume/"} {
			got := newHarness(t, newBackend(t, writesEvents(text))).call("POST", path, "1", "", "x")
			So(got.body, ShouldEqual, text)
			So(got.complete, ShouldBeTrue)
		}
	})
}

// Guards against: an operator can't tell which server's streams are faulty.
func TestMalformedEventsAreCounted(t *testing.T) {
	for how, fault := range map[string]eventFault{
		"another number": faultOutOfOrder, "no id": faultUnnumbered, "no blank line": faultTruncated,
	} {
		Convey(fmt.Sprintf("%s counts as %s", how, fault), t, func() {
			r := newHarness(t, newBackend(t, spoiledStream(0, lastOfStream, spoilings[how], false)), newBackend(t, resumedStream))
			r.call("POST", "/resume/", "1", "", "x")
			for _, f := range eventFaults() {
				want := int64(0)
				if f == fault {
					want = 1
				}
				So(r.metrics.Counter("malformed_events", string(f)).Value(), ShouldEqual, want)
			}
		})
	}
}
