package engine

import (
	"context"
	"io"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	port "github.com/lycheekeel/lycheekeel/engine"
	"github.com/lycheekeel/lycheekeel/engine/httpengine/wire"
)

// streamBody is a run's answer as an HTTP body of lines. The HTTP server reads it
// on the connection's goroutine and sends the result of every Read immediately.
type streamBody struct {
	cursor *cursor
	buf    []byte
	unread []byte // the part of buf that was not read yet
	done   bool
}

// streamTo returns a function that replies with the stream that Engine.start or
// Engine.resume returned.
func streamTo(ctx *fasthttp.RequestCtx) func(*cursor, error) error {
	return func(c *cursor, err error) error {
		if err == nil {
			ctx.SetContentType("application/x-ndjson")
			ctx.Response.SetBodyStream(&streamBody{cursor: c}, -1)
		}
		return err
	}
}

// Read implements io.Reader.
func (b *streamBody) Read(p []byte) (int, error) {
	if len(b.unread) == 0 && !b.done {
		if err := b.fill(); err != nil {
			return 0, err
		}
	}
	n := copy(p, b.unread)
	b.unread = b.unread[n:]
	if b.done && len(b.unread) == 0 {
		return n, io.EOF
	}
	return n, nil
}

// fill encodes the next line: a chunk, a keepalive or the run's error. If fill
// returns an error, the server closes the connection.
func (b *streamBody) fill() error {
	c := b.cursor
	chunk, id, ok, err := c.next(context.Background(), ms(c.engine.opts.KeepaliveMs))
	line := wire.Line{RequestID: []byte(id)}
	switch {
	case errors.Is(err, port.ErrRunFailed):
		line.Error, b.done = err.Error(), true
	case err != nil:
		return err
	case !ok:
		line.Keepalive = true
	default:
		line.Offset, line.Tokens, line.Text = chunk.Offset, chunk.Tokens, chunk.Text
		line.End, line.FinishReason = chunk.End, chunk.FinishReason
		line.PromptTokens, line.PrefillComputed = chunk.PromptTokens, chunk.PrefillComputed
		b.done = chunk.End
	}
	b.buf = wire.AppendLine(b.buf[:0], &line)
	b.unread = b.buf
	return nil
}

// Close implements io.Closer. The server calls it after the last byte or when the
// connection is lost.
func (b *streamBody) Close() error { return b.cursor.Close() }
