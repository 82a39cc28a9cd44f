package gateway_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/lycheekeel/lycheekeel/internal/gateway"
	"github.com/lycheekeel/lycheekeel/internal/httpconn"
	"github.com/lycheekeel/lycheekeel/internal/metrics"
	"github.com/lycheekeel/lycheekeel/internal/testport"
	"github.com/lycheekeel/lycheekeel/internal/testwait"
	"github.com/lycheekeel/lycheekeel/platform"
	"github.com/lycheekeel/lycheekeel/platform/standin"
)

// waitLimit is generous; no test depends on its value.
const waitLimit = 30 * time.Second

// cluster runs a store, backend servers and gateways in one process.
type cluster struct {
	t       *testing.T
	store   *standin.Store
	address string // of the store
	servers map[string]*standin.Server
	config  *standin.Configuration
	seeds   []string
}

func newCluster(t *testing.T) *cluster {
	c := &cluster{t: t, store: standin.NewStore(50), servers: map[string]*standin.Server{}}
	c.address = c.serve(c.store.Serve)
	c.config = &standin.Configuration{
		Tenant: "space", Keys: []string{"key-1", "key-2"},
		Routes: []standin.Route{
			{Prefix: "/s/", Type: "stream", Service: "llm", MaxAttempts: 2, Resumable: true, TimeoutMs: 20000},
			{Prefix: "/once/", Type: "non_idempotent", Service: "app", MaxAttempts: 1, TimeoutMs: 20000},
			{Prefix: "/again/", Type: "idempotent", Service: "app", MaxAttempts: 2, TimeoutMs: 20000},
		},
		Engines: map[string]int{"llm": 4}, PlainServices: []string{"app"},
	}
	return c
}

// serve runs a server on its own port until the test ends.
func (c *cluster) serve(run func(context.Context, net.Listener) error) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = run(ctx, ln)
	}()
	c.t.Cleanup(func() {
		cancel()
		<-done
	})
	return ln.Addr().String()
}

func (c *cluster) addServer(id, service string) *standin.Server {
	b := &standin.Server{ID: id, Events: 40, EventInterval: time.Millisecond}
	c.servers[id] = b
	address := c.serve(b.Serve)
	c.store.PutServer(id, service, address, "ready", 4)
	return b
}

// addVersion adds a server of a version.
func (c *cluster) addVersion(id, service, version string) *standin.Server {
	b := &standin.Server{ID: id, Events: 40, EventInterval: time.Millisecond}
	c.servers[id] = b
	c.store.PutServerVersion(id, service, c.serve(b.Serve), version, 4)
	return b
}

// putConfig writes the configuration with the next version.
func (c *cluster) putConfig() { c.store.PutConfiguration(c.config) }

// node is one gateway.
type node struct {
	cluster  *cluster
	settings gateway.Settings
	stop     context.CancelFunc
	done     chan error
}

// freePort returns a loopback address with a free port.
func freePort(t *testing.T) string {
	address, err := testport.Process.Address()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

func (c *cluster) start(name string) *node { return c.startWith(name, nil) }

// startWith starts a gateway that dials servers with dial; nil: TCP.
func (c *cluster) startWith(name string, dial httpconn.DialFunc) *node {
	return c.startOn(name, func(p *gateway.Platform) { p.DialServer = dial })
}

// startOn starts a gateway on a platform that change has changed.
func (c *cluster) startOn(name string, change func(*gateway.Platform)) *node {
	n := &node{cluster: c, done: make(chan error, 1), settings: gateway.Settings{
		Name: name, Region: "r", AvailabilityZone: "z", Listen: freePort(c.t), Readiness: freePort(c.t), Peer: freePort(c.t),
		Store: c.address, Limits: gateway.LimitSettings{MemoryMB: 512},
		Bounds: gateway.BoundsSettings{GraceS: 8, RevokeMs: 5000, RetryRatio: 0.2, RetryWindowS: 10, RetrySlack: 100, CanaryShare: 0.1, CanarySlack: 50},
	}}
	n.settings.PeerAddress = n.settings.Peer
	c.seeds = append(c.seeds, n.settings.Peer)
	n.settings.Seeds = c.seeds
	m := metrics.New()
	p := platform.New(c.address, m)
	change(&p)
	g, err := gateway.New(n.settings, p, m)
	if err != nil {
		c.t.Fatal(err)
	}
	var ctx context.Context
	ctx, n.stop = context.WithCancel(context.Background())
	go func() { n.done <- g.Run(ctx) }()
	c.t.Cleanup(func() { n.stop() })
	return n
}

// ready makes a readiness check as the balancer does.
func (n *node) ready() bool {
	resp, err := http.Get("http://" + n.settings.Readiness + "/v1/readiness")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// eventually waits until the condition holds; the test fails after waitLimit.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	testwait.Until(t, waitLimit, what, holds)
}

// call sends one request on a new connection.
func (n *node) call(method, path, id, key, body string) (int, string, error) {
	c, err := net.Dial("tcp", n.settings.Listen)
	if err != nil {
		return 0, "", err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(waitLimit))
	fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\nAuthorization: Bearer %s\r\nX-Deadline-Ms: 15000\r\nContent-Length: %d\r\n\r\n%s",
		method, path, id, key, len(body), body)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	var b bytes.Buffer
	_, err = io.Copy(&b, resp.Body)
	return resp.StatusCode, b.String(), err
}

func (n *node) status(path, id, key string) int {
	status, _, _ := n.call("POST", path, id, key, "x")
	return status
}
