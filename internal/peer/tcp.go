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

// maxHandshakes bounds the accepted connections that are not authenticated
// yet, and with them what a stranger can make this daemon spend.
const maxHandshakes = 64

// The pause before a peer is dialed again after a failure.
const (
	backoffFirst = 100 * time.Millisecond
	backoffLast  = 2 * time.Second
	// shortLife is how long a connection must last for its end not to count as
	// a failed dial.
	shortLife = 500 * time.Millisecond
)

// Failed handshakes are all counted, but logged only so often.
const (
	authLogFirst    = 10
	authLogInterval = time.Second
)

// errLinkClosing: the link takes no more messages; take another one.
var errLinkClosing = errors.New("connection closing")

// peerState is what the transport knows of one name.
type peerState struct {
	address string
	// current carries this daemon's messages to the peer. Others are further
	// connections, e.g. when both sides dialed at once; they are only read.
	current *link
	others  []*link
	// replace is set when a connection was given up, until a dial succeeded.
	replace bool
	backoff *backoff.ExponentialBackOff
	notYet  time.Time // no dial before
}

// TCP is a Transport over TCP, TLS 1.3 and yamux. Register handlers before
// Start. All methods are safe for concurrent use.
type TCP struct {
	opts     Options
	auth     authenticator
	tls      *tls.Config
	log      *logrus.Entry
	count    *counters
	start    time.Time
	pingRate *rate.Limiter
	authLog  rate.Sometimes // strangers must not fill the log
	handlers map[Type]Handler
	listener net.Listener
	shaking  chan struct{}

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

// NewTCP checks the options and listens; Start begins to accept and to send.
func NewTCP(opts Options) (*TCP, error) {
	opts, err := opts.withDefaults()
	if err != nil {
		return nil, err
	}
	conf, err := newTLSConfig()
	if err != nil {
		return nil, err
	}
	var instance [8]byte
	if _, err := rand.Read(instance[:]); err != nil {
		return nil, errors.Wrap(err, "peer: instance")
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
		tls:      conf,
		log:      logs.For("peer"),
		count:    newCounters(opts.Registry),
		start:    time.Now(),
		pingRate: rate.NewLimiter(rate.Limit(opts.PingsPerSecond), pingBurst),
		authLog:  rate.Sometimes{First: authLogFirst, Interval: authLogInterval},
		handlers: map[Type]Handler{},
		listener: ln,
		shaking:  make(chan struct{}, maxHandshakes),
		peers:    map[Name]*peerState{},
		links:    map[*link]struct{}{},
	}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	opts.Registry.Gauge(groupPeer, "connections", func() any { return t.Connections() })
	return t, nil
}

// now is the clock of all deadlines here; Go's monotonic reading counts.
func (t *TCP) now() time.Time { return time.Now() }

// Start begins to accept connections and to watch them.
func (t *TCP) Start() {
	t.group.Go(t.acceptLoop)
	t.group.Go(t.watchLoop)
}

// Close ends all connections and waits for their goroutines; handlers that
// run see their context end.
func (t *TCP) Close() {
	t.mu.Lock()
	t.closed = true
	links := t.allLinks()
	t.mu.Unlock()
	t.cancel()
	t.listener.Close()
	for _, l := range links {
		t.down(l, closedShutdown)
	}
	t.group.Wait()
}

// Addr is the address that the transport listens at.
func (t *TCP) Addr() net.Addr { return t.listener.Addr() }

// Self implements Transport.
func (t *TCP) Self() Name { return t.opts.Name }

// Handle implements Transport.
func (t *TCP) Handle(typ Type, h Handler) { t.handlers[typ] = h }

// OnDown implements Transport. The functions run on the goroutine that found
// the break and may Send; they must not block.
func (t *TCP) OnDown(f func(of Name)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.onDown = append(t.onDown, f)
}

// SetAddress implements Transport.
func (t *TCP) SetAddress(of Name, address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peer(of)
	if p.address != address {
		p.address = address
		p.notYet = time.Time{}
	}
}

// Version returns the protocol version agreed on with a peer; false while no
// connection to it is up.
func (t *TCP) Version(of Name) (uint32, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.peers[of]
	if !ok || p.current == nil || !p.current.isUp() {
		return 0, false
	}
	return p.current.version, true
}

// Send implements Transport.
func (t *TCP) Send(to Name, typ Type, payload []byte) error {
	if len(payload) > MaxPayloadBytes {
		return errors.Errorf("peer: payload of %d bytes", len(payload))
	}
	for {
		l, err := t.linkTo(to)
		if err != nil {
			t.drop(dropNotConnected)
			return err
		}
		err = l.send(outMessage{t: typ, payload: payload})
		if err == errLinkClosing {
			t.detach(l)
			continue
		}
		if err != nil {
			t.drop(dropQueueFull)
		}
		return err
	}
}

// Call implements Transport.
func (t *TCP) Call(ctx context.Context, to Name, typ Type, payload []byte) ([]byte, error) {
	if len(payload) > MaxPayloadBytes {
		return nil, errors.Errorf("peer: payload of %d bytes", len(payload))
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

// linkTo returns the link that carries messages to a peer, dialing if needed.
func (t *TCP) linkTo(to Name) (*link, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return nil, ErrNotConnected
	}
	p := t.peer(to)
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
	if address == "" || t.now().Before(p.notYet) {
		return nil, ErrNotConnected
	}
	l := newLink(t, to, true)
	p.current = l
	t.links[l] = struct{}{}
	replaces := p.replace
	t.count.dials.Add(1)
	t.group.Go(func() { t.dial(l, address, replaces) })
	return l, nil
}

// peer returns a name's state; it needs t.mu.
func (t *TCP) peer(name Name) *peerState {
	p, ok := t.peers[name]
	if !ok {
		b := backoff.NewExponentialBackOff()
		b.InitialInterval, b.MaxInterval = backoffFirst, backoffLast
		p = &peerState{backoff: b}
		t.peers[name] = p
	}
	return p
}

// allLinks needs t.mu.
func (t *TCP) allLinks() []*link {
	ls := make([]*link, 0, len(t.links))
	for l := range t.links {
		ls = append(ls, l)
	}
	return ls
}

// Connections counts the open connections, those being dialed included.
func (t *TCP) Connections() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.links)
}

func (t *TCP) drop(why reason) { t.count.drops[why].Add(1) }
