package peer

import (
	"bufio"
	"context"
	"io"
	"net"
	"os"
	"sync/atomic"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/panics"

	"github.com/lycheekeel/lycheekeel/internal/peer/wire"
)

// StreamHandler handles a peer's opening of a stream. It returns the answer and the
// function that uses the stream after it; nil closes the stream. The stream is closed when
// that function returns.
type StreamHandler func(ctx context.Context, from Name, payload []byte) (answer []byte, use func(net.Conn))

// StreamOpener opens streams to peers, beside the messages of a Transport.
type StreamOpener interface {
	// OpenStream opens a stream to a peer and returns it with the peer's answer. The caller
	// closes it, also if the answer is a refusal. ctx bounds the opening alone. A peer that
	// knows no streams, or none of the type, gives ErrUnknownType.
	OpenStream(ctx context.Context, to Name, t Type, payload []byte) (net.Conn, []byte, error)
	// HandleStream registers the handler of a type of streams. It must be called before the
	// transport starts.
	HandleStream(t Type, h StreamHandler)
}

var _ StreamOpener = (*TCP)(nil)

// HandleStream implements StreamOpener.
func (t *TCP) HandleStream(typ Type, h StreamHandler) { t.streamHandlers[typ] = h }

// OpenStream implements StreamOpener.
func (t *TCP) OpenStream(ctx context.Context, to Name, typ Type, payload []byte) (net.Conn, []byte, error) {
	for {
		l, err := t.linkTo(to)
		if err != nil {
			return nil, nil, err
		}
		c, answer, err := l.openStream(ctx, typ, payload)
		if err == errLinkClosing {
			t.detach(l)
			continue
		}
		return c, answer, err
	}
}

// openStream opens a stream. It counts as a call until it is closed, so that the link is
// not closed as idle meanwhile.
func (l *link) openStream(ctx context.Context, typ Type, payload []byte) (net.Conn, []byte, error) {
	if !l.startCall() {
		return nil, nil, errLinkClosing
	}
	if err := l.awaitUp(ctx); err != nil {
		l.outgoingCalls.Add(-1)
		return nil, nil, err
	}
	stream, err := l.session.open()
	if err != nil {
		l.outgoingCalls.Add(-1)
		return nil, nil, errors.WithMessage(ErrNotConnected, err.Error())
	}
	c := &streamConn{Stream: stream, link: l, reader: bufio.NewReaderSize(stream, readBufferBytes)}
	answer, err := c.open(ctx, typ, payload)
	if err != nil {
		_ = c.Close()
		return nil, nil, err
	}
	return c, answer, nil
}

// streamConn is the opener's end of a stream.
type streamConn struct {
	*yamux.Stream
	link   *link
	reader *bufio.Reader
	closed atomic.Bool
}

// open sends the opening and reads the answer.
func (c *streamConn) open(ctx context.Context, typ Type, payload []byte) ([]byte, error) {
	stop := context.AfterFunc(ctx, func() { expireStream(c.Stream) })
	c.link.markSent(typ)
	b, err := appendDelimited([]byte{streamOpen}, &wire.Envelope{Version: c.link.version, Type: uint32(typ), Payload: payload})
	if err == nil {
		_, err = c.Stream.Write(b)
	}
	if err != nil {
		stop()
		return nil, errors.WithMessage(ErrUnknownOutcome, err.Error())
	}
	c.link.transport.count.countSent(typ, len(b))
	e, size, err := readEnvelope(c.reader)
	if !stop() {
		return nil, errors.WithMessage(ErrUnknownOutcome, "not opened in time")
	}
	switch {
	case errors.Is(err, io.EOF):
		return nil, ErrUnknownType // a peer that knows no streams closes them
	case err != nil:
		return nil, errors.WithMessage(ErrUnknownOutcome, err.Error())
	}
	c.link.transport.count.countReceived(typ, size)
	return callResult(e)
}

// Read implements net.Conn.
func (c *streamConn) Read(b []byte) (int, error) {
	n, err := c.reader.Read(b)
	return n, c.wrapTimeout(err)
}

// Write implements net.Conn.
func (c *streamConn) Write(b []byte) (int, error) {
	n, err := c.Stream.Write(b)
	return n, c.wrapTimeout(err)
}

// wrapTimeout makes an exceeded deadline that of a network connection. The end of the
// session exceeds the deadlines of its streams, too.
func (c *streamConn) wrapTimeout(err error) error {
	switch {
	case err != yamux.ErrTimeout:
		return err
	case c.link.session.hasEnded():
		return ErrNotConnected
	default:
		return os.ErrDeadlineExceeded
	}
}

// Close implements net.Conn.
func (c *streamConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.link.session.closeStream(c.Stream)
		c.link.outgoingCalls.Add(-1)
	}
	return nil
}

// serveOpen serves a stream of a peer.
func (l *link) serveOpen(s *yamux.Stream, r *bufio.Reader) {
	e, size, err := readEnvelope(r)
	if err != nil {
		return
	}
	t := Type(e.Type)
	l.transport.count.countReceived(t, size)
	l.markUsed(t)
	answer := &wire.Envelope{Version: l.version, Type: e.Type}
	var use func(net.Conn)
	if h, ok := l.transport.streamHandlers[t]; ok {
		answer.Payload, use = h(l.transport.ctx, l.peer, e.Payload)
	} else {
		l.transport.countDrop(dropUnknownType)
		answer.Status = wire.Status_STATUS_UNKNOWN_TYPE
	}
	b, err := appendDelimited(nil, answer)
	if err != nil {
		l.transport.log.WithError(err).Error("Encoding a message failed.")
		return
	}
	if _, err := s.Write(b); err != nil || use == nil {
		return
	}
	l.transport.count.countSent(t, len(b))
	if recovered := panics.Try(func() { use(acceptedStream{Stream: s, reader: r}) }); recovered != nil {
		l.transport.count.panics.Add(1)
		l.transport.log.WithField("type", t).Error(recovered.String())
	}
}

// acceptedStream is the accepting end of a stream.
type acceptedStream struct {
	*yamux.Stream
	reader *bufio.Reader
}

// Read implements net.Conn.
func (s acceptedStream) Read(b []byte) (int, error) { return s.reader.Read(b) }
