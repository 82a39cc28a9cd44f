package capacity

import (
	"net"
	"sync/atomic"
)

// countingListener counts the bytes that its accepted connections transfer.
type countingListener struct {
	net.Listener
	bytesIn, bytesOut atomic.Int64 // from the accepting side's view
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c, listener: l}, nil
}

type countingConn struct {
	net.Conn
	listener *countingListener
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.listener.bytesIn.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.listener.bytesOut.Add(int64(n))
	return n, err
}
