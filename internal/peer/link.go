package peer

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/lycheekeel/lycheekeel/internal/peer/wire"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/panics"
)

const (
	// writeTimeout limits each write to the network.
	writeTimeout = 2 * time.Second
	// streamTimeout limits the opening and closing of a yamux stream.
	streamTimeout = 5 * time.Second
	// maxQueuedMessages and maxQueuedBytes limit the send queue of a connection.
	maxQueuedMessages = 2048
	maxQueuedBytes    = 8 << 20
	// writeBatchBytes is the approximate payload size of a batched write.
	writeBatchBytes = 64 << 10
	// maxKeptBufferBytes is the largest write buffer kept for the next write.
	maxKeptBufferBytes = 16 << 10
	// maxConcurrentCalls limits the calls that one connection serves at once.
	maxConcurrentCalls = 128
)

// Payloads of TypePing.
const (
	pingRequest byte = 1 // requests a pingReply
	pingReply   byte = 2
	pingGoAway  byte = 3 // the sender's last message on this connection
)

// outMessage is a message in a link's send queue.
type outMessage struct {
	typ     Type
	payload []byte
}

// link is one connection to a peer, from before the dial until it is closed. A
// closed link is never reused. Messages that were queued when it broke are lost,
// which is reported through OnDown.
type link struct {
	transport  *TCP
	dialedName Name // a name or ByAddress; empty if the connection was accepted
	dialed     bool
	created    time.Time

	// Set before up is closed and not changed afterwards.
	peer     Name
	instance uint64
	version  uint32
	rawConn  net.Conn
	session  *session

	up   chan struct{} // closed when messages can be sent
	done chan struct{} // closed when the link is closed

	mu          sync.Mutex
	closing     bool // accepts no further messages but a pingGoAway
	closed      bool
	queue       []outMessage
	queuedBytes int
	wake        chan struct{} // the queue may have grown

	goAwayReceived atomic.Bool
	goAwaySent     atomic.Bool
	outgoingCalls  atomic.Int64 // this daemon's calls in flight
	callSlots      chan struct{}

	// Times in ns since the transport's start; zero if unset.
	awaitingSince atomic.Int64 // first message sent since the last receipt
	pingedAt      atomic.Int64 // ping sent since the last receipt
	receivedAt    atomic.Int64
	usedAt        atomic.Int64 // last message except heartbeats
	appMessageAt  atomic.Int64 // last message except heartbeats and membership's
	closingAt     atomic.Int64
}

func newLink(t *TCP, dialedName Name, dialed bool) *link {
	l := &link{
		transport: t, dialedName: dialedName, dialed: dialed, created: t.now(),
		up: make(chan struct{}), done: make(chan struct{}),
		wake:      make(chan struct{}, 1),
		callSlots: make(chan struct{}, maxConcurrentCalls),
	}
	l.usedAt.Store(l.nanos())
	return l
}

func (l *link) nanos() int64 { return l.transport.nanos() }

func (t *TCP) nanos() int64 { return t.now().Sub(t.start).Nanoseconds() }

// markReceived is called when any bytes arrive.
func (l *link) markReceived() {
	l.receivedAt.Store(l.nanos())
	l.awaitingSince.Store(0)
	l.pingedAt.Store(0)
}

// markUsed is called for every message sent or received, except heartbeats.
func (l *link) markUsed(t Type) {
	now := l.nanos()
	l.usedAt.Store(now)
	if t < TypeMemberGossip || t > TypeMemberAck {
		l.appMessageAt.Store(now)
	}
}

// markSent records that a receipt is awaited from now on, if none is awaited
// already. An ack awaits none; otherwise the two ends would ping each other forever.
func (l *link) markSent(t Type) {
	l.markUsed(t)
	if t != TypeMemberAck {
		l.awaitingSince.CompareAndSwap(0, max(1, l.nanos()))
	}
}

// send queues a message. After errLinkClosing the caller must use another link.
func (l *link) send(m outMessage) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.closing {
		return errLinkClosing
	}
	if err := l.enqueue(m); err != nil {
		return err
	}
	l.markSent(m.typ)
	return nil
}

// enqueue adds a message to the queue. The caller holds l.mu.
func (l *link) enqueue(m outMessage) error {
	if len(l.queue) >= maxQueuedMessages || l.queuedBytes+len(m.payload) > maxQueuedBytes {
		return ErrOverloaded
	}
	l.queue = append(l.queue, m)
	l.queuedBytes += len(m.payload)
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return nil
}

// dequeue removes messages of about writeBatchBytes from the front of the queue.
func (l *link) dequeue() []outMessage {
	l.mu.Lock()
	defer l.mu.Unlock()
	n, size := 0, 0
	for n < len(l.queue) && size < writeBatchBytes {
		size += len(l.queue[n].payload)
		n++
	}
	l.queuedBytes -= size
	batch := l.queue[:n:n]
	l.queue = l.queue[n:]
	if len(l.queue) == 0 {
		l.queue = nil
	}
	return batch
}

// sendPing queues a heartbeat. It does not count as use of the connection and
// awaits no receipt.
func (l *link) sendPing(kind byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return errLinkClosing
	}
	return l.enqueue(outMessage{typ: TypePing, payload: []byte{kind}})
}

// startClosing closes the queue for all messages but a pingGoAway. It returns
// false if messages or calls are in flight, or the link is closing already.
func (l *link) startClosing() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closing || l.closed || len(l.queue) > 0 || l.outgoingCalls.Load() > 0 {
		return false
	}
	l.closing = true
	l.closingAt.Store(l.nanos())
	return true
}

// run serves the link until it is closed and returns the reason.
func (l *link) run() reason {
	defer l.session.Close()
	writeFailed := make(chan struct{})
	l.transport.group.Go(func() {
		if l.write() != nil {
			close(writeFailed)
		}
		l.session.Close()
	})
	for {
		s, err := l.session.accept()
		if err != nil {
			break
		}
		l.transport.group.Go(func() { l.serveStream(s) })
	}
	select {
	case <-writeFailed:
		return closedWrite
	default:
		return closedBroken
	}
}

// write sends the queued messages, several in one write if possible. It returns
// an error only if a write timed out.
func (l *link) write() error {
	stream, err := l.session.open()
	if err != nil {
		return nil
	}
	defer l.session.closeStream(stream)
	buf := []byte{streamMessages}
	for {
		batch := l.dequeue()
		if len(batch) == 0 {
			select {
			case <-l.wake:
				continue
			case <-l.done:
			case <-l.session.CloseChan():
			}
			return nil
		}
		for _, m := range batch {
			buf = l.encode(buf, m)
		}
		_ = stream.SetWriteDeadline(l.transport.now().Add(writeTimeout))
		if _, err := stream.Write(buf); err != nil {
			if errors.Is(err, yamux.ErrTimeout) || errors.Is(err, yamux.ErrConnectionWriteTimeout) {
				return err
			}
			return nil
		}
		buf = buf[:0]
		if cap(buf) > maxKeptBufferBytes {
			buf = nil
		}
	}
}

func (l *link) encode(buf []byte, m outMessage) []byte {
	before := len(buf)
	buf, err := appendDelimited(buf, &wire.Envelope{Version: l.version, Type: uint32(m.typ), Payload: m.payload})
	if err != nil {
		l.transport.log.WithError(err).Error("Encoding a message failed.")
		return buf[:before]
	}
	l.transport.count.countSent(m.typ, len(buf)-before)
	return buf
}

// serveStream serves a stream that the peer opened.
func (l *link) serveStream(s *yamux.Stream) {
	defer l.session.closeStream(s)
	r := bufio.NewReaderSize(s, readBufferBytes)
	kind, err := r.ReadByte()
	if err != nil {
		return
	}
	switch kind {
	case streamMessages:
		l.readMessages(r)
	case streamCall:
		l.serveCall(s, r)
	case streamOpen:
		l.serveOpen(s, r)
	}
}

// readBufferBytes is small, because every stream has a read buffer.
const readBufferBytes = 1024

// readMessages passes the peer's one-way messages to their handlers in order.
func (l *link) readMessages(r *bufio.Reader) {
	for {
		e, size, err := readEnvelope(r)
		if err != nil {
			if err != io.EOF {
				l.session.Close()
			}
			return
		}
		t := Type(e.Type)
		l.transport.count.countReceived(t, size)
		if t == TypePing {
			l.receivePing(e.Payload)
			continue
		}
		l.markUsed(t)
		h, ok := l.transport.handlers[t]
		if !ok {
			l.transport.countDrop(dropUnknownType)
			continue
		}
		if _, err := l.handle(h, t, e.Payload); err != nil {
			l.transport.log.WithError(err).WithField("from", l.peer).WithField("type", t).Warn("Handling a message failed.")
		}
	}
}

// handle runs a handler. A panic is logged and counted, and fails this message
// only. Otherwise the goroutine group would report it only when the transport closes.
func (l *link) handle(h Handler, t Type, payload []byte) (out []byte, err error) {
	recovered := panics.Try(func() { out, err = h(l.transport.ctx, l.peer, payload) })
	if recovered != nil {
		l.transport.count.panics.Add(1)
		l.transport.log.WithField("type", t).Error(recovered.String())
		return nil, errors.New("handler panicked")
	}
	return out, err
}

func (l *link) receivePing(payload []byte) {
	if len(payload) != 1 {
		return
	}
	switch payload[0] {
	case pingRequest:
		_ = l.sendPing(pingReply)
	case pingGoAway:
		l.goAwayReceived.Store(true)
		l.transport.detach(l)
	}
}

// close closes the link and returns the number of queued messages that are lost.
// Calls in flight end with ErrUnknownOutcome. Only the first call has an effect.
func (l *link) close() (first bool, lost int) {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return false, 0
	}
	l.closed = true
	lost = len(l.queue)
	l.mu.Unlock()
	close(l.done)
	if l.rawConn != nil {
		// Close the raw connection first. Closing the session or TLS would write
		// to a connection that may be silent, and wait for it.
		l.rawConn.Close()
	}
	return true, lost
}

// isUp reports whether messages can be sent.
func (l *link) isUp() bool {
	select {
	case <-l.up:
		return true
	default:
		return false
	}
}

// awaitUp waits until messages can be sent. It returns ErrNotConnected if the
// link closes or ctx ends first.
func (l *link) awaitUp(ctx context.Context) error {
	select {
	case <-l.up:
		return nil
	case <-l.done:
	case <-ctx.Done():
	}
	return ErrNotConnected
}
