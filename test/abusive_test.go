//go:build !race

package test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/lycheekeel/lycheekeel/internal/daemon"
	"github.com/lycheekeel/lycheekeel/internal/standin/service"
	"github.com/lycheekeel/lycheekeel/internal/wait"
	"github.com/lycheekeel/lycheekeel/test/crowd"
)

// These tests measure the memory of a process, so that they run one at a time and apart from
// other load, without the race detector.

const (
	abusiveMemoryMB    = 100
	abusiveDescriptors = 300
	abusiveConnections = 100
	abusiveBodyBytes   = 16 << 20
	crowdStands        = 2 * time.Second
	// ordinaryTries is how often an ordinary caller tries.
	ordinaryTries = 5
)

// abuseEntry checks that a daemon lives within its limits, and serves one ordinary request
// beside a crowd and one after it.
func abuseEntry(t *testing.T, size int, unread bool, abuse crowd.Abuse) {
	_, n := startLimitedEntry(t)
	pid := n.cmd.Process.Pid
	stop := crowd.Watch(t, pid, n.settings.Listen)
	abusers := &crowd.Crowd{Address: n.settings.Listen, PID: pid, Size: size, Abuse: abuse, Unread: unread}
	abusers.Gather(t)
	checkOrdinary(t, n, "beside")
	wait.For(t.Context(), crowdStands)
	abusers.Leave()
	checkOrdinary(t, n, "after")
	stop().Check(t, abusiveMemoryMB, abusiveDescriptors)
}

// startLimitedEntry starts a daemon with limits and waits until it serves.
func startLimitedEntry(t *testing.T) (*cluster, *node) {
	c := newCluster(t, clusterSpec{engines: 1})
	n := c.prepareNode("entry-0")
	n.settings.Limits = daemon.LimitSettings{MaxConnections: abusiveConnections, BodyBytes: abusiveBodyBytes}
	c.startNode(n)
	c.awaitReady(n)
	eventually(t, "an ordinary request is answered before the crowd", func() bool { return chatOnce(t, n).complete })
	return c, n
}

func chatOnce(t *testing.T, n *node) answer {
	return chat(t.Context(), n.settings.Listen, call{prompt: "echo:an ordinary request"})
}

func checkOrdinary(t *testing.T, n *node, when string) {
	var a answer
	for range ordinaryTries {
		if a = chatOnce(t, n); a.complete {
			return
		}
		wait.For(t.Context(), time.Second/2)
	}
	t.Errorf("an ordinary request %s the crowd: status %d (%s), error %v", when, a.status, a.code, a.err)
}

// callText returns the abuse of a call to the plain service.
func callText(text string) crowd.Abuse {
	return func(conn net.Conn, _ int) error {
		return crowd.Send(conn, fmt.Sprintf("%s /services/%s/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n", http.MethodPost, testService, testKey), text)
	}
}

// Guards against: callers that stand inside a head keep ordinary ones out.
func TestAbusiveHeadsAtTheEntry(t *testing.T) {
	abuseEntry(t, 2*abusiveConnections, false, func(conn net.Conn, _ int) error {
		return crowd.Send(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: h")
	})
}

// Guards against: callers that stand inside a short body keep ordinary ones out.
func TestAbusiveShortBodiesAtTheEntry(t *testing.T) {
	abuseEntry(t, 2*abusiveConnections, false, callText("Content-Length: 1000\r\n\r\nx"))
}

// Guards against: announced chunks of which not a byte arrives take the memory of a process.
func TestAbusiveAnnouncedChunksAtTheEntry(t *testing.T) {
	abuseEntry(t, 60, false, callText("Transfer-Encoding: chunked\r\n\r\n100000\r\n"))
}

// Guards against: bodies that stop just short of their end take the memory of a process, or the
// place of ordinary requests.
func TestAbusiveUnendedBodiesAtTheEntry(t *testing.T) {
	abuseEntry(t, 60, false, callText(fmt.Sprintf("Content-Length: %d\r\n\r\n%s", 1<<20, strings.Repeat("x", 1<<20-1))))
}

// Guards against: whole bodies whose answers nobody reads take the memory of a process.
func TestAbusiveUnreadAnswersAtTheEntry(t *testing.T) {
	abuseEntry(t, 60, true, callText(fmt.Sprintf("Content-Length: %d\r\n\r\n%s", 1<<20, strings.Repeat("x", 1<<20))))
}

// Guards against: what callers send behind a request that runs piles up in the kernel.
func TestAbusivePipelinesAtTheEntry(t *testing.T) {
	behind := strings.Repeat("GET /v1/models HTTP/1.1\r\nHost: h\r\nX-Fill: "+strings.Repeat("x", 1000)+"\r\n\r\n", 1000)
	abuseEntry(t, 60, true, callText("Content-Length: 1\r\n\r\nx"+behind))
}

// Guards against: replies without end, of a service in trouble, take the memory of a process.
func TestAbusiveEndlessRepliesAtTheEntry(t *testing.T) {
	c, n := startLimitedEntry(t)
	c.post(c.service.link.target, service.PathFaults, `{"endless": true}`)
	stop := crowd.Watch(t, n.cmd.Process.Pid, n.settings.Listen)
	var wg conc.WaitGroup
	for i := range 2 * serviceSlots {
		wg.Go(func() {
			a := send(t.Context(), n.settings.Listen, fmt.Sprint("/services/", testService, "/x/", i), []byte("{}"), call{})
			if a.err == nil && a.status == http.StatusOK {
				t.Error("an endless reply looks complete")
			}
		})
	}
	checkOrdinary(t, n, "beside")
	wg.Wait()
	c.post(c.service.link.target, service.PathFaults, `{"endless": false}`)
	eventually(t, "the service answers again", func() bool {
		a := send(t.Context(), n.settings.Listen, "/services/"+testService+"/after", []byte("{}"), call{})
		return a.err == nil && a.status == http.StatusOK
	})
	checkOrdinary(t, n, "after")
	stop().Check(t, abusiveMemoryMB, abusiveDescriptors)
}
