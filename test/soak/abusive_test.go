//go:build !race

package soak

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/lycheekeel/lycheekeel/internal/gateway"
	"github.com/lycheekeel/lycheekeel/test/crowd"
)

// These tests measure the memory of a process, so that they run one at a time and apart from
// other load, without the race detector.

// The limits of the processes, and how long a crowd stands.
const (
	abusiveMemoryMB    = 100
	abusiveDescriptors = 4100
	fewDescriptors     = 200
	crowdStands        = 2 * time.Second
	// ordinaryTries is how often an ordinary caller tries.
	ordinaryTries = 5
)

// crowdTest is one case: what a crowd sends to one gateway, and the limits of its process.
type crowdTest struct {
	size        int
	abuse       crowd.Abuse
	unread      bool
	memoryMB    float64
	descriptors int
	answerBytes int // that servers add to their answers
	// during is called while the crowd stands; may be nil.
	during func(t *testing.T, n *node)
}

// run checks that the process lives within its limits, and serves one ordinary request beside
// the crowd, and one with a long body when the crowd has left.
func (x crowdTest) run(t *testing.T) {
	if x.memoryMB == 0 {
		x.memoryMB = abusiveMemoryMB
	}
	if x.descriptors == 0 {
		x.descriptors = abusiveDescriptors
	}
	f := startFleet(t, fleetOptions{
		nodes: 1, limits: gateway.LimitSettings{MemoryMB: x.memoryMB, Descriptors: x.descriptors}, answerBytes: x.answerBytes,
	}, *firstSeed)
	n := f.nodes[0]
	f.eventually("an ordinary request is served before the crowd", func() bool { return n.serveOrdinary("before") == "" })
	stop := n.watch(t)
	c := &crowd.Crowd{Address: n.settings.Listen, PID: n.cmd.Process.Pid, Size: x.size, Abuse: x.abuse, Unread: x.unread}
	c.Gather(t)
	if problem := n.serveOrdinary("beside"); problem != "" {
		t.Errorf("an ordinary request beside the crowd: %s", problem)
	}
	if x.during != nil {
		x.during(t, n)
	}
	sleep(t.Context(), crowdStands)
	c.Leave()
	if problem := n.serveOrdinary("after"); problem != "" {
		t.Errorf("an ordinary request after the crowd: %s", problem)
	}
	if problem := n.serveContent("long", strings.Repeat("x", longBodyBytes)); problem != "" {
		t.Errorf("a long body after the crowd: %s", problem)
	}
	stop().Check(t, x.memoryMB, x.descriptors)
	if n.hasExited() {
		t.Error("the process has ended")
	}
}

func (n *node) watch(t *testing.T) (stop func() crowd.Footprint) {
	return crowd.Watch(t, n.cmd.Process.Pid, n.settings.Listen)
}

func (n *node) serveOrdinary(name string) (problem string) {
	return n.serveContent(name, "an ordinary body")
}

// serveContent sends a request with the content, again if that is not served, and returns why
// no try was served.
func (n *node) serveContent(name, content string) (problem string) {
	for i := range ordinaryTries {
		x := &call{id: fmt.Sprintf("%s%s-%d-%d", requestIDPrefix, name, time.Now().UnixNano(), i), path: "/again/", apiKey: "k1", node: n, content: content, timeout: callerTimeout}
		conn, err := net.DialTimeout("tcp", n.settings.Listen, time.Second)
		if err != nil {
			problem = err.Error()
			continue
		}
		x.exchange(conn, bufio.NewReader(conn))
		_ = conn.Close()
		if x.status == http.StatusOK && x.complete {
			return x.violation()
		}
		problem = fmt.Sprintf("status %d, complete %v", x.status, x.complete)
		sleep(n.fleet.t.Context(), time.Second/2)
	}
	return problem
}

// Guards against: announced chunks of which not a byte arrives take the memory of a process.
func TestAbusiveAnnouncedChunks(t *testing.T) {
	crowdTest{size: 24, abuse: sendText("/again/", "k1", chunkedBody+"600000\r\n")}.run(t)
}

// Guards against: an announced chunk of which a byte arrives now and then takes the memory of a process.
func TestAbusiveDribble(t *testing.T) {
	crowdTest{size: 24, abuse: func(conn net.Conn, member int) error {
		err := crowd.Send(conn, requestHead("/again/", "k1", member), chunkedBody+"600000\r\n")
		for end := time.Now().Add(crowdStands); err == nil && time.Now().Before(end); {
			err = crowd.Send(conn, "x")
			sleep(t.Context(), crowd.ReturnPause)
		}
		return err
	}}.run(t)
}

// Guards against: bodies that stop just short of their end take the memory of a process.
func TestAbusiveUnendedBodies(t *testing.T) {
	crowdTest{size: 24, abuse: sendChunks("/again/", "k1", 5, 1<<20)}.run(t)
}

// Guards against: bodies of strangers are kept until their key is looked at.
func TestAbusiveStrangers(t *testing.T) {
	crowdTest{size: 24, abuse: sendChunks("/nowhere/", "none", 5, 1<<20)}.run(t)
}

// Guards against: an announced length of which nothing arrives takes the memory of a process.
func TestAbusiveAnnouncedLength(t *testing.T) {
	crowdTest{size: 60, abuse: sendText("/again/", "k1", fmt.Sprintf("Content-Length: %d\r\n\r\n", longBodyBytes))}.run(t)
}

// Guards against: bodies in chunks of a byte take more memory than they have bytes.
func TestAbusiveTinyChunks(t *testing.T) {
	content := strings.Repeat("1\r\nx\r\n", 1000)
	crowdTest{size: 60, abuse: func(conn net.Conn, member int) error {
		err := crowd.Send(conn, requestHead("/again/", "k1", member), chunkedBody)
		for range 1000 {
			if err == nil {
				err = crowd.Send(conn, content)
			}
		}
		return err
	}}.run(t)
}

// Guards against: chunked bodies far over the limit are kept until the limit is reached.
func TestAbusiveBodiesOverTheLimit(t *testing.T) {
	crowdTest{size: 60, abuse: sendChunks("/again/", "k1", 640, 64<<10)}.run(t)
}

// Guards against: a length far over the limit is read, or ends the process.
func TestAbusiveLengthOverTheLimit(t *testing.T) {
	crowdTest{size: 60, abuse: sendText("/again/", "k1", "Content-Length: 4294967296\r\n\r\n"+strings.Repeat("x", 8<<20))}.run(t)
}

// Guards against: whole bodies whose answers nobody reads take the memory of a process.
func TestAbusiveUnreadEchoes(t *testing.T) {
	crowdTest{size: 24, unread: true, abuse: sendText("/again/", "k1", fmt.Sprintf("Content-Length: %d\r\n\r\n%s", longBodyBytes, strings.Repeat("x", longBodyBytes)))}.run(t)
}

// Guards against: long answers that nobody reads take the memory of a process.
func TestAbusiveUnreadAnswers(t *testing.T) {
	crowdTest{size: 40, unread: true, answerBytes: 6 << 20, abuse: sendText("/once/", "k1", "Content-Length: 1\r\n\r\nx")}.run(t)
}

// Guards against: many short bodies without their end take the memory of a process.
func TestAbusiveManyShortBodies(t *testing.T) {
	crowdTest{size: 800, abuse: sendChunks("/again/", "k1", 8, 8<<10)}.run(t)
}

// Guards against: callers that stand inside a head keep ordinary ones out.
func TestAbusiveInsideAHead(t *testing.T) {
	crowdTest{size: 2 * fewDescriptors, descriptors: fewDescriptors, abuse: func(conn net.Conn, _ int) error {
		return crowd.Send(conn, "POST /again/ HTTP/1.1\r\nHost: h")
	}}.run(t)
}

// Guards against: callers that stand inside a short body keep ordinary ones out.
func TestAbusiveInsideABody(t *testing.T) {
	crowdTest{size: 2 * fewDescriptors, descriptors: fewDescriptors, abuse: sendText("/again/", "k1", "Content-Length: 1000\r\n\r\nx")}.run(t)
}

// Guards against: what callers send behind a request that runs piles up in the kernel.
func TestAbusivePipelines(t *testing.T) {
	behind := strings.Repeat("GET / HTTP/1.1\r\nHost: h.example\r\nX-Fill: "+strings.Repeat("x", 1000)+"\r\n\r\n", 1000)
	crowdTest{size: 400, memoryMB: 64, unread: true, abuse: sendText("/s/once/", "k1", "Content-Length: 1\r\n\r\nx"+behind)}.run(t)
}

// Guards against: long heads without their end take the memory of a process.
func TestAbusiveUnendedHeads(t *testing.T) {
	crowdTest{size: 800, abuse: sendText("/again/", "k1", "X-Fill: "+strings.Repeat("x", 12<<10))}.run(t)
}

// Guards against: trailers without end take the memory of a process.
func TestAbusiveTrailers(t *testing.T) {
	crowdTest{size: 60, abuse: sendText("/again/", "k1", chunkedBody+"1\r\nx\r\n0\r\n"+strings.Repeat("X-Fill: "+strings.Repeat("x", 1000)+"\r\n", 4000))}.run(t)
}

// Guards against: a body over the limit of the newest configuration is read to its end.
func TestAbusiveBodiesOverALoweredLimit(t *testing.T) {
	crowdTest{size: 24, abuse: sendChunks("/again/", "k1", 5, 1<<20), during: func(t *testing.T, n *node) {
		n.fleet.config.MaxBodyBytes = 1 << 20
		n.fleet.putKeys("k1", "k2", "k3")
		n.fleet.eventually("a length over the lowered limit is refused before its body", func() bool {
			conn, err := net.DialTimeout("tcp", n.settings.Listen, time.Second)
			if err != nil {
				return false
			}
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(time.Second))
			if sendText("/again/", "k1", "Content-Length: 2000000\r\n\r\n")(conn, 0) != nil {
				return false
			}
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			return err == nil && resp.StatusCode == http.StatusRequestEntityTooLarge
		})
		n.fleet.config.MaxBodyBytes = longBodyBytes
		n.fleet.putKeys("k1", "k2", "k3")
	}}.run(t)
}

// Guards against: callers that stand inside their bodies keep a process from stopping, or from
// serving again.
func TestAbusiveCrowdAtAStop(t *testing.T) {
	f := startFleet(t, fleetOptions{nodes: 1, limits: gateway.LimitSettings{MemoryMB: abusiveMemoryMB, Descriptors: abusiveDescriptors}}, *firstSeed)
	n := f.nodes[0]
	c := &crowd.Crowd{Address: n.settings.Listen, PID: n.cmd.Process.Pid, Size: 24, Abuse: sendText("/again/", "k1", chunkedBody+"600000\r\n")}
	c.Gather(t)
	restart := n.restarter()
	n.signal(syscall.SIGHUP)
	n.signal(syscall.SIGTERM)
	f.eventually("the process has stopped", n.hasExited)
	restart()
	f.restarts.Wait()
	f.eventually("the process is ready again", n.ready)
	stop := n.watch(t)
	sleep(t.Context(), crowdStands)
	if problem := n.serveOrdinary("beside"); problem != "" {
		t.Errorf("an ordinary request beside the crowd: %s", problem)
	}
	stop().Check(t, abusiveMemoryMB, abusiveDescriptors)
}

// Guards against: callers that stand on the port for the balancer's checks keep the balancer out.
func TestAbusiveReadinessPort(t *testing.T) {
	const descriptors = 400
	f := startFleet(t, fleetOptions{nodes: 1, limits: gateway.LimitSettings{MemoryMB: abusiveMemoryMB, Descriptors: descriptors}}, *firstSeed)
	n := f.nodes[0]
	stop := n.watch(t)
	c := &crowd.Crowd{Address: n.settings.Readiness, PID: n.cmd.Process.Pid, Size: 2 * descriptors, Abuse: func(conn net.Conn, _ int) error {
		return crowd.Send(conn, "GET /v1/readiness HTTP/1.1\r\nHost: h")
	}}
	c.Gather(t)
	f.eventually("the node is ready beside the crowd", n.ready)
	c.Leave()
	f.eventually("the node is ready after the crowd", n.ready)
	stop().Check(t, abusiveMemoryMB, descriptors)
}
