package lease_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	standin "github.com/lycheekeel/lycheekeel/internal/standin/objectstore"
	"github.com/lycheekeel/lycheekeel/lease"
	"github.com/lycheekeel/lycheekeel/objectstore"
	"github.com/lycheekeel/lycheekeel/objectstore/httpobjectstore"
)

// envHolder makes the test binary run as a holder; its value is the store's address.
const envHolder = "LYCHEEKEEL_TEST_HOLDER"

// processTimeout is the timeout of a test that takes about a second.
const processTimeout = 30 * time.Second

func shortElector(api objectstore.ObjectAPI, holder string) *lease.Elector {
	e, err := lease.NewElector(api, lease.Options{
		Name: name, Holder: holder, Duration: 500 * time.Millisecond, Margin: 100 * time.Millisecond,
	})
	if err != nil {
		panic(err)
	}
	return e
}

// monotonic returns CLOCK_MONOTONIC in ns, which all processes of a machine share.
func monotonic() int64 {
	var ts unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &ts)
	return ts.Nano()
}

// runHolder runs in the holder's process. It prints each action that Check allowed, and
// the time right before that Check.
func runHolder(addr string) {
	l, err := shortElector(httpobjectstore.New(httpobjectstore.Options{Addr: addr}), "child").Acquire(context.Background())
	if err != nil {
		return
	}
	for {
		at := monotonic()
		token, err := l.Check()
		if err != nil {
			fmt.Println("lost 0 0")
			return
		}
		fmt.Println("act", token, at)
		<-time.After(time.Millisecond)
	}
}

// Guards against two processes that act under one lease after one of them was stopped.
func TestStoppedProcess(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), processTimeout)
	defer cancel()
	go func() { _ = standin.New(standin.Options{}).Serve(ctx, ln) }()
	child := exec.CommandContext(ctx, os.Args[0])
	child.Env = append(os.Environ(), envHolder+"="+ln.Addr().String())
	out, err := child.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := child.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = child.Wait() }()
	defer cancel()

	lines := bufio.NewScanner(out)
	readEvent := func() (event string, token lease.Token, at int64) {
		for lines.Scan() {
			if n, _ := fmt.Sscan(lines.Text(), &event, &token, &at); n == 3 && (event == "act" || event == "lost") {
				return event, token, at
			}
		}
		return "ended", 0, 0
	}
	event, oldToken, _ := readEvent()
	if event != "act" {
		t.Fatalf("first event of the holder is %q, want \"act\"", event)
	}
	if err := child.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	l, err := shortElector(httpobjectstore.New(httpobjectstore.Options{Addr: ln.Addr().String()}), "parent").Acquire(ctx)
	if err != nil {
		t.Fatal(err)
	}
	takenAt := monotonic()
	if l.Token() <= oldToken {
		t.Errorf("token %d is not higher than the previous one, %d", l.Token(), oldToken)
	}
	if err := child.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	for {
		event, _, at := readEvent()
		if event == "lost" {
			return
		}
		if event == "ended" || at > takenAt {
			t.Fatalf("%s %s after another took the lease", event, time.Duration(at-takenAt))
		}
	}
}
