package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/lycheekeel/lycheekeel/broker"
	"github.com/lycheekeel/lycheekeel/internal/httpconn"
	"github.com/lycheekeel/lycheekeel/internal/metrics"
	"github.com/lycheekeel/lycheekeel/internal/testport"
	"github.com/lycheekeel/lycheekeel/internal/testwait"
	"github.com/lycheekeel/lycheekeel/pool"
	"github.com/lycheekeel/lycheekeel/request"
	"github.com/lycheekeel/lycheekeel/retry"
	"github.com/lycheekeel/lycheekeel/route"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// testTimeout bounds waits; no test passes or fails because of its value.
const testTimeout = 20 * time.Second

const testKey = "secret-key"

func testWire() Wire {
	return Wire{
		RequestID: "X-Request-Id", Deadline: "X-Left-Ms", Workspace: "X-Space", ExpectServer: "X-Server",
		NotExecuted: "X-Refused", Signature: "X-Signed", LastEvent: "Last-Event-Id", Tokens: "X-Tokens", LengthHint: "X-Hint", ServerRate: "X-Rate", ServerLeaving: "X-Leaves",
		Reserved: []string{"X-Reserved"}, Parts: "X-Parts",
		ParseParts: func(v []byte) (ids []uint64) {
			for _, id := range strings.Fields(string(v)) {
				if n, err := strconv.ParseUint(id, 10, 64); err == nil {
					ids = append(ids, n)
				}
			}
			return ids
		},
		ParseTokens: func(v []byte) (int, int, bool) {
			var promptTokens, maxTokens int
			n, _ := fmt.Sscanf(string(v), "%d,%d", &promptTokens, &maxTokens)
			return promptTokens, maxTokens, n == 2
		},
	}
}

// backend is a server whose answers a script writes.
type backend struct {
	ln          net.Listener
	mu          sync.Mutex
	received    []string // the requests received, header and body
	connections atomic.Int64
}

// script answers the n-th request of a backend on connection c; false closes c.
type script func(n int, head, body string, c net.Conn) bool

func newBackend(tb testing.TB, s script) *backend {
	ln, err := net.Listen("tcp", unusedAddress(tb))
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
			b.connections.Add(1)
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
		b.received = append(b.received, head+body)
		n := len(b.received)
		b.mu.Unlock()
		if !s(n, head, body, c) {
			return
		}
	}
}

func (b *backend) requests() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string(nil), b.received...)
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

// headerOf returns the value of a header field; empty if there is none.
func headerOf(head, name string) string {
	for _, line := range strings.Split(head, "\r\n") {
		if k, v, ok := strings.Cut(line, ": "); ok && strings.EqualFold(k, name) {
			return v
		}
	}
	return ""
}

// writeSignedAnswer writes a complete signed answer.
func writeSignedAnswer(c net.Conn, head, status, body string) {
	fmt.Fprintf(c, "HTTP/1.1 %s\r\nX-Request-Id: %s\r\nX-Signed: s\r\nContent-Length: %d\r\n\r\n%s",
		status, headerOf(head, "X-Request-Id"), len(body), body)
}

// fakeBroker grants its servers round robin, without waiting.
type fakeBroker struct {
	mu        sync.Mutex
	servers   []workspace.BackendServer
	next      int
	released  []pool.Outcome
	gone      []bool                   // of each release
	rates     []float64                // reported limits on requests per second
	leaving   []string                 // servers that were reported as leaving
	pushbacks map[string]time.Duration // by server, as reported
	refusal   error
	// refuseAfter is how many calls are granted before refusal is returned.
	refuseAfter int
	// refuseFirst, if not 0, limits refusal to the first so many calls.
	refuseFirst int
	demands     []broker.Demand // of all calls of Acquire
	unblock     chan struct{}   // if not nil, Acquire waits until it is closed or the context ends
	// blockAfter is how many calls return without waiting for unblock.
	blockAfter int
	onRelease  func() // called after each release; may be nil
}

func (b *fakeBroker) Acquire(ctx context.Context, d broker.Demand) (broker.Grant, error) {
	b.mu.Lock()
	b.demands = append(b.demands, d)
	n := len(b.demands)
	b.mu.Unlock()
	if b.unblock != nil && n > b.blockAfter {
		select {
		case <-b.unblock:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.refusal != nil && n > b.refuseAfter && (b.refuseFirst == 0 || n <= b.refuseFirst) {
		return nil, b.refusal
	}
	for range b.servers {
		s := b.servers[b.next%len(b.servers)]
		b.next++
		if d.Version == "" || s.Version == d.Version {
			return &fakeGrant{b, s}, nil
		}
	}
	return nil, request.Refuse(request.ReasonVersionUnavailable, "no server of version %s", d.Version)
}

// acquireCount returns how often Acquire was called.
func (b *fakeBroker) acquireCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.demands)
}

type fakeGrant struct {
	broker *fakeBroker
	server workspace.BackendServer
}

func (g *fakeGrant) Server() workspace.BackendServer            { return g.server }
func (g *fakeGrant) Progress(time.Duration, int, time.Duration) {}
func (g *fakeGrant) RateLimited(perSecond float64)              { g.broker.recordRate(perSecond) }
func (g *fakeGrant) Brittle(int)                                {}
func (g *fakeGrant) Pushback(wait time.Duration)                { g.broker.recordPushback(g.server.Name, wait) }
func (g *fakeGrant) PushedBack() bool                           { return g.broker.isPushedBack(g.server.Name) }
func (g *fakeGrant) Leaving()                                   { g.broker.recordLeaving(g.server.Name) }
func (g *fakeGrant) Release(c broker.Completion)                { g.broker.recordRelease(c.Outcome, c.ServerGone) }
func (g *fakeGrant) ReturnUnused() {
	g.broker.recordRelease(pool.OutcomeNotDispatched, false)
}
func (b *fakeBroker) recordRelease(o pool.Outcome, gone bool) {
	b.mu.Lock()
	b.released = append(b.released, o)
	b.gone = append(b.gone, gone)
	b.mu.Unlock()
	if b.onRelease != nil {
		b.onRelease()
	}
}
func (b *fakeBroker) recordRate(perSecond float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rates = append(b.rates, perSecond)
}
func (b *fakeBroker) recordLeaving(server string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leaving = append(b.leaving, server)
}
func (b *fakeBroker) recordPushback(server string, wait time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.pushbacks == nil {
		b.pushbacks = map[string]time.Duration{}
	}
	b.pushbacks[server] = wait
}
func (b *fakeBroker) isPushedBack(server string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pushbacks[server] > 0
}
func (b *fakeBroker) outcomes() []pool.Outcome {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]pool.Outcome(nil), b.released...)
}

// fakeAdmission is fresh and allows every server unless a test changes that.
type fakeAdmission struct {
	stale   atomic.Bool
	leaving sync.Map
	// onFresh and onMayUse, if set, are called with n in the n-th call of Fresh and MayUse.
	onFresh, onMayUse       func(n int)
	freshCalls, mayUseCalls atomic.Int64
}

func (a *fakeAdmission) Fresh() bool {
	if n := a.freshCalls.Add(1); a.onFresh != nil {
		a.onFresh(int(n))
	}
	return !a.stale.Load()
}

func (a *fakeAdmission) ServerLeaves(s workspace.BackendServer) { a.leaving.Store(s.Name, true) }
func (a *fakeAdmission) ProofAge() time.Duration                { return time.Second }
func (a *fakeAdmission) StoreLost() time.Duration               { return 0 }
func (a *fakeAdmission) Owner(string) string                    { return "owner" }
func (a *fakeAdmission) MayUse(s workspace.BackendServer, _ bool) bool {
	if n := a.mayUseCalls.Add(1); a.onMayUse != nil {
		a.onMayUse(int(n))
	}
	_, leaving := a.leaving.Load(s.Name)
	return !leaving
}

// fakeQuotas sums the cost taken.
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

// harness runs a Server between callers on raw connections and scripted servers.
type harness struct {
	tb            testing.TB
	server        *Server
	address       string
	unusedAddress string // refuses connections
	routes        *route.Live
	broker        *fakeBroker
	admission     *fakeAdmission
	quotas        *fakeQuotas
	budget        *retry.Budget
	metrics       *metrics.Registry
}

func testDocument(version uint64) route.Document {
	target := []route.Target{{Service: "svc", Weight: 1}}
	r := func(prefix string, kind route.Kind, attempts int, resumable bool) route.Route {
		return route.Route{
			Name: prefix, Host: "h.example", Prefix: prefix, Kind: kind, Targets: target, Timeout: testTimeout,
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

func newHarness(tb testing.TB, backends ...*backend) *harness {
	return newHarnessWithHook(tb, nil, backends...)
}

// newHarnessWithHook calls onStream, if not nil, with each stream after its first events
// were received and before they are passed on, in the goroutine that reads the stream.
func newHarnessWithHook(tb testing.TB, onStream func(*stream), backends ...*backend) *harness {
	return newHarnessWith(tb, harnessOptions{onStream: onStream}, backends...)
}

// harnessOptions are the parts of a harness that differ between tests.
type harnessOptions struct {
	onStream     func(*stream)
	callerBytes  int64 // what callers may make the server hold; 0: the default
	unconfigured bool  // no configuration is in force
}

func newHarnessWith(tb testing.TB, o harnessOptions, backends ...*backend) *harness {
	r := &harness{
		tb: tb, routes: &route.Live{}, broker: &fakeBroker{}, admission: &fakeAdmission{},
		quotas: &fakeQuotas{}, budget: newTestBudget(100), metrics: metrics.New(),
	}
	for i, b := range backends {
		r.broker.servers = append(r.broker.servers, workspace.BackendServer{Name: fmt.Sprintf("i-%d", i+1), Address: b.ln.Addr().String()})
	}
	if !o.unconfigured {
		r.applyConfig(testDocument(1))
	}
	r.server = New(Deps{
		Routes: r.routes, Snapshot: &workspace.CurrentSnapshot{}, Broker: r.broker, Admission: r.admission, Quotas: r.quotas,
		Budget: func(string) *retry.Budget { return r.budget }, ConnPools: NewConnPools(httpconn.Settings{DialTimeout: testTimeout}, nil),
		Metrics: r.metrics, RequestIDPrefix: "test", Wire: testWire(), CallerBytes: o.callerBytes,
	})
	if o.onStream != nil {
		r.server.httpServer.Handler = func(ctx *fasthttp.RequestCtx) {
			r.server.handle(ctx)
			if s, ok := ctx.Response.BodyStream().(*stream); ok {
				o.onStream(s)
			}
		}
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	r.address = ln.Addr().String()
	r.unusedAddress = unusedAddress(tb)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = r.server.Serve(ln)
	}()
	tb.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		_ = r.server.Shutdown(ctx)
		<-done
	})
	return r
}

// setVersions gives the servers versions and puts them into one pool, or into one for each
// version on trial.
func (r *harness) setVersions(onTrial string, versions ...string) {
	r.broker.mu.Lock()
	defer r.broker.mu.Unlock()
	snapshot := &workspace.Snapshot{ModelPools: map[workspace.ModelRegion][]*workspace.ResolvedPool{}}
	for i, v := range versions {
		r.broker.servers[i].Version = v
		key := workspace.ModelRegion{Model: "svc"}
		if v == onTrial {
			key.Version = v
		}
		if len(snapshot.ModelPools[key]) == 0 {
			snapshot.ModelPools[key] = []*workspace.ResolvedPool{{Pool: workspace.Pool{Name: "svc " + key.Version}}}
		}
		p := snapshot.ModelPools[key][0]
		p.Servers = append(p.Servers, r.broker.servers[i])
	}
	r.server.deps.Snapshot.Store(snapshot)
}

// newTestBudget returns a budget for some retries that no request adds to.
func newTestBudget(retries float64) *retry.Budget {
	const window = time.Hour
	return retry.NewBudget(retry.Bound{Window: window, Slack: retries}, time.Now().Add(-window))
}

// unusedAddress returns an address that refuses connections until this test listens at it.
func unusedAddress(tb testing.TB) string {
	address, err := testport.Process.Address()
	if err != nil {
		tb.Fatal(err)
	}
	return address
}

// waitUntil waits until the condition holds.
func (r *harness) waitUntil(what string, holds func() bool) {
	r.tb.Helper()
	testwait.Until(r.tb, testTimeout, what, holds)
}

func (r *harness) applyConfig(d route.Document) {
	table, findings := route.Compile("test", d)
	if findings != nil {
		r.tb.Fatal(findings)
	}
	r.routes.Update(table)
}

// caller is a caller's connection.
type caller struct {
	tb testing.TB
	net.Conn
	reader *bufio.Reader
}

func (r *harness) dial() *caller {
	c, err := net.Dial("tcp", r.address)
	if err != nil {
		r.tb.Fatal(err)
	}
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	r.tb.Cleanup(func() { _ = c.Close() })
	return &caller{r.tb, c, bufio.NewReader(c)}
}

func (c *caller) send(method, path, id, extra, body string) {
	fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\nAuthorization: Bearer %s\r\nX-Left-Ms: 15000\r\n%sContent-Length: %d\r\n\r\n%s",
		method, path, id, testKey, extra, len(body), body)
}

// result is an answer as a caller sees it. complete is false if it was cut.
type result struct {
	status   int
	header   *fasthttp.ResponseHeader
	body     string
	complete bool
}

func (c *caller) receive() result {
	var resp fasthttp.Response
	resp.StreamBody = true
	if err := resp.Read(c.reader); err != nil {
		return result{}
	}
	out := result{status: resp.StatusCode(), header: &resp.Header}
	b, err := io.ReadAll(resp.BodyStream())
	out.body, out.complete = string(b), err == nil
	return out
}

// call sends one request on a new connection and returns the answer.
func (r *harness) call(method, path, id, extra, body string) result {
	c := r.dial()
	c.send(method, path, id, extra, body)
	return c.receive()
}

// removeServer removes a server from the snapshot; what runs there goes on.
func removeServer(r *harness, name string) {
	for _, pools := range r.server.deps.Snapshot.Load().ModelPools {
		for _, p := range pools {
			p.Servers = slices.DeleteFunc(p.Servers, func(s workspace.BackendServer) bool { return s.Name == name })
		}
	}
}
