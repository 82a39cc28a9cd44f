package entry

import (
	"fmt"
	"io"
	"net"
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

// connRefuser answers connections for which there is no room. The HTTP server's own limit would
// answer with plain text and without counting the refusal.
type connRefuser struct {
	entry     *Entry
	lingering atomic.Int64
}

// refuse answers that there are too many connections. It keeps reading what the caller
// sends, because closing with unread data would send a reset before the answer is read.
func (l *connRefuser) refuse(conn net.Conn) {
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
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.CloseWrite()
		}
		_, _ = io.CopyN(io.Discard, conn, lingerBytes)
	}()
}
