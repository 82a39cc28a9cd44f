package relay

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// chunkBytes bounds a chunk, and with it the buffers of a relayed connection.
const chunkBytes = 8 << 10

var (
	errChunkTooLong = errors.New("relay: chunk is too long")
	errBroken       = errors.New("relay: connection to the server broke")
)

// relayedConn is a connection to a server through a peer. The end of what the server sends
// is io.EOF only if the server has ended it.
//
// Without the mark of that end, an answer without a length, which ends with its connection,
// would look complete when the peer or the link to it fails.
type relayedConn struct {
	net.Conn
	peer   string
	reader *bufio.Reader
	left   uint64 // of the chunk that is being read
	ended  bool
}

func newRelayedConn(stream net.Conn, peer string) *relayedConn {
	return &relayedConn{Conn: stream, peer: peer, reader: bufio.NewReaderSize(stream, 1<<10)}
}

// Peer returns the name of the peer. It implements httpconn.RelayedConn.
func (c *relayedConn) Peer() string { return c.peer }

// Read implements net.Conn.
func (c *relayedConn) Read(b []byte) (int, error) {
	if c.ended {
		return 0, io.EOF
	}
	if len(b) == 0 {
		return 0, nil
	}
	if c.left == 0 {
		if err := c.nextChunk(); err != nil {
			return 0, err
		}
	}
	n, err := c.reader.Read(b[:min(uint64(len(b)), c.left)])
	c.left -= uint64(n)
	return n, brokenIfEOF(err)
}

// nextChunk reads the length of a chunk. A length that is cut by a timeout is read on by the
// next call.
func (c *relayedConn) nextChunk() error {
	for n := 1; ; n++ {
		head, err := c.reader.Peek(n)
		if err != nil {
			return brokenIfEOF(err)
		}
		length, size := binary.Uvarint(head)
		switch {
		case size < 0 || length > chunkBytes:
			return errChunkTooLong
		case size == 0:
			continue
		}
		if _, err := c.reader.Discard(size); err != nil {
			return err
		}
		if c.left = length; length == 0 {
			c.ended = true
			return io.EOF
		}
		return nil
	}
}

func brokenIfEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return errBroken
	}
	return err
}

var chunkPool = sync.Pool{New: func() any { return new([binary.MaxVarintLen16 + chunkBytes]byte) }}

// copyChunks copies what a server sends to a stream in chunks. It writes the end if the
// server has ended the connection.
func copyChunks(stream io.Writer, server io.Reader) (written int64, err error) {
	buf := chunkPool.Get().(*[binary.MaxVarintLen16 + chunkBytes]byte)
	defer chunkPool.Put(buf)
	for {
		n, err := server.Read(buf[binary.MaxVarintLen16:])
		if n > 0 {
			if err := writeChunk(stream, buf, n); err != nil {
				return written, err
			}
			written += int64(n)
		}
		switch {
		case errors.Is(err, io.EOF):
			_, err = stream.Write([]byte{0})
			return written, err
		case err != nil:
			return written, err
		}
	}
}

// writeChunk writes n bytes of buf, which begin after the room for their length, in one write.
func writeChunk(w io.Writer, buf *[binary.MaxVarintLen16 + chunkBytes]byte, n int) error {
	var head [binary.MaxVarintLen16]byte
	size := binary.PutUvarint(head[:], uint64(n))
	start := binary.MaxVarintLen16 - size
	copy(buf[start:], head[:size])
	_, err := w.Write(buf[start : binary.MaxVarintLen16+n])
	return err
}
