// Package service is a stand-in for a plain service. It answers every call
// with the call itself, counts the calls and can be told to fail.
package service

import (
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

// Paths of the stand-in's own interface.
const (
	PathCalls  = "/standin/calls"  // GET: the counts, []CallCount
	PathFaults = "/standin/faults" // GET: Faults; POST: the fields to change
	PathHealth = "/healthz"        // GET
)

const (
	headerRequestID = "X-Request-Id"
	headerNotRun    = "X-Lycheekeel-Not-Run"
)

// Options of a service.
type Options struct {
	Faults Faults `json:"faults,omitzero"`
}

// Faults are what a service can be told to do wrong.
type Faults struct {
	// CloseAfterRead closes the connection of each call after it was read
	// and counted.
	CloseAfterRead bool `json:"close_after_read"`
	// DelayMs delays each answer.
	DelayMs float64 `json:"delay_ms"`
	// Silent reads and counts calls, and never answers.
	Silent bool `json:"silent"`
	// Refuse answers that the call did not and will not run.
	Refuse bool `json:"refuse"`
}

// Echo is the answer to a call.
type Echo struct {
	Method string      `json:"method"`
	Path   string      `json:"path"` // with its query
	Header [][2]string `json:"header"`
	Body   string      `json:"body"`
}

// Call identifies a call; one that was sent twice has the same Call.
type Call struct {
	Method    string `json:"method"`
	Path      string `json:"path"`
	RequestID string `json:"request_id"`
}

// CallCount is how often a call came in.
type CallCount struct {
	Call
	Count int `json:"count"`
}

// Service is the stand-in. It is safe for concurrent use.
type Service struct {
	mu     sync.Mutex
	faults Faults
	calls  map[Call]int
}

// New returns a service.
func New(o Options) *Service { return &Service{faults: o.Faults, calls: map[Call]int{}} }

// Serve runs a service with the options on the listener, which it owns, until
// ctx ends.
func Serve(ctx context.Context, ln net.Listener, o Options) error {
	return New(o).Serve(ctx, ln)
}

// Serve serves on the listener, which it owns, until ctx ends.
func (s *Service) Serve(ctx context.Context, ln net.Listener) error {
	logs.For("standin-service").WithField("listen", ln.Addr().String()).Info("serving")
	return gate.New(ln).Serve(ctx, func(r *fasthttp.RequestCtx) { s.handle(ctx, r) })
}

// Calls returns every call with its count, in a fixed order.
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

// Count returns how often calls with the request id came in.
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

// call counts a call and answers it, or does what the faults say.
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
	case f.Refuse:
		r.Response.Header.Set(headerNotRun, "true")
		r.SetStatusCode(fasthttp.StatusServiceUnavailable)
	default:
		gate.Reply(r, newEcho(r))
	}
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
