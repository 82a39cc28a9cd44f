package engine

import (
	"context"
	"io"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	port "github.com/lycheekeel/lycheekeel/engine"
	"github.com/lycheekeel/lycheekeel/engine/httpengine/wire"
)

// body is a run's answer as an HTTP body of lines. The server reads it on the
// connection's own goroutine and sends what each Read returns at once.
type body struct {
	cursor *cursor
	buf    []byte
	rest   []byte // of buf, not read yet
	over   bool
}

// streamTo answers with the stream that start or resume returned.
func streamTo(ctx *fasthttp.RequestCtx) func(*cursor, error) error {
	return func(c *cursor, err error) error {
		if err == nil {
			ctx.SetContentType("application/x-ndjson")
			ctx.Response.SetBodyStream(&body{cursor: c}, -1)
		}
		return err
	}
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if len(b.rest) == 0 && !b.over {
		if err := b.fill(); err != nil {
			return 0, err
		}
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	if b.over && len(b.rest) == 0 {
		return n, io.EOF
	}
	return n, nil
}

// fill makes the next line: a chunk, a keepalive or the run's failure. An
// error breaks the connection.
func (b *body) fill() error {
	c := b.cursor
	chunk, id, ok, err := c.next(context.Background(), ms(c.e.opts.KeepaliveMs))
	line := wire.Line{RequestID: []byte(id)}
	switch {
	case errors.Is(err, port.ErrRunFailed):
		line.Error, b.over = err.Error(), true
	case err != nil:
		return err
	case !ok:
		line.Keepalive = true
	default:
		line.Offset, line.Tokens, line.Text = chunk.Offset, chunk.Tokens, chunk.Text
		line.End, line.FinishReason = chunk.End, chunk.FinishReason
		line.PromptTokens, line.PrefillComputed = chunk.PromptTokens, chunk.PrefillComputed
		b.over = chunk.End
	}
	b.buf = wire.AppendLine(b.buf[:0], &line)
	b.rest = b.buf
	return nil
}

// Close implements io.Closer: the connection is done or gone.
func (b *body) Close() error { return b.cursor.Close() }
