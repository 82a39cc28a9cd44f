package entry

import (
	"io"
	"os"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lycheekeel/lycheekeel/internal/callermem"
	"github.com/lycheekeel/lycheekeel/request"
)

// initialBodyBytes is the initial size of a body's buffer. The buffer grows as bytes
// arrive, so that a caller that announces a long body and sends nothing occupies
// little memory.
const initialBodyBytes = 4 << 10

// maxDiscard bounds the bytes read of a refused request's body.
const maxDiscard = 16 << 20

// discardBody reads the rest of a refused request's body, within the read timeout.
// Closing a connection with unread data sends a reset, which can reach the caller
// before the refusal; it would then see a connection error instead of the reason.
func discardBody(ctx *fasthttp.RequestCtx) {
	defer bodyRead(ctx)
	if stream := ctx.RequestBodyStream(); stream != nil {
		_, _ = io.CopyN(io.Discard, stream, maxDiscard)
	}
}

// bodyRead records that nothing of the request is read any more.
func bodyRead(ctx *fasthttp.RequestCtx) {
	if c := callerConn(ctx); c != nil {
		c.BodyRead()
	}
}

// callerConn returns the connection as the account knows it; nil if it does not.
func callerConn(ctx *fasthttp.RequestCtx) *callermem.Conn {
	c, _ := ctx.Conn().(*callermem.Conn)
	return c
}

// readBody reads the request's body into a buffer of its own, within the limit and
// the memory budget. The HTTP server reuses its buffers, so the body is copied.
func readBody(ctx *fasthttp.RequestCtx, limit int, res *callermem.Reservation) ([]byte, error) {
	contentLength := ctx.Request.Header.ContentLength()
	if contentLength > limit {
		return nil, bodyTooLarge(limit)
	}
	stream := ctx.RequestBodyStream()
	if stream == nil || contentLength == 0 {
		return nil, nil
	}
	size := initialBodyBytes
	if contentLength > 0 {
		size = min(size, contentLength)
	}
	reserve := func(bytes int64) error {
		if !res.Resize(bytes) {
			return memoryRefusal()
		}
		return nil
	}
	b := growingBuffer{size: size, length: contentLength, limit: limit, reserve: reserve}
	body, err := b.read(stream)
	var refusal *request.Refusal
	switch {
	case errors.Is(err, errOverLimit):
		return nil, bodyTooLarge(limit)
	case errors.As(err, &refusal):
		return nil, refusal
	case err != nil:
		return nil, readRefusal(err, res)
	case contentLength >= 0 && len(body) != contentLength:
		return nil, request.Refuse(request.ReasonBadRequest, "the body ended after %d of %d bytes", len(body), contentLength)
	}
	return body, nil
}

// errOverLimit: a body has more bytes than it may have.
var errOverLimit = errors.New("body exceeds the limit")

// growingBuffer reads a body into a buffer that grows as bytes arrive.
type growingBuffer struct {
	size   int // at first
	length int // announced; 0 or less: unknown
	limit  int
	// reserve is called with the bytes that the buffer takes before it takes them.
	reserve func(bytes int64) error
}

// read reads the stream to its end.
func (g growingBuffer) read(stream io.Reader) ([]byte, error) {
	if err := g.reserve(int64(g.size)); err != nil {
		return nil, err
	}
	body := make([]byte, 0, g.size)
	for {
		n, err := stream.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
		if len(body) > g.limit {
			return nil, errOverLimit
		}
		if len(body) == cap(body) {
			if body, err = g.grow(body); err != nil {
				return nil, err
			}
		}
	}
}

// grow doubles the buffer, up to the announced length or the limit, plus one byte.
func (g growingBuffer) grow(body []byte) ([]byte, error) {
	maxSize := g.limit + 1
	if g.length > 0 {
		maxSize = g.length + 1 // room for the read that returns io.EOF
	}
	size := min(2*cap(body), maxSize)
	if size <= cap(body) {
		size = cap(body) + 1
	}
	if err := g.reserve(int64(size + cap(body))); err != nil { // both for the time of the copy
		return nil, err
	}
	grown := make([]byte, len(body), size)
	copy(grown, body)
	return grown, g.reserve(int64(size))
}

func readRefusal(err error, res *callermem.Reservation) error {
	switch {
	case res.Evicted():
		return memoryRefusal()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return request.Refuse(request.ReasonReadTimeout, "the body was not read in time; send it faster")
	case errors.Is(err, io.ErrUnexpectedEOF):
		return request.Refuse(request.ReasonCallerGone, "the connection ended within the body")
	default:
		return request.Refuse(request.ReasonBadRequest, "malformed body: %v", err)
	}
}

func bodyTooLarge(limit int) error {
	return request.Refuse(request.ReasonBodyTooLarge, "the body is over %d bytes", limit)
}

func memoryRefusal() *request.Refusal {
	return request.Refuse(request.ReasonEntryMemory, "no memory for more waiting requests of this tier")
}
