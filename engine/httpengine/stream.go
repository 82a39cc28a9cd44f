package httpengine

import (
	"bufio"
	"context"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lycheekeel/lycheekeel/engine"
	"github.com/lycheekeel/lycheekeel/engine/httpengine/wire"
	"github.com/lycheekeel/lycheekeel/internal/httpconn"
)

const (
	// lineBufferBytes is the initial size of a stream's line buffer.
	lineBufferBytes = 2 << 10
	// maxLineBytes bounds one line of a stream.
	maxLineBytes = 1 << 20
	// bodyEndTimeout is how long Close waits for the end of a complete answer's HTTP body
	// before it closes the connection instead of keeping it for reuse.
	bodyEndTimeout = 20 * time.Millisecond
)

var lineReaders = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, lineBufferBytes) }}

// stream is the answer of one run on one connection. It has no goroutine of its own.
type stream struct {
	address  string
	id       string
	conn     *httpconn.Conn
	resp     *fasthttp.Response
	lines    *bufio.Reader
	longLine []byte // buffer for a line longer than lineBufferBytes
	line     wire.Line
	offset   int // of the next chunk
	err      error
}

// readStreamHeader reads the response header and returns the stream.
func readStreamHeader(ctx context.Context, conn *httpconn.Conn, address, id string, offset int) (engine.Stream, error) {
	if err := conn.Bind(ctx); err != nil {
		conn.Discard()
		return nil, errors.Wrapf(engine.ErrConnectionLost, "%s: %v", address, err)
	}
	defer conn.Unbind()
	resp := fasthttp.AcquireResponse()
	resp.StreamBody = true
	err := conn.ReadResponse(resp, maxResponseBytes)
	if err == nil && resp.StatusCode() == fasthttp.StatusOK {
		lines := lineReaders.Get().(*bufio.Reader)
		lines.Reset(resp.BodyStream())
		return &stream{address: address, id: id, conn: conn, resp: resp, lines: lines, offset: offset}, nil
	}
	defer fasthttp.ReleaseResponse(resp)
	if err != nil {
		conn.Discard()
		return nil, err
	}
	return nil, readErrorResponse(conn, resp, address)
}

// readErrorResponse reads the response to a request that got no stream.
func readErrorResponse(conn *httpconn.Conn, resp *fasthttp.Response, address string) error {
	body, err := io.ReadAll(io.LimitReader(resp.BodyStream(), maxLineBytes))
	status := resp.StatusCode()
	switch {
	case err != nil:
		err = conn.WrapError(err)
		conn.Discard()
		return err
	case len(body) == maxLineBytes: // the body may be longer
		conn.Discard()
	default:
		releaseConn(conn, resp)
	}
	return statusError(address, status, body)
}

// Next implements engine.Stream.
func (s *stream) Next(ctx context.Context) (engine.Chunk, error) {
	if s.err != nil {
		return engine.Chunk{}, s.err
	}
	if err := s.conn.Bind(ctx); err != nil {
		return engine.Chunk{}, s.setErr(errors.Wrapf(engine.ErrConnectionLost, "%s: %v", s.address, err))
	}
	defer s.conn.Unbind()
	for {
		data, err := s.readLine()
		if err != nil {
			return engine.Chunk{}, s.setErr(s.conn.WrapError(err))
		}
		if err := wire.ParseLine(data, &s.line); err != nil {
			return engine.Chunk{}, s.setErr(s.conn.WrapError(err))
		}
		if err := s.checkLine(); err != nil {
			return engine.Chunk{}, s.setErr(err)
		}
		if !s.line.Keepalive {
			return s.takeChunk(), nil
		}
	}
}

// checkLine rejects a line that is not the next one of this run's answer.
//
// Without this check, an engine that mixes up answers, or that repeats or loses a part after
// a resume, would give a caller another request's text or a corrupted one.
func (s *stream) checkLine() error {
	l := &s.line
	switch {
	case string(l.RequestID) != s.id:
		return errors.Wrapf(engine.ErrRequestMismatch, "%s: got answer of request %q, want %q", s.address, l.RequestID, s.id)
	case l.Keepalive:
		return nil
	case l.Error != "":
		return errors.Wrapf(engine.ErrRunFailed, "%s: %s", s.address, l.Error)
	case l.Offset != s.offset:
		return errors.Wrapf(engine.ErrConnectionLost, "%s: got chunk at offset %d, want %d", s.address, l.Offset, s.offset)
	}
	return nil
}

func (s *stream) takeChunk() engine.Chunk {
	l := &s.line
	s.offset += l.Tokens
	if l.End {
		s.err = io.EOF
	}
	return engine.Chunk{
		Offset: l.Offset, Tokens: l.Tokens, Text: l.Text, End: l.End, FinishReason: l.FinishReason,
		PromptTokens: l.PromptTokens, PrefillComputed: l.PrefillComputed,
	}
}

func (s *stream) setErr(err error) error {
	s.err = err
	return err
}

// readLine returns the next line without its newline. It is valid until the next read.
func (s *stream) readLine() ([]byte, error) {
	data, err := s.lines.ReadSlice('\n')
	if err == bufio.ErrBufferFull {
		return s.readLongLine(data)
	}
	if err != nil {
		return nil, truncatedError(err)
	}
	return data[:len(data)-1], nil
}

func (s *stream) readLongLine(first []byte) ([]byte, error) {
	s.longLine = append(s.longLine[:0], first...)
	for {
		data, err := s.lines.ReadSlice('\n')
		s.longLine = append(s.longLine, data...)
		switch {
		case err == nil:
			return s.longLine[:len(s.longLine)-1], nil
		case err != bufio.ErrBufferFull:
			return nil, truncatedError(err)
		case len(s.longLine) > maxLineBytes:
			return nil, errors.Errorf("line over %d bytes", maxLineBytes)
		}
	}
}

// truncatedError returns the error of a body that ended before the End chunk.
func truncatedError(err error) error {
	if err == io.EOF {
		return errors.New("answer ended without its End chunk")
	}
	return err
}

// Close implements engine.Stream. After a complete answer the connection is kept for reuse.
func (s *stream) Close() error {
	if s.conn == nil {
		return nil
	}
	if s.err == io.EOF && s.bodyEnded() {
		releaseConn(s.conn, s.resp)
	} else {
		s.conn.Discard()
	}
	s.lines.Reset(nil)
	lineReaders.Put(s.lines)
	fasthttp.ReleaseResponse(s.resp)
	s.conn, s.lines, s.resp = nil, nil, nil
	if s.err == nil {
		s.err = errors.Wrap(engine.ErrConnectionLost, "stream closed")
	}
	return nil
}

// bodyEnded reads the end of the HTTP body, which directly follows the End chunk.
func (s *stream) bodyEnded() bool {
	s.conn.SetSilenceTimeout(bodyEndTimeout)
	_, err := s.lines.ReadByte()
	return err == io.EOF
}
