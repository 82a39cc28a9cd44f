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
	// idleTimeout is much longer than clients keep an idle connection, so that
	// the server does not close a connection that a client is about to reuse.
	idleTimeout = 60 * time.Second
)

// Serve serves requests until ctx ends. It then closes all connections.
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

// discardLogger discards fasthttp's log messages, because a stand-in breaks
// connections on purpose.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// Reply sends a message as JSON.
func Reply(ctx *fasthttp.RequestCtx, message any) {
	b, err := json.Marshal(message)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}

// Patch decodes a JSON body into a message. Absent members keep their values;
// unknown members are an error.
func Patch(ctx *fasthttp.RequestCtx, into any) error {
	d := json.NewDecoder(bytes.NewReader(ctx.PostBody()))
	d.DisallowUnknownFields()
	return errors.Wrap(d.Decode(into), "body")
}
