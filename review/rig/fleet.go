package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/lycheekeel/lycheekeel/internal/testport"
	"github.com/lycheekeel/lycheekeel/platform/standin"
)

// Bounds of the deployment, those of the site punchline-lk.
const (
	drainTimeout = 2 * time.Second
	graceS       = 8
	revokeMs     = 5000
	heartbeat    = 1200 * time.Millisecond
	zone, region = "kotte-hall", "colombo"
	tenant, key  = "hule930", "i9n73hh2b9wu3fexd9dn"
)

// daemonCommand is the deploy file's, with another settings file.
const daemonBinary = "target/lycheekeeld"

// fleet holds the processes of one case.
type fleet struct {
	dir       string // temporary files
	trouble   bool
	store     *standin.Store
	storeAddr string
	config    *standin.Configuration
	daemons   []*daemon
	backends  []*backend
	started   time.Time
	killedAt  time.Time // when all daemons were killed; zero: never

	mu  sync.Mutex
	out *os.File
	// beats stops the heartbeats of the servers.
	beats    context.Context
	stopBeat context.CancelFunc
}

// daemon is one process of the system.
type daemon struct {
	name, listen, ready, peer, settings string
	cmd                                 *exec.Cmd
	exited                              chan struct{} // closed when cmd has exited
}

func newFleet(dir string) (*fleet, error) {
	out, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	tmp, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: tmp, out: out, store: standin.NewStore(500), started: time.Now()}
	f.beats, f.stopBeat = context.WithCancel(context.Background())
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.storeAddr = ln.Addr().String()
	go func() { _ = f.store.Serve(context.Background(), ln) }()
	return f, nil
}

// record writes a line to record.txt and to the standard output.
func (f *fleet) record(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	line := fmt.Sprintf("%7.3f s  %s\n", time.Since(f.started).Seconds(), fmt.Sprintf(format, args...))
	_, _ = f.out.WriteString(line)
	fmt.Print(line)
}

// playLimit is how long a case may run.
const playLimit = 115 * time.Second

// closeOnSignal ends all processes when the case is interrupted or takes too long.
func (f *fleet) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
		case <-time.After(playLimit):
		}
		f.record("the case was ended early")
		f.close()
		os.Exit(exitUnknown)
	}()
}

func (f *fleet) close() {
	f.stopBeat()
	for _, d := range f.daemons {
		d.kill()
	}
	for _, b := range f.backends {
		b.kill()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		f.record("logs are kept in a temporary folder")
		fmt.Println(f.dir)
	}
	_ = f.out.Close()
}

// freeAddress returns a loopback address that is not in use, below the ephemeral range.
func freeAddress() string {
	address, err := testport.Process.Address()
	if err != nil {
		panic(err)
	}
	return address
}

// configure writes the first desired state.
func (f *fleet) configure(c standin.Configuration) {
	c.Tenant, c.Keys = tenant, []string{key}
	f.config = &c
	f.store.PutConfiguration(f.config)
}

// startDaemons starts n daemons with settings as the deploy file's template renders them, and
// waits until all are ready.
func (f *fleet) startDaemons(n int) {
	var seeds []string
	for i := range n {
		d := &daemon{name: fmt.Sprintf("front-%d", i+1), listen: freeAddress(), ready: freeAddress(), peer: freeAddress()}
		d.settings = filepath.Join(f.dir, d.name+".json")
		f.daemons = append(f.daemons, d)
		seeds = append(seeds, d.peer)
	}
	for _, d := range f.daemons {
		b, err := json.Marshal(map[string]any{
			"name": d.name, "region": region, "availability_zone": zone,
			"listen": d.listen, "readiness": d.ready, "peer": d.peer, "seeds": seeds[:min(3, n)],
			"store":  f.storeAddr,
			"limits": map[string]any{"memory_mb": 284, "cpu_cores": 0.4, "link_mbps": 1000.0, "descriptors": 4100},
			"bounds": map[string]any{
				"grace_s": graceS, "revoke_ms": revokeMs, "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 58,
				"quota_window_s": 8, "quota_over": 0.1, "quota_slack": 140000,
			},
		})
		if err == nil {
			err = os.WriteFile(d.settings, b, 0o600)
		}
		if err != nil {
			panic(err)
		}
		f.startDaemon(d)
	}
	for _, d := range f.daemons {
		f.waitReady(d)
	}
}

func (f *fleet) startDaemon(d *daemon) {
	logFile, err := os.OpenFile(filepath.Join(f.dir, d.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	defer func() { _ = logFile.Close() }()
	d.cmd = exec.Command(daemonBinary, "gateway", "--settings="+d.settings)
	d.cmd.Stdout, d.cmd.Stderr = logFile, logFile
	if err := d.cmd.Start(); err != nil {
		panic(err)
	}
	d.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(d.cmd, d.exited)
	f.record("%s started", d.name)
}

func (f *fleet) waitReady(d *daemon) {
	client := http.Client{Timeout: time.Second}
	for range 200 {
		resp, err := client.Get("http://" + d.ready + "/v1/readiness")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				f.record("%s is ready", d.name)
				return
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	panic(d.name + " is not ready")
}

func (d *daemon) kill() {
	if d.cmd == nil {
		return
	}
	_ = d.cmd.Process.Signal(syscall.SIGKILL) // fails if the process has exited, which is harmless
	<-d.exited
}

func (d *daemon) signal(s syscall.Signal) {
	if err := d.cmd.Process.Signal(s); err != nil {
		panic(err)
	}
}

// logs returns the lines of the daemon's log that hold a text.
func (d *daemon) logs(text string) (lines []string) {
	file, err := os.Open(strings.TrimSuffix(d.settings, ".json") + ".log")
	if err != nil {
		panic(err)
	}
	defer func() { _ = file.Close() }()
	s := bufio.NewScanner(file)
	s.Buffer(nil, 1<<20)
	for s.Scan() {
		if strings.Contains(s.Text(), text) {
			lines = append(lines, s.Text())
		}
	}
	return lines
}
