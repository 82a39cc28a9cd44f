package forward

import (
	"fmt"
	"io"
	"net"
	"slices"
	"testing"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/internal/standin/malformed"
	"github.com/lycheekeel/lycheekeel/pool"
)

// malformedBody is a stream, too.
var malformedBody = eventsText(1, 3)

// headAnswers are the ways in which a malformed head may come. It answers the request with the
// head that the request's body names.
func headAnswers() map[string]func(h malformed.Head, fields string) string {
	return map[string]func(h malformed.Head, fields string) string{
		"alone": func(h malformed.Head, f string) string { return h.Answer(f, malformedBody) },
		"after an interim head": func(h malformed.Head, f string) string {
			return "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + h.Answer(f, malformedBody)
		},
		"refused as not run": func(h malformed.Head, f string) string {
			return h.Answer(f+"X-Refused: 1\r\nRetry-After: 9\r\n", malformedBody)
		},
		"of a server that leaves": func(h malformed.Head, f string) string { return h.Answer(f+"X-Leaves: 1\r\n", malformedBody) },
	}
}

// answersWithHeads answers with the malformed head of the number that is the request's body.
func answersWithHeads(answer func(h malformed.Head, fields string) string) script {
	heads := malformed.Heads()
	return func(_ int, head, body string, c net.Conn) bool {
		n := 0
		_, _ = fmt.Sscan(body, &n)
		fields := fmt.Sprintf("X-Request-Id: %s\r\nX-Signed: s\r\n", headerOf(head, "X-Request-Id"))
		_, _ = io.WriteString(c, answer(heads[n], fields))
		return false
	}
}

// Guards against: a malformed head leaves no trace of its server.
func TestMalformedHeadsAreCounted(t *testing.T) {
	Convey("Each is counted by its fault, logged with its server, and the attempt counts against the server", t, func() {
		r := newHarness(t, newBackend(t, answersWithHeads(headAnswers()["alone"])))
		logger, lines := logtest.NewNullLogger()
		r.server.log = logrus.NewEntry(logger)
		for i := range malformed.Heads() {
			r.call("POST", "/once/", fmt.Sprint(i), "", fmt.Sprint(i))
		}
		count, logged := int64(0), 0
		for _, n := range r.server.counters.malformedHeads {
			count += n.Value()
		}
		for _, l := range lines.AllEntries() {
			if l.Message == "Malformed head." && l.Data["server"] == "i-1" && l.Data["fault"] != "" {
				logged++
			}
		}
		So([]int{int(count), logged}, ShouldResemble, []int{len(malformed.Heads()), len(malformed.Heads())})
		So(r.broker.outcomes(), ShouldResemble, slices.Repeat([]pool.Outcome{pool.OutcomeStreamLost}, len(malformed.Heads())))
	})
}

// Guards against: the rest of a stream comes from an answer whose head is malformed.
func TestStreamIsNotResumedFromAMalformedHead(t *testing.T) {
	Convey("A third server continues the stream", t, func() {
		for i, h := range malformed.Heads() {
			broken := newBackend(t, closeFramedEvents(7, "", resets))
			spoiled := newBackend(t, func(_ int, head, _ string, c net.Conn) bool {
				_, _ = io.WriteString(c, h.Answer(fmt.Sprintf("X-Request-Id: %s\r\nX-Signed: s\r\n", headerOf(head, "X-Request-Id")), "id: 8\ndata: malformed\n\n"))
				return false
			})
			r := newHarness(t, broken, spoiled, newBackend(t, streamEvents(20, 0, "")))
			got := r.call("POST", "/resume/", fmt.Sprint(i), "", "x")
			So([]any{h.Name, got.body, got.complete}, ShouldResemble, []any{h.Name, eventsText(1, 20), true})
		}
	})
}

// Guards against: an answer whose head is malformed reaches a caller, repaired or as it came.
func TestMalformedHeadsAreLostAnswers(t *testing.T) {
	for how, answer := range headAnswers() {
		for _, path := range []string{"/once/", "/stream/"} {
			Convey("Where a request may not be sent again, its caller gets a 502; the head comes "+how+", "+path, t, func() {
				b := newBackend(t, answersWithHeads(answer))
				r := newHarness(t, b)
				wrong := []string(nil)
				for i, h := range malformed.Heads() {
					got := r.call("POST", path, fmt.Sprint(i), "", fmt.Sprint(i))
					if got.status != 502 || !got.complete {
						wrong = append(wrong, fmt.Sprintf("%s: %d %q, complete %v", h.Name, got.status, got.body, got.complete))
					}
				}
				So(wrong, ShouldBeEmpty)
				So(b.requests(), ShouldHaveLength, len(malformed.Heads()))
			})
		}
		Convey("The caller of a HEAD gets a 502, too; the head comes "+how, t, func() {
			r := newHarness(t, newBackend(t, answersWithHeads(answer)))
			for i, h := range malformed.Heads() {
				c := r.dial()
				c.send("HEAD", "/once/", fmt.Sprint(i), "", fmt.Sprint(i))
				statusLine, err := c.reader.ReadString('\n')
				So([]any{h.Name, statusLine, err}, ShouldResemble, []any{h.Name, "HTTP/1.1 502 Bad Gateway\r\n", nil})
			}
		})
		for path, sound := range map[string]script{"/again/": echoBody, "/resume/": streamEvents(20, 0, "")} {
			Convey("Where it may, another server answers; the head comes "+how+", "+path, t, func() {
				r := newHarness(t, newBackend(t, answersWithHeads(answer)), newBackend(t, sound))
				r.budget = newTestBudget(10_000)
				wrong := []string(nil)
				for i, h := range malformed.Heads() {
					want := "echo " + fmt.Sprint(i)
					if path == "/resume/" {
						want = eventsText(1, 20)
					}
					if got := r.call("POST", path, fmt.Sprint(i), "", fmt.Sprint(i)); got.status != 200 || got.body != want || !got.complete {
						wrong = append(wrong, fmt.Sprintf("%s: %d %q, complete %v", h.Name, got.status, got.body, got.complete))
					}
					r.admission.leaving.Clear()
				}
				So(wrong, ShouldBeEmpty)
			})
		}
	}
}
