package test

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"testing"

	"github.com/lycheekeel/lycheekeel/internal/daemon"
	"github.com/lycheekeel/lycheekeel/internal/faultproxy"
	engine "github.com/lycheekeel/lycheekeel/internal/standin/engine"
	standin "github.com/lycheekeel/lycheekeel/internal/standin/objectstore"
	"github.com/lycheekeel/lycheekeel/objectstore"
	"github.com/lycheekeel/lycheekeel/objectstore/httpobjectstore"
)

// Names in the test configuration.
const (
	testRegion  = "colombo"
	testModel   = "report-writer"
	testPool    = "reports"
	testService = "crew"
	// serviceSlots are those of the plain service.
	serviceSlots = 16
	testKey      = "test-key"
	clusterKey   = "a-cluster-key-for-tests-only"
)

// link is a network link: one listening address behind a fault proxy.
type link struct {
	proxy  *faultproxy.Proxy
	target string // the address the process listens on
}

func newLink(t testing.TB, target string) *link { return newLinkAt(t, "127.0.0.1", target) }

// newLinkAt returns a link whose proxy listens on the given IP.
func newLinkAt(t testing.TB, ip, target string) *link {
	t.Helper()
	p, err := faultproxy.New(net.JoinHostPort(ip, "0"), target)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return &link{proxy: p, target: target}
}

// node is one lycheekeeld with its network links.
type node struct {
	*process
	settings     daemon.Settings
	settingsFile string
	callerLink   *link // from callers to the daemon
	peerLink     *link // from the other daemons to this one
	platformLink *link // from the daemon to the platform
}

// backend is an engine or service stand-in behind its link.
type backend struct {
	*process
	name string
	link *link
}

// cluster holds all processes of one test.
type cluster struct {
	t            testing.TB
	spec         clusterSpec
	platform     *process
	platformAddr string // not behind a proxy
	api          objectstore.Platform
	engines      []*backend
	service      *backend // the plain service
	nodes        []*node
}

// clusterSpec describes the processes of a cluster and their configuration. Zero
// fields of options take the stand-in's defaults.
type clusterSpec struct {
	nodes, engines int
	options        engine.Options // of every engine
	slots          int            // per server, in the configuration; 0: the daemon's default
	checksTokens   bool
	placement      bool // every daemon is a candidate for the controller
	ownIPs         bool // every engine has its own IP address, like a VM
}

// engineIP returns the IP address on which daemons reach an engine.
func (p clusterSpec) engineIP(number int) string {
	if !p.ownIPs {
		return "127.0.0.1"
	}
	return fmt.Sprintf("127.0.1.%d", number+1)
}

// clusterSlots limits the number of clusters that run concurrently.
var clusterSlots = make(chan struct{}, 3)

// newCluster waits for one of clusterSlots, starts a cluster and waits until
// every daemon is ready. A test must create one cluster only: with a second one,
// tests could deadlock on the slots.
func newCluster(t testing.TB, p clusterSpec) *cluster {
	t.Helper()
	clusterSlots <- struct{}{}
	t.Cleanup(func() { <-clusterSlots })
	c := &cluster{t: t, spec: p, platformAddr: freeAddress(t)}
	c.platform = start(t, "platform", "lycheekeel", "standin", "platform", "--listen", c.platformAddr)
	c.api = httpobjectstore.New(httpobjectstore.Options{Addr: c.platformAddr})
	c.awaitHTTP(c.platformAddr, "/standin/calls")
	for i := range p.engines {
		c.addEngine(fmt.Sprintf("engine-%d", i), p.engineIP(i), p.options)
	}
	c.addService()
	c.configure(p)
	for i := range p.nodes {
		c.addNode(fmt.Sprintf("entry-%d", i))
	}
	for _, n := range c.nodes {
		c.awaitReady(n)
	}
	c.awaitMembers()
	return c
}

func (c *cluster) addEngine(name, ip string, o engine.Options) *backend {
	c.t.Helper()
	options, err := json.Marshal(o)
	if err != nil {
		c.t.Fatal(err)
	}
	address := freeAddress(c.t)
	e := &backend{name: name, link: newLinkAt(c.t, ip, address)}
	e.process = start(c.t, name, "lycheekeel", "standin", "engine", "--listen", address, "--options", string(options))
	c.engines = append(c.engines, e)
	c.awaitHTTP(address, engine.PathHealth)
	return e
}

func (c *cluster) addService() {
	c.t.Helper()
	address := freeAddress(c.t)
	c.service = &backend{name: "crew-0", link: newLink(c.t, address)}
	c.service.process = start(c.t, "service", "lycheekeel", "standin", "service", "--listen", address)
	c.awaitHTTP(address, "/standin/calls")
}

// addNode starts one more daemon, with all existing daemons as its seeds.
func (c *cluster) addNode(name string) *node {
	c.t.Helper()
	n := c.prepareNode(name)
	c.startNode(n)
	return n
}

// prepareNode adds a daemon without starting it.
func (c *cluster) prepareNode(name string) *node {
	c.t.Helper()
	n := &node{
		callerLink:   newLink(c.t, freeAddress(c.t)),
		peerLink:     newLink(c.t, freeAddress(c.t)),
		platformLink: newLink(c.t, c.platformAddr),
		settingsFile: filepath.Join(c.t.TempDir(), name+".json"),
	}
	n.settings = daemon.Settings{
		Name: name, Region: testRegion, AvailabilityZone: fmt.Sprintf("hall-%d", len(c.nodes)%3),
		Listen: n.callerLink.target, Admin: freeAddress(c.t),
		Peer: daemon.PeerSettings{
			Listen: n.peerLink.target, Address: n.peerLink.proxy.Addr(), Seeds: []string{}, ClusterKeys: []string{clusterKey},
		},
		Platform: daemon.PlatformSettings{Address: n.platformLink.proxy.Addr()},
		Log:      daemon.LogSettings{Level: "info"}, Placement: c.spec.placement,
		Timeouts: daemon.TimeoutSettings{DrainMs: 1500},
	}
	for _, other := range c.nodes {
		n.settings.Peer.Seeds = append(n.settings.Peer.Seeds, other.peerLink.proxy.Addr())
	}
	c.nodes = append(c.nodes, n)
	return n
}

// startNode starts or restarts a node's daemon. No state survives a restart.
func (c *cluster) startNode(n *node) {
	c.t.Helper()
	data, err := json.Marshal(n.settings)
	if err != nil {
		c.t.Fatal(err)
	}
	if err := os.WriteFile(n.settingsFile, data, 0o600); err != nil {
		c.t.Fatal(err)
	}
	n.process = start(c.t, n.settings.Name, "lycheekeeld", "--settings", n.settingsFile)
}

func (c *cluster) awaitReady(n *node) {
	c.t.Helper()
	c.awaitHTTP(n.settings.Admin, "/readyz")
}

// awaitMembers waits until every daemon sees all daemons alive.
func (c *cluster) awaitMembers() {
	c.t.Helper()
	eventually(c.t, "every daemon sees all others alive", func() bool {
		for _, n := range c.nodes {
			if c.countAlive(n) != len(c.nodes) {
				return false
			}
		}
		return true
	})
}

// countAlive returns the number of members that a daemon sees alive.
func (c *cluster) countAlive(n *node) int {
	alive := 0
	for _, m := range c.status(n).Members {
		if m.State == "alive" {
			alive++
		}
	}
	return alive
}

// status returns a daemon's status, or a zero status if it does not answer.
func (c *cluster) status(n *node) daemon.Status {
	var s daemon.Status
	c.getJSON(n.settings.Admin, "/status", &s)
	return s
}

// owner waits until the daemons agree on a pool's owner, and returns its node.
func (c *cluster) owner(pool string) *node {
	c.t.Helper()
	var found *node
	eventually(c.t, "the daemons agree on the owner of "+pool, func() bool {
		names := map[string]bool{}
		for _, n := range c.nodes {
			for _, p := range c.status(n).Pools {
				if p.Pool == pool {
					names[p.Owner] = true
				}
			}
		}
		for _, n := range c.nodes {
			if len(names) == 1 && names[n.settings.Name] {
				found = n
			}
		}
		return found != nil
	})
	return found
}

// runs returns the concatenated run logs of all engines.
func (c *cluster) runs() []engine.RunRecord {
	var all []engine.RunRecord
	for _, e := range c.engines {
		all = append(all, c.runsOf(e)...)
	}
	return all
}

func (c *cluster) runsOf(e *backend) []engine.RunRecord {
	var runs []engine.RunRecord
	c.getJSON(e.link.target, engine.PathRuns, &runs)
	return runs
}

// engineFaults sets the fault fields of an engine that the JSON object names.
func (c *cluster) engineFaults(e *backend, faults string) {
	c.t.Helper()
	c.post(e.link.target, engine.PathFaults, faults)
}

// storeFaults replaces the platform's faults.
func (c *cluster) storeFaults(f standin.Faults) {
	c.t.Helper()
	data, err := json.Marshal(f)
	if err != nil {
		c.t.Fatal(err)
	}
	c.post(c.platformAddr, standin.PathFaults, string(data))
}
