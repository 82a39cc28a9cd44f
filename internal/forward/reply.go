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

// errMalformedAnswer: the bytes received are not a complete answer to the request.
var errMalformedAnswer = errors.New("malformed or incomplete answer")

// errServerEnded: the end of a server's process ended its answer.
var errServerEnded = errors.New("the server ended with its answer")

// framing is how the end of an answer's body is marked.
type framing uint8

const (
	framedByLength framing = iota
	framedByChunks
	framedByClose
)

// reply is a server's answer while it is being read. io.EOF from Read means that the body
// is complete; any other error means that it is not. What proves that it is complete is its
// length, the last chunk or, if it has neither, an orderly end of the connection by a server
// whose process goes on; an event stream also ends with a whole block.
type reply struct {
	conn       *httpconn.Conn
	ctx        context.Context
	header     fasthttp.ResponseHeader
	framing    framing
	remaining  int64 // bytes of the body, or of the chunk
	length     int   // of the body, if it is framed by it
	complete   bool
	closeAfter bool // the server closes the connection after the answer
	// chunkEndDue is set after a chunk's size was read, until the line end after its data.
	chunkEndDue bool
	partialLine []byte // read so far by readLine
	trailers    int    // lines read after the last chunk
	// serverGoesOn reports whether the server's process has proved not to have ended.
	serverGoesOn func() bool
	events       *eventHold // what is held of its events; nil: it is no stream
}

// readReply reads the header of the answer to the request with the given id. serverGoesOn is
// called when an answer ends with its connection. An answer
// with another id is a late one on a reused connection, which can't be used any more.
func readReply(ctx context.Context, conn *httpconn.Conn, method, id string, wire *Wire, serverGoesOn func() bool) (*reply, error) {
	r := &reply{conn: conn, ctx: ctx, serverGoesOn: serverGoesOn}
	if err := conn.Bind(ctx); err != nil {
		return nil, err
	}
	if err := r.readHeader(); err != nil {
		return nil, err
	}
	if echoedID := r.header.Peek(wire.RequestID); string(echoedID) != id {
		return nil, errors.Wrapf(errMalformedAnswer, "answer has request id %q", echoedID)
	}
	if len(r.header.ContentEncoding()) > 0 {
		return nil, errors.Wrap(errMalformedAnswer, "unexpected content encoding")
	}
	r.setFraming(method)
	return r, nil
}

// readHeader reads the header of the answer.
func (r *reply) readHeader() error {
	if err := r.conn.AwaitHead(); err != nil {
		return err
	}
	if err := r.header.Read(r.conn.Reader); err != nil {
		return r.conn.WrapError(err)
	}
	return nil
}

func (r *reply) setFraming(method string) {
	status := r.header.StatusCode()
	r.closeAfter = r.header.ConnectionClose()
	switch n := r.header.ContentLength(); {
	case method == fasthttp.MethodHead || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified:
		r.complete = true
	case n >= 0:
		r.framing, r.remaining, r.length = framedByLength, int64(n), n
		r.complete = n == 0
	case n == -1:
		r.framing = framedByChunks
	default:
		r.framing, r.closeAfter = framedByClose, true
	}
}

// Read implements io.Reader.
func (r *reply) Read(p []byte) (int, error) {
	if r.complete {
		return 0, io.EOF
	}
	n, err := r.readBody(p)
	if err != nil && err != io.EOF {
		err = r.conn.WrapError(err)
	}
	return n, err
}

func (r *reply) readBody(p []byte) (int, error) {
	switch r.framing {
	case framedByClose:
		n, err := r.conn.Reader.Read(p)
		if err == io.EOF && !r.serverGoesOn() {
			return n, errServerEnded // its process may have closed the connection by ending
		}
		r.complete = err == io.EOF
		return n, err
	case framedByChunks:
		if r.remaining == 0 {
			if err := r.nextChunk(); err != nil || r.complete {
				return 0, eofIfNil(err)
			}
		}
	}
	n, err := r.conn.Reader.Read(p[:min(int64(len(p)), r.remaining)])
	r.remaining -= int64(n)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	if r.framing == framedByLength && r.remaining == 0 && err == nil {
		r.complete = true
	}
	return n, err
}

func eofIfNil(err error) error {
	if err == nil {
		return io.EOF
	}
	return err
}

// maxLineBytes bounds a chunk's size line and a trailer line.
const maxLineBytes = 256

// nextChunk reads the next chunk's size. Size 0 ends the body.
func (r *reply) nextChunk() error {
	if r.chunkEndDue {
		if line, err := r.readLine(); err != nil || line != "" {
			if err != nil {
				return err
			}
			return errors.Wrap(errMalformedAnswer, "no line end after a chunk")
		}
		r.chunkEndDue = false
	}
	line, err := r.readLine()
	if err != nil {
		return err
	}
	r.chunkEndDue = true
	size, _, _ := strings.Cut(line, ";")
	n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 31)
	if err != nil {
		return errors.Wrapf(errMalformedAnswer, "chunk size %q", size)
	}
	r.remaining = int64(n)
	if n > 0 {
		return nil
	}
	return r.skipTrailers()
}

// maxTrailers bounds the lines after the last chunk, over all calls for one answer.
const maxTrailers = 64

func (r *reply) skipTrailers() error {
	for ; r.trailers < maxTrailers; r.trailers++ {
		line, err := r.readLine()
		if err != nil {
			return err
		}
		if line == "" {
			r.complete = true
			return nil
		}
	}
	return errors.Wrap(errMalformedAnswer, "too many trailers")
}

// readLine reads a line. It keeps the part that was read before a silence timeout, so that
// the next call can continue it.
func (r *reply) readLine() (string, error) {
	for len(r.partialLine) < maxLineBytes {
		c, err := r.conn.Reader.ReadByte()
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return "", err
		}
		if c == '\n' {
			line := strings.TrimSuffix(string(r.partialLine), "\r")
			r.partialLine = r.partialLine[:0]
			return line, nil
		}
		r.partialLine = append(r.partialLine, c)
	}
	return "", errors.Wrap(errMalformedAnswer, "line exceeds the size limit")
}

// maxRefusalBytes bounds the body of an answer that tells why a request was not run.
const maxRefusalBytes = includedBytes

func reserveNothing(int64) error { return nil }

// readAll reads the whole body, up to a limit. reserve is called with the bytes that it takes
// before it takes them.
func (r *reply) readAll(reserve func(bytes int64) error, limit int) (body, error) {
	length := -1
	if r.framing == framedByLength {
		length = r.length
	}
	if length > limit {
		return body{}, errors.Wrap(errMalformedAnswer, "body exceeds the size limit")
	}
	b, err := (&bodyReader{stream: r, length: length, limit: limit, reserve: reserve}).read()
	if errors.Is(err, errBodyTooLarge) {
		return body{}, errors.Wrap(errMalformedAnswer, "body exceeds the size limit")
	}
	return b, err
}

// releaseConn ends the use of the connection, which is reused only after a complete answer.
func (r *reply) releaseConn() {
	if r.events != nil {
		r.events.release() // from here on, nobody aborts the connection to make room
	}
	r.conn.Unbind()
	if r.complete && !r.closeAfter {
		r.conn.Release()
		return
	}
	r.conn.Discard()
}
