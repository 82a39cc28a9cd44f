package forward

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// spoilingBytes replace one byte of a stream; the empty text loses it.
var spoilingBytes = []string{"", ".", ":", " ", "x", "\n", "\x00"}

// plainEvents are six events; one tells of another version of its server's weights.
func plainEvents() []string {
	events := make([]string, 6)
	for i := range events {
		events[i] = eventText(i + 1)
	}
	events[2] = "x-weight-versions: 3\n" + events[2]
	return events
}

// parseEvents returns the ids and data of the events that a caller sees in a stream.
func parseEvents(body string) (events []string) {
	id, data := "", []string(nil)
	for _, line := range strings.Split(body, "\n") {
		name, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch {
		case line == "" && data != nil:
			events = append(events, id+"="+strings.Join(data, "\n"))
			data = nil
		case name == "id":
			id = value
		case name == "data":
			data = append(data, value)
		}
	}
	return events
}

// isWhole tells whether a caller of the six events has each once, in order and in one piece.
// Data in which one byte has changed looks like any other.
func isWhole(body string) bool {
	return slices.EqualFunc(parseEvents(body), parseEvents(strings.Join(plainEvents(), "")), func(got, want string) bool {
		from, to := 0, 0
		for from < min(len(got), len(want)) && got[from] == want[from] {
			from++
		}
		for to < min(len(got), len(want))-from && got[len(got)-1-to] == want[len(want)-1-to] {
			to++
		}
		return from+to >= max(len(got), len(want))-1
	})
}

// spoiledStreams calls f with the six events for each byte of the first, third and last that is
// spoiled.
func spoiledStreams(f func(what, stream string)) {
	for _, spoiled := range []int{0, 2, 5} {
		for at := range plainEvents()[spoiled] {
			for _, with := range spoilingBytes {
				events := plainEvents()
				events[spoiled] = events[spoiled][:at] + with + events[spoiled][at+1:]
				f(fmt.Sprintf("byte %d of event %d is %q", at, spoiled+1, with), strings.Join(events, ""))
			}
		}
	}
}

// writesBodyOnce answers a request with its own body as a stream; one that comes again gets
// those of the six events that come after Last-Event-Id.
func writesBodyOnce() script {
	var seen sync.Map
	return func(n int, head, body string, c net.Conn) bool {
		if _, again := seen.LoadOrStore(headerOf(head, "X-Request-Id"), true); !again {
			return writesEvents(body)(n, head, body, c)
		}
		from := 0
		_, _ = fmt.Sscanf(headerOf(head, "Last-Event-Id"), "%d", &from)
		return writesEvents(strings.Join(plainEvents()[from:], ""))(n, head, body, c)
	}
}

// Guards against: one changed byte joins two events, or hides one, in a stream that looks complete.
func TestSpoiledByteHidesNoEvent(t *testing.T) {
	for path, resumable := range map[string]bool{"/resume/": true, "/stream/": false} {
		Convey("A stream looks complete only if its caller has each event once; one that may be resumed is: "+path, t, func() {
			s := writesBodyOnce()
			r := newHarness(t, newBackend(t, s), newBackend(t, s))
			r.budget = newTestBudget(10_000)
			all, wrong := 0, []string(nil)
			spoiledStreams(func(what, stream string) {
				all++
				got := r.call("POST", path, fmt.Sprint(all), "", stream)
				if got.complete && got.status == 200 && !isWhole(got.body) || resumable && !got.complete {
					wrong = append(wrong, fmt.Sprintf("%s: complete %v, %q", what, got.complete, got.body))
				}
			})
			t.Logf("%s: %d of %d wrong", path, len(wrong), all)
			So(wrong, ShouldBeEmpty)
		})
	}
}

// Guards against: events with several lines of data, comments or unknown fields end a stream.
func TestEventsOfSeveralLinesArePassedOn(t *testing.T) {
	Convey("Each is passed on as it came", t, func() {
		for _, text := range []string{
			"id: 1\ndata: a\ndata: b\n\nid: 2\ndata\ndata:\n\n",
			"x-weight-versions: 3\nid: 1\n: id: 2\ndata: a\n:id: 3\ndata: b\n\n",
			"event: e\nid: 1\ndata: a\nuid: 7\nx_trace-2: 4\ndata: id: 2\n\n",
			"uid: 2\nid: 1\ndata: a\n\nid: 2\ndata: b\nuid: 3\n\n",
			"data: a\nid: 1\n\ndata: b\nid: 2\n\n",
		} {
			got := newHarness(t, newBackend(t, writesEvents(text))).call("POST", "/stream/", "1", "", "x")
			So(got.body, ShouldEqual, text)
			So(got.complete, ShouldBeTrue)
		}
	})
}
