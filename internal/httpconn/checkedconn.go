package httpconn

import (
	"bufio"
	"net"
)

// checkedConn lets an HTTP client read an answer only after its head was checked.
type checkedConn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	headDue bool // a request was written, and no head was checked since
}

// CheckHeads returns a connection from which the HTTP library's own client reads answers with
// well-formed heads only. The read of any other fails with a *HeadError. Interim answers are
// left out. The client has to write a whole request before it reads the answer.
func CheckHeads(nc net.Conn) net.Conn {
	return &checkedConn{Conn: nc, address: nc.RemoteAddr().String(), reader: bufio.NewReaderSize(nc, bufferBytes)}
}

// Write implements net.Conn.
func (c *checkedConn) Write(p []byte) (int, error) {
	c.headDue = true
	return c.Conn.Write(p)
}

// Read implements net.Conn. With the error of a head it returns the head's first byte, if there
// is one: the library takes an error without any byte for the end of the connection.
func (c *checkedConn) Read(p []byte) (int, error) {
	if c.headDue {
		if err := awaitHead(c.reader, c.address); err != nil {
			begin, _ := c.reader.Peek(min(1, c.reader.Buffered()))
			return copy(p, begin), err
		}
		c.headDue = false
	}
	return c.reader.Read(p)
}
