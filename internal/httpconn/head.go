package httpconn

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strings"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lycheekeel/lycheekeel/engine"
)

// HeadFault is what is wrong with a malformed head, as logs and metrics name it.
type HeadFault string

// The faults of heads.
const (
	FaultProtocol HeadFault = "protocol" // it does not begin as an answer of HTTP/1.0 or HTTP/1.1
	FaultStatus   HeadFault = "status"   // no status that an answer may have
	FaultLineEnd  HeadFault = "line_end" // a line does not end with CR and LF
	FaultName     HeadFault = "name"     // a field's name is no token, or something is between it and the colon
	FaultValue    HeadFault = "value"    // control bytes in a field's value, or in the reason phrase
	FaultFraming  HeadFault = "framing"  // it does not say clearly where the body ends
	FaultTooLarge HeadFault = "too_large"
	FaultInterim  HeadFault = "interim" // too many interim answers
)

// HeadFaults returns all faults.
func HeadFaults() []HeadFault {
	return []HeadFault{FaultProtocol, FaultStatus, FaultLineEnd, FaultName, FaultValue, FaultFraming, FaultTooLarge, FaultInterim}
}

// HeadError is the error of an answer whose head is malformed. It wraps engine.ErrConnectionLost:
// such an answer says nothing, also not that the request was not run.
type HeadError struct {
	Address string // of the server
	Fault   HeadFault
	Line    int // of the head, from 1, the status line
}

// Error implements error.
func (e *HeadError) Error() string {
	return fmt.Sprintf("%s: malformed head: %s in line %d: %v", e.Address, e.Fault, e.Line, engine.ErrConnectionLost)
}

// Unwrap lets errors.Is find engine.ErrConnectionLost.
func (e *HeadError) Unwrap() error { return engine.ErrConnectionLost }

// AwaitHead waits for the head of the answer, and discards the interim ones before it. If it
// returns nil, the Reader stands at a whole and well-formed head. Any error wraps
// engine.ErrConnectionLost; that of a malformed head is a *HeadError.
//
// The HTTP library repairs heads while it reads them, so that neither their status nor their
// fields may be used before their bytes were checked here.
func (c *Conn) AwaitHead() error {
	err := awaitHead(c.Reader, c.pool.address)
	var malformed *HeadError
	if err == nil || errors.As(err, &malformed) {
		return err
	}
	return c.WrapError(err)
}

// ReadResponse reads the answer, with a body of up to limit bytes unless resp streams it. Any
// error wraps engine.ErrConnectionLost.
func (c *Conn) ReadResponse(resp *fasthttp.Response, limit int) error {
	if err := c.AwaitHead(); err != nil {
		return err
	}
	if err := resp.ReadLimitBody(c.Reader, limit); err != nil {
		return c.WrapError(err)
	}
	return nil
}

// maxInterimAnswers bounds the interim answers before an answer.
const maxInterimAnswers = 16

// awaitHead waits for the head of an answer of the server at the address.
func awaitHead(r *bufio.Reader, address string) error {
	for range maxInterimAnswers {
		h := head{address: address}
		if err := h.await(r); err != nil {
			return err
		}
		if h.status >= fasthttp.StatusOK {
			return nil
		}
		if _, err := r.Discard(h.size); err != nil {
			return err
		}
	}
	return &HeadError{Address: address, Fault: FaultInterim, Line: 1}
}

// head is a head of which some lines were checked.
type head struct {
	address   string
	size      int // in bytes, of the lines that were checked
	lines     int
	complete  bool
	status    int
	http10    bool
	hasLength bool
	chunked   bool
}

// await checks each line as soon as it has arrived, and leaves them all in the reader.
func (h *head) await(r *bufio.Reader) error {
	for {
		buffered, err := r.Peek(r.Buffered())
		if err != nil {
			return err
		}
		if fault := h.check(buffered); fault != "" {
			return h.malformed(fault)
		}
		if h.complete {
			return nil
		}
		switch _, err = r.Peek(len(buffered) + 1); {
		case err == bufio.ErrBufferFull:
			return h.malformed(FaultTooLarge)
		case err == io.EOF && len(buffered) > 0:
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		}
	}
}

// malformed returns the error of a fault in the line after those that were checked.
func (h *head) malformed(f HeadFault) error {
	return &HeadError{Address: h.address, Fault: f, Line: h.lines + 1}
}

// check checks the lines that are whole in what has arrived of the head, beyond those that were
// checked before.
func (h *head) check(arrived []byte) HeadFault {
	for !h.complete {
		rest := arrived[h.size:]
		if h.lines == 0 && !beginsAnswer(rest) {
			return FaultProtocol
		}
		end := bytes.IndexByte(rest, '\n')
		if end < 0 {
			return ""
		}
		if end == 0 || rest[end-1] != '\r' {
			return FaultLineEnd
		}
		if fault := h.checkLine(rest[:end-1]); fault != "" {
			return fault
		}
		h.size += end + 1
		h.lines++
	}
	return ""
}

func (h *head) checkLine(line []byte) HeadFault {
	switch {
	case h.lines == 0:
		return h.checkStatusLine(line)
	case len(line) > 0:
		return h.checkField(line)
	case h.hasLength && h.chunked || h.http10 && h.chunked: // HTTP/1.0 has no chunks
		return FaultFraming
	}
	h.complete = true
	return ""
}

// protocol is what a status line begins with; the minor version, 0 or 1, and a blank follow.
const protocol = "HTTP/1."

// beginsAnswer reports whether the bytes can be the first ones of an answer.
func beginsAnswer(b []byte) bool {
	n := min(len(b), len(protocol))
	return string(b[:n]) == protocol[:n]
}

// checkStatusLine checks, behind the protocol, the three digits of a status and the reason
// phrase. 101 is no answer to a request that asked for no other protocol.
func (h *head) checkStatusLine(line []byte) HeadFault {
	rest := line[min(len(protocol), len(line)):]
	if len(rest) < 2 || rest[0] != '0' && rest[0] != '1' || rest[1] != ' ' {
		return FaultProtocol
	}
	h.http10 = rest[0] == '0'
	code := rest[2:]
	if len(code) < 3 || !isNumber(code[:3]) || len(code) > 3 && code[3] != ' ' {
		return FaultStatus
	}
	h.status = int(code[0]-'0')*100 + int(code[1]-'0')*10 + int(code[2]-'0')
	if h.status < fasthttp.StatusContinue || h.status > maxStatus || h.status == fasthttp.StatusSwitchingProtocols {
		return FaultStatus
	}
	if !ValidValue(code[3:]) {
		return FaultValue
	}
	return ""
}

const maxStatus = 599

func (h *head) checkField(line []byte) HeadFault {
	name, value, _ := bytes.Cut(line, []byte(":"))
	if len(name) == len(line) || !ValidToken(name) {
		return FaultName
	}
	if !ValidValue(value) {
		return FaultValue
	}
	switch {
	case equalFold(name, fasthttp.HeaderContentLength):
		if h.hasLength || !isLength(bytes.Trim(value, " \t")) {
			return FaultFraming
		}
		h.hasLength = true
	case equalFold(name, fasthttp.HeaderTransferEncoding):
		if h.chunked || !equalFold(bytes.Trim(value, " \t"), "chunked") {
			return FaultFraming
		}
		h.chunked = true
	}
	return ""
}

// maxLengthDigits is what an int64 holds of any number.
const maxLengthDigits = 18

func isLength(b []byte) bool { return len(b) <= maxLengthDigits && isNumber(b) }

func isNumber(b []byte) bool {
	for _, c := range b {
		if c < '0' || c > '9' {
			return false
		}
	}
	return len(b) > 0
}

func equalFold(b []byte, s string) bool { return len(b) == len(s) && strings.EqualFold(string(b), s) }
