package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/lycheekeel/lycheekeel/test/crowd"
)

// Guards against: guarantees break, or a process ends, when crowds of clients that misbehave
// come and go amid other faults.
func TestCrowdsAmidOtherFaults(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed int64) {
		f, _ := runSeed(t, seed, fleetOptions{abused: true, contended: seed%2 == 0}, anyFault)
		f.checkNoneEndedByThemselves()
	})
}

// abuseFaults are the faults of fleets to which crowds come.
var abuseFaults = []fault{
	{"crowd stalls", func(f *fleet, r *rand.Rand) func() {
		return f.crowd(r, false, sendText("/again/", "k1", pick(r, []string{
			"X-Fill: " + strings.Repeat("x", 1000), chunkedBody + "600000\r\n", chunkedBody + "1\r\nx\r\n", fmt.Sprintf("Content-Length: %d\r\n\r\nx", longBodyBytes),
		})))
	}},
	{"crowd sends bodies without their end", func(f *fleet, r *rand.Rand) func() {
		return f.crowd(r, false, sendChunks(pick(r, []string{"/again/", "/once/", "/nowhere/"}), pick(r, []string{"k1", "none"}), 5, 1<<20))
	}},
	{"crowd sends bodies over the limit", func(f *fleet, r *rand.Rand) func() {
		return f.crowd(r, false, sendChunks("/again/", "k1", 200, 64<<10))
	}},
	{"crowd leaves answers unread", func(f *fleet, r *rand.Rand) func() {
		return f.crowd(r, true, sendText("/again/", "k2", fmt.Sprintf("Content-Length: %d\r\n\r\n%s", longBodyBytes, strings.Repeat("x", longBodyBytes))))
	}},
}

// crowd lets a crowd come to a node, and returns the function that ends it. unread is set if it
// reads no answers.
func (f *fleet) crowd(r *rand.Rand, unread bool, abuse crowd.Abuse) func() {
	c := &crowd.Crowd{Address: pick(r, f.nodes).settings.Listen, Size: 10 + r.IntN(30), Abuse: abuse, Unread: unread}
	c.Start(f.t)
	return c.Leave
}

// crowdIDPrefix begins the request ids of crowds.
var crowdIDPrefix = requestIDPrefix + "crowd-"

// requestHead returns the head of a member's request, without the line that ends it.
func requestHead(path, key string, member int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s%d-%d\r\nAuthorization: Bearer %s\r\nX-Deadline-Ms: 7000\r\n",
		path, crowdIDPrefix, member, time.Now().UnixNano(), key)
}

const chunkedBody = "Transfer-Encoding: chunked\r\n\r\n"

// sendChunks returns the abuse of a chunked body that stops before its last chunk.
func sendChunks(path, key string, count, size int) crowd.Abuse {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size))
	return func(conn net.Conn, member int) error {
		err := crowd.Send(conn, requestHead(path, key, member), chunkedBody)
		for range count {
			if err == nil {
				err = crowd.Send(conn, chunk)
			}
		}
		return err
	}
}

// sendText returns the abuse of a fixed text after the beginning of a head.
func sendText(path, key, text string) crowd.Abuse {
	return func(conn net.Conn, member int) error { return crowd.Send(conn, requestHead(path, key, member), text) }
}
