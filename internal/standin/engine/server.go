package engine

import (
	"context"
	"encoding/json"
	"net"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	port "github.com/lycheekeel/lycheekeel/engine"
	"github.com/lycheekeel/lycheekeel/engine/httpengine/wire"
	"github.com/lycheekeel/lycheekeel/internal/logs"
	"github.com/lycheekeel/lycheekeel/internal/standin/gate"
)

// Paths of the stand-in's control interface.
const (
	PathRuns   = "/standin/runs"   // GET: the run log, []RunRecord
	PathOrders = "/standin/orders" // GET: the order log, []OrderRecord
	PathFaults = "/standin/faults" // GET: Faults; POST: the fields to change
	PathCrash  = "/standin/crash"  // POST: crash the engine
	PathHealth = "/healthz"        // GET
)

// server serves an Engine over HTTP.
type server struct {
	engine *Engine
}

// Serve creates an engine and serves it on the listener until ctx ends. It takes
// ownership of the listener.
func Serve(ctx context.Context, ln net.Listener, o Options) error {
	e, err := New(o)
	if err != nil {
		return err
	}
	defer e.Close()
	return ServeEngine(ctx, ln, e)
}

// ServeEngine serves an engine on the listener until ctx ends. It takes ownership
// of the listener. It does not close the engine, which can be served on several
// listeners.
func ServeEngine(ctx context.Context, ln net.Listener, e *Engine) error {
	l := gate.New(ln)
	e.addFrontend(l)
	logs.For("standin-engine").WithField("listen", ln.Addr().String()).Info("serving")
	return l.Serve(ctx, (&server{engine: e}).handle)
}

func (s *server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if s.handleControl(ctx, path) {
		return
	}
	if s.engine.Faults().Silent == SilenceAll {
		ctx.Conn().(*gate.Conn).Silence()
		return
	}
	serve, ok := routes[path]
	if !ok {
		replyError(ctx, errors.Wrapf(port.ErrRefusedNotRun, "no path %s", path))
		return
	}
	if err := serve(s.engine, ctx); err != nil {
		replyError(ctx, err)
	}
}

// handleControl serves the control interface, which faults don't affect. It
// returns false if the path is not part of it.
func (s *server) handleControl(ctx *fasthttp.RequestCtx, path string) bool {
	switch path {
	case PathRuns:
		gate.Reply(ctx, s.engine.Runs())
	case PathOrders:
		gate.Reply(ctx, s.engine.Orders())
	case PathFaults:
		s.handleFaults(ctx)
	case PathCrash:
		exemptConn(ctx)
		s.engine.Crash()
	case PathHealth:
		ctx.SetBodyString("ok\n")
	default:
		return false
	}
	return true
}

func (s *server) handleFaults(ctx *fasthttp.RequestCtx) {
	f := s.engine.Faults()
	if ctx.IsPost() {
		exemptConn(ctx)
		err := gate.Patch(ctx, &f)
		if err == nil {
			err = s.engine.SetFaults(f)
		}
		if err != nil {
			ctx.SetStatusCode(fasthttp.StatusBadRequest)
			gate.Reply(ctx, wire.Error{Message: err.Error()})
			return
		}
	}
	gate.Reply(ctx, f)
}

// exemptConn exempts the connection of a control request from faults, so that the
// reply arrives, and closes it after the reply.
func exemptConn(ctx *fasthttp.RequestCtx) {
	ctx.Conn().(*gate.Conn).Exempt()
	ctx.SetConnectionClose()
}

// handler serves one path of the engine protocol.
type handler func(e *Engine, ctx *fasthttp.RequestCtx) error

var routes = map[string]handler{
	wire.PathRun: withBody(func(e *Engine, ctx *fasthttp.RequestCtx, m wire.Run) error {
		return streamTo(ctx)(e.start(port.Run{
			RequestID: m.RequestID, Model: m.Model, Version: m.Version, Prompt: m.Prompt, LastMessage: m.LastMessage,
			PromptTokens: m.PromptTokens, MaxTokens: m.MaxTokens, Blocks: m.Blocks,
		}))
	}),
	wire.PathResume: withBody(func(e *Engine, ctx *fasthttp.RequestCtx, m wire.Resume) error {
		return streamTo(ctx)(e.resume(m.RequestID, m.Offset))
	}),
	wire.PathCancel: withBody(func(e *Engine, _ *fasthttp.RequestCtx, m wire.Resume) error {
		e.cancel(m.RequestID)
		return nil
	}),
	wire.PathOrder: withBody(func(e *Engine, _ *fasthttp.RequestCtx, m wire.Order) error {
		return e.handleOrder(port.Order(m))
	}),
	wire.PathExportKV: withBody(func(e *Engine, ctx *fasthttp.RequestCtx, m wire.Blocks) error {
		ctx.SetBody(encodeBlocks(e.exportBlocks(m.Blocks)))
		return nil
	}),
	wire.PathImportKV: func(e *Engine, ctx *fasthttp.RequestCtx) error { return e.importKV(ctx.PostBody()) },
	wire.PathLoad: func(e *Engine, ctx *fasthttp.RequestCtx) error {
		gate.Reply(ctx, toWireLoad(e.loadReport()))
		return nil
	},
	wire.PathCacheEvents: cacheEvents,
}

// withBody returns a handler that decodes the JSON body and passes it to f.
func withBody[M any](f func(*Engine, *fasthttp.RequestCtx, M) error) handler {
	return func(e *Engine, ctx *fasthttp.RequestCtx) error {
		var m M
		if err := json.Unmarshal(ctx.PostBody(), &m); err != nil {
			return errors.Wrapf(port.ErrRefusedNotRun, "body: %v", err)
		}
		return f(e, ctx, m)
	}
}

func cacheEvents(e *Engine, ctx *fasthttp.RequestCtx) error {
	after, err := strconv.ParseUint(string(ctx.QueryArgs().Peek("after")), 10, 64)
	if err != nil {
		return errors.Wrap(port.ErrRunFailed, "after is no number")
	}
	var m wire.CacheEvents
	for _, ev := range e.cacheEvents(after) {
		m.Events = append(m.Events, wire.CacheEvent(ev))
	}
	gate.Reply(ctx, m)
	return nil
}

func toWireLoad(l port.LoadReport) wire.Load {
	out := wire.Load{
		Running: l.Running, Waiting: l.Waiting, KVUsed: l.KVUsed, Slots: l.Slots, Leaving: l.Leaving,
		Warming: l.Warming, Incarnation: l.Incarnation, AgeMs: float64(l.Age) / float64(time.Millisecond),
	}
	for _, m := range l.Models {
		out.Models = append(out.Models, wire.Model(m))
	}
	return out
}

// replyError sends err with the HTTP status that belongs to it.
func replyError(ctx *fasthttp.RequestCtx, err error) {
	m := wire.Error{Message: err.Error(), NotRun: errors.Is(err, port.ErrRefusedNotRun)}
	switch {
	case m.NotRun:
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	case errors.Is(err, port.ErrUnknownRun):
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	case errors.Is(err, port.ErrStaleToken):
		ctx.SetStatusCode(fasthttp.StatusConflict)
	default:
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
	}
	gate.Reply(ctx, m)
}
