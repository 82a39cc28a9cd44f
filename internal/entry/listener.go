package entry

import (
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lycheekeel/lycheekeel/request"
)

// Limits for refusing connections over the maximum.
const (
	lingerTimeout = time.Second
	lingerBytes   = 64 << 10
	maxLingering  = 256 // concurrent refusals; further connections are closed without a response
)

// boundedListener limits the open connections. The HTTP server's own limit would answer
// with plain text and without counting the refusal.
type boundedListener struct {
	net.Listener
	entry     *Entry
	open      atomic.Int64
	lingering atomic.Int64
}

// Accept implements net.Listener.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := conn.(*net.TCPConn)
		if !ok {
			return conn, nil
		}
		if l.open.Add(1) <= int64(l.entry.limits.MaxConnections) {
			return &boundedConn{TCPConn: tcp, open: &l.open}, nil
		}
		l.open.Add(-1)
		l.refuse(tcp)
	}
}

// refuse answers that there are too many connections. It keeps reading what the caller
// sends, because closing with unread data would send a reset before the answer is read.
func (l *boundedListener) refuse(conn *net.TCPConn) {
	l.entry.counters.countRefusal(request.ReasonTooManyConnections)
	if l.lingering.Add(1) > maxLingering {
		l.lingering.Add(-1)
		_ = conn.Close()
		return
	}
	go func() {
		defer l.lingering.Add(-1)
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(lingerTimeout))
		r := request.Refuse(request.ReasonTooManyConnections, "too many open connections here")
		body := refusalJSON(r)
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d Service Unavailable\r\nContent-Type: %s\r\nContent-Length: %d\r\n"+
			"Retry-After: %d\r\nConnection: close\r\n\r\n%s", r.Reason.Status(), contentJSON, len(body), retrySeconds(r), body)
		_ = conn.CloseWrite()
		_, _ = io.CopyN(io.Discard, conn, lingerBytes)
	}()
}

// boundedConn decrements the number of open connections when it is closed.
type boundedConn struct {
	*net.TCPConn
	open   *atomic.Int64
	closed sync.Once
}

// Close implements net.Conn.
func (c *boundedConn) Close() error {
	c.closed.Do(func() { c.open.Add(-1) })
	return c.TCPConn.Close()
}
