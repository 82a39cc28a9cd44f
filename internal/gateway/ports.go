package gateway

import (
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lycheekeel/lycheekeel/internal/callermem"
	"github.com/lycheekeel/lycheekeel/internal/logs"
)

// Limits of the ports for the balancer and for metrics, so that whoever reaches them can
// neither exhaust the VM nor keep the balancer out.
const (
	portConnections  = 64
	portReadBytes    = 4 << 10
	portConnBytes    = 12 << 10
	portReadTimeout  = 5 * time.Second
	portIdleTimeout  = 75 * time.Second
	portWriteTimeout = 5 * time.Second
)

// servePort serves requests without bodies on one of these ports.
func servePort(ln net.Listener, handler fasthttp.RequestHandler) error {
	account := callermem.New(callermem.Limits{
		Bytes: portConnections * portConnBytes, Connections: portConnections, ConnBytes: portConnBytes,
	}, callermem.Events{})
	server := &fasthttp.Server{
		Handler: func(ctx *fasthttp.RequestCtx) {
			if c, ok := ctx.Conn().(*callermem.Conn); ok {
				c.BodyRead()
			}
			handler(ctx)
		},
		ConnState: callermem.StateChanged, Concurrency: 2 * portConnections,
		ReadBufferSize: portReadBytes, MaxRequestBodySize: portReadBytes,
		ReadTimeout: portReadTimeout, IdleTimeout: portIdleTimeout, WriteTimeout: portWriteTimeout,
		ReduceMemoryUsage: true, Logger: logs.Discard{},
	}
	return errors.Wrap(server.Serve(callermem.Listener{Listener: ln, Account: account}), "serve a port")
}
