package relay

import (
	"context"
	"expvar"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/lycheekeel/lycheekeel/internal/httpconn"
	"github.com/lycheekeel/lycheekeel/internal/logs"
	"github.com/lycheekeel/lycheekeel/internal/metrics"
	"github.com/lycheekeel/lycheekeel/internal/peer"
	"github.com/lycheekeel/lycheekeel/member"
)

// relayDelay is how long a direct connection may take to open before a peer is asked. A
// sound server in another zone accepts within a few milliseconds.
const relayDelay = 100 * time.Millisecond

// Config configures a Relay.
type Config struct {
	// Direct opens connections without a peer; nil: TCP.
	Direct httpconn.DialFunc
	// Servers returns the addresses of all registered servers. The map is not changed.
	Servers func() map[string]string
	// MaxRelayed bounds the connections that are relayed for peers at the same time.
	MaxRelayed int
	Metrics    *metrics.Registry
}

// Relay opens connections to servers, through a peer if this daemon can't reach one, and
// relays those of its peers. It is safe for concurrent use.
type Relay struct {
	cfg   Config
	log   *logrus.Entry
	count counters
	paths *paths
	peers atomic.Pointer[peers] // nil until Join
	// logLimiter limits the rate of lines about single connections.
	logLimiter *logs.Limiter

	draining atomic.Bool
	relayed  atomic.Int64 // connections of peers that are open
	idle     sync.Cond    // signaled when a connection of a peer has ended
	idleMu   sync.Mutex
}

// counters count connections and what peers answer.
type counters struct {
	throughPeer, direct, relayed *expvar.Int
	answers                      map[result]*expvar.Int
}

// maxLinesPerSecond limits the log lines about single relayed connections.
const maxLinesPerSecond = 50

// New returns a Relay that opens direct connections until Join.
func New(cfg Config) *Relay {
	if cfg.Direct == nil {
		cfg.Direct = httpconn.DialTCP
	}
	r := &Relay{cfg: cfg, log: logs.For("relay"), paths: newPaths(), logLimiter: logs.NewLimiter(maxLinesPerSecond)}
	r.idle.L = &r.idleMu
	r.count = counters{
		throughPeer: cfg.Metrics.Counter("relay", "through_peer"), direct: cfg.Metrics.Counter("relay", "direct_again"),
		relayed: cfg.Metrics.Counter("relay", "for_peers"), answers: map[result]*expvar.Int{},
	}
	for _, x := range results {
		r.count.answers[x] = cfg.Metrics.Counter("relay_answers", x.String())
	}
	cfg.Metrics.Gauge("relay", "paths_down", func() any { return r.paths.count() })
	cfg.Metrics.Gauge("relay", "open_for_peers", func() any { return r.relayed.Load() })
	return r
}

// Join lets the relay ask the members of a view, and serve them. It must be called before
// the transport starts.
func (r *Relay) Join(t peer.StreamOpener, view *member.CurrentView) {
	r.peers.Store(newPeers(t, view))
	t.HandleStream(peer.TypeRelay, r.handleOpen)
}

// PathDown reports whether this daemon can't reach a server that a peer reaches.
func (r *Relay) PathDown(address string) bool { return r.paths.isDown(address, time.Now()) }

// Dial opens a connection to a server, directly or through a peer. The error is
// httpconn.ErrUnreachableByPeer if a peer that reaches other servers can't reach it either.
// It is ECONNREFUSED only if the server's process is known to be gone, or no peer can be
// asked. Dial is an httpconn.DialFunc.
func (r *Relay) Dial(ctx context.Context, address string) (net.Conn, error) {
	switch {
	case r.peers.Load() == nil:
		return r.cfg.Direct(ctx, address)
	case r.paths.isDown(address, time.Now()):
		return r.dialDown(ctx, address)
	default:
		return r.dialUp(ctx, address)
	}
}

// dialUp opens a direct connection, and asks a peer if that fails or takes long.
func (r *Relay) dialUp(ctx context.Context, address string) (net.Conn, error) {
	directCtx, cancelDirect := context.WithCancel(ctx)
	defer cancelDirect()
	relayCtx, cancelRelay := context.WithCancel(ctx)
	defer cancelRelay()
	a := &relayAttempt{done: make(chan struct{})}
	late := time.AfterFunc(relayDelay, func() {
		r.try(relayCtx, address, a)
		if a.conn != nil {
			cancelDirect()
		}
	})
	conn, err := r.cfg.Direct(directCtx, address)
	if err == nil {
		if !late.Stop() {
			cancelRelay()
			go a.discard()
		}
		r.paths.connected(address, time.Now())
		return conn, nil
	}
	if late.Stop() {
		r.try(relayCtx, address, a)
	} else {
		<-a.done
	}
	return r.finish(address, a, err)
}

// dialDown asks a peer, and opens a direct connection if that fails. Now and then it looks
// whether direct connections work again.
func (r *Relay) dialDown(ctx context.Context, address string) (net.Conn, error) {
	if r.paths.takeProbe(address, time.Now()) {
		go r.probe(address)
	}
	a := &relayAttempt{done: make(chan struct{})}
	r.try(ctx, address, a)
	if a.conn != nil {
		return r.finish(address, a, nil)
	}
	conn, err := r.cfg.Direct(ctx, address)
	if err == nil {
		r.reachedAgain(address)
		return conn, nil
	}
	return r.finish(address, a, err)
}

// probe looks whether direct connections to a server work.
func (r *Relay) probe(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), httpconn.DefaultDialTimeout)
	defer cancel()
	conn, err := r.cfg.Direct(ctx, address)
	if err != nil {
		return
	}
	_ = conn.Close()
	r.reachedAgain(address)
}

func (r *Relay) reachedAgain(address string) {
	if r.paths.connected(address, time.Now()) {
		r.count.direct.Add(1)
		r.log.WithField("address", address).Info("Server reached directly again.")
	}
}

// finish returns the connection through a peer, or the error of a server that neither this
// daemon nor a peer has reached.
func (r *Relay) finish(address string, a *relayAttempt, direct error) (net.Conn, error) {
	if a.conn != nil {
		if r.paths.failed(address, a.conn.peer, time.Now()) {
			r.log.WithFields(logrus.Fields{"address": address, "peer": a.conn.peer}).WithError(direct).Warn("Server reached through a peer.")
		}
		r.count.throughPeer.Add(1)
		return a.conn, nil
	}
	switch a.verdict {
	case verdictUnreachable:
		return nil, unreachableError{direct}
	case verdictCutOff:
		r.paths.failed(address, "", time.Now())
		// It does not wrap ECONNREFUSED, which would tell that the server's process is gone.
		return nil, errors.Errorf("%v; no peer reaches servers", direct)
	default:
		return nil, direct
	}
}

// unreachableError is the error of a server that a peer can't reach either.
type unreachableError struct{ error }

// Is implements errors.Is.
func (e unreachableError) Is(target error) bool { return target == httpconn.ErrUnreachableByPeer }

// Unwrap returns the error of the direct connection.
func (e unreachableError) Unwrap() error { return e.error }

// relayAttempt is an attempt to reach a server through peers.
type relayAttempt struct {
	done chan struct{} // closed at the end
	// These are set before done is closed.
	conn    *relayedConn // nil: not connected
	verdict verdict
}

// discard closes the connection once the attempt has ended.
func (a *relayAttempt) discard() {
	<-a.done
	if a.conn != nil {
		_ = a.conn.Close()
	}
}

// try asks peers for a connection.
func (r *Relay) try(ctx context.Context, address string, a *relayAttempt) {
	defer close(a.done)
	p := r.peers.Load()
	a.conn, a.verdict = p.connect(ctx, address, r.paths.lastPeer(address, time.Now()), r.countAnswer)
}

func (r *Relay) countAnswer(x result) { r.count.answers[x].Add(1) }
