// Package httpengine is the adapter of the engine port for engines that speak HTTP/1.1
// with newline-delimited JSON answers (package wire).
//
// It never sends a request twice: each method is one HTTP exchange on one connection, and
// its error says whether any byte can have left.
package httpengine

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lycheekeel/lycheekeel/engine"
	"github.com/lycheekeel/lycheekeel/engine/httpengine/wire"
	"github.com/lycheekeel/lycheekeel/internal/httpconn"
)

// maxResponseBytes bounds a response that is read as a whole rather than streamed.
const maxResponseBytes = 64 << 20

// Dialer keeps one Engine per address. It is safe for concurrent use.
type Dialer struct {
	settings httpconn.Settings
	engines  sync.Map // address to *Engine
}

// NewDialer returns a dialer whose engines use the settings.
func NewDialer(s httpconn.Settings) *Dialer { return &Dialer{settings: s} }

// Engine returns the engine at the address (host:port). It does not connect.
func (d *Dialer) Engine(address string) engine.Engine {
	if e, ok := d.engines.Load(address); ok {
		return e.(*Engine)
	}
	e, _ := d.engines.LoadOrStore(address, New(address, d.settings))
	return e.(*Engine)
}

// Forget removes the engine at an address and closes its idle connections.
func (d *Dialer) Forget(address string) {
	if e, ok := d.engines.LoadAndDelete(address); ok {
		e.(*Engine).pool.CloseIdle()
	}
}

// Engine is one model engine accessed over HTTP. It is safe for concurrent use.
type Engine struct {
	pool *httpconn.Pool
}

var _ engine.Engine = (*Engine)(nil)

// New returns the engine at the address (host:port). It does not connect.
func New(address string, s httpconn.Settings) *Engine {
	return &Engine{pool: httpconn.NewPool(address, s)}
}

// Address returns the engine's address.
func (e *Engine) Address() string { return e.pool.Address() }

// Counts returns the engine's connection counters.
func (e *Engine) Counts() httpconn.Counts { return e.pool.Counts() }

// Run implements engine.Engine. It always uses a new connection.
//
// The network may have dropped an idle connection without any sign at this end. A request
// sent on it would be lost with unknown outcome, which shows as engine_lost refusals after
// idle periods. A connect costs one more round trip, but proves that the path works.
func (e *Engine) Run(ctx context.Context, r engine.Run) (engine.Stream, error) {
	return e.startStream(ctx, r.BeforeSend, httpconn.MustDial, r.RequestID, 0, wire.PathRun, wire.Run{
		RequestID: r.RequestID, Model: r.Model, Version: r.Version, Prompt: r.Prompt, LastMessage: r.LastMessage,
		PromptTokens: r.PromptTokens, MaxTokens: r.MaxTokens, Blocks: r.Blocks,
	})
}

// Resume implements engine.Engine. It always uses a new connection.
func (e *Engine) Resume(ctx context.Context, requestID string, offset int) (engine.Stream, error) {
	return e.startStream(ctx, nil, httpconn.MustDial, requestID, offset, wire.PathResume,
		wire.Resume{RequestID: requestID, Offset: offset})
}

// Cancel implements engine.Engine.
func (e *Engine) Cancel(ctx context.Context, requestID string) error {
	_, err := e.postJSON(ctx, wire.PathCancel, wire.Resume{RequestID: requestID})
	return err
}

// Load implements engine.Engine.
func (e *Engine) Load(ctx context.Context) (engine.LoadReport, error) {
	var l wire.Load
	if err := e.getJSON(ctx, wire.PathLoad, &l); err != nil {
		return engine.LoadReport{}, err
	}
	report := engine.LoadReport{
		Running: l.Running, Waiting: l.Waiting, KVUsed: l.KVUsed, Slots: l.Slots, Leaving: l.Leaving,
		Warming: l.Warming, Incarnation: l.Incarnation,
		Age: max(0, time.Duration(l.AgeMs*float64(time.Millisecond))),
	}
	for _, m := range l.Models {
		report.Models = append(report.Models, engine.LoadedModel(m))
	}
	return report, nil
}

// CacheEvents implements engine.Engine.
func (e *Engine) CacheEvents(ctx context.Context, after uint64) ([]engine.CacheEvent, error) {
	var got wire.CacheEvents
	if err := e.getJSON(ctx, wire.PathCacheEvents+"?after="+strconv.FormatUint(after, 10), &got); err != nil {
		return nil, err
	}
	events := make([]engine.CacheEvent, len(got.Events))
	for i, ev := range got.Events {
		events[i] = engine.CacheEvent(ev)
	}
	return events, nil
}

// ExportKV implements engine.Engine.
func (e *Engine) ExportKV(ctx context.Context, blocks []uint64) ([]byte, error) {
	return e.postJSON(ctx, wire.PathExportKV, wire.Blocks{Blocks: blocks})
}

// ImportKV implements engine.Engine.
func (e *Engine) ImportKV(ctx context.Context, data []byte) error {
	_, err := e.roundTrip(ctx, fasthttp.MethodPost, wire.PathImportKV, data)
	return err
}

// Order implements engine.Engine.
func (e *Engine) Order(ctx context.Context, o engine.Order) error {
	_, err := e.postJSON(ctx, wire.PathOrder, wire.Order(o))
	return err
}

func (e *Engine) getJSON(ctx context.Context, path string, into any) error {
	body, err := e.roundTrip(ctx, fasthttp.MethodGet, path, nil)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, into); err != nil {
		return errors.Wrapf(engine.ErrConnectionLost, "%s: decode response of %s: %v", e.pool.Address(), path, err)
	}
	return nil
}

func (e *Engine) postJSON(ctx context.Context, path string, message any) ([]byte, error) {
	body, err := json.Marshal(message)
	if err != nil {
		return nil, errors.Wrapf(engine.ErrNotSent, "marshal: %v", err)
	}
	return e.roundTrip(ctx, fasthttp.MethodPost, path, body)
}

// roundTrip sends one request and reads its whole response.
func (e *Engine) roundTrip(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	conn, err := e.send(ctx, nil, httpconn.MayReuse, method, path, body)
	if err != nil {
		return nil, err
	}
	if err := conn.Bind(ctx); err != nil {
		conn.Discard()
		return nil, errors.Wrapf(engine.ErrConnectionLost, "%s: %v", e.pool.Address(), err)
	}
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := conn.ReadResponse(resp, maxResponseBytes); err != nil {
		conn.Discard()
		return nil, err
	}
	releaseConn(conn, resp)
	if err := statusError(e.pool.Address(), resp.StatusCode(), resp.Body()); err != nil {
		return nil, err
	}
	return append([]byte(nil), resp.Body()...), nil
}

// startStream sends one request and returns the stream of its answer.
func (e *Engine) startStream(
	ctx context.Context, beforeSend func() error, fresh httpconn.ReusePolicy, id string, offset int, path string, message any,
) (engine.Stream, error) {
	body, err := json.Marshal(message)
	if err != nil {
		return nil, errors.Wrapf(engine.ErrNotSent, "marshal: %v", err)
	}
	conn, err := e.send(ctx, beforeSend, fresh, fasthttp.MethodPost, path, body)
	if err != nil {
		return nil, err
	}
	return readStreamHeader(ctx, conn, e.pool.Address(), id, offset)
}

func (e *Engine) send(
	ctx context.Context, beforeSend func() error, fresh httpconn.ReusePolicy, method, path string, body []byte,
) (*httpconn.Conn, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(method)
	req.SetRequestURI(path)
	req.Header.SetHost(e.pool.Address())
	if body != nil {
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(body)
	}
	return e.pool.Send(ctx, req, fresh, beforeSend)
}

// releaseConn keeps or closes the connection after a response was read to its end.
func releaseConn(conn *httpconn.Conn, resp *fasthttp.Response) {
	if resp.ConnectionClose() {
		conn.Discard()
		return
	}
	conn.Release()
}

// statusError maps a response's status to one of the port's errors.
func statusError(address string, status int, body []byte) error {
	if status == fasthttp.StatusOK {
		return nil
	}
	var e wire.Error
	if json.Unmarshal(body, &e) != nil {
		e = wire.Error{}
	}
	return errors.Wrapf(errorForStatus(status, e.NotRun), "%s: status %d: %s", address, status, e.Message)
}

// errorForStatus maps a status to an error. Only not_run from the engine itself proves that
// a request did not run; a 503 alone may come from an intermediary while the engine runs it.
func errorForStatus(status int, notRun bool) error {
	switch {
	case status == fasthttp.StatusNotFound && !notRun:
		return engine.ErrUnknownRun
	case status == fasthttp.StatusConflict:
		return engine.ErrStaleToken
	case notRun:
		return engine.ErrRefusedNotRun
	default:
		return engine.ErrRunFailed
	}
}
