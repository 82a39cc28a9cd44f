package engine

import (
	"context"
	"encoding/json"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	port "github.com/lycheekeel/lycheekeel/engine"
	"github.com/lycheekeel/lycheekeel/engine/httpengine/wire"
	"github.com/lycheekeel/lycheekeel/internal/logs"
	"github.com/lycheekeel/lycheekeel/internal/standin/gate"
)

// Paths of the stand-in's own interface.
const (
	PathRuns   = "/standin/runs"   // GET: the run log, []RunRecord
	PathOrders = "/standin/orders" // GET: the order log, []OrderRecord
	PathFaults = "/standin/faults" // GET: Faults; POST: the fields to change
	PathCrash  = "/standin/crash"  // POST: crash now
	PathHealth = "/healthz"        // GET
)

// server serves an Engine over HTTP.
type server struct {
	engine *Engine
	gate   *gate.Gate
	mute   atomic.Bool // SilenceAll
}

// Serve runs an engine with the options on the listener, which it owns, until
// ctx ends.
func Serve(ctx context.Context, ln net.Listener, o Options) error {
	e, err := New(o)
	if err != nil {
		return err
	}
	defer e.Close()
	return ServeEngine(ctx, ln, e)
}

// ServeEngine serves an engine on the listener, which it owns, until ctx ends.
// The engine stays open.
func ServeEngine(ctx context.Context, ln net.Listener, e *Engine) error {
	s := &server{engine: e, gate: gate.New(ln)}
	s.mute.Store(e.Faults().Silent == SilenceAll)
	e.mu.Lock()
	e.onCrash = s.gate.Shut
	e.mu.Unlock()
	logs.For("standin-engine").WithField("listen", ln.Addr().String()).Info("serving")
	return s.gate.Serve(ctx, s.handle)
}

func (s *server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if s.control(ctx, path) {
		return
	}
	if s.mute.Load() {
		if c, ok := ctx.Conn().(*gate.Conn); ok {
			c.Silence()
		}
		return
	}
	if err := s.serve(ctx, path); err != nil {
		fail(ctx, err)
	}
}

// control serves the stand-in's own interface, which no fault touches.
func (s *server) control(ctx *fasthttp.RequestCtx, path string) bool {
	switch path {
	case PathRuns:
		gate.Reply(ctx, s.engine.Runs())
	case PathOrders:
		gate.Reply(ctx, s.engine.Orders())
	case PathFaults:
		s.faults(ctx)
	case PathCrash:
		ctx.SetConnectionClose()
		s.engine.Crash()
	case PathHealth:
		ctx.SetBodyString("ok\n")
	default:
		return false
	}
	return true
}

func (s *server) faults(ctx *fasthttp.RequestCtx) {
	f := s.engine.Faults()
	if ctx.IsPost() {
		err := gate.Patch(ctx, &f)
		if err == nil {
			err = s.engine.SetFaults(f)
		}
		if err != nil {
			ctx.SetStatusCode(fasthttp.StatusBadRequest)
			gate.Reply(ctx, wire.Error{Message: err.Error()})
			return
		}
		if f.Silent != SilenceOff {
			s.gate.Silence(ctx.Conn())
		}
		s.mute.Store(f.Silent == SilenceAll)
		ctx.SetConnectionClose() // so that this one is not left unsilenced
	}
	gate.Reply(ctx, f)
}

func (s *server) serve(ctx *fasthttp.RequestCtx, path string) error {
	switch path {
	case wire.PathRun:
		return s.run(ctx)
	case wire.PathResume:
		return s.resume(ctx)
	case wire.PathCancel:
		var m wire.Resume
		if err := decode(ctx, &m); err != nil {
			return err
		}
		s.engine.cancel(m.RequestID)
	case wire.PathLoad:
		gate.Reply(ctx, wireLoad(s.engine.report()))
	case wire.PathCacheEvents:
		return s.cacheEvents(ctx)
	case wire.PathExportKV:
		var m wire.Blocks
		if err := decode(ctx, &m); err != nil {
			return err
		}
		ctx.SetBody(encodeBlocks(s.engine.exportBlocks(m.Blocks)))
	case wire.PathImportKV:
		return s.engine.importKV(ctx.PostBody())
	case wire.PathOrder:
		var m wire.Order
		if err := decode(ctx, &m); err != nil {
			return err
		}
		return s.engine.order(port.Order(m))
	default:
		return errors.Wrapf(port.ErrRefusedNotRun, "no path %s", path)
	}
	return nil
}

func (s *server) run(ctx *fasthttp.RequestCtx) error {
	var m wire.Run
	if err := decode(ctx, &m); err != nil {
		return err
	}
	c, err := s.engine.start(port.Run{
		RequestID: m.RequestID, Model: m.Model, Version: m.Version, Prompt: m.Prompt, Last: m.Last,
		PromptTokens: m.PromptTokens, MaxTokens: m.MaxTokens, Blocks: m.Blocks,
	})
	if err == nil {
		streamTo(ctx, c)
	}
	return err
}

func (s *server) resume(ctx *fasthttp.RequestCtx) error {
	var m wire.Resume
	if err := decode(ctx, &m); err != nil {
		return err
	}
	c, err := s.engine.resume(m.RequestID, m.Offset)
	if err == nil {
		streamTo(ctx, c)
	}
	return err
}

func (s *server) cacheEvents(ctx *fasthttp.RequestCtx) error {
	after, err := strconv.ParseUint(string(ctx.QueryArgs().Peek("after")), 10, 64)
	if err != nil {
		return errors.Wrap(port.ErrFailed, "after is no number")
	}
	var m wire.CacheEvents
	for _, ev := range s.engine.cacheEvents(after) {
		m.Events = append(m.Events, wire.CacheEvent(ev))
	}
	gate.Reply(ctx, m)
	return nil
}

func wireLoad(l port.LoadReport) wire.Load {
	out := wire.Load{
		Running: l.Running, Waiting: l.Waiting, KVUsed: l.KVUsed, Slots: l.Slots, Leaving: l.Leaving,
		Warming: l.Warming, Incarnation: l.Incarnation, AgeMs: float64(l.Age) / float64(time.Millisecond),
	}
	for _, m := range l.Models {
		out.Models = append(out.Models, wire.Model(m))
	}
	return out
}

func decode(ctx *fasthttp.RequestCtx, into any) error {
	if err := json.Unmarshal(ctx.PostBody(), into); err != nil {
		return errors.Wrapf(port.ErrRefusedNotRun, "body: %v", err)
	}
	return nil
}

// fail answers with an error of the port.
func fail(ctx *fasthttp.RequestCtx, err error) {
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
