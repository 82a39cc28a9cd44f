package peer

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"net"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/lycheekeel/lycheekeel/internal/logs"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"golang.org/x/time/rate"
)

// maxHandshakes limits the accepted connections that are not authenticated yet,
// and with them the resources that an unauthenticated peer can use.
const maxHandshakes = 64

// Backoff between failed dials of a peer.
const (
	minRedialBackoff = 100 * time.Millisecond
	maxRedialBackoff = 2 * time.Second
	// minStableDuration is the lifetime below which a broken connection counts
	// as a failed dial.
	minStableDuration = 500 * time.Millisecond
)

// Limits of the log of failed handshakes. All of them are counted.
const (
	authLogBurst    = 10
	authLogInterval = time.Second
)

// errLinkClosing means that the link accepts no more messages and the caller must
// use another link.
var errLinkClosing = errors.New("connection closing")

// peerState is the transport's state of one peer name.
type peerState struct {
	address string
	// current carries this daemon's messages to the peer. others are further
	// connections, e.g. when both sides dialed at once; they are only read from.
	current *link
	others  []*link
	// replaceNext is true from the loss of a connection until a dial succeeds.
	replaceNext bool
	backoff     *backoff.ExponentialBackOff
	dialAfter   time.Time // earliest time of the next dial
}

// TCP is a Transport over TCP, TLS 1.3 and yamux. Handlers must be registered
// before Start. All methods are safe for concurrent use.
type TCP struct {
	opts           Options
	auth           authenticator
	tls            *tls.Config
	log            *logrus.Entry
	count          *counters
	start          time.Time
	pingLimiter    *rate.Limiter
	authLogLimiter rate.Sometimes // unauthenticated peers must not fill the log
	handlers       map[Type]Handler
	streamHandlers map[Type]StreamHandler
	listener       net.Listener
	handshakes     handshakes

	ctx    context.Context
	cancel context.CancelFunc
	group  conc.WaitGroup

	mu     sync.Mutex
	peers  map[Name]*peerState
	links  map[*link]struct{}
	onDown []func(Name)
	closed bool
}

var _ Transport = (*TCP)(nil)

// NewTCP validates the options and listens. Start begins to accept connections.
func NewTCP(opts Options) (*TCP, error) {
	opts, err := opts.withDefaults()
	if err != nil {
		return nil, err
	}
	tlsConfig, err := newTLSConfig()
	if err != nil {
		return nil, err
	}
	var instance [8]byte
	if _, err := rand.Read(instance[:]); err != nil {
		return nil, errors.Wrap(err, "peer: generate instance ID")
	}
	ln, err := net.Listen("tcp", opts.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "peer: listen")
	}
	t := &TCP{
		opts: opts,
		auth: authenticator{
			name: opts.Name, keys: opts.Keys, oldest: opts.oldest, newest: opts.newest,
			instance: binary.BigEndian.Uint64(instance[:]),
		},
		tls:            tlsConfig,
		log:            logs.For("peer"),
		count:          newCounters(opts.Registry),
		start:          time.Now(),
		pingLimiter:    rate.NewLimiter(rate.Limit(opts.PingsPerSecond), pingBurst),
		authLogLimiter: rate.Sometimes{First: authLogBurst, Interval: authLogInterval},
		handlers:       map[Type]Handler{},
		streamHandlers: map[Type]StreamHandler{},
		listener:       ln,
		peers:          map[Name]*peerState{},
		links:          map[*link]struct{}{},
	}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	opts.Registry.Gauge(groupPeer, "connections", func() any { return t.Connections() })
	return t, nil
}

// now returns the time for all deadlines, with Go's monotonic reading.
func (t *TCP) now() time.Time { return time.Now() }

// Start begins to accept connections and to send heartbeats.
func (t *TCP) Start() {
	t.group.Go(t.acceptLoop)
	t.group.Go(t.heartbeatLoop)
}

// Close closes all connections and waits for their goroutines. The context of
// running handlers ends.
func (t *TCP) Close() {
	t.mu.Lock()
	t.closed = true
	links := t.allLinks()
	t.mu.Unlock()
	t.cancel()
	t.listener.Close()
	for _, l := range links {
		t.closeLink(l, closedShutdown)
	}
	t.group.Wait()
}

// Addr returns the address that the transport listens on.
func (t *TCP) Addr() net.Addr { return t.listener.Addr() }

// Self implements Transport.
func (t *TCP) Self() Name { return t.opts.Name }

// Handle implements Transport.
func (t *TCP) Handle(typ Type, h Handler) { t.handlers[typ] = h }

// OnDown implements Transport. The functions run on the goroutine that detected
// the break. They may call Send but must not block.
func (t *TCP) OnDown(f func(name Name)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.onDown = append(t.onDown, f)
}

// SetAddress implements Transport.
func (t *TCP) SetAddress(name Name, address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.stateOf(name)
	if p.address != address {
		p.address = address
		p.dialAfter = time.Time{}
	}
}

// Version returns the protocol version agreed with a peer, or false if no
// connection to it is up.
func (t *TCP) Version(name Name) (uint32, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.peers[name]
	if !ok || p.current == nil || !p.current.isUp() {
		return 0, false
	}
	return p.current.version, true
}

// Send implements Transport.
func (t *TCP) Send(to Name, typ Type, payload []byte) error {
	if len(payload) > MaxPayloadBytes {
		return errors.Errorf("peer: payload of %d bytes is too large", len(payload))
	}
	for {
		l, err := t.linkTo(to)
		if err != nil {
			t.countDrop(dropNotConnected)
			return err
		}
		err = l.send(outMessage{typ: typ, payload: payload})
		if err == errLinkClosing {
			t.detach(l)
			continue
		}
		if err != nil {
			t.countDrop(dropQueueFull)
		}
		return err
	}
}

// Call implements Transport.
func (t *TCP) Call(ctx context.Context, to Name, typ Type, payload []byte) ([]byte, error) {
	if len(payload) > MaxPayloadBytes {
		return nil, errors.Errorf("peer: payload of %d bytes is too large", len(payload))
	}
	for {
		l, err := t.linkTo(to)
		if err != nil {
			return nil, err
		}
		out, err := l.call(ctx, typ, payload)
		if err == errLinkClosing {
			t.detach(l)
			continue
		}
		return out, err
	}
}

// linkTo returns the link that carries messages to a peer, and dials if there is none.
func (t *TCP) linkTo(to Name) (*link, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return nil, ErrNotConnected
	}
	p := t.stateOf(to)
	if p.current != nil {
		return p.current, nil
	}
	address, byAddress := to.Address()
	if !byAddress {
		address = p.address
		if o, ok := t.opts.Overrides[to]; ok {
			address = o
		}
	}
	if address == "" || t.now().Before(p.dialAfter) {
		return nil, ErrNotConnected
	}
	l := newLink(t, to, true)
	p.current = l
	t.links[l] = struct{}{}
	replaces := p.replaceNext
	t.count.dials.Add(1)
	t.group.Go(func() { t.dial(l, address, replaces) })
	return l, nil
}

// stateOf returns the state of a name and creates it if needed. The caller holds t.mu.
func (t *TCP) stateOf(name Name) *peerState {
	p, ok := t.peers[name]
	if !ok {
		b := backoff.NewExponentialBackOff()
		b.InitialInterval, b.MaxInterval = minRedialBackoff, maxRedialBackoff
		p = &peerState{backoff: b}
		t.peers[name] = p
	}
	return p
}

// allLinks returns all links. The caller holds t.mu.
func (t *TCP) allLinks() []*link {
	links := make([]*link, 0, len(t.links))
	for l := range t.links {
		links = append(links, l)
	}
	return links
}

// Connections returns the number of connections, including those being dialed.
func (t *TCP) Connections() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.links)
}

func (t *TCP) countDrop(why reason) { t.count.drops[why].Add(1) }
