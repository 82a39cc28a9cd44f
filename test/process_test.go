package test

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/lycheekeel/lycheekeel/internal/testport"
	"github.com/lycheekeel/lycheekeel/internal/testwait"
)

// waitTimeout is how long a test waits for an expected event. Only a fault or a
// stalled machine makes a test wait this long.
const waitTimeout = 60 * time.Second

// binDir is the directory of the binaries under test.
var binDir string

func TestMain(m *testing.M) {
	code := 1
	defer func() { os.Exit(code) }()
	dir, err := os.MkdirTemp("", "lycheekeel-test")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return
	}
	defer os.RemoveAll(dir)
	args := append([]string{"build"}, raceFlags...)
	args = append(args, "-o", dir+string(filepath.Separator), "../cmd/lycheekeeld", "../cmd/lycheekeel")
	if out, err := exec.Command("go", args...).CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return
	}
	binDir = dir
	code = m.Run()
}

// process is one started program. A failed test logs the end of its output.
type process struct {
	t      testing.TB
	name   string
	cmd    *exec.Cmd
	output lockedBuffer
	done   chan struct{}
	err    error // from Wait; valid once done is closed
}

// start starts a program that runs until the end of the test at the latest.
func start(t testing.TB, name, program string, args ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, done: make(chan struct{})}
	p.cmd = exec.Command(filepath.Join(binDir, program), args...)
	p.cmd.Stdout, p.cmd.Stderr = &p.output, &p.output
	p.cmd.Env = append(os.Environ(), "GORACE=halt_on_error=1", "GOMAXPROCS=2")
	if err := p.cmd.Start(); err != nil {
		t.Fatalf("start %s: %v", name, err)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	t.Cleanup(p.cleanup)
	return p
}

func (p *process) cleanup() {
	p.signal(syscall.SIGCONT)
	p.kill()
	if p.t.Failed() {
		p.t.Logf("output of %s:\n%s", p.name, p.output.tail())
	}
	if bytes.Contains(p.output.bytes(), []byte("DATA RACE")) {
		p.t.Errorf("%s: data race", p.name)
	}
}

// signal sends a signal to the process if it is still running.
func (p *process) signal(s syscall.Signal) {
	select {
	case <-p.done:
	default:
		_ = p.cmd.Process.Signal(s)
	}
}

// kill sends SIGKILL, as abrupt as the loss of a VM, and waits until the process has exited.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// stop sends SIGTERM and waits until the process has exited.
func (p *process) stop() error {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return p.err
	case <-time.After(waitTimeout):
		return fmt.Errorf("%s did not stop within %v", p.name, waitTimeout)
	}
}

// lockedBuffer is a bytes.Buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) bytes() []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	return bytes.Clone(l.b.Bytes())
}

// tailBytes is how many bytes of a process's output a failed test logs.
const tailBytes = 6000

func (l *lockedBuffer) tail() []byte {
	b := l.bytes()
	return b[max(0, len(b)-tailBytes):]
}

// freeAddress returns an unused loopback address.
func freeAddress(t testing.TB) string {
	t.Helper()
	address, err := testport.Process.Address()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// eventually waits until the condition holds. It fails the test after waitTimeout.
func eventually(t testing.TB, what string, cond func() bool) {
	t.Helper()
	testwait.Until(t, waitTimeout, what, cond)
}
