package soak

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/lycheekeel/lycheekeel/platform/standin"
)

// Guards against: a process that is told to stop ends without a word to the callers whose server
// is silent.
func TestCallersAreAnsweredAtTheEndOfTheGracePeriod(t *testing.T) {
	f := startFleet(t, fleetOptions{nodes: 2, onceTimeout: 30 * time.Second}, 0)
	f.config.Routes[1].TimeoutMs, f.config.Routes[2].TimeoutMs = 30000, 30000
	f.putKeys("k1", "k2", "k3")
	c := &callers{}
	var sequence atomic.Int64
	n := f.nodes[0]
	f.eventually("calls of both routes are served", func() bool {
		for _, path := range []string{"/once/", "/again/", "/s/once/"} {
			probe := &call{id: fmt.Sprint(requestIDPrefix, "end-", sequence.Add(1)), path: path, apiKey: "k1", node: n, timeout: time.Second}
			if c.sendOnce(probe); probe.status != http.StatusOK {
				return false
			}
		}
		return true
	})
	for _, s := range f.servers {
		s.proxy.Hold()
	}
	_, before := n.callerProxy.Connections()
	var mu sync.Mutex
	var all []*call
	var wg conc.WaitGroup
	for range 20 {
		for _, path := range []string{"/once/", "/again/", "/s/once/"} {
			wg.Go(func() {
				x := &call{id: fmt.Sprint(requestIDPrefix, "end-", sequence.Add(1)), path: path, apiKey: "k1", node: n, timeout: 25 * time.Second}
				c.sendOnce(x)
				mu.Lock()
				defer mu.Unlock()
				all = append(all, x)
			})
		}
	}
	f.eventually("all requests are sent", func() bool {
		_, total := n.callerProxy.Connections()
		return total == before+60
	})
	n.signal(syscall.SIGTERM)
	wg.Wait()
	statuses := map[int]int{}
	for _, x := range all {
		statuses[x.status]++
		if !x.complete {
			t.Errorf("%s %s ended without an answer after %v", x.id, x.path, x.endedAt.Sub(x.sentAt))
		}
	}
	t.Logf("answers by status: %v", statuses)
	f.checkNoCrashLogged()
}

// Guards against: a stream is accepted late in a shutdown and cut as the process ends.
func TestStreamsReadLateInAShutdownAreCut(t *testing.T) {
	f := startFleet(t, fleetOptions{nodes: 2, eventInterval: 400 * time.Millisecond, onceTimeout: 30 * time.Second}, 0)
	c := &callers{}
	n := f.nodes[0]
	f.eventually("calls are served", func() bool {
		probe := &call{id: fmt.Sprint(requestIDPrefix, "late-first"), path: "/again/", apiKey: "k1", node: n, timeout: time.Second}
		c.sendOnce(probe)
		return probe.status == http.StatusOK
	})
	n.signal(syscall.SIGTERM)
	sleep(t.Context(), 2*time.Second)
	var all []*call
	var wg conc.WaitGroup
	for i := range 10 {
		conn, err := net.DialTimeout("tcp", n.settings.Listen, time.Second)
		if err != nil {
			continue // the machine was slow, and the listener is closed
		}
		x := &call{id: fmt.Sprint(requestIDPrefix, "late-", i), path: "/s/once/", apiKey: "k1", node: n, timeout: 25 * time.Second}
		all = append(all, x)
		wg.Go(func() {
			defer conn.Close()
			sleep(t.Context(), 2*time.Second)
			x.exchange(conn, bufio.NewReader(conn))
		})
	}
	wg.Wait()
	runs := f.arrivals()
	statuses := map[int]int{}
	for _, x := range all {
		statuses[x.status]++
		if !x.complete && len(runs[x.id]) > 0 {
			t.Errorf("%s was passed on and cut, status %d", x.id, x.status)
		}
	}
	t.Logf("answers by status: %v", statuses)
}

// Guards against: a request that comes late in the grace of a planned stop is passed on and cut
// when the process ends.
func TestRequestsAllThroughAGracePeriod(t *testing.T) {
	parallelFleet(t)
	const between = 66 * time.Millisecond
	f := startFleet(t, fleetOptions{nodes: 2, noServers: true, onceTimeout: 30 * time.Second}, 0)
	for _, delay := range []time.Duration{200 * time.Millisecond, time.Second, 3 * time.Second} {
		for _, service := range []string{"llm", "app"} {
			backend := &standin.Server{Events: 30, EventInterval: delay / 30, Delay: delay / 2}
			if service == "app" {
				backend.Delay = delay
			}
			s := f.startServer(service, backend)
			f.servers = append(f.servers, s)
			f.putServer(s, "ready")
		}
	}
	n := f.nodes[0]
	// send sends a request on a kept connection.
	send := func(name string, i int, path string, conn net.Conn, r *bufio.Reader) *call {
		x := &call{id: fmt.Sprint(requestIDPrefix, name, "-", i), path: path, apiKey: "k1", node: n, timeout: 25 * time.Second}
		x.sentAt = time.Now()
		x.exchange(conn, r)
		x.endedAt = time.Now()
		return x
	}
	count := int(gracePeriod / between)
	all := make([]*call, 2*count) // on kept connections, then on new ones
	stopped := make(chan struct{})
	var wg conc.WaitGroup
	var open sync.WaitGroup
	open.Add(count)
	for i := range count {
		wg.Go(func() {
			conn, err := net.DialTimeout("tcp", n.settings.Listen, waitLimit)
			if err != nil {
				t.Error(err)
				open.Done()
				return
			}
			defer conn.Close()
			r := bufio.NewReader(conn)
			send("kept", i, "/again/", conn, r)
			open.Done()
			<-stopped
			if i%2 == 1 {
				conn = beginRequest(conn)
			}
			sleep(t.Context(), time.Duration(i)*between)
			path := []string{"/once/", "/s/once/", "/again/"}[i%3]
			if all[i] = send("late", i, path, conn, r); all[i].status != 0 {
				return
			}
			if again, err := net.DialTimeout("tcp", n.settings.Listen, time.Second); err == nil {
				all[count+i] = send("again", i, path, again, bufio.NewReader(again))
				_ = again.Close()
			}
		})
	}
	open.Wait()
	n.signal(syscall.SIGTERM)
	close(stopped)
	wg.Wait()
	f.checkAnsweredIfRun(all)
	f.checkNoCrashLogged()
}

// begunConn is a connection on which the first bytes of the next request have been sent.
type begunConn struct {
	net.Conn
	sent int
}

// beginRequest sends the first bytes of a request, so that its connection is not idle.
func beginRequest(c net.Conn) net.Conn {
	n, _ := c.Write([]byte("POST /"))
	return &begunConn{Conn: c, sent: n}
}

// Write implements net.Conn. It leaves out what was sent.
func (c *begunConn) Write(p []byte) (int, error) {
	skip := min(c.sent, len(p))
	c.sent -= skip
	n, err := c.Conn.Write(p[skip:])
	return skip + n, err
}

// checkAnsweredIfRun checks that each request that a server ran has a whole answer, and that one
// that was refused as not run has not run.
func (f *fleet) checkAnsweredIfRun(all []*call) {
	runs := f.arrivals()
	statuses := map[int]int{}
	for _, x := range all {
		if x == nil {
			continue // its connection could not be opened
		}
		statuses[x.status]++
		ran := len(runs[x.id]) > 0
		switch {
		case ran && !x.complete:
			f.t.Errorf("%s %s was passed on and cut, status %d", x.id, x.path, x.status)
		case ran && !x.mayRetry() && (x.status == http.StatusServiceUnavailable || x.status == http.StatusTooManyRequests):
			f.t.Errorf("%s %s was refused with status %d but ran", x.id, x.path, x.status)
		}
	}
	f.t.Logf("%d requests, answers by status: %v", len(all), statuses)
}
