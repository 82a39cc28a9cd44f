package peer

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"

	"github.com/hashicorp/yamux"
	"github.com/lycheekeel/lycheekeel/internal/peer/wire"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

// MaxPayloadBytes is the largest payload of a message.
const MaxPayloadBytes = 4 << 20

// maxEnvelopeBytes allows for the other fields of the envelope.
const maxEnvelopeBytes = MaxPayloadBytes + 4096

// The first byte of a yamux stream is the kind of its content.
const (
	streamMessages byte = 1 // one-way messages in order, for the life of the connection
	streamCall     byte = 2 // one call and its answer
	streamOpen     byte = 3 // a message, its answer, and then bytes in both directions
)

// appendDelimited appends a message with its size as prefix to one buffer, so
// that both are sent in one write.
func appendDelimited(b []byte, m proto.Message) ([]byte, error) {
	opts := proto.MarshalOptions{}
	b = protowire.AppendVarint(b, uint64(opts.Size(m)))
	b, err := opts.MarshalAppend(b, m)
	return b, errors.Wrap(err, "peer: encode")
}

// readEnvelope reads one envelope and returns it with its size in bytes.
func readEnvelope(r *bufio.Reader) (*wire.Envelope, int, error) {
	var e wire.Envelope
	opts := protodelim.UnmarshalOptions{MaxSize: maxEnvelopeBytes}
	if err := opts.UnmarshalFrom(r, &e); err != nil {
		return nil, 0, err
	}
	return &e, proto.Size(&e), nil
}

// The parts of yamux's frame header that frameWriter needs.
const (
	yamuxHeaderBytes  = 12
	yamuxTypeOffset   = 1
	yamuxLengthOffset = 8
	yamuxTypeData     = 0
)

// frameWriter writes the header and the body of a yamux data frame together.
// yamux writes them separately, which would cost two TLS records, two system
// calls and two packets for each small message.
type frameWriter struct {
	net.Conn
	pendingHeader []byte
	// onClose is called before the connection is closed.
	onClose func()
}

// Close implements net.Conn.
func (j *frameWriter) Close() error {
	j.onClose()
	return j.Conn.Close()
}

// Write implements net.Conn. It needs no lock, because yamux writes from one
// goroutine.
func (j *frameWriter) Write(p []byte) (int, error) {
	if len(j.pendingHeader) == 0 && isDataHeader(p) {
		j.pendingHeader = append(j.pendingHeader, p...)
		return len(p), nil
	}
	if len(j.pendingHeader) == 0 {
		return j.Conn.Write(p)
	}
	joined := append(j.pendingHeader, p...)
	j.pendingHeader = joined[:0]
	n, err := j.Conn.Write(joined)
	return max(0, n-yamuxHeaderBytes), err
}

// isDataHeader reports whether p is the header of a frame with a body.
func isDataHeader(p []byte) bool {
	return len(p) == yamuxHeaderBytes && p[yamuxTypeOffset] == yamuxTypeData &&
		binary.BigEndian.Uint32(p[yamuxLengthOffset:]) > 0
}

// yamuxConfig disables yamux's keepalive. The heartbeats in heartbeat.go detect
// silence sooner and cost nothing on unused connections.
func yamuxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.EnableKeepAlive = false
	c.ConnectionWriteTimeout = writeTimeout
	c.StreamOpenTimeout = streamTimeout
	c.StreamCloseTimeout = streamTimeout
	c.LogOutput = io.Discard
	return c
}
