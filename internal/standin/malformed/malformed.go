// Package malformed has answers whose head is malformed, as servers in trouble send them.
package malformed

import "strconv"

// Head is a malformed head of an answer. The zero value is a sound one.
type Head struct {
	// Name tells what is wrong with it.
	Name       string
	statusLine string // empty: that of a 200
	lines      string // the malformed lines, without their last line end
	place      place
	framed     bool // lines take the place of the body's length
}

// place is where in a head its malformed lines are.
type place uint8

const (
	last place = iota
	first
	middle
	places = iota
)

const lineEnd = "\r\n"

// Answer returns an answer of a malformed head and a body. fields are the other lines of its
// head, each with its line end.
func (h Head) Answer(fields, body string) string {
	statusLine := h.statusLine
	if statusLine == "" {
		statusLine = "HTTP/1.1 200 OK"
	}
	length := "Content-Length: " + strconv.Itoa(len(body)) + lineEnd
	if h.framed {
		length = ""
	}
	lines := h.lines
	if lines != "" {
		lines += lineEnd
	}
	head := map[place]string{
		last:   fields + length + lines,
		first:  lines + fields + length,
		middle: fields + lines + length,
	}[h.place]
	return statusLine + lineEnd + head + lineEnd + body
}

// Heads returns the malformed heads.
func Heads() []Head {
	out := append(statusLines(), framings()...)
	for _, line := range []string{
		"X A: b", "Content Type: b", "X-A : b", "X-A\t: b", "\x01X-A: b", "X\x00A: b", "X\x7fA: b", " X-A: b", "\tX-A: b", "X(A): b", "X-\xe4: b",
		": b", "no colon", "X-A: b\x00c", "X-A: \x1b", "X-A: b\x7f", "X-A: b\rc", "X-A: b\nX-B: c",
	} {
		for p := range place(places) {
			out = append(out, Head{Name: strconv.Quote(line) + " " + p.String(), lines: line, place: p})
		}
	}
	return out
}

// statusLines returns the heads with a malformed status line.
func statusLines() (out []Head) {
	for _, status := range []string{"000", "001", "099", "101", "600", "999", "20", "2000", "2x0", "-20", "2 0", ""} {
		out = append(out, Head{Name: "status " + status, statusLine: "HTTP/1.1 " + status + " OK"})
	}
	for _, line := range []string{
		"HTTP/1.1  200 OK", " HTTP/1.1 200 OK", "HTTP/1.1\t200 OK", "HTTP/2.0 200 OK", "HTTP/1.2 200 OK", "HTTP/1 200 OK", "http/1.1 200 OK",
		"ICY 200 OK", "HTTP/1.1 200 O\x00K", "HTTP/1.1 200\tOK", "HTTP/1.1200 OK",
	} {
		out = append(out, Head{Name: strconv.Quote(line), statusLine: line})
	}
	return out
}

// framings returns the heads that don't say clearly where the body ends.
func framings() (out []Head) {
	for _, lines := range []string{
		"Content-Length : 3", "Content-Length\t: 3", "Content Length: 3", " Content-Length: 3", "Content-Length: 3x", "Content-Length: +3", "Content-Length: -3",
		"Content-Length: ", "Content-Length: 0x3", "Content-Length: 3 3", "Content-Length: 3, 3", "Content-Length: 99999999999999999999",
		"Content-Length: 3\r\nContent-Length: 3", "Content-Length: 3\r\nContent-Length: 8", "Content-Length: 3\r\ncontent-length : 8",
		"Content-Length: 3\r\nTransfer-Encoding: chunked", "Transfer-Encoding: chunked\r\nContent-Length: 3", "Transfer Encoding: chunked", "Transfer-Encoding : chunked",
		"Transfer-Encoding: gzip, chunked", "Transfer-Encoding: identity", "Transfer-Encoding: ", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
	} {
		out = append(out, Head{Name: strconv.Quote(lines), lines: lines, framed: true})
	}
	return append(out, Head{Name: "chunks of HTTP/1.0", statusLine: "HTTP/1.0 200 OK", lines: "Transfer-Encoding: chunked", framed: true})
}

func (p place) String() string {
	return [places]string{last: "last", first: "first", middle: "between"}[p]
}
