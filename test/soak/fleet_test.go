package soak

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/lycheekeel/lycheekeel/internal/faultproxy"
	"github.com/lycheekeel/lycheekeel/internal/gateway"
	"github.com/lycheekeel/lycheekeel/internal/testport"
	"github.com/lycheekeel/lycheekeel/internal/testwait"
	"github.com/lycheekeel/lycheekeel/platform/standin"
)

var (
	seeds = flag.Int("soak.seeds", 2, "how many seeds to run")
	from  = flag.Int64("soak.from", 1, "the first seed")
	nodes = flag.Int("soak.nodes", 4, "how many gateways run")
	span  = flag.Duration("soak.span", 6*time.Second, "how long faults are injected")
)

// The promises' bounds that the processes are given.
const (
	revokeAfter = 3 * time.Second
	grace       = 8 * time.Second
	// A bad version may get so much of its service's requests.
	canaryShare, canarySlack = 0.1, 50
	// waitLimit is how long recovery may take on a machine that is busy.
	waitLimit = 60 * time.Second
)

var program string

func TestMain(m *testing.M) {
	flag.Parse()
	dir, err := os.MkdirTemp("", "lycheekeel-soak")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	program = filepath.Join(dir, "lycheekeeld")
	code := 1
	if out, err := exec.Command("go", "build", "-o", program, "../../cmd/lycheekeeld").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
	} else {
		code = m.Run()
	}
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// fleet is everything of one run.
type fleet struct {
	t       *testing.T
	dir     string
	store   *standin.Store
	storeAt string
	config  *standin.Configuration
	nodes   []*node
	servers []*server
	made    int // servers, ever
	// eventEvery is between two events of a stream.
	eventEvery time.Duration
	revoked    map[string]time.Time
	// bad are the servers of the version that fails all it runs; nil: none was rolled out.
	bad []*server
	// restarts are under way: a node starts again when its process has ended.
	restarts conc.WaitGroup
}

// node is one gateway process with the proxies before and behind it.
type node struct {
	fleet              *fleet
	name               string
	front, peer, store *faultproxy.Proxy
	settings           gateway.Settings
	mu                 sync.Mutex
	cmd                *exec.Cmd
	ended              chan struct{} // closed when cmd has ended
}

// server is one life of a backend server behind its proxy.
type server struct {
	*standin.Server
	service string
	proxy   *faultproxy.Proxy
	stop    context.CancelFunc
	left    time.Time // zero: it serves
}

func newFleet(t *testing.T) *fleet { return newFleetOf(t, 5*time.Millisecond, 8*time.Second) }

// newFleetOf returns a fleet whose streams have an event at each such interval, and
// that long to end.
func newFleetOf(t *testing.T, eventEvery, onceTimeout time.Duration) *fleet {
	f := &fleet{t: t, eventEvery: eventEvery, dir: t.TempDir(), store: standin.NewStore(50), revoked: map[string]time.Time{}}
	f.storeAt, _ = f.serve(f.store.Serve)
	f.config = &standin.Configuration{
		Tenant: "space",
		Routes: []standin.Route{
			{Prefix: "/s/once/", Type: "stream", Service: "llm", MaxAttempts: 1, TimeoutMs: int(onceTimeout.Milliseconds())},
			{Prefix: "/s/resume/", Type: "stream", Service: "llm", MaxAttempts: 2, Resumable: true, TimeoutMs: 8000},
			{Prefix: "/once/", Type: "non_idempotent", Service: "app", MaxAttempts: 1, TimeoutMs: 8000},
			{Prefix: "/again/", Type: "idempotent", Service: "app", MaxAttempts: 2, TimeoutMs: 8000},
		},
		Engines: map[string]int{"llm": 8}, PlainServices: []string{"app"},
	}
	for i := range 3 {
		f.addServer([]string{"llm", "app"}[i%2])
		f.addServer([]string{"llm", "app"}[i%2])
	}
	f.putKeys("k1", "k2", "k3")
	for i := range *nodes {
		f.addNode(fmt.Sprintf("n%d", i))
	}
	return f
}

// putKeys writes the next version of the configuration with these keys.
func (f *fleet) putKeys(keys ...string) {
	f.config.Keys = keys
	f.store.PutConfiguration(f.config)
}

// serve runs a server on a port of its own.
func (f *fleet) serve(run func(context.Context, net.Listener) error) (string, context.CancelFunc) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = run(ctx, ln) }()
	f.t.Cleanup(cancel)
	return ln.Addr().String(), cancel
}

func (f *fleet) proxy(target string) *faultproxy.Proxy {
	p, err := faultproxy.New("127.0.0.1:0", target)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(p.Close)
	return p
}

func (f *fleet) addServer(service string) *server {
	f.made++
	s := &server{service: service, Server: &standin.Server{ID: fmt.Sprintf("i-%d", f.made), Events: 30, EventInterval: f.eventEvery}}
	address, stop := f.serve(s.Serve)
	s.stop, s.proxy = stop, f.proxy(address)
	f.servers = append(f.servers, s)
	f.enter(s, "ready")
	return s
}

func (f *fleet) enter(s *server, state string) {
	f.store.PutServer(s.ID, s.service, s.proxy.Addr(), state, 8)
}

// freePort returns a loopback address that nobody else listens at.
func freePort(t *testing.T) string {
	address, err := testport.Process.Address()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

func (f *fleet) addNode(name string) {
	n := &node{fleet: f, name: name, store: f.proxy(f.storeAt)}
	n.settings = gateway.Settings{
		Name: name, Region: "r", AvailabilityZone: "z", Listen: freePort(f.t), Readiness: freePort(f.t), Peer: freePort(f.t),
		Store: n.store.Addr(), Limits: gateway.LimitSettings{MemoryMB: 256},
		Bounds: gateway.BoundsSettings{
			GraceS: grace.Seconds(), RevokeMs: float64(revokeAfter.Milliseconds()), RetryRatio: 0.2, RetryWindowS: 10, RetrySlack: 200,
			CanaryShare: canaryShare, CanarySlack: canarySlack,
		},
	}
	n.front, n.peer = f.proxy(n.settings.Listen), f.proxy(n.settings.Peer)
	n.settings.PeerAddress = n.peer.Addr()
	for _, other := range f.nodes {
		n.settings.Seeds = append(n.settings.Seeds, other.settings.PeerAddress)
	}
	n.settings.Seeds = append(n.settings.Seeds, n.settings.PeerAddress)
	f.nodes = append(f.nodes, n)
	n.start()
	f.t.Cleanup(n.kill)
}

// hasEnded tells whether the node's process has ended.
func (n *node) hasEnded() bool {
	n.mu.Lock()
	ended := n.ended
	n.mu.Unlock()
	select {
	case <-ended:
		return true
	default:
		return false
	}
}

// start starts the process; the mutex is held, or nobody else knows the node.
func (n *node) start() {
	file := filepath.Join(n.fleet.dir, n.name+".json")
	b, err := json.Marshal(n.settings)
	if err == nil {
		err = os.WriteFile(file, b, 0o600)
	}
	if err != nil {
		n.fleet.t.Fatal(err)
	}
	out, err := os.OpenFile(filepath.Join(n.fleet.dir, n.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		n.fleet.t.Fatal(err)
	}
	defer out.Close()
	n.cmd = exec.Command(program, "gateway", "--settings="+file)
	n.cmd.Stdout, n.cmd.Stderr = out, out
	n.cmd.Env = append(os.Environ(), "GOMAXPROCS=2")
	if err := n.cmd.Start(); err != nil {
		n.fleet.t.Fatal(err)
	}
	cmd, ended := n.cmd, make(chan struct{})
	n.ended = ended
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
}

// restarter returns what starts the node again once the process that it has
// now has ended; another restart may be first.
func (n *node) restarter() func() {
	n.mu.Lock()
	ended := n.ended
	n.mu.Unlock()
	return func() {
		n.fleet.restarts.Go(func() {
			<-ended
			n.mu.Lock()
			defer n.mu.Unlock()
			if n.ended == ended {
				n.start()
			}
		})
	}
}

func (n *node) signal(s os.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.cmd.Process.Signal(s) // an ended process needs none
}

// kill ends the process that this run started.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	n.mu.Lock()
	ended := n.ended
	n.mu.Unlock()
	<-ended
}

func (n *node) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + n.settings.Readiness + "/v1/readiness")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// eventually waits until the condition holds. Where it does not, the test
// tells which processes have ended.
func (f *fleet) eventually(what string, holds func() bool) {
	defer func() {
		if f.t.Failed() {
			for _, n := range f.nodes {
				f.t.Logf("%s: ended %v", n.name, n.hasEnded())
			}
		}
	}()
	testwait.Until(f.t, waitLimit, what, holds)
}
