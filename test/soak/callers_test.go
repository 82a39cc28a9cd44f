package soak

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/lycheekeel/lycheekeel/platform/standin"
)

// call is one request as its caller observed it.
type call struct {
	id, path, apiKey string
	node             *node
	content          string        // the body; empty: one of its own
	parts            string        // of the prompt, as ID:TOKENS,ID:TOKENS; empty: none
	lastEvent        int           // the last event of a stream that the caller has; 0: it begins
	resumes          string        // the id of the call that brought the first event; empty: it begins
	timeout          time.Duration // how long the caller waits for the response
	sentAt, endedAt  time.Time
	answeredAt       time.Time // when the head of the response was there; zero: no response
	status           int       // 0: no response
	complete         bool
	body             string
}

// callers send requests over persistent connections until the context ends, and
// record the results.
type callers struct {
	mu  sync.Mutex
	all []*call
}

var paths = []string{"/s/once/", resumePath(0), "/once/", "/again/"}

// resumePath is the path of resumable streams of a tier; 0 is the highest.
func resumePath(tier int) string {
	if tier == 0 {
		return "/s/resume/"
	}
	return fmt.Sprintf("/s/resume/%d/", tier)
}

// requestIDPrefix tells the requests of concurrent test programs apart.
var requestIDPrefix = fmt.Sprintf("p%d-", os.Getpid())

// The tokens of a request whose prompt has parts: of the prompt, and at most generated.
const promptTokens, maxTokens = 600, 180

// callerTimeout is how long a caller waits for a response.
const callerTimeout = 7 * time.Second

// run sends requests to the paths of one node, one after the other, until the context ends.
func (c *callers) run(ctx context.Context, n *node, name string, paths []string) {
	var conn net.Conn
	var r *bufio.Reader
	for i := 0; ctx.Err() == nil; i++ {
		x := &call{id: fmt.Sprintf("%s%s-%d", requestIDPrefix, name, i), path: paths[i%len(paths)], apiKey: fmt.Sprintf("k%d", 1+i%3), node: n, timeout: callerTimeout}
		x.parts = n.fleet.prompt(x)
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp", n.callerProxy.Addr(), time.Second); err != nil {
				sleep(ctx, 50*time.Millisecond)
				continue
			}
			r = bufio.NewReader(conn)
		}
		x.sentAt = time.Now()
		reusable := x.exchange(conn, r)
		x.endedAt = time.Now()
		c.mu.Lock()
		c.all = append(c.all, x)
		c.mu.Unlock()
		if !reusable {
			_ = conn.Close()
			conn = nil
			sleep(ctx, 20*time.Millisecond)
		}
	}
	if conn != nil {
		_ = conn.Close()
	}
}

// exchange sends the request and reads the response. It reports whether the
// connection may be reused.
func (x *call) exchange(conn net.Conn, r *bufio.Reader) bool {
	_ = conn.SetDeadline(time.Now().Add(x.timeout + time.Second))
	body := x.sentBody()
	headers := ""
	if x.resumes != "" {
		headers = fmt.Sprintf("Last-Event-Id: %d\r\nResumes: %s\r\n", x.lastEvent, x.resumes)
	}
	if x.parts != "" {
		headers += standin.PromptHeaders(x.parts, promptTokens, maxTokens)
	}
	_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\nAuthorization: Bearer %s\r\nX-Deadline-Ms: %d\r\n%sContent-Length: %d\r\n\r\n%s",
		x.path, x.id, x.apiKey, x.timeout.Milliseconds(), headers, len(body), body)
	if err != nil {
		return false
	}
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	x.status, x.answeredAt = resp.StatusCode, time.Now()
	b, err := io.ReadAll(resp.Body)
	x.body, x.complete = string(b), err == nil
	return x.complete && !resp.Close
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func (x *call) sentBody() string { return cmp.Or(x.content, "body of "+x.id) }

// mayRetry reports whether requests to the path may run twice.
func (x *call) mayRetry() bool {
	return x.path == "/again/" || strings.HasPrefix(x.path, resumePath(0))
}

// violation describes how the response breaks a guarantee, or is empty if it does not.
func (x *call) violation() string {
	switch {
	case x.status != 0 && (x.status < http.StatusOK || x.status > 599):
		return fmt.Sprintf("answered with status %d", x.status)
	case x.status == http.StatusOK && strings.HasPrefix(x.path, "/s/"):
		want := 0
		for _, line := range strings.Split(x.body, "\n") {
			if id, ok := strings.CutPrefix(line, "id: "); ok {
				want++
				if id != fmt.Sprint(want) {
					return fmt.Sprintf("event %s instead of %d", id, want)
				}
			}
		}
		if x.complete && want != 30 {
			return fmt.Sprintf("complete with %d events instead of 30", want)
		}
	case x.status == http.StatusOK && x.complete && !strings.HasSuffix(x.body, " "+x.sentBody()):
		return fmt.Sprintf("answered with %.80q", x.body)
	case x.status == http.StatusNotFound, x.status == http.StatusForbidden, x.status == http.StatusBadRequest:
		return fmt.Sprintf("rejected with status %d", x.status)
	case x.status == http.StatusUnauthorized && x.apiKey != "k3":
		return "a valid key was rejected"
	}
	return ""
}
