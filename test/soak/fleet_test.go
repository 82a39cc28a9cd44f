package soak

import (
	"cmp"
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
	// In any window, a service may get this share of its requests again, plus this number of requests.
	retryRatio, retrySlack = 0.2, 58
	retryWindow            = 10 * time.Second
	// A bad version may get this share of its service's requests, plus this number of requests.
	canaryShare, canarySlack = 0.1, 50
	// waitLimit is how long recovery may take on a busy machine.
	waitLimit = 60 * time.Second
)

// The daemon, and the daemon with a switch that partitions it from all servers.
var gatewayBinary, partitionedBinary string

func TestMain(m *testing.M) {
	flag.Parse()
	dir, err := os.MkdirTemp("", "lycheekeel-soak")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	gatewayBinary, partitionedBinary = filepath.Join(dir, "lycheekeeld"), filepath.Join(dir, "partitioned")
	code := 1
	if build(gatewayBinary, "../../cmd/lycheekeeld") && build(partitionedBinary, "./partitioned") {
		code = m.Run()
	}
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// build builds a program, and reports whether it could.
func build(binary, source string) bool {
	out, err := exec.Command("go", "build", "-o", binary, source).CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
	}
	return err == nil
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
	serversMu      sync.Mutex // guards servers while a disturbance changes them
	serversCreated int        // including servers that have ended
	// eventInterval is the time between two events of a stream.
	eventInterval time.Duration
	slots         int // of each server
	contended     bool
	// fails tells which runs of a server fail; nil: none.
	fails     func(n int) bool
	revokedAt map[string]time.Time
	// badServers are the servers of the version that fails every request; nil: it was not rolled out.
	badServers []*server
	// partitionable is set if the nodes can be partitioned from all servers and from each other.
	partitionable bool
	abused        bool // crowds of clients that misbehave come to the nodes
	limits        gateway.LimitSettings
	answerBytes   int
	spoils        bool // servers may spoil their streams
	closeFramed   bool // half of the servers write streams without a length or chunks
	noRollouts    bool
	// record holds when nodes were killed, started again or paused.
	record *faultRecord
	// backup is what the store is restored from next; nil: none has been made.
	backup *standin.Backup
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
	saysLeaving   bool      // its answers say that it leaves
	stopped       bool      // its process has ended
	// linkDisturbed is set if requests to it may have been held up on their way.
	linkDisturbed bool
	addedAt       time.Time // set for servers of several versions
}

// fleetOptions are the parts of a fleet that differ between tests. A zero field takes
// its default.
type fleetOptions struct {
	nodes int // default: the flag
	// eventInterval is the time between two events of a stream; default 5 ms.
	eventInterval time.Duration
	// onceTimeout and resumeTimeout are the timeouts of requests to /s/once/ and to
	// resumePath; default 8 s.
	onceTimeout, resumeTimeout time.Duration
	// resumeTarget is the latency target of requests to resumePath; default half of their timeout.
	resumeTarget time.Duration
	// fails tells which runs of a server fail; default none.
	fails func(n int) bool
	// resumeTiers is the number of tiers with a resumePath; default 1.
	resumeTiers int
	// partitionable nodes can be partitioned from all servers.
	partitionable bool
	// spoils lets servers spoil their streams.
	spoils bool
	// closeFramed lets half of the servers write streams without a length or chunks.
	closeFramed bool
	// noRollouts keeps the operators from rolling out versions.
	noRollouts bool
	// noServers leaves the servers to the test.
	noServers bool
	// contended makes the fleet a contended one (contended_test.go).
	contended bool
	// abused fleets get crowds of clients that misbehave.
	abused bool
	// limits are those of the nodes' processes; default 256 MB of memory.
	limits gateway.LimitSettings
	// answerBytes is how much servers add to their answers.
	answerBytes int
	// slots are those of each server; default 8.
	slots int
}

// fleetSlots bounds the fleets of parallel tests: the stand-ins and callers of all of them run
// in this process.
var fleetSlots = make(chan struct{}, 3)

// parallelFleet runs a test with one fleet in parallel with others.
func parallelFleet(t *testing.T) {
	t.Parallel()
	fleetSlots <- struct{}{}
	t.Cleanup(func() { <-fleetSlots })
}

func newFleet(t *testing.T, o fleetOptions) *fleet {
	o.nodes = cmp.Or(o.nodes, *nodeCount)
	slots := cmp.Or(o.slots, 8)
	if o.contended {
		slots, o.eventInterval = contendedSlots, cmp.Or(o.eventInterval, contendedEventInterval)
	}
	o.eventInterval = cmp.Or(o.eventInterval, 5*time.Millisecond)
	o.onceTimeout = cmp.Or(o.onceTimeout, 8*time.Second)
	o.resumeTimeout = cmp.Or(o.resumeTimeout, 8*time.Second)
	o.resumeTiers = cmp.Or(o.resumeTiers, 1)
	if o.limits.MemoryMB == 0 {
		o.limits.MemoryMB = 256
	}
	f := &fleet{t: t, limits: o.limits, abused: o.abused, answerBytes: o.answerBytes, eventInterval: o.eventInterval, slots: slots, contended: o.contended, fails: o.fails, partitionable: o.partitionable, spoils: o.spoils, closeFramed: o.closeFramed, noRollouts: o.noRollouts, record: newFaultRecord(), dir: t.TempDir(), store: standin.NewStore(50), revokedAt: map[string]time.Time{}}
	f.storeAddr, _ = f.serve(f.store.Serve)
	f.config = &standin.Configuration{
		Tenant: "space", MaxBodyBytes: longBodyBytes,
		Routes: []standin.Route{
			{Prefix: "/s/once/", Type: "stream", Service: "llm", MaxAttempts: 1, TimeoutMs: int(o.onceTimeout.Milliseconds())},
			{Prefix: "/once/", Type: "non_idempotent", Service: "app", MaxAttempts: 1, TimeoutMs: 8000},
			{Prefix: "/again/", Type: "idempotent", Service: "app", MaxAttempts: 2, TimeoutMs: 8000},
		},
		Engines: map[string]int{"llm": slots}, PlainServices: []string{"app"},
	}
	for t := range o.resumeTiers {
		f.config.Routes = append(f.config.Routes, standin.Route{
			Prefix: resumePath(t), Type: "stream", Service: "llm", MaxAttempts: 2, Resumable: true, Priority: t,
			TimeoutMs: int(o.resumeTimeout.Milliseconds()), LatencyTargetMs: int(o.resumeTarget.Milliseconds()),
		})
	}
	if f.contended {
		f.contend()
	}
	for i := 0; i < 3 && !o.noServers; i++ {
		f.addServer([]string{"llm", "app"}[i%2])
		f.addServer([]string{"llm", "app"}[i%2])
	}
	f.putKeys("k1", "k2", "k3")
	for i := range o.nodes {
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

// removeServers removes the entries of all servers, for a test that brings its own.
func (f *fleet) removeServers() {
	for _, s := range f.servers {
		f.store.Remove(standin.KindServers, s.ID)
	}
}

// addServer starts a server and registers it.
func (f *fleet) addServer(service string) *server {
	s := f.startServer(service, f.newServer(service))
	f.servers = append(f.servers, s)
	f.putServer(s, "ready")
	return s
}

func serverID(n int) string { return fmt.Sprint("i-", n) }

// startServer starts a server behind a proxy. It is not registered yet.
func (f *fleet) startServer(service string, backend *standin.Server) *server {
	f.serversCreated++
	backend.ID = serverID(f.serversCreated)
	s := &server{service: service, Server: backend}
	address, stop := f.serve(s.Serve)
	s.stop, s.proxy = stop, f.newProxy(address)
	return s
}

// writeAgain writes the configuration and the servers' entries as they should be, after the
// store was restored from a backup.
func (f *fleet) writeAgain() {
	f.store.RepeatConfiguration(f.config)
	for _, s := range f.servers {
		switch {
		case s.stopped:
			f.store.Remove(standin.KindServers, s.ID)
		case s.drainingSince.IsZero():
			f.putServer(s, "ready")
		default:
			f.putServer(s, "draining")
		}
	}
}

func (f *fleet) putServer(s *server, state string) {
	f.store.PutServer(s.ID, s.service, s.proxy.Addr(), state, f.slots)
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
		Store: n.storeProxy.Addr(), Limits: f.limits,
		Bounds: gateway.BoundsSettings{
			GraceS: gracePeriod.Seconds(), RevokeMs: float64(revokeBound.Milliseconds()), RetryRatio: retryRatio, RetryWindowS: retryWindow.Seconds(), RetrySlack: retrySlack,
			CanaryShare: canaryShare, CanarySlack: canarySlack,
		},
	}
	if f.noRollouts {
		n.settings.Bounds.CanaryShare, n.settings.Bounds.CanarySlack = 0, 0
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
	if n.fleet.partitionable {
		n.cmd = exec.Command(partitionedBinary, file, n.partitionFile(), n.peersFile())
	}
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
				n.fleet.record.addKill(n)
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
