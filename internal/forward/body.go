package forward

import (
	"io"
	"net"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lycheekeel/lycheekeel/internal/callermem"
	"github.com/lycheekeel/lycheekeel/request"
)

const (
	// maxPieceBytes bounds a piece. The first one has includedBytes, and further ones as many
	// as arrived before.
	maxPieceBytes = 256 << 10
	// longBodyBytes is the size from which a body's connection gets longBodyBuffer.
	longBodyBytes  = 64 << 10
	longBodyBuffer = 64 << 10
)

// body is the body of a request, or of an answer, in the pieces in which it was read. Pieces are never copied: a
// body takes no more memory than was reserved for it.
type body struct {
	pieces net.Buffers
	size   int
}

// errBodyTooLarge: the body exceeds the limit of the configuration.
var errBodyTooLarge = errors.New("body exceeds the limit")

// bodyReader reads one body, of a request or an answer. reserve is called with the bytes that
// the body takes before it takes them; its error ends the read.
type bodyReader struct {
	stream  io.Reader
	length  int // announced; below 0: unknown
	limit   int // 0: none
	reserve func(bytes int64) error
	body    body
	taken   int64 // bytes of all pieces
}

// read reads the body to its end.
func (r *bodyReader) read() (body, error) {
	for r.length < 0 || r.body.size < r.length {
		piece, err := r.newPiece()
		if err != nil {
			return body{}, err
		}
		n, err := readPiece(r.stream, piece)
		if n > 0 {
			r.body.pieces = append(r.body.pieces, piece[:n])
			r.body.size += n
		}
		switch {
		case r.limit > 0 && r.body.size > r.limit:
			return body{}, errBodyTooLarge
		case err == io.EOF && r.length >= 0 && r.body.size < r.length:
			return body{}, io.ErrUnexpectedEOF
		case err == io.EOF:
			return r.body, nil
		case err != nil:
			return body{}, err
		}
	}
	return r.body, nil
}

// newPiece returns room for what may come next.
func (r *bodyReader) newPiece() ([]byte, error) {
	size := min(max(includedBytes, r.body.size), maxPieceBytes)
	if r.length >= 0 {
		size = min(size, r.length-r.body.size)
	}
	if err := r.reserve(r.taken + int64(size)); err != nil {
		return nil, err
	}
	r.taken += int64(size)
	return make([]byte, size), nil
}

// readPiece fills the piece, unless the stream ends or fails before.
func readPiece(r io.Reader, piece []byte) (n int, err error) {
	for n < len(piece) && err == nil {
		var m int
		m, err = r.Read(piece[n:])
		n += m
	}
	return n, err
}

// readBody reads the request's body within the limit of the configuration and the account of
// what callers hold.
func (x *exchange) readBody() error {
	limit, length := maxBody(x.table.Limits), x.httpCtx.Request.Header.ContentLength()
	if length > limit {
		return request.Refuse(request.ReasonBodyTooLarge, "body of %d bytes", length)
	}
	x.memory = x.server.account.Reserve(x.callerConn(), x.owner(), x.table.Tier(x.workspace, x.route), func() {
		_ = x.conn.SetReadDeadline(time.Unix(1, 0)) // interrupts the read
	})
	if !x.memory.Resize(0) {
		return x.memoryRefusal()
	}
	stream := x.httpCtx.RequestBodyStream()
	if stream == nil || length == 0 {
		x.endBodyRead()
		return nil
	}
	defer x.limitUnread(callermem.UnreadBytes)
	r := &bodyReader{stream: stream, length: length, limit: limit, reserve: x.reserveBody}
	b, err := r.read()
	if err != nil {
		return x.bodyRefusal(err)
	}
	x.endBodyRead()
	x.body = b
	if !x.memory.Resize(x.heldBytes()) {
		return x.memoryRefusal()
	}
	return nil
}

// reserveBody reserves the bytes of the body, and lets long bodies come faster.
func (x *exchange) reserveBody(bytes int64) error {
	if bytes > longBodyBytes {
		x.limitUnread(longBodyBuffer)
	}
	if !x.memory.Resize(max(0, bytes-includedBytes) + x.unreadBytes) {
		return callermem.ErrEvicted
	}
	return nil
}

// limitUnread sets the size of the connection's receive buffer.
func (x *exchange) limitUnread(bytes int64) {
	c := x.callerConn()
	if c == nil || x.unreadBytes == bytes || x.unreadBytes == 0 && bytes == callermem.UnreadBytes {
		return
	}
	c.LimitUnread(int(bytes))
	x.unreadBytes = bytes
}

// endBodyRead records that nothing of the request is left to be read, or can be.
func (x *exchange) endBodyRead() {
	if c := x.callerConn(); c != nil {
		c.BodyRead()
	}
}

// bodyRefusal returns the refusal of a request whose body could not be read.
func (x *exchange) bodyRefusal(err error) error {
	var timeout net.Error
	switch {
	case errors.Is(err, callermem.ErrEvicted), x.memory.Evicted():
		return x.memoryRefusal()
	case errors.Is(err, errBodyTooLarge):
		return request.Refuse(request.ReasonBodyTooLarge, "body exceeds the limit")
	case errors.Is(err, os.ErrDeadlineExceeded), errors.As(err, &timeout) && timeout.Timeout():
		return x.unreadable(request.ReasonReadTimeout, "the body did not arrive in time")
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed):
		return x.unreadable(request.ReasonCallerGone, "the connection ended within the body")
	default:
		return x.unreadable(request.ReasonBadRequest, "malformed body: %v", err)
	}
}

// unreadable returns the refusal of a request that can't be read any further. The HTTP server
// closes its connection.
func (x *exchange) unreadable(reason request.Reason, format string, args ...any) error {
	x.endBodyRead()
	return request.Refuse(reason, format, args...)
}

// memoryRefusal is the refusal of a request for which there is no memory. Another daemon may
// have some.
func (x *exchange) memoryRefusal() *request.Refusal {
	return x.newRefusal(request.ReasonEntryMemory, "no memory for more requests of this tier")
}

// callerConn returns the connection as the account knows it; nil if it does not.
func (x *exchange) callerConn() *callermem.Conn {
	c, _ := x.conn.(*callermem.Conn)
	return c
}

// owner returns who answers for what the request holds.
func (x *exchange) owner() string {
	if x.workspace != nil {
		return x.workspace.Name
	}
	host, _, err := net.SplitHostPort(x.conn.RemoteAddr().String())
	if err != nil {
		return ""
	}
	return host
}

// readAnswer reads the body of an answer. It waits while there is no room for it.
func (x *exchange) readAnswer(r *reply) (body, error) {
	a := &answerReader{exchange: x, reply: r, hold: answerHold{memory: x.server.answerMemory}}
	defer a.end()
	return r.readAll(a.reserve, maxBufferedAnswerBytes)
}

// heldBytes returns what the request's body counts, without what busyBytes covers.
func (x *exchange) heldBytes() int64 { return max(0, int64(x.body.size)-includedBytes) }

// keepAnswer gives back what the request holds but for its answer, which the HTTP server writes
// when the request has ended. The account takes that back when the connection goes on.
func (x *exchange) keepAnswer() {
	x.body = body{}
	if x.outbound != nil {
		x.outbound.body = body{}
	}
	if x.memory != nil {
		x.memory.Resize(max(0, int64(x.answerBytes)-includedBytes))
	}
}

// headTooLarge reports whether a head exceeds the limit of the configuration.
func exceedsHeaderLimit(h *fasthttp.RequestHeader, limit int) bool {
	return limit > 0 && len(h.RawHeaders()) > limit
}
