package peer

import (
	"bufio"
	"context"

	"github.com/hashicorp/yamux"
	"github.com/lycheekeel/lycheekeel/internal/peer/wire"
	"github.com/pkg/errors"
)

// call performs one call on its own stream. An error before the request is
// written is ErrNotConnected; a later one is ErrUnknownOutcome.
func (l *link) call(ctx context.Context, t Type, payload []byte) ([]byte, error) {
	if !l.startCall() {
		return nil, errLinkClosing
	}
	defer l.outgoingCalls.Add(-1)
	if err := l.awaitUp(ctx); err != nil {
		return nil, err
	}
	stream, err := l.session.open()
	if err != nil {
		return nil, errors.WithMessage(ErrNotConnected, err.Error())
	}
	defer l.session.closeStream(stream)
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(l.transport.now()) })
	defer stop()
	l.markSent(t)
	e, err := l.exchange(stream, t, payload)
	if err != nil {
		return nil, errors.WithMessage(ErrUnknownOutcome, err.Error())
	}
	return callResult(e)
}

// startCall counts a call, so that the link is not closed as idle during it.
func (l *link) startCall() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.closing {
		return false
	}
	l.outgoingCalls.Add(1)
	return true
}

// exchange writes the request and reads the answer.
func (l *link) exchange(stream *yamux.Stream, t Type, payload []byte) (*wire.Envelope, error) {
	b, err := appendDelimited([]byte{streamCall}, &wire.Envelope{Version: l.version, Type: uint32(t), Payload: payload})
	if err != nil {
		return nil, err
	}
	if _, err := stream.Write(b); err != nil {
		return nil, err
	}
	l.transport.count.countSent(t, len(b))
	e, size, err := readEnvelope(bufio.NewReaderSize(stream, readBufferBytes))
	if err != nil {
		return nil, err
	}
	l.transport.count.countReceived(t, size)
	return e, nil
}

// callResult returns the result of Call for an answer.
func callResult(e *wire.Envelope) ([]byte, error) {
	switch e.Status {
	case wire.Status_STATUS_OK:
		return e.Payload, nil
	case wire.Status_STATUS_UNKNOWN_TYPE:
		return nil, ErrUnknownType
	case wire.Status_STATUS_OVERLOADED:
		return nil, ErrOverloaded
	default:
		return nil, &RemoteError{Message: e.Error}
	}
}

// serveCall reads a peer's call, runs its handler and writes the answer.
func (l *link) serveCall(s *yamux.Stream, r *bufio.Reader) {
	e, size, err := readEnvelope(r)
	if err != nil {
		return
	}
	t := Type(e.Type)
	l.transport.count.countReceived(t, size)
	l.markUsed(t)
	answer := l.handleCall(t, e.Payload)
	answer.Version = l.version
	answer.Type = e.Type
	b, err := appendDelimited(nil, answer)
	if err != nil {
		return
	}
	_ = s.SetWriteDeadline(l.transport.now().Add(streamTimeout))
	if _, err := s.Write(b); err == nil {
		l.transport.count.countSent(t, len(b))
	}
}

// handleCall runs the handler of a call. It refuses the call if
// maxConcurrentCalls of this connection are running.
func (l *link) handleCall(t Type, payload []byte) *wire.Envelope {
	h, ok := l.transport.handlers[t]
	if !ok {
		l.transport.countDrop(dropUnknownType)
		return &wire.Envelope{Status: wire.Status_STATUS_UNKNOWN_TYPE}
	}
	select {
	case l.callSlots <- struct{}{}:
		defer func() { <-l.callSlots }()
	default:
		l.transport.countDrop(dropCallsFull)
		return &wire.Envelope{Status: wire.Status_STATUS_OVERLOADED}
	}
	out, err := l.handle(h, t, payload)
	if err != nil {
		return &wire.Envelope{Status: wire.Status_STATUS_HANDLER_ERROR, Error: err.Error()}
	}
	return &wire.Envelope{Payload: out}
}
