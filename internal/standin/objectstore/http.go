package objectstore

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	port "github.com/lycheekeel/lycheekeel/objectstore"
	"github.com/lycheekeel/lycheekeel/objectstore/httpobjectstore/wire"
)

// Paths of the stand-in's control interface. Faults don't affect them.
const (
	PathFaults = "/standin/faults"
	PathVMs    = "/standin/vms"
	PathCalls  = "/standin/calls"
)

// idleTimeout is the time after which an idle connection is closed. Clients must
// use a shorter idle timeout.
const idleTimeout = time.Minute

// bodyMargin is the number of bytes that the HTTP server accepts beyond the value
// limit, so that a value just over the limit is refused by the store's own check.
const bodyMargin = 1 << 20

// Serve serves HTTP on the listener until ctx ends.
func (s *Standin) Serve(ctx context.Context, ln net.Listener) error {
	srv := &fasthttp.Server{
		Handler:            s.handle,
		IdleTimeout:        idleTimeout,
		MaxRequestBodySize: port.MaxValueBytes + bodyMargin,
		CloseOnShutdown:    true,
		Logger:             discardLogger{},
	}
	done := make(chan error, 1)
	go func() { done <- srv.Serve(ln) }()
	select {
	case err := <-done:
		return errors.Wrap(err, "serve the platform stand-in")
	case <-ctx.Done():
		stopping, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = srv.ShutdownWithContext(stopping) // open watches may outlast the timeout
		return ln.Close()
	}
}

// discardLogger discards fasthttp's log messages, which report connections that
// clients closed.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

func (s *Standin) handle(c *fasthttp.RequestCtx) {
	answer, err := s.route(c)
	if errors.Is(err, port.ErrUnknownOutcome) {
		// Simulate a lost answer: close the connection without a response.
		c.HijackSetNoResponse(true)
		c.Hijack(func(net.Conn) {})
		return
	}
	if err != nil {
		c.Error(err.Error(), statusCode(err))
		return
	}
	b, err := json.Marshal(answer)
	if err != nil {
		c.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	c.SetContentType("application/json")
	c.SetBody(b)
}

var errBadRequest = errors.New("bad request")

func statusCode(err error) int {
	for _, m := range []struct {
		err    error
		status int
	}{
		{port.ErrNotFound, fasthttp.StatusNotFound},
		{port.ErrConflict, fasthttp.StatusConflict},
		{port.ErrCompacted, fasthttp.StatusGone},
		{port.ErrTooLarge, fasthttp.StatusRequestEntityTooLarge},
		{port.ErrUnavailable, fasthttp.StatusServiceUnavailable},
		{errBadRequest, fasthttp.StatusBadRequest},
	} {
		if errors.Is(err, m.err) {
			return m.status
		}
	}
	return fasthttp.StatusInternalServerError
}

// route serves one request. The context that it passes on ends with the server,
// not with the connection: fasthttp does not report that a client disconnected,
// and a write continues without its client anyway.
func (s *Standin) route(c *fasthttp.RequestCtx) (any, error) {
	args := c.QueryArgs()
	kind, name := port.Kind(args.Peek(wire.ArgKind)), string(args.Peek(wire.ArgName))
	switch method := string(c.Method()); method + " " + string(c.Path()) {
	case "GET " + wire.PathObject:
		return s.Get(c, kind, name)
	case "PUT " + wire.PathObject:
		body := bytes.Clone(c.PostBody()) // a slow write may outlive the handler
		if args.Has(wire.ArgCreate) {
			v, err := s.Create(c, kind, name, body)
			return wire.WriteResponse{Version: v}, err
		}
		v, err := s.Update(c, kind, name, body, parseVersion(args, wire.ArgExpected))
		return wire.WriteResponse{Version: v}, err
	case "DELETE " + wire.PathObject:
		v, err := s.Delete(c, kind, name, parseVersion(args, wire.ArgExpected))
		return wire.WriteResponse{Version: v}, err
	case "GET " + wire.PathObjects:
		return s.List(c, kind, string(args.Peek(wire.ArgPrefix)))
	case "GET " + wire.PathWatch:
		return s.watch(c, string(kind), args)
	case "GET " + wire.PathVMs:
		return s.VMs(c)
	case "POST " + wire.PathReserve:
		wait, err := s.Reserve(c, string(args.Peek(wire.ArgModel)), string(args.Peek(wire.ArgVersion)))
		return wire.ReserveResponse{WaitMs: wait.Milliseconds() + boolToInt(wait > 0)}, err
	default:
		return s.handleControl(c, method+" "+string(c.Path()))
	}
}

func (s *Standin) watch(c *fasthttp.RequestCtx, kinds string, args *fasthttp.Args) (any, error) {
	var list []port.Kind
	for _, k := range strings.Split(kinds, ",") {
		list = append(list, port.Kind(k))
	}
	wait := time.Duration(args.GetUintOrZero(wire.ArgWaitMs)) * time.Millisecond
	events, next, err := s.Watch(c, list, parseVersion(args, wire.ArgAfter), wait)
	return wire.WatchResponse{Events: events, Version: next}, err
}

// handleControl serves the control interface.
func (s *Standin) handleControl(c *fasthttp.RequestCtx, route string) (any, error) {
	switch route {
	case "POST " + PathFaults:
		var f Faults
		if err := json.Unmarshal(c.PostBody(), &f); err != nil {
			return nil, errors.Wrap(errBadRequest, err.Error())
		}
		s.SetFaults(f)
		return f, nil
	case "GET " + PathFaults:
		return s.Faults(), nil
	case "POST " + PathVMs:
		var vms []port.VM
		if err := json.Unmarshal(c.PostBody(), &vms); err != nil {
			return nil, errors.Wrap(errBadRequest, err.Error())
		}
		s.SetVMs(vms)
		return vms, nil
	case "GET " + PathCalls:
		return s.Calls(), nil
	}
	return nil, errors.Wrap(port.ErrNotFound, route)
}

func parseVersion(args *fasthttp.Args, name string) port.Version {
	return port.Version(args.GetUintOrZero(name))
}

func boolToInt(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
