package httpconn

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/valyala/fasthttp"

	"github.com/lycheekeel/lycheekeel/internal/standin/malformed"
)

const testFields = "X-Request-Id: 1\r\nX-Signed: s\r\n"

// headReaders are the ways in which the bytes of a head may arrive.
var headReaders = map[string]func(io.Reader) io.Reader{
	"at once":      func(r io.Reader) io.Reader { return r },
	"byte by byte": iotest.OneByteReader,
}

func readerOf(answer string, arrives func(io.Reader) io.Reader) *bufio.Reader {
	return bufio.NewReaderSize(arrives(strings.NewReader(answer)), bufferBytes)
}

// Guards against: what is no head is taken for one, however its bytes arrive.
func TestMalformedHeads(t *testing.T) {
	for how, arrives := range headReaders {
		Convey("None is taken for an answer, also after an interim one; their bytes arrive "+how, t, func() {
			for _, h := range malformed.Heads() {
				for _, before := range []string{"", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"} {
					if err := awaitHead(readerOf(before+h.Answer(testFields, "body"), arrives), "server"); headFault(err) == "" {
						t.Errorf("%s: %v", h.Name, err)
					}
				}
			}
		})
	}
	Convey("A fault is found before the head is whole, so that nobody waits for the rest", t, func() {
		for begin, fault := range map[string]HeadFault{
			"HTTP/1.1 000 No\r\n": FaultStatus, "X": FaultProtocol, "HTTQ": FaultProtocol, "\r\n": FaultProtocol, "HTTP/1.1 200 OK\r\nX A: b\r\n": FaultName, "HTTP/1.1 200 OK\n": FaultLineEnd,
		} {
			r := bufio.NewReaderSize(io.MultiReader(strings.NewReader(begin), iotest.ErrReader(errors.New("read too far"))), bufferBytes)
			So(headFault(awaitHead(r, "server")), ShouldEqual, fault)
		}
	})
	Convey("One without end, and interim answers without end, are given up", t, func() {
		line := "X-More: and more\r\n"
		So(headFault(awaitHead(readerOf("HTTP/1.1 200 OK\r\n"+strings.Repeat(line, bufferBytes/len(line)+1), headReaders["at once"]), "server")), ShouldEqual, FaultTooLarge)
		So(headFault(awaitHead(readerOf(strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", maxInterimAnswers+1), headReaders["at once"]), "server")), ShouldEqual, FaultInterim)
	})
	Convey("One that is cut is no head", t, func() {
		whole := "HTTP/1.1 200 OK\r\n" + testFields + "\r\n"
		for n := 1; n < len(whole); n++ {
			So(awaitHead(readerOf(whole[:n], headReaders["at once"]), "server"), ShouldEqual, io.ErrUnexpectedEOF)
		}
		So(awaitHead(readerOf("", headReaders["at once"]), "server"), ShouldEqual, io.EOF)
	})
}

// headFault returns the fault of an error; empty if it is none of a head.
func headFault(err error) HeadFault {
	var malformedHead *HeadError
	if errors.As(err, &malformedHead) {
		return malformedHead.Fault
	}
	return ""
}

// Guards against: a head that servers may write is taken for a malformed one.
func TestWellFormedHeads(t *testing.T) {
	for how, arrives := range headReaders {
		Convey("Each is left to the library, which reads what its bytes say; they arrive "+how, t, func() {
			for status, answer := range map[int]string{
				200: malformed.Head{}.Answer(testFields, "body"),
				201: "HTTP/1.1 201\r\n" + testFields + "Content-Length: 4\r\n\r\nbody",
				202: "HTTP/1.1 202 \r\n" + testFields + "content-LENGTH:4\r\n\r\nbody",
				203: "HTTP/1.0 203 \xe4\tb\r\n" + testFields + "\r\nbody",
				204: "HTTP/1.1 204 No Content\r\n" + testFields + "\r\n",
				206: "HTTP/1.1 206 OK\r\n" + testFields + "transfer-encoding:\tChunked \r\nX-Empty:\r\nX!#$%&'*+-.^_`|~9: \xff:\t:\r\n\r\n0\r\n\r\n",
				304: "HTTP/1.1 304 Not Modified\r\n" + testFields + "Content-Length: 000000000000000004\r\n\r\n",
				404: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 404 Not Found\r\n" + testFields + "\r\n",
				599: strings.Repeat("HTTP/1.1 199 Wait\r\nX: y\r\n\r\n", maxInterimAnswers-1) + "HTTP/1.1 599 OK\r\n" + testFields + "\r\n",
			} {
				r := readerOf(answer, arrives)
				So(awaitHead(r, "server"), ShouldBeNil)
				var h fasthttp.ResponseHeader
				So(h.Read(r), ShouldBeNil)
				So(h.StatusCode(), ShouldEqual, status)
				So(string(h.Peek("X-Signed")), ShouldEqual, "s")
			}
		})
	}
	Convey("No memory is allocated for it", t, func() {
		answer := malformed.Head{}.Answer(testFields, "body")
		source := strings.NewReader(answer)
		r := bufio.NewReaderSize(source, bufferBytes)
		So(testing.AllocsPerRun(100, func() {
			source.Reset(answer)
			r.Reset(source)
			if err := awaitHead(r, "server"); err != nil {
				t.Error(err)
			}
		}), ShouldEqual, 0)
	})
}

func BenchmarkAwaitHead(b *testing.B) {
	answer := malformed.Head{}.Answer(testFields+"X-Proof: 3e1b.07.5a2.600.0.c9f2a4d1\r\nContent-Type: text/event-stream\r\n", "body")
	source := strings.NewReader(answer)
	r := bufio.NewReaderSize(source, bufferBytes)
	for b.Loop() {
		source.Reset(answer)
		r.Reset(source)
		if err := awaitHead(r, "server"); err != nil {
			b.Fatal(err)
		}
	}
}
