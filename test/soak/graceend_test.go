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
