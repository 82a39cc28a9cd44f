package entry

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lycheekeel/lycheekeel/broker"
	"github.com/lycheekeel/lycheekeel/claim"
	"github.com/lycheekeel/lycheekeel/engine/httpengine"
	"github.com/lycheekeel/lycheekeel/internal/httpconn"
	"github.com/lycheekeel/lycheekeel/internal/metrics"
	standin "github.com/lycheekeel/lycheekeel/internal/standin/engine"
	standinservice "github.com/lycheekeel/lycheekeel/internal/standin/service"
	"github.com/lycheekeel/lycheekeel/pool"
	"github.com/lycheekeel/lycheekeel/request"
	"github.com/lycheekeel/lycheekeel/service/httpservice"
	"github.com/lycheekeel/lycheekeel/workspace"
)

const (
	testKey    = "test-key"
	testModel  = "writer"
	testRegion = "here"
	waitLimit  = 20 * time.Second // generous; only a failing test reaches it

	// shortSilence and longSilence are silence timeouts of connections to stand-ins:
	// for tests of silent connections, and for tests that must pass on a slow machine.
	shortSilence = 500 * time.Millisecond
	longSilence  = waitLimit
)

// rig is an entry with stand-in backend servers over loopback HTTP, and with a broker that
// grants at once unless hold or refuse is set.
type rig struct {
	tb      testing.TB
	entry   *Entry
	url     string
	metrics *metrics.Registry
	broker  *testBroker
	ledger  *testLedger
	engine  *standin.Engine
	service *standinservice.Service

	engineAddr string
}

type standinServiceFaults = standinservice.Faults

// newRig starts all parts; they are stopped at the end of the test.
func newRig(tb testing.TB, o standin.Options, l Limits, silence time.Duration) *rig {
	r := &rig{tb: tb, metrics: metrics.New(), ledger: newTestLedger()}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	e, err := standin.New(o)
	if err != nil {
		tb.Fatal(err)
	}
	r.engine, r.service = e, standinservice.New(standinservice.Options{})
	engineLn, serviceLn, entryLn := listen(tb), listen(tb), listen(tb)
	r.engineAddr = engineLn.Addr().String()
	running.Go(func() { _ = standin.ServeEngine(ctx, engineLn, e) })
	running.Go(func() { _ = r.service.Serve(ctx, serviceLn) })

	live := &workspace.CurrentSnapshot{}
	live.Store(testSnapshot(engineLn.Addr().String(), serviceLn.Addr().String()))
	r.broker = &testBroker{freed: make(chan struct{})}
	settings := httpconn.Settings{SilenceTimeout: silence}
	r.entry = New(Deps{
		Config: live, Broker: r.broker, Ledger: r.ledger, Metrics: r.metrics, Region: testRegion,
		Engines:  httpengine.NewDialer(settings),
		Services: httpservice.NewDialer(httpservice.Settings{Settings: settings, ResponseTimeout: time.Second}),
	}, l)
	running.Go(func() { _ = r.entry.Serve(entryLn) })
	r.url = "http://" + entryLn.Addr().String()
	tb.Cleanup(func() {
		stop, done := context.WithTimeout(context.Background(), waitLimit)
		defer done()
		if err := r.entry.Shutdown(stop); err != nil {
			tb.Errorf("shutdown: %v", err)
		}
		cancel()
		running.Wait()
		e.Close()
	})
	return r
}

func listen(tb testing.TB) net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	return ln
}

// testSnapshot returns a snapshot of one workspace with three models, one service and
// two tiers.
func testSnapshot(engineAddr, serviceAddr string) *workspace.Snapshot {
	urgent := &workspace.ResolvedTier{Name: "urgent", Tier: 0, Targets: request.Targets{Deadline: waitLimit}}
	late := &workspace.ResolvedTier{Name: "late", Tier: 3, Targets: request.Targets{Deadline: waitLimit}}
	w := &workspace.ResolvedWorkspace{
		Workspace: "acme", Template: "desk", DefaultTier: urgent,
		TierByName:      map[string]*workspace.ResolvedTier{"urgent": urgent, "late": late},
		AllowTierHeader: true, AllowDeadlineHeader: true, MaxTokens: 4096, MaxBodyBytes: 1 << 20,
		Models: map[string]*workspace.ResolvedModel{
			testModel: {Name: testModel, Version: "v1"},
			"once":    {Name: "once", Version: "v1", NonIdempotent: true},
			"nowhere": {Name: "nowhere", Version: "v1"},
		},
		Services: map[string]*workspace.ResolvedService{"booking": {Name: "booking", Pool: "booking", Rules: []workspace.ResolvedRule{
			{Method: "POST", Path: "/search/**", Idempotent: true},
		}}},
	}
	server := func(name, addr string) []workspace.BackendServer {
		return []workspace.BackendServer{{Name: name, Address: addr, Region: testRegion}}
	}
	writers := &workspace.ResolvedPool{Pool: workspace.Pool{Name: "writers", Region: testRegion}, Servers: server("engine", engineAddr)}
	booking := &workspace.ResolvedPool{Pool: workspace.Pool{Name: "booking", Region: testRegion}, Servers: server("service", serviceAddr)}
	return &workspace.Snapshot{
		Workspaces: map[workspace.KeyHash]*workspace.ResolvedWorkspace{sha256.Sum256([]byte(testKey)): w},
		Pools:      map[string]*workspace.ResolvedPool{"booking": booking},
		ModelPools: map[workspace.ModelRegion][]*workspace.ResolvedPool{
			{Model: testModel, Version: "v1", Region: testRegion}: {writers},
			{Model: "once", Version: "v1", Region: testRegion}:    {writers},
		},
	}
}

// testBroker grants the first candidate's first server at once. While hold is set, Acquire
// waits for ctx or freed. If refuse is set, every Acquire returns it.
type testBroker struct {
	hold     atomic.Bool
	freed    chan struct{}
	refuse   atomic.Pointer[request.Refusal]
	waiting  atomic.Int64
	returned atomic.Int64
	// progressReports counts the grants' progress reports.
	progressReports atomic.Int64
	mu              sync.Mutex
	completions     []broker.Completion
	nextAddress     atomic.Pointer[string] // replaces the next granted server's address
}

func (b *testBroker) Acquire(ctx context.Context, d broker.Demand) (broker.Grant, error) {
	if r := b.refuse.Load(); r != nil {
		return nil, r
	}
	if b.hold.Load() {
		b.waiting.Add(1)
		defer b.waiting.Add(-1)
		select {
		case <-ctx.Done():
		case <-b.freed:
		}
	}
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	s := d.Candidates[0].Servers[0]
	if a := b.nextAddress.Swap(nil); a != nil {
		s.Address = *a
	}
	return &testGrant{broker: b, server: s}, nil
}

// outcomes returns the outcomes of all released grants.
func (b *testBroker) outcomes() []pool.Outcome {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := []pool.Outcome{}
	for _, e := range b.completions {
		out = append(out, e.Outcome)
	}
	return out
}

type testGrant struct {
	broker *testBroker
	server workspace.BackendServer
}

func (g *testGrant) Server() workspace.BackendServer            { return g.server }
func (g *testGrant) Progress(time.Duration, int, time.Duration) { g.broker.progressReports.Add(1) }
func (g *testGrant) RateLimited(float64)                        {}
func (g *testGrant) Brittle(int)                                {}
func (g *testGrant) Leaving()                                   {}
func (g *testGrant) Pushback(time.Duration)                     {}
func (g *testGrant) PushedBack() bool                           { return false }
func (g *testGrant) ReturnUnused()                              { g.broker.returned.Add(1) }
func (g *testGrant) Release(end broker.Completion) {
	g.broker.mu.Lock()
	defer g.broker.mu.Unlock()
	g.broker.completions = append(g.broker.completions, end)
}

// testLedger keeps claims in memory. If unavailable is set, Claim waits until its channel
// is closed or ctx ends.
type testLedger struct {
	mu          sync.Mutex
	claims      map[claim.Key]*testClaim
	unavailable atomic.Pointer[chan struct{}]
}

type testClaim struct {
	ledger  *testLedger
	hash    claim.Hash
	outcome claim.Outcome
}

func newTestLedger() *testLedger { return &testLedger{claims: map[claim.Key]*testClaim{}} }

func (l *testLedger) Claim(ctx context.Context, k claim.Key, h claim.Hash, _ request.ID) (claim.Claim, error) {
	if down := l.unavailable.Load(); down != nil {
		select {
		case <-*down:
		case <-ctx.Done():
			return nil, claim.ErrStoreUnavailable
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c, ok := l.claims[k]
	switch {
	case !ok || (c.hash == h && c.outcome.State == claim.NotRun):
		c = &testClaim{ledger: l, hash: h, outcome: claim.Outcome{State: claim.Claimed}}
		l.claims[k] = c
		return c, nil
	case c.hash != h:
		return nil, claim.ErrConflict
	default:
		return nil, &claim.ExistingError{Outcome: c.outcome}
	}
}

func (c *testClaim) Finish(o claim.Outcome) {
	c.ledger.mu.Lock()
	defer c.ledger.mu.Unlock()
	c.outcome = o
}

func (c *testClaim) Release() { c.Finish(claim.Outcome{State: claim.NotRun}) }

// serviceCalls returns the number of calls that the service has received.
func (r *rig) serviceCalls() int {
	n := 0
	for _, c := range r.service.Calls() {
		n += c.Count
	}
	return n
}

// dial opens a connection to the entry.
func (r *rig) dial() net.Conn {
	conn, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
	if err != nil {
		r.tb.Fatal(err)
	}
	_ = conn.SetDeadline(time.Now().Add(waitLimit))
	return conn
}

// counter returns a counter's value.
func (r *rig) counter(group, name string) int64 { return r.metrics.Counter(group, name).Value() }

// eventually waits until the condition holds, or fails the test after waitLimit.
func (r *rig) eventually(what string, holds func() bool) {
	r.tb.Helper()
	limit := time.NewTimer(waitLimit)
	defer limit.Stop()
	poll := time.NewTicker(time.Millisecond)
	defer poll.Stop()
	for !holds() {
		select {
		case <-poll.C:
		case <-limit.C:
			r.tb.Fatalf("%s: did not happen within %v", what, waitLimit)
		}
	}
}

// chatBody returns a chat request whose last user message is the text.
func chatBody(model, text string, stream bool) []byte {
	b, err := json.Marshal(map[string]any{
		"model": model, "stream": stream,
		"messages": []map[string]string{{"role": "system", "content": "short"}, {"role": "user", "content": text}},
	})
	if err != nil {
		panic(err)
	}
	return b
}

func echoText(i int) string { return fmt.Sprintf("caller %d says: lỗi gạch số %d", i, i*7919) }
