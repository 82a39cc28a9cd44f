package gate

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

const (
	maxBodyBytes = 64 << 20
	// idleTimeout is far above the time for which clients reuse a connection.
	idleTimeout = 60 * time.Second
)

// Serve answers requests until ctx ends, which breaks all connections.
func (l *Listener) Serve(ctx context.Context, handler fasthttp.RequestHandler) error {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	s := &fasthttp.Server{
		Handler: handler, MaxRequestBodySize: maxBodyBytes, IdleTimeout: idleTimeout,
		NoDefaultServerHeader: true, NoDefaultDate: true, Logger: discardLogger{},
	}
	if err := s.Serve(l); ctx.Err() == nil {
		return errors.Wrapf(err, "serve %s", l.address)
	}
	return nil
}

// discardLogger drops fasthttp's own log: broken connections are a stand-in's trade.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// Reply answers with a message as JSON.
func Reply(ctx *fasthttp.RequestCtx, message any) {
	b, err := json.Marshal(message)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}

// Patch reads a JSON body over a message: members that are absent keep their
// value, unknown ones are an error.
func Patch(ctx *fasthttp.RequestCtx, into any) error {
	d := json.NewDecoder(bytes.NewReader(ctx.PostBody()))
	d.DisallowUnknownFields()
	return errors.Wrap(d.Decode(into), "body")
}
