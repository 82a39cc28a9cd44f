package relay

import (
	"bytes"
	"io"
	"net"
	"testing"

	"pgregory.net/rapid"
)

// Guards against: an answer that ends with its connection looks complete though the way to
// its server has broken, or its bytes are changed.
func TestRelayedBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := rapid.SliceOfN(rapid.Byte(), 0, 3*chunkBytes).Draw(t, "sent")
		var wire bytes.Buffer
		server := &piecewise{left: sent, size: rapid.IntRange(1, 2*chunkBytes).Draw(t, "piece")}
		if _, err := copyChunks(&wire, server); err != nil {
			t.Fatal(err)
		}
		whole := wire.Len()
		kept := rapid.IntRange(0, whole).Draw(t, "kept")
		size := rapid.IntRange(1, 2*chunkBytes).Draw(t, "read")
		stream := &pieceConn{piecewise: piecewise{left: wire.Bytes()[:kept], size: rapid.IntRange(1, chunkBytes).Draw(t, "arrives")}}
		got, err := readAll(newRelayedConn(stream, "peer"), size)
		if !bytes.HasPrefix(sent, got) {
			t.Fatal("the bytes differ")
		}
		if complete := kept == whole; complete != (err == io.EOF) || complete && len(got) != len(sent) {
			t.Fatalf("%d of %d bytes on the wire, %d of %d read: %v", kept, whole, len(got), len(sent), err)
		}
	})
}

func readAll(r io.Reader, size int) (all []byte, err error) {
	buf := make([]byte, size)
	for {
		n, err := r.Read(buf)
		all = append(all, buf[:n]...)
		if err != nil {
			return all, err
		}
	}
}

// piecewise reads its bytes in pieces.
type piecewise struct {
	left []byte
	size int
}

func (p *piecewise) Read(b []byte) (int, error) {
	if len(p.left) == 0 {
		return 0, io.EOF
	}
	n := copy(b[:min(len(b), p.size)], p.left)
	p.left = p.left[n:]
	return n, nil
}

// pieceConn is a connection that brings bytes in pieces.
type pieceConn struct {
	net.Conn
	piecewise
}

func (c *pieceConn) Read(b []byte) (int, error) { return c.piecewise.Read(b) }
