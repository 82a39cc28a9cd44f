package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// request is one client attempt.
type request struct {
	method, path, headers, body string
	deadline                    time.Duration
}

// answer is what the client got.
type answer struct {
	id       string
	sentAt   time.Time
	gotAt    time.Time
	status   int // 0: none
	stamp    string
	body     string
	leaving  bool // it says that its server leaves
	complete bool // the answer has its end
	err      error
}

// lastEvent returns the id of the last event of an answer's body; 0: there is none.
func (a *answer) lastEvent() (last int) {
	for line := range strings.SplitSeq(a.body, "\n") {
		if n := 0; strings.HasPrefix(line, "id: ") {
			if _, err := fmt.Sscanf(line, "id: %d", &n); err == nil {
				last = n
			}
		}
	}
	return last
}

var requestCount atomic.Int64

// newAnswer returns the answer that a request with a new id waits for.
func newAnswer() *answer {
	return &answer{id: fmt.Sprintf("%016x", 0x1c41d07be2a30000+requestCount.Add(1)), sentAt: time.Now()}
}

// send sends a request to a daemon on a new channel and reads the answer.
func (f *fleet) send(d *daemon, q request) *answer {
	a := newAnswer()
	f.record("client: %s %s %s sent to %s", q.method, q.path, a.id, d.name)
	a.err = f.exchange(d, q, a)
	a.gotAt = time.Now()
	f.record("client: %s got %d, %d bytes, last event %d, complete %v, leaving %v, error %v", a.id, a.status, len(a.body), a.lastEvent(), a.complete, a.leaving, a.err)
	return a
}

func (f *fleet) exchange(d *daemon, q request, a *answer) error {
	c, err := dial(d)
	if err != nil {
		return err
	}
	defer c.close()
	return c.exchange(q, a)
}

// channel is a client's channel to a daemon.
type channel struct {
	conn net.Conn
	in   *bufio.Reader
}

func dial(d *daemon) (*channel, error) {
	conn, err := net.DialTimeout("tcp", d.listen, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{conn, bufio.NewReader(conn)}, nil
}

func (c *channel) close() { _ = c.conn.Close() }

// exchange sends a request and reads the answer.
func (c *channel) exchange(q request, a *answer) error {
	_ = c.conn.SetDeadline(time.Now().Add(q.deadline + time.Second))
	length := ""
	if q.method != http.MethodGet {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(q.body))
	}
	_, err := fmt.Fprintf(c.conn, "%s %s HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n%s%s\r\n%s",
		q.method, q.path, a.id, q.deadline.Milliseconds(), key, q.headers, length, q.body)
	if err != nil {
		return err
	}
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	a.status, a.stamp = resp.StatusCode, resp.Header.Get("X-Server-Stamp")
	a.leaving = resp.Header.Get("Server-Leaving") == "1"
	body, err := io.ReadAll(resp.Body)
	a.body, a.complete = string(body), err == nil
	return err
}
