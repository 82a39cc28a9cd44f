package forward

import (
	"context"
	"io"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lycheekeel/lycheekeel/internal/httpconn"
)

// errMalformed: what came is no whole answer to the request.
var errMalformed = errors.New("not a whole answer")

// framing is how the end of an answer's body is told.
type framing uint8

const (
	framedByLength framing = iota
	framedByChunks
	framedByClose
)

// reply is a server's answer while it is read. io.EOF from Read means that
// the body came whole; any other error that it did not.
type reply struct {
	conn    *httpconn.Conn
	ctx     context.Context
	header  fasthttp.ResponseHeader
	framing framing
	left    int64 // of the body, or of the chunk
	ended   bool
	closes  bool // the server closes the connection after the answer
	// begunChunks is set once a chunk was read, whose end then is due.
	begunChunks bool
	partial     []byte // of a line
}

// readReply reads the head of the answer to the request with the id. An
// answer to another request is a late one on a reused connection; the
// connection is of no more use.
func readReply(ctx context.Context, conn *httpconn.Conn, method, id string, wire *Wire) (*reply, error) {
	r := &reply{conn: conn, ctx: ctx}
	if err := conn.Enter(ctx); err != nil {
		return nil, err
	}
	for {
		if err := r.header.Read(conn.Reader); err != nil {
			return nil, conn.Broken(err)
		}
		if r.header.StatusCode() >= fasthttp.StatusOK {
			break
		}
	}
	if echo := r.header.Peek(wire.RequestID); string(echo) != id {
		return nil, errors.Wrapf(errMalformed, "answer to request %q", echo)
	}
	if len(r.header.ContentEncoding()) > 0 {
		return nil, errors.Wrap(errMalformed, "encoded")
	}
	r.frame(method)
	return r, nil
}

func (r *reply) frame(method string) {
	status := r.header.StatusCode()
	r.closes = r.header.ConnectionClose()
	switch n := r.header.ContentLength(); {
	case method == fasthttp.MethodHead || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified:
		r.ended = true
	case n >= 0:
		r.framing, r.left = framedByLength, int64(n)
		r.ended = n == 0
	case n == -1:
		r.framing = framedByChunks
	default:
		r.framing, r.closes = framedByClose, true
	}
}

// Read implements io.Reader.
func (r *reply) Read(p []byte) (int, error) {
	if r.ended {
		return 0, io.EOF
	}
	n, err := r.read(p)
	if err != nil && err != io.EOF {
		err = r.conn.Broken(err)
	}
	return n, err
}

func (r *reply) read(p []byte) (int, error) {
	switch r.framing {
	case framedByClose:
		n, err := r.conn.Reader.Read(p)
		r.ended = err == io.EOF
		return n, err
	case framedByChunks:
		if r.left == 0 {
			if err := r.nextChunk(); err != nil || r.ended {
				return 0, orEOF(err)
			}
		}
	}
	n, err := r.conn.Reader.Read(p[:min(int64(len(p)), r.left)])
	r.left -= int64(n)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	if r.framing == framedByLength && r.left == 0 && err == nil {
		r.ended = true
	}
	return n, err
}

func orEOF(err error) error {
	if err == nil {
		return io.EOF
	}
	return err
}

// maxLine bounds a chunk's size line and a trailer line, in bytes.
const maxLine = 256

// nextChunk reads the next chunk's size; the last one ends the body.
func (r *reply) nextChunk() error {
	if r.begunChunks {
		if line, err := r.line(); err != nil || line != "" {
			if err != nil {
				return err
			}
			return errors.Wrap(errMalformed, "chunk without its end")
		}
		r.begunChunks = false
	}
	line, err := r.line()
	if err != nil {
		return err
	}
	r.begunChunks = true
	size, _, _ := strings.Cut(line, ";")
	n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 31)
	if err != nil {
		return errors.Wrapf(errMalformed, "chunk size %q", size)
	}
	r.left = int64(n)
	if n > 0 {
		return nil
	}
	for {
		line, err := r.line()
		if err != nil {
			return err
		}
		if line == "" {
			r.ended = true
			return nil
		}
	}
}

// line reads a line. What has come of it is kept where the server falls silent
// within it, so that it can be read on.
func (r *reply) line() (string, error) {
	for len(r.partial) < maxLine {
		c, err := r.conn.Reader.ReadByte()
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return "", err
		}
		if c == '\n' {
			line := strings.TrimSuffix(string(r.partial), "\r")
			r.partial = r.partial[:0]
			return line, nil
		}
		r.partial = append(r.partial, c)
	}
	return "", errors.Wrap(errMalformed, "line too long")
}

// all reads the whole body.
func (r *reply) all() ([]byte, error) {
	size := int64(512)
	if r.framing == framedByLength {
		size = min(r.left, maxHeldAnswer)
	}
	b := make([]byte, 0, size)
	for {
		if len(b) == cap(b) {
			b = append(b, 0)[:len(b)]
		}
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		switch {
		case err == io.EOF:
			return b, nil
		case err != nil:
			return nil, err
		case r.ended:
			return b, nil
		case len(b) > maxHeldAnswer:
			return nil, errors.Wrap(errMalformed, "too long")
		}
	}
}

// finish ends the use of the connection: it is kept only after a whole answer.
func (r *reply) finish() {
	r.conn.Leave()
	if r.ended && !r.closes {
		r.conn.Keep()
		return
	}
	r.conn.Drop()
}
