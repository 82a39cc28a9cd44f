package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/lycheekeel/lycheekeel/platform/standin"
)

const (
	// tenantName and tenantKey are of the only tenant.
	tenantName, tenantKey = "hule930", "i9n73hh2b9wu3fexd9dn"
	// settleTime is left to the processes after all of them are ready.
	settleTime = 2 * time.Second
	startLimit = 20 * time.Second
)

// rig is a small deployment on loopback.
type rig struct {
	dir      string // temporary
	trouble  bool
	store    *standin.Store
	storeAt  string
	servers  []*standin.Server
	gateways []*gateway
	ports    int // looked at by freeAddress

	mu     sync.Mutex // guards record
	record *os.File
	start  time.Time
}

// gateway is one process of the project.
type gateway struct {
	name                string
	listen, ready, peer string
	cmd                 *exec.Cmd
	exited              chan struct{}
}

// newRig opens record.txt in the folder of a case and starts the store.
func newRig(caseDir string, trouble bool) (*rig, error) {
	record, err := os.Create(filepath.Join(caseDir, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "lycheekeel-case")
	if err != nil {
		return nil, err
	}
	r := &rig{dir: dir, trouble: trouble, store: standin.NewStore(500), record: record, start: time.Now()}
	r.storeAt, err = serveOn(r.store.Serve)
	return r, err
}

// logf writes a line to record.txt, after the seconds since the start.
func (r *rig) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// printf is logf, and also prints the line.
func (r *rig) printf(format string, args ...any) {
	r.logf(format, args...)
	fmt.Printf(format+"\n", args...)
}

// serveOn runs a server on an unused loopback port until this process ends.
func serveOn(run func(context.Context, net.Listener) error) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = run(context.Background(), ln) }()
	return ln.Addr().String(), nil
}

// The ports of gateways lie below those that the system gives to outgoing connections, which
// could take one before the gateway listens.
const firstPort, portCount = 12_000, 16_000

// freeAddress returns an unused loopback address that it has not returned before.
func (r *rig) freeAddress() (string, error) {
	for range portCount {
		r.ports++
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+(os.Getpid()*31+r.ports)%portCount)
		ln, err := net.Listen("tcp", address)
		if err == nil {
			return address, ln.Close()
		}
	}
	return "", errors.New("no port is free")
}

// startServers starts n servers of a service and registers them.
func (r *rig) startServers(n int, service string, slots int, model *standin.Server) error {
	for range n {
		s := &standin.Server{
			ID: fmt.Sprintf("i-%d", len(r.servers)+1), Events: model.Events, EventInterval: model.EventInterval, Delay: model.Delay,
		}
		at, err := serveOn(s.Serve)
		if err != nil {
			return err
		}
		r.servers = append(r.servers, s)
		r.store.PutServer(s.ID, service, at, "ready", slots)
	}
	return nil
}

// startGateways starts n gateways and waits until all are ready.
func (r *rig) startGateways(n int) error {
	var seeds []string
	for i := range n {
		g := &gateway{name: fmt.Sprintf("front-%d", i+1)}
		for _, a := range []*string{&g.listen, &g.ready, &g.peer} {
			var err error
			if *a, err = r.freeAddress(); err != nil {
				return err
			}
		}
		r.gateways = append(r.gateways, g)
		if len(seeds) < 3 {
			seeds = append(seeds, g.peer)
		}
	}
	for _, g := range r.gateways {
		if err := r.startGateway(g, seeds); err != nil {
			return err
		}
	}
	for _, g := range r.gateways {
		if !waitFor(startLimit, g.isReady) {
			return fmt.Errorf("%s is not ready", g.name)
		}
	}
	time.Sleep(settleTime)
	for _, g := range r.gateways {
		select {
		case <-g.exited:
			return fmt.Errorf("%s has ended", g.name)
		default:
		}
	}
	r.logf("%d gateways are ready", n)
	return nil
}

// startGateway writes the settings as the deploy file's template renders them for a machine of
// punchline-lk, and starts the process with the deploy file's command.
func (r *rig) startGateway(g *gateway, seeds []string) error {
	value, err := json.Marshal(map[string]any{
		"name": g.name, "region": "colombo", "availability_zone": "kotte-hall", "listen": g.listen, "readiness": g.ready,
		"peer": g.peer, "seeds": seeds, "store": r.storeAt,
		"limits": map[string]any{"memory_mb": 284, "cpu_cores": 0.4, "link_mbps": 1000, "descriptors": 4100},
		"bounds": map[string]any{
			"grace_s": 8, "revoke_ms": 5000, "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 58,
			"quota_window_s": 8, "quota_over": 0.1, "quota_slack": 140000,
		},
	})
	if err != nil {
		return err
	}
	file := filepath.Join(r.dir, g.name+".json")
	if err := os.WriteFile(file, value, 0o600); err != nil {
		return err
	}
	out, err := os.Create(filepath.Join(r.dir, g.name+".log"))
	if err != nil {
		return err
	}
	defer out.Close()
	g.cmd = exec.Command("target/lycheekeeld", "gateway", "--settings="+file)
	g.cmd.Stdout, g.cmd.Stderr = out, out
	g.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG")}
	if err := g.cmd.Start(); err != nil {
		return err
	}
	g.exited = make(chan struct{})
	go func() {
		_ = g.cmd.Wait()
		close(g.exited)
	}()
	return nil
}

// isReady reports whether a gateway answers the balancer's check with 200.
func (g *gateway) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + g.ready + "/v1/readiness")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// logRuns writes to record.txt what each server ran.
func (r *rig) logRuns() {
	for _, s := range r.servers {
		for _, a := range s.Arrivals() {
			r.logf("server %s ran %s at %.3f", s.ID, a.ID, a.At.Sub(r.start).Seconds())
		}
	}
}

// close ends all gateways and removes the temporary folder. KEEP in the environment keeps it.
func (r *rig) close() {
	for _, g := range r.gateways {
		if g.exited != nil {
			_ = g.cmd.Process.Kill()
			<-g.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
		return
	}
	fmt.Println("logs in", r.dir)
}

// waitFor waits until a condition holds, and reports whether it does in time.
func waitFor(limit time.Duration, holds func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return false
}

// call is one client attempt on a channel of its own.
type call struct {
	method, path, id, tokens, body string
	deadline                       time.Duration
}

// answer is what the client saw of it.
type answer struct {
	status   int // 0: no answer
	complete bool
	bytes    int
	err      error
	took     time.Duration
}

func (a answer) served() bool { return a.status == http.StatusOK && a.complete }

// String tells the answer on a line.
func (a answer) String() string {
	return fmt.Sprintf("status %d, complete %v, %d bytes, %d ms, error %v", a.status, a.complete, a.bytes, a.took.Milliseconds(), a.err)
}

// text returns the request as it is sent.
func (c call) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n",
		c.method, c.path, standin.Host, c.id, c.deadline.Milliseconds(), tenantKey)
	if c.tokens != "" {
		fmt.Fprintf(&b, "X-Token-Count: %s\r\n", c.tokens)
	}
	if c.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(c.body))
	}
	b.WriteString("\r\n" + c.body)
	return b.String()
}

// connectTimeout is how long clients wait for a new channel.
const connectTimeout = time.Second

// send sends the request to a gateway and reads the answer until the client's deadline.
func (c call) send(g *gateway) (a answer) {
	began := time.Now()
	defer func() { a.took = time.Since(began) }()
	conn, err := net.DialTimeout("tcp", g.listen, connectTimeout)
	if err != nil {
		return answer{err: err}
	}
	defer conn.Close()
	_ = conn.SetDeadline(began.Add(c.deadline))
	if _, err := io.WriteString(conn, c.text()); err != nil {
		return answer{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: c.method})
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	n, err := io.Copy(io.Discard, resp.Body)
	return answer{status: resp.StatusCode, complete: err == nil, bytes: int(n), err: err}
}
