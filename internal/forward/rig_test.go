package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/lycheekeel/lycheekeel/broker"
	"github.com/lycheekeel/lycheekeel/internal/httpconn"
	"github.com/lycheekeel/lycheekeel/internal/metrics"
	"github.com/lycheekeel/lycheekeel/internal/testwait"
	"github.com/lycheekeel/lycheekeel/pool"
	"github.com/lycheekeel/lycheekeel/request"
	"github.com/lycheekeel/lycheekeel/retry"
	"github.com/lycheekeel/lycheekeel/route"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// waitLimit is generous: no test is decided by it.
const waitLimit = 20 * time.Second

const testKey = "secret-key"

func testWire() Wire {
	return Wire{
		RequestID: "X-Request-Id", Deadline: "X-Left-Ms", Workspace: "X-Space", ExpectServer: "X-Server",
		NotExecuted: "X-Refused", Signature: "X-Signed", LastEvent: "Last-Event-Id", Tokens: "X-Tokens", LengthHint: "X-Hint",
		Reserved: []string{"X-Reserved"},
		ParseTokens: func(v []byte) (int, int, bool) {
			var prompt, most int
			n, _ := fmt.Sscanf(string(v), "%d,%d", &prompt, &most)
			return prompt, most, n == 2
		},
	}
}

// backend is a server whose connections a script handles.
type backend struct {
	ln    net.Listener
	mu    sync.Mutex
	heads []string // of the requests that came, with their bodies
	conns atomic.Int64
}

// script answers one request on a connection; false closes the connection.
type script func(n int, head, body string, c net.Conn) bool

func newBackend(tb testing.TB, s script) *backend {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	b := &backend{ln: ln}
	tb.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			b.conns.Add(1)
			go b.serve(c, s)
		}
	}()
	return b
}

func (b *backend) serve(c net.Conn, s script) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		head, body, err := readRequest(r)
		if err != nil {
			return
		}
		b.mu.Lock()
		b.heads = append(b.heads, head+body)
		n := len(b.heads)
		b.mu.Unlock()
		if !s(n, head, body, c) {
			return
		}
	}
}

func (b *backend) requests() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string(nil), b.heads...)
}

func readRequest(r *bufio.Reader) (head, body string, err error) {
	var sb strings.Builder
	length := 0
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return "", "", err
		}
		sb.WriteString(line)
		_, _ = fmt.Sscanf(line, "Content-Length: %d", &length)
		if line == "\r\n" {
			break
		}
	}
	b := make([]byte, length)
	_, err = io.ReadFull(r, b)
	return sb.String(), string(b), err
}

// headerOf returns a header's value in a head; empty where there is none.
func headerOf(head, name string) string {
	for _, line := range strings.Split(head, "\r\n") {
		if k, v, ok := strings.Cut(line, ": "); ok && strings.EqualFold(k, name) {
			return v
		}
	}
	return ""
}

// answerWith writes a whole signed answer.
func answerWith(c net.Conn, head, status, body string) {
	fmt.Fprintf(c, "HTTP/1.1 %s\r\nX-Request-Id: %s\r\nX-Signed: s\r\nContent-Length: %d\r\n\r\n%s",
		status, headerOf(head, "X-Request-Id"), len(body), body)
}

// fakeBroker grants the servers in turn, at once.
type fakeBroker struct {
	mu      sync.Mutex
	servers []workspace.BackendServer
	next    int
	ends    []pool.Outcome
	refuse  error
	// refuseAfter is how many are granted before refuse is.
	refuseAfter int
	// refuseFirst is set where refuse is for so many of the first alone.
	refuseFirst int
	demands     []broker.Demand // as asked for
	block       chan struct{}   // not nil: Acquire waits for it or the context
	// blockAfter is how many are granted before block is waited for.
	blockAfter int
}

func (b *fakeBroker) Acquire(ctx context.Context, d broker.Demand) (broker.Grant, error) {
	b.mu.Lock()
	b.demands = append(b.demands, d)
	n := len(b.demands)
	b.mu.Unlock()
	if b.block != nil && n > b.blockAfter {
		select {
		case <-b.block:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.refuse != nil && n > b.refuseAfter && (b.refuseFirst == 0 || n <= b.refuseFirst) {
		return nil, b.refuse
	}
	s := b.servers[b.next%len(b.servers)]
	b.next++
	return &fakeGrant{b, s}, nil
}

// asked returns how many slots were asked for.
func (b *fakeBroker) asked() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.demands)
}

type fakeGrant struct {
	b *fakeBroker
	s workspace.BackendServer
}

func (g *fakeGrant) Server() workspace.BackendServer            { return g.s }
func (g *fakeGrant) Progress(time.Duration, int, time.Duration) {}
func (g *fakeGrant) Release(e broker.Completion)                { g.b.end(e.Outcome) }
func (g *fakeGrant) ReturnUnused()                              { g.b.end(pool.OutcomeNotDispatched) }
func (b *fakeBroker) end(o pool.Outcome)                        { b.mu.Lock(); b.ends = append(b.ends, o); b.mu.Unlock() }
func (b *fakeBroker) outcomes() []pool.Outcome {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]pool.Outcome(nil), b.ends...)
}

// fakeAdmission is fresh, and lets every server be used, unless told otherwise.
type fakeAdmission struct {
	stale   atomic.Bool
	leaving sync.Map
	// looking and using, where set, are told of the nth call of Fresh and MayUse.
	looking, using func(n int)
	looks, uses    atomic.Int64
}

func (a *fakeAdmission) Fresh() bool {
	if n := a.looks.Add(1); a.looking != nil {
		a.looking(int(n))
	}
	return !a.stale.Load()
}

func (a *fakeAdmission) ProofAge() time.Duration  { return time.Second }
func (a *fakeAdmission) StoreLost() time.Duration { return 0 }
func (a *fakeAdmission) Owner(string) string      { return "owner" }
func (a *fakeAdmission) MayUse(id string, _ bool) bool {
	if n := a.uses.Add(1); a.using != nil {
		a.using(int(n))
	}
	_, leaving := a.leaving.Load(id)
	return !leaving
}

// fakeQuotas counts.
type fakeQuotas struct {
	mu    sync.Mutex
	taken float64
	deny  bool
}

func (a *fakeQuotas) Take(_ *route.Workspace, _ request.Tier, cost float64) (bool, time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.deny {
		return false, 1500 * time.Millisecond
	}
	a.taken += cost
	return true, 0
}

func (a *fakeQuotas) Return(_ *route.Workspace, cost float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.taken -= cost
}

func (a *fakeQuotas) used() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.taken
}

// rig is a Server between raw callers and scripted servers.
type rig struct {
	tb        testing.TB
	server    *Server
	address   string
	gone      string // an address at which nobody listens
	routes    *route.Live
	broker    *fakeBroker
	admission *fakeAdmission
	quotas    *fakeQuotas
	budget    *retry.Budget
	metrics   *metrics.Registry
}

func testDocument(version uint64) route.Document {
	target := []route.Target{{Service: "svc", Weight: 1}}
	r := func(prefix string, kind route.Kind, attempts int, resumable bool) route.Route {
		return route.Route{
			Name: prefix, Host: "h.example", Prefix: prefix, Kind: kind, Targets: target, Timeout: waitLimit,
			LatencyTarget: time.Second, MaxAttempts: attempts, Resumable: resumable,
		}
	}
	public := r("/public/", route.Idempotent, 1, false)
	public.Public = true
	return route.Document{
		Version: version,
		Routes: []route.Route{
			r("/once/", route.NonIdempotent, 1, false), r("/again/", route.Idempotent, 2, false),
			r("/stream/", route.Stream, 1, false), r("/resume/", route.Stream, 3, true), public,
		},
		Services: []route.Service{{Name: "svc", TokensPerEvent: 5}},
		Limits:   route.Limits{MaxBodyBytes: 1 << 20},
		Workspaces: []route.Workspace{{
			Name: "space", Keys: []string{testKey}, Quota: route.Quota{PerSecond: 1000, Burst: 1000, Tokens: true, DefaultTokens: 7},
		}},
	}
}

func newRig(tb testing.TB, backends ...*backend) *rig {
	r := &rig{
		tb: tb, routes: &route.Live{}, broker: &fakeBroker{}, admission: &fakeAdmission{},
		quotas: &fakeQuotas{}, budget: retry.NewBudget(0, 100), metrics: metrics.New(),
	}
	for i, b := range backends {
		r.broker.servers = append(r.broker.servers, workspace.BackendServer{Name: fmt.Sprintf("i-%d", i+1), Address: b.ln.Addr().String()})
	}
	r.putInForce(testDocument(1))
	r.server = New(Deps{
		Routes: r.routes, Pools: &workspace.Live{}, Broker: r.broker, Admission: r.admission, Quotas: r.quotas,
		Budget: func(string) *retry.Budget { return r.budget }, Servers: NewServers(httpconn.Settings{}),
		Metrics: r.metrics, Self: "test", Wire: testWire(),
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	r.address = ln.Addr().String()
	r.gone = unusedAddress(tb)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = r.server.Serve(ln)
	}()
	tb.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
		defer cancel()
		_ = r.server.Shutdown(ctx)
		<-done
	})
	return r
}

// unusedAddress returns an address whose connections are refused.
func unusedAddress(tb testing.TB) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// until waits until the condition holds.
func (r *rig) until(what string, holds func() bool) {
	r.tb.Helper()
	testwait.Until(r.tb, waitLimit, what, holds)
}

func (r *rig) putInForce(d route.Document) {
	table, findings := route.Compile("test", d)
	if findings != nil {
		r.tb.Fatal(findings)
	}
	r.routes.Update(table)
}

// caller is one connection of a caller.
type caller struct {
	tb testing.TB
	net.Conn
	r *bufio.Reader
}

func (r *rig) dial() *caller {
	c, err := net.Dial("tcp", r.address)
	if err != nil {
		r.tb.Fatal(err)
	}
	_ = c.SetDeadline(time.Now().Add(waitLimit))
	r.tb.Cleanup(func() { _ = c.Close() })
	return &caller{r.tb, c, bufio.NewReader(c)}
}

func (c *caller) send(method, path, id, extra, body string) {
	fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\nAuthorization: Bearer %s\r\nX-Left-Ms: 15000\r\n%sContent-Length: %d\r\n\r\n%s",
		method, path, id, testKey, extra, len(body), body)
}

// result is an answer as a caller sees it. Whole is false where it was cut.
type result struct {
	status int
	header *fasthttp.ResponseHeader
	body   string
	whole  bool
}

func (c *caller) receive() result {
	var resp fasthttp.Response
	resp.StreamBody = true
	if err := resp.Read(c.r); err != nil {
		return result{}
	}
	out := result{status: resp.StatusCode(), header: &resp.Header}
	b, err := io.ReadAll(resp.BodyStream())
	out.body, out.whole = string(b), err == nil
	return out
}

// call sends one request on a new connection and returns the answer.
func (r *rig) call(method, path, id, extra, body string) result {
	c := r.dial()
	c.send(method, path, id, extra, body)
	return c.receive()
}
