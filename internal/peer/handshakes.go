package peer

import (
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/lycheekeel/lycheekeel/internal/callerwatch"
)

// handshakeGrace is how long an accepted connection may be silent before it gives way.
const handshakeGrace = 250 * time.Millisecond

// handshakes are the accepted connections that are not authenticated yet, the oldest first.
//
// Without an order in which they give way, strangers that connect and send nothing would keep
// peers from connecting.
type handshakes struct {
	mu      sync.Mutex
	pending []handshake
}

type handshake struct {
	conn  net.Conn
	since time.Time
}

// begin adds a connection. At the bound it returns the one that has to be closed: one that has
// been silent, or else the new one. It returns nil if none has to.
func (h *handshakes) begin(conn net.Conn, now time.Time) (closed net.Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.pending) >= maxHandshakes {
		i := slices.IndexFunc(h.pending, func(p handshake) bool { return p.silent(now) })
		if i < 0 {
			return conn
		}
		closed = h.pending[i].conn
		h.pending = slices.Delete(h.pending, i, i+1)
	}
	h.pending = append(h.pending, handshake{conn, now})
	return closed
}

// end removes a connection whose handshake has ended.
func (h *handshakes) end(conn net.Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pending = slices.DeleteFunc(h.pending, func(p handshake) bool { return p.conn == conn })
}

// silent reports whether nothing has arrived that could be read next. Bytes that wait to be
// read mean that this process is late, not the peer.
func (p handshake) silent(now time.Time) bool {
	sc, ok := p.conn.(syscall.Conn)
	return ok && now.Sub(p.since) >= handshakeGrace && !callerwatch.Readable(sc)
}
