package relay

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// serverConn is the connection to a server while a peer's bytes are written to it. Read returns
// io.EOF only if no write has failed.
//
// The system reports a reset once. If the write of a request that the server has not read takes
// that report, the read finds an orderly end, and an answer without a length would look complete.
type serverConn struct {
	net.Conn
	mu          sync.Mutex // held during a write
	writeFailed bool
}

// errRequestCut: the server has ended its answer before the request was written to it.
var errRequestCut = errors.New("relay: the request was not written whole")

// Write implements net.Conn.
func (c *serverConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.writeFailed = c.writeFailed || err != nil
	return n, err
}

// Read implements net.Conn.
func (c *serverConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) && !c.written() {
		return n, errRequestCut
	}
	return n, err
}

// written reports whether all writes so far have succeeded. It ends one that waits for room: the
// server, which has ended its answer, may never make any.
func (c *serverConn) written() bool {
	_ = c.Conn.SetWriteDeadline(time.Now())
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.writeFailed
}
