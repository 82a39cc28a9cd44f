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
	// writeTimeout bounds each write to the network.
	writeTimeout = 2 * time.Second
	// streamTimeout bounds a yamux stream's opening and closing.
	streamTimeout = 5 * time.Second
	// maxQueuedMessages and maxQueuedBytes bound what waits for one peer.
	maxQueuedMessages = 2048
	maxQueuedBytes    = 8 << 20
	// writeBatchBytes is how much of the queue leaves in one write.
	writeBatchBytes = 64 << 10
	// maxKeptBufferBytes is the largest write buffer that a connection keeps.
	maxKeptBufferBytes = 16 << 10
	// maxConcurrentCalls bounds the calls of one connection that run at once.
	maxConcurrentCalls = 128
)

// The payloads of TypePing.
const (
	pingRequest byte = 1 // answer with pingReply
	pingReply   byte = 2
	pingGoAway  byte = 3 // no further message will be sent on this connection
)

// outMessage waits in a link's queue.
type outMessage struct {
	typ     Type
	payload []byte
}

// link is one connection to a peer, from before it is dialed until it is
// closed. A link is never revived: what was in its queue when it broke is lost
// and told through OnDown.
type link struct {
	transport  *TCP
	dialedName Name // what was dialed: a name or ByAddress; empty when accepted
	dialed     bool
	created    time.Time

	// Set once, before up is closed.
	peer     Name
	instance uint64
	version  uint32
	rawConn  net.Conn
	session  *session

	up   chan struct{} // closed when messages can flow
	done chan struct{} // closed when the link is closed

	mu          sync.Mutex
	closing     bool // no further Send; a bye ends the queue
	closed      bool
	queue       []outMessage
	queuedBytes int
	wake        chan struct{} // the queue may have grown

	goAwayReceived atomic.Bool
	goAwaySent     atomic.Bool
	outgoingCalls  atomic.Int64 // own calls under way
	callSlots      chan struct{}

	// Times in nanoseconds of the transport's clock; zero: none.
	awaitingSince atomic.Int64 // first message since anything was received
	pingedAt      atomic.Int64 // ping since anything was received
	receivedAt    atomic.Int64
	usedAt        atomic.Int64 // last message other than heartbeats
	appMessageAt  atomic.Int64 // last message that keeps the heartbeats going
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

// markReceived is called for every arrival, of whatever kind.
func (l *link) markReceived() {
	l.receivedAt.Store(l.nanos())
	l.awaitingSince.Store(0)
	l.pingedAt.Store(0)
}

// markUsed is called for every message sent or received but heartbeats.
func (l *link) markUsed(t Type) {
	now := l.nanos()
	l.usedAt.Store(now)
	if t < TypeMemberGossip || t > TypeMemberAck {
		l.appMessageAt.Store(now)
	}
}

// markSent starts the wait for a sign of life, unless one is awaited already.
// An ack asks for none, or the two ends would ping each other for ever.
func (l *link) markSent(t Type) {
	l.markUsed(t)
	if t != TypeMemberAck {
		l.awaitingSince.CompareAndSwap(0, max(1, l.nanos()))
	}
}

// send queues a message. errLinkClosing: take another link.
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

// enqueue needs l.mu.
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

// dequeue takes messages of about writeBatchBytes from the queue's front.
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

// sendPing queues a heartbeat, which counts neither as use nor as a message
// that awaits a sign of life.
func (l *link) sendPing(kind byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return errLinkClosing
	}
	return l.enqueue(outMessage{typ: TypePing, payload: []byte{kind}})
}

// startClosing lets nothing more into the queue but a bye. False if messages
// or calls are under way or it is closing already.
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

// run serves the link until it is closed; the reason is why.
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

// write sends the queue, several messages in one write where they are there.
// It returns an error when the peer took too long to take them.
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
		l.transport.log.WithError(err).Error("message not encoded")
		return buf[:before]
	}
	l.transport.count.countSent(m.typ, len(buf)-before)
	return buf
}

// serveStream reads what the peer opened a stream for.
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
	}
}

// readBufferBytes is small because every connection has such a buffer.
const readBufferBytes = 1024

// readMessages hands the peer's one-way messages to their handlers in order.
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
			l.transport.log.WithError(err).WithField("from", l.peer).WithField("type", t).Warn("message not handled")
		}
	}
}

// handle runs a handler. Its panic is logged and counted and ends the message
// alone: the goroutine group would keep it silent until the transport closes.
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

// close ends the link; only the first call has an effect. Calls under way end
// with ErrUnknownOutcome. It returns how many queued messages were lost.
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
		// The raw connection goes first: closing the session or TLS above it
		// would write, and wait for, a connection that may be silent.
		l.rawConn.Close()
	}
	return true, lost
}

// isUp tells whether messages can flow.
func (l *link) isUp() bool {
	select {
	case <-l.up:
		return true
	default:
		return false
	}
}

// awaitUp waits until messages can flow.
func (l *link) awaitUp(ctx context.Context) error {
	select {
	case <-l.up:
		return nil
	case <-l.done:
	case <-ctx.Done():
	}
	return ErrNotConnected
}
