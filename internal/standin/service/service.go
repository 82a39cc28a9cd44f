// Package service simulates a plain service for tests. It echoes every call,
// counts the calls and can inject faults.
package service

import (
	"bytes"
	"cmp"
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/lycheekeel/lycheekeel/internal/logs"
	"github.com/lycheekeel/lycheekeel/internal/standin/gate"
)

// Paths of the stand-in's control interface.
const (
	PathCalls  = "/standin/calls"  // GET: the counts, []CallCount
	PathFaults = "/standin/faults" // GET: Faults; POST: the fields to change
	PathHealth = "/healthz"        // GET
)

const (
	headerRequestID = "X-Request-Id"
	headerNotRun    = "X-Lycheekeel-Not-Run"
)

// Options configure a service.
type Options struct {
	Faults Faults `json:"faults,omitzero"`
}

// Faults are the faults that can be injected. The zero value injects none.
type Faults struct {
	// CloseAfterRead closes the connection after the call was read and counted.
	CloseAfterRead bool `json:"close_after_read"`
	// DelayMs delays each answer by this many milliseconds.
	DelayMs float64 `json:"delay_ms"`
	// Silent reads and counts calls, but never answers them.
	Silent bool `json:"silent"`
	// Chunked answers without a length.
	Chunked bool `json:"chunked"`
	// Endless answers with a body without end.
	Endless bool `json:"endless"`
	// Refuse refuses each call with the header X-Lycheekeel-Not-Run and does not
	// count it.
	Refuse bool `json:"refuse"`
}

// Echo is the answer to a call.
type Echo struct {
	Method string      `json:"method"`
	Path   string      `json:"path"` // including the query
	Header [][2]string `json:"header"`
	Body   string      `json:"body"`
}

// Call identifies a call. A call that was sent twice has the same Call both times.
type Call struct {
	Method    string `json:"method"`
	Path      string `json:"path"`
	RequestID string `json:"request_id"`
}

// CallCount is the number of times that a call was received.
type CallCount struct {
	Call
	Count int `json:"count"`
}

// Service is a simulated plain service. It is safe for concurrent use.
type Service struct {
	mu     sync.Mutex
	faults Faults
	calls  map[Call]int
}

// New returns a service with the options.
func New(o Options) *Service { return &Service{faults: o.Faults, calls: map[Call]int{}} }

// Serve creates a service and serves it on the listener until ctx ends. It takes
// ownership of the listener.
func Serve(ctx context.Context, ln net.Listener, o Options) error {
	return New(o).Serve(ctx, ln)
}

// Serve serves on the listener until ctx ends. It takes ownership of the listener.
func (s *Service) Serve(ctx context.Context, ln net.Listener) error {
	logs.For("standin-service").WithField("listen", ln.Addr().String()).Info("serving")
	return gate.New(ln).Serve(ctx, func(r *fasthttp.RequestCtx) { s.handle(ctx, r) })
}

// Calls returns every call with its count, sorted by path, method and request id.
func (s *Service) Calls() []CallCount {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]CallCount, 0, len(s.calls))
	for call, n := range s.calls {
		out = append(out, CallCount{call, n})
	}
	slices.SortFunc(out, func(a, b CallCount) int {
		return cmp.Or(cmp.Compare(a.Path, b.Path), cmp.Compare(a.Method, b.Method), cmp.Compare(a.RequestID, b.RequestID))
	})
	return out
}

// Count returns the number of calls received with the request id.
func (s *Service) Count(requestID string) int {
	n := 0
	for _, c := range s.Calls() {
		if c.RequestID == requestID {
			n += c.Count
		}
	}
	return n
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

func (s *Service) handle(ctx context.Context, r *fasthttp.RequestCtx) {
	switch string(r.Path()) {
	case PathCalls:
		gate.Reply(r, s.Calls())
	case PathFaults:
		s.handleFaults(r)
	case PathHealth:
		r.SetBodyString("ok\n")
	default:
		s.call(ctx, r)
	}
}

func (s *Service) handleFaults(r *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.IsPost() {
		f := s.faults
		if err := gate.Patch(r, &f); err != nil {
			r.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		s.faults = f
	}
	gate.Reply(r, s.faults)
}

// call counts a call and answers it, subject to the faults.
func (s *Service) call(ctx context.Context, r *fasthttp.RequestCtx) {
	f := s.countCall(r)
	if f.DelayMs > 0 {
		select {
		case <-time.After(time.Duration(f.DelayMs * float64(time.Millisecond))):
		case <-ctx.Done():
		}
	}
	switch {
	case f.CloseAfterRead:
		_ = r.Conn().Close()
	case f.Silent:
		r.Conn().(*gate.Conn).Silence()
	case f.Endless:
		r.SetBodyStream(endless{}, -1)
	case f.Refuse:
		r.Response.Header.Set(headerNotRun, "true")
		r.SetStatusCode(fasthttp.StatusServiceUnavailable)
	default:
		gate.Reply(r, newEcho(r))
		if f.Chunked {
			r.SetBodyStream(bytes.NewReader(bytes.Clone(r.Response.Body())), -1)
		}
	}
}

// endless is a body without end.
type endless struct{}

// Read implements io.Reader.
func (endless) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}

func newEcho(r *fasthttp.RequestCtx) Echo {
	e := Echo{Method: string(r.Method()), Path: string(r.RequestURI()), Body: string(r.PostBody())}
	for k, v := range r.Request.Header.All() {
		e.Header = append(e.Header, [2]string{string(k), string(v)})
	}
	return e
}

func (s *Service) countCall(r *fasthttp.RequestCtx) Faults {
	call := Call{string(r.Method()), string(r.RequestURI()), string(r.Request.Header.Peek(headerRequestID))}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.faults.Refuse {
		s.calls[call]++
	}
	return s.faults
}
