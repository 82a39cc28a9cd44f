// Package httpservice is the adapter of the service port for plain services that speak
// HTTP/1.1. A call is forwarded unchanged and sent at most once. Its error says whether any
// byte can have left.
package httpservice

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lycheekeel/lycheekeel/engine"
	"github.com/lycheekeel/lycheekeel/internal/httpconn"
	"github.com/lycheekeel/lycheekeel/service"
)

const (
	// HeaderNotRun, set to "true" on a response, means that the service did not and will not
	// run the call.
	HeaderNotRun = "X-Lycheekeel-Not-Run"
	// HeaderRequestID carries Call.RequestID.
	HeaderRequestID = "X-Request-Id"

	// maxResponseBytes bounds a response, which is held in memory.
	maxResponseBytes = 64 << 20
	// DefaultResponseTimeout is the default of Settings.ResponseTimeout.
	DefaultResponseTimeout = 30 * time.Second
)

// Settings configure a Dialer. A zero field takes its default.
type Settings struct {
	httpconn.Settings
	// ResponseTimeout bounds the wait for the next byte of a response. A plain service
	// sends no keepalive while it works, so this also bounds its processing time. The
	// default is 30 s.
	ResponseTimeout time.Duration
}

// Dialer keeps one Service for each address. It is safe for concurrent use.
type Dialer struct {
	settings Settings
	services sync.Map // address to *Service
}

// NewDialer returns a dialer whose services use the settings.
func NewDialer(s Settings) *Dialer { return &Dialer{settings: s} }

// Service returns the service at the address (host:port). It does not connect.
func (d *Dialer) Service(address string) service.Service {
	if s, ok := d.services.Load(address); ok {
		return s.(*Service)
	}
	s, _ := d.services.LoadOrStore(address, New(address, d.settings))
	return s.(*Service)
}

// Service is one server of a plain service. It is safe for concurrent use.
type Service struct {
	pool            *httpconn.Pool
	responseTimeout time.Duration
}

// New returns the service at the address (host:port). It does not connect.
func New(address string, s Settings) *Service {
	if s.ResponseTimeout <= 0 {
		s.ResponseTimeout = DefaultResponseTimeout
	}
	return &Service{pool: httpconn.NewPool(address, s.Settings), responseTimeout: s.ResponseTimeout}
}

// Do implements service.Service. A call that is not well-formed HTTP fails with ErrNotSent.
// Do always uses a new connection: an idle one may be dead without a sign, and the outcome
// of a call on it would be unknown.
func (s *Service) Do(ctx context.Context, c service.Call) (service.Reply, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	if err := fillRequest(req, s.pool.Address(), c); err != nil {
		return service.Reply{}, errors.Wrap(engine.ErrNotSent, err.Error())
	}
	conn, err := s.pool.Send(ctx, req, httpconn.MustDial, c.BeforeSend)
	if err != nil {
		return service.Reply{}, err
	}
	conn.SetSilenceTimeout(s.responseTimeout)
	return s.readReply(ctx, conn, c)
}

func (s *Service) readReply(ctx context.Context, conn *httpconn.Conn, c service.Call) (service.Reply, error) {
	if err := conn.Bind(ctx); err != nil {
		conn.Discard()
		return service.Reply{}, errors.Wrapf(engine.ErrConnectionLost, "%s: %v", s.pool.Address(), err)
	}
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	resp.SkipBody, resp.StreamBody = c.Method == fasthttp.MethodHead, true
	if err := conn.ReadResponse(resp, maxResponseBytes); err != nil {
		conn.Discard()
		return service.Reply{}, err
	}
	body, err := readBody(resp, c)
	if err != nil {
		err = conn.WrapError(err)
		conn.Discard()
		return service.Reply{}, err
	}
	if resp.ConnectionClose() {
		conn.Discard()
	} else {
		conn.Release()
	}
	if string(resp.Header.Peek(HeaderNotRun)) == "true" {
		return service.Reply{}, errors.Wrapf(engine.ErrRefusedNotRun, "%s: status %d", s.pool.Address(), resp.StatusCode())
	}
	return service.Reply{Status: resp.StatusCode(), Header: replyHeader(resp), Body: body}, nil
}

// readBody reads the body of a response to its end.
func readBody(resp *fasthttp.Response, c service.Call) ([]byte, error) {
	stream := resp.BodyStream()
	if stream == nil {
		return nil, nil
	}
	if c.ReadBody != nil {
		return c.ReadBody(stream, resp.Header.ContentLength())
	}
	body, err := io.ReadAll(io.LimitReader(stream, maxResponseBytes+1))
	if err == nil && len(body) > maxResponseBytes {
		err = errors.Errorf("reply over %d bytes", maxResponseBytes)
	}
	return body, err
}

func fillRequest(req *fasthttp.Request, address string, c service.Call) error {
	if !httpconn.ValidToken(c.Method) || !validPath(c.Path) {
		return errors.Errorf("method %q or path %q is not well-formed", c.Method, c.Path)
	}
	req.Header.SetMethod(c.Method)
	req.SetRequestURI(c.Path)
	req.Header.SetHost(address)
	req.Header.SetNoDefaultContentType(true)
	for _, h := range c.Header {
		if !httpconn.ValidToken(h[0]) || !httpconn.ValidValue(h[1]) {
			return errors.Errorf("header %q is not well-formed", h[0])
		}
	}
	for _, h := range endToEndHeaders(c.Header) {
		req.Header.Add(h[0], h[1])
	}
	if !httpconn.ValidValue(c.RequestID) {
		return errors.New("request id is not well-formed")
	}
	req.Header.Set(HeaderRequestID, c.RequestID)
	req.SetBodyRaw(c.Body)
	return nil
}

func replyHeader(resp *fasthttp.Response) [][2]string {
	var all [][2]string
	for k, v := range resp.Header.All() {
		all = append(all, [2]string{string(k), string(v)})
	}
	return endToEndHeaders(all)
}
