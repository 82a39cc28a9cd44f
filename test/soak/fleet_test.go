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
	seedCount     = flag.Int("soak.seeds", 2, "number of seeds to run")
	firstSeed     = flag.Int64("soak.from", 1, "first seed")
	nodeCount     = flag.Int("soak.nodes", 4, "number of gateways")
	faultDuration = flag.Duration("soak.span", 6*time.Second, "time during which faults are injected")
)

// Bounds of the guarantees, as configured in the gateways.
const (
	revokeBound = 3 * time.Second
	gracePeriod = 8 * time.Second
	// A bad version may get this share of its service's requests, plus this number of requests.
	canaryShare, canarySlack = 0.1, 50
	// waitLimit is how long recovery may take on a busy machine.
	waitLimit = 60 * time.Second
)

var gatewayBinary string

func TestMain(m *testing.M) {
	flag.Parse()
	dir, err := os.MkdirTemp("", "lycheekeel-soak")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	gatewayBinary = filepath.Join(dir, "lycheekeeld")
	code := 1
	if logFile, err := exec.Command("go", "build", "-o", gatewayBinary, "../../cmd/lycheekeeld").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, logFile)
	} else {
		code = m.Run()
	}
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// fleet holds the processes, servers and store of one run.
type fleet struct {
	t              *testing.T
	dir            string
	store          *standin.Store
	storeAddr      string
	config         *standin.Configuration
	nodes          []*node
	servers        []*server
	serversCreated int // including servers that have ended
	// eventInterval is the time between two events of a stream.
	eventInterval time.Duration
	revokedAt     map[string]time.Time
	// badServers are the servers of the version that fails every request; nil: it was not rolled out.
	badServers []*server
	// restarts tracks goroutines that wait for a process to exit and then restart its node.
	restarts conc.WaitGroup
}

// node is one gateway process with the proxies of its inbound and store connections.
type node struct {
	fleet                              *fleet
	name                               string
	callerProxy, peerProxy, storeProxy *faultproxy.Proxy
	settings                           gateway.Settings
	mu                                 sync.Mutex
	cmd                                *exec.Cmd
	exited                             chan struct{} // closed when cmd has exited
}

// server is one incarnation of a backend server behind its proxy.
type server struct {
	*standin.Server
	service       string
	proxy         *faultproxy.Proxy
	stop          context.CancelFunc
	drainingSince time.Time // zero: not draining
}

func newFleet(t *testing.T) *fleet { return newFleetWith(t, 5*time.Millisecond, 8*time.Second) }

// newFleetWith returns a fleet with the given time between stream events and the
// given timeout for requests to /s/once/.
func newFleetWith(t *testing.T, eventInterval, onceTimeout time.Duration) *fleet {
	f := &fleet{t: t, eventInterval: eventInterval, dir: t.TempDir(), store: standin.NewStore(50), revokedAt: map[string]time.Time{}}
	f.storeAddr, _ = f.serve(f.store.Serve)
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
	for i := range *nodeCount {
		f.addNode(fmt.Sprintf("n%d", i))
	}
	return f
}

// putKeys stores a new version of the configuration with these API keys.
func (f *fleet) putKeys(keys ...string) {
	f.config.Keys = keys
	f.store.PutConfiguration(f.config)
}

// serve runs a server on an unused port and returns its address and a function that stops it.
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

func (f *fleet) newProxy(target string) *faultproxy.Proxy {
	p, err := faultproxy.New("127.0.0.1:0", target)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(p.Close)
	return p
}

func (f *fleet) addServer(service string) *server {
	f.serversCreated++
	s := &server{service: service, Server: &standin.Server{ID: fmt.Sprintf("i-%d", f.serversCreated), Events: 30, EventInterval: f.eventInterval}}
	address, stop := f.serve(s.Serve)
	s.stop, s.proxy = stop, f.newProxy(address)
	f.servers = append(f.servers, s)
	f.putServer(s, "ready")
	return s
}

func (f *fleet) putServer(s *server, state string) {
	f.store.PutServer(s.ID, s.service, s.proxy.Addr(), state, 8)
}

// freeAddress returns an unused loopback address.
func freeAddress(t *testing.T) string {
	address, err := testport.Process.Address()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

func (f *fleet) addNode(name string) {
	n := &node{fleet: f, name: name, storeProxy: f.newProxy(f.storeAddr)}
	n.settings = gateway.Settings{
		Name: name, Region: "r", AvailabilityZone: "z", Listen: freeAddress(f.t), Readiness: freeAddress(f.t), Peer: freeAddress(f.t),
		Store: n.storeProxy.Addr(), Limits: gateway.LimitSettings{MemoryMB: 256},
		Bounds: gateway.BoundsSettings{
			GraceS: gracePeriod.Seconds(), RevokeMs: float64(revokeBound.Milliseconds()), RetryRatio: 0.2, RetryWindowS: 10, RetrySlack: 200,
			CanaryShare: canaryShare, CanarySlack: canarySlack,
		},
	}
	n.callerProxy, n.peerProxy = f.newProxy(n.settings.Listen), f.newProxy(n.settings.Peer)
	n.settings.PeerAddress = n.peerProxy.Addr()
	for _, other := range f.nodes {
		n.settings.Seeds = append(n.settings.Seeds, other.settings.PeerAddress)
	}
	n.settings.Seeds = append(n.settings.Seeds, n.settings.PeerAddress)
	f.nodes = append(f.nodes, n)
	n.start()
	f.t.Cleanup(n.kill)
}

// hasExited reports whether the node's process has exited.
func (n *node) hasExited() bool {
	n.mu.Lock()
	exited := n.exited
	n.mu.Unlock()
	select {
	case <-exited:
		return true
	default:
		return false
	}
}

// start starts the process. The caller holds n.mu, or no other goroutine knows the node yet.
func (n *node) start() {
	file := filepath.Join(n.fleet.dir, n.name+".json")
	b, err := json.Marshal(n.settings)
	if err == nil {
		err = os.WriteFile(file, b, 0o600)
	}
	if err != nil {
		n.fleet.t.Fatal(err)
	}
	logFile, err := os.OpenFile(filepath.Join(n.fleet.dir, n.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		n.fleet.t.Fatal(err)
	}
	defer logFile.Close()
	n.cmd = exec.Command(gatewayBinary, "gateway", "--settings="+file)
	n.cmd.Stdout, n.cmd.Stderr = logFile, logFile
	n.cmd.Env = append(os.Environ(), "GOMAXPROCS=2")
	if err := n.cmd.Start(); err != nil {
		n.fleet.t.Fatal(err)
	}
	cmd, exited := n.cmd, make(chan struct{})
	n.exited = exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
}

// restarter returns a function that restarts the node once its current process
// has exited, unless another restart came first.
func (n *node) restarter() func() {
	n.mu.Lock()
	exited := n.exited
	n.mu.Unlock()
	return func() {
		n.fleet.restarts.Go(func() {
			<-exited
			n.mu.Lock()
			defer n.mu.Unlock()
			if n.exited == exited {
				n.start()
			}
		})
	}
}

func (n *node) signal(s os.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.cmd.Process.Signal(s) // fails if the process has exited, which is harmless
}

// kill sends SIGKILL to the process and waits until it has exited.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	n.mu.Lock()
	exited := n.exited
	n.mu.Unlock()
	<-exited
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

// eventually waits until the condition holds. If it fails the test after
// waitLimit, it logs which processes have exited.
func (f *fleet) eventually(what string, cond func() bool) {
	defer func() {
		if f.t.Failed() {
			for _, n := range f.nodes {
				f.t.Logf("%s: exited %v", n.name, n.hasExited())
			}
		}
	}()
	testwait.Until(f.t, waitLimit, what, cond)
}
