package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	standin "github.com/lycheekeel/lycheekeel/internal/standin/engine"
	"github.com/lycheekeel/lycheekeel/request"
)

// sendRaw sends the text unchanged and returns the first response with its body.
func (r *rig) sendRaw(text string) (*http.Response, []byte) {
	conn := r.dial()
	defer conn.Close()
	if _, err := io.WriteString(conn, text); err != nil {
		r.tb.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		r.tb.Fatalf("%q: %v", text, err)
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	return resp, body
}

// requestHead is the start of a raw chat request.
const requestHead = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + testKey + "\r\n"

func TestBadInputGetsATypedRefusal(t *testing.T) {
	const chat = pathChat
	validBody := string(chatBody(testModel, "echo:x", false))
	type call struct {
		name, path, body string
		header           []string
		want             request.Reason
	}
	calls := []call{
		{"empty body", chat, "", nil, request.ReasonBadRequest},
		{"not JSON", chat, "{", nil, request.ReasonBadRequest},
		{"trailing JSON", chat, validBody + "{}", nil, request.ReasonBadRequest},
		{"invalid UTF-8", chat, strings.Replace(validBody, "echo:x", "echo:\xff", 1), nil, request.ReasonBadRequest},
		{"no model", chat, `{"messages":[{"role":"user","content":"x"}]}`, nil, request.ReasonBadRequest},
		{"no messages", chat, `{"model":"writer"}`, nil, request.ReasonBadRequest},
		{"image content", chat, `{"model":"writer","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, nil, request.ReasonBadRequest},
		{"negative max_tokens", chat, strings.Replace(validBody, "{", `{"max_tokens":-1,`, 1), nil, request.ReasonBadRequest},
		{"max_tokens over the maximum", chat, strings.Replace(validBody, "{", `{"max_tokens":999999999999,`, 1), nil, request.ReasonBadRequest},
		{"fractional max_tokens", chat, strings.Replace(validBody, "{", `{"max_tokens":1.5,`, 1), nil, request.ReasonBadRequest},
		{"n over 1", chat, strings.Replace(validBody, "{", `{"n":2,`, 1), nil, request.ReasonBadRequest},
		{"over 1 MiB", chat, `{"model":"` + strings.Repeat("x", 1<<20) + `"}`, nil, request.ReasonBodyTooLarge},
		{"far over the limit", chat, strings.Repeat("x", 12<<20), nil, request.ReasonBodyTooLarge},
		{"long body without a key", chat, strings.Repeat("x", 12<<20), []string{"Authorization", ""}, request.ReasonUnauthorized},
		{"unknown model", chat, string(chatBody("nobody", "x", false)), nil, request.ReasonUnknownModel},
		{"model without servers", chat, string(chatBody("nowhere", "x", false)), nil, request.ReasonNoServer},
		{"unknown key", chat, validBody, []string{"Authorization", "Bearer nobody"}, request.ReasonUnauthorized},
		{"no key", chat, validBody, []string{"Authorization", ""}, request.ReasonUnauthorized},
		{"unknown tier", chat, validBody, []string{headerTier, "golden"}, request.ReasonTierNotAllowed},
		{"negative deadline", chat, validBody, []string{headerDeadline, "-5"}, request.ReasonDeadlineInvalid},
		{"deadline without digits", chat, validBody, []string{headerDeadline, "soon"}, request.ReasonDeadlineInvalid},
		{"deadline over the maximum", chat, validBody, []string{headerDeadline, "99999999999999999999"}, request.ReasonDeadlineInvalid},
		{"no idempotency key", chat, string(chatBody("once", "x", false)), nil, request.ReasonClaimKeyMissing},
		{"idempotency key over the maximum length", chat, validBody, []string{headerIdempotencyKey, strings.Repeat("k", 300)}, request.ReasonBadRequest},
		{"unknown path", "/v2/chat", validBody, nil, request.ReasonUnknownPath},
		{"unknown service", "/services/nobody/x", "", nil, request.ReasonUnknownService},
		{"relative path", "/services/booking/a/%2e%2e/confirm", "", nil, request.ReasonBadRequest},
		{"encoded slash", "/services/booking/a%2Fb", "", nil, request.ReasonBadRequest},
		{"non-idempotent call without a key", "/services/booking/confirm", "", nil, request.ReasonClaimKeyMissing},
	}
	Convey("Each invalid request gets its own refusal, which is counted, and nothing runs", t, func() {
		r := newRig(t, standin.Options{}, Limits{}, longSilence)
		for _, c := range calls {
			Convey(c.name, func() {
				resp, body := r.post(c.path, []byte(c.body), c.header...)
				code, notRun := refusalOf(body)
				So(code, ShouldEqual, string(c.want))
				So(notRun, ShouldEqual, true)
				So(resp.StatusCode, ShouldEqual, c.want.Status())
				So(r.counter(groupRefusals, string(c.want)), ShouldEqual, 1)
				So(r.engine.Runs(), ShouldBeEmpty)
			})
		}
	})
}

// Guards against: request smuggling, by which a caller gets the answer to another's request.
func TestAmbiguousFramingIsRefused(t *testing.T) {
	body := string(chatBody(testModel, "echo:x", false))
	length := strconv.Itoa(len(body))
	Convey("A request with an ambiguous length is refused and its connection closed", t, func() {
		r := newRig(t, standin.Options{}, Limits{}, longSilence)
		for name, text := range map[string]string{
			"both lengths":       requestHead + "Content-Length: " + length + "\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + body,
			"two lengths":        requestHead + "Content-Length: " + length + "\r\nContent-Length: 3\r\n\r\n" + body,
			"a list of lengths":  requestHead + "Content-Length: " + length + ", 3\r\n\r\n" + body,
			"a signed length":    requestHead + "Content-Length: +" + length + "\r\n\r\n" + body,
			"a negative length":  requestHead + "Content-Length: -1\r\n\r\n" + body,
			"an unknown coding":  requestHead + "Transfer-Encoding: xchunked\r\n\r\n" + body,
			"two codings":        requestHead + "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n",
			"space before colon": requestHead + "Content-Length : " + length + "\r\n\r\n" + body,
			"a broken chunk":     requestHead + "Transfer-Encoding: chunked\r\n\r\nzz\r\n" + body,
		} {
			Convey(name, func() {
				resp, answer := r.sendRaw(text)
				code, notRun := refusalOf(answer)
				So(code, ShouldEqual, string(request.ReasonBadRequest))
				So(notRun, ShouldEqual, true)
				So(resp.Close, ShouldBeTrue)
				So(r.engine.Runs(), ShouldBeEmpty)
			})
		}
		Convey("a folded line continues a header's value and is never a header (RFC 9112, 5.2)", func() {
			resp, answer := r.sendRaw(requestHead + "X-A: b\r\n Content-Length: 3\r\nContent-Length: " + length + "\r\n\r\n" + body)
			So(resp.StatusCode, ShouldEqual, http.StatusOK)
			So(string(answer), ShouldContainSubstring, `"content":"x"`)
		})
	})
}

// Guards against: slow callers occupy all connections while the entry is idle.
func TestSlowCallersAreRefused(t *testing.T) {
	Convey("A caller that does not send its request in time is refused", t, func() {
		r := newRig(t, standin.Options{}, Limits{ReadTimeout: 50 * time.Millisecond}, longSilence)
		for name, text := range map[string]string{
			"within the header": requestHead + "X-A: ",
			"within the body":   requestHead + "Content-Length: 100000\r\n\r\n{",
			"within a chunk":    requestHead + "Transfer-Encoding: chunked\r\n\r\n10\r\n{",
		} {
			Convey(name, func() {
				_, answer := r.sendRaw(text)
				code, notRun := refusalOf(answer)
				So(code, ShouldEqual, string(request.ReasonReadTimeout))
				So(notRun, ShouldEqual, true)
				So(r.entry.account.Used(), ShouldEqual, 0)
			})
		}
		Convey("memory is reserved for received bytes, not for the announced length", func() {
			r := newRig(t, standin.Options{}, Limits{ReadTimeout: waitLimit}, longSilence)
			conn := r.dial()
			const sent = 20_000
			fmt.Fprintf(conn, "%sContent-Length: 1000000\r\n\r\n%s", requestHead, strings.Repeat(" ", sent))
			r.eventually("body is read", func() bool { return r.entry.account.Used() >= sent+requestOverhead })
			So(r.entry.account.Used(), ShouldBeLessThan, 2*sent+requestOverhead)
			So(conn.Close(), ShouldBeNil)
			r.eventually("memory is released", func() bool { return r.entry.account.Used() == 0 })
		})
	})
}

// Guards against: an entry runs out of file descriptors and accepts no connection.
func TestConnectionsAreBounded(t *testing.T) {
	Convey("Given requests that wait on as many connections as may be open, another one gets a typed refusal, and a closed one makes room", t, func() {
		r := newRig(t, standin.Options{}, Limits{MaxConnections: 2}, longSilence)
		body := string(chatBody(testModel, "echo:x", false))
		text := fmt.Sprintf("%sConnection: close\r\nContent-Length: %d\r\n\r\n%s", requestHead, len(body), body)
		r.broker.hold.Store(true)
		first, second := r.dial(), r.dial()
		defer second.Close()
		for _, c := range []net.Conn{first, second} {
			_, err := c.Write([]byte(text))
			So(err, ShouldBeNil)
		}
		r.eventually("both requests wait", func() bool { return r.broker.waiting.Load() == 2 })
		resp, answer := r.sendRaw(text)
		code, notRun := refusalOf(answer)
		So(code, ShouldEqual, string(request.ReasonTooManyConnections))
		So(notRun, ShouldEqual, true)
		So(resp.Header.Get("Retry-After"), ShouldNotBeEmpty)
		So(r.counter(groupRefusals, code), ShouldEqual, 1)
		r.broker.hold.Store(false)
		So(first.Close(), ShouldBeNil)
		r.eventually("a new connection is accepted", func() bool {
			resp, _ := r.sendRaw(text)
			return resp.StatusCode == http.StatusOK
		})
	})
}

func TestEveryReasonHasItsCounterAndStatus(t *testing.T) {
	Convey("Each refusal reason has a counter from the start, a type, a status and a line in the operators' page", t, func() {
		r := newRig(t, standin.Options{}, Limits{}, longSilence)
		seen := r.metrics.JSON()
		page, err := os.ReadFile("../../docs/operators/refusals.md")
		So(err, ShouldBeNil)
		So(len(request.Reasons()), ShouldBeGreaterThan, 25)
		for _, reason := range request.Reasons() {
			So(seen, ShouldContainSubstring, `"`+string(reason)+`": 0`)
			So(errorType(reason), ShouldNotBeEmpty)
			So(string(page), ShouldContainSubstring, fmt.Sprintf("\n| `%s` | %d |", reason, reason.Status()))
			So(reason.Status(), ShouldBeBetween, 399, 600)
		}
		Convey("and Retry-After is in whole seconds with jitter, for reasons where a retry can help", func() {
			seen := map[int]bool{}
			for range 200 {
				s := retrySeconds(request.Refuse(request.ReasonShed, "x").WithRetryAfter(10 * time.Second))
				So(s, ShouldBeBetweenOrEqual, 10, 15)
				seen[s] = true
			}
			So(len(seen), ShouldBeGreaterThan, 3)
			So(retrySeconds(request.Refuse(request.ReasonShed, "x").WithRetryAfter(time.Millisecond)), ShouldBeGreaterThanOrEqualTo, 1)
			So(retrySeconds(request.Refuse(request.ReasonBadRequest, "x")), ShouldEqual, 0)
		})
	})
}
