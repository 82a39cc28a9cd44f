package peer

import (
	"context"
	"net"
	"time"

	"github.com/lycheekeel/lycheekeel/internal/metrics"
	"github.com/pkg/errors"
)

// The protocol versions that this build supports. Two daemons use the newest
// version that both support, and refuse each other if there is none.
const (
	OldestVersion uint32 = 1
	NewestVersion uint32 = 1
)

// MinKeyBytes is the shortest cluster key. An acceptor sends its proof only after
// it has checked the dialer's. But a dialer may be lured to an attacker's address,
// and its proof allows trying keys offline. 16 random bytes resist that.
const MinKeyBytes = 16

// maxNameBytes limits a daemon's name on the wire.
const maxNameBytes = 128

// DialFunc opens a connection to an address, IP:port.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Options configures a TCP transport. Zero durations and sizes take the defaults.
type Options struct {
	Name   Name
	Listen string // IP:port; port 0 selects a free port, see TCP.Addr
	// Keys are the cluster keys. The first one authenticates this daemon to
	// others; each of them is accepted from others. Key rotation is described in
	// docs/operators/membership.md.
	Keys     [][]byte
	Registry *metrics.Registry
	// Overrides are addresses to dial instead of those from membership, for
	// connections through address translation or a proxy.
	Overrides map[Name]string
	// Dial opens connections; nil: TCP.
	Dial DialFunc

	// HandshakeTimeout limits the dial and the authentication, each. The default
	// is 2 s.
	HandshakeTimeout time.Duration
	// PingDelay is how long a sent message may go without any byte from the
	// peer before the peer is pinged. The default is 300 ms.
	PingDelay time.Duration
	// PingTimeout is how long after an unanswered ping the connection is closed.
	// The default is 700 ms.
	PingTimeout time.Duration
	// KeepaliveInterval is the longest time without any byte received before a
	// connection that was used within IdleTimeout is pinged. The default is 1 s.
	KeepaliveInterval time.Duration
	// IdleTimeout is how long a connection without messages stays open. The
	// default is 30 s.
	IdleTimeout time.Duration
	// PingsPerSecond limits the heartbeats of all connections together, so that
	// their cost does not grow with the number of peers. The default is 10.
	PingsPerSecond float64

	// Protocol versions, for tests of clusters with mixed versions.
	oldest, newest uint32
}

// DefaultPingsPerSecond is the default of Options.PingsPerSecond.
const DefaultPingsPerSecond = 10

// Other defaults of Options.
const (
	defaultHandshakeTimeout  = 2 * time.Second
	defaultPingDelay         = 300 * time.Millisecond
	defaultPingTimeout       = 700 * time.Millisecond
	defaultKeepaliveInterval = time.Second
	defaultIdleTimeout       = 30 * time.Second
)

// withDefaults validates the options and returns them with defaults filled in.
func (o Options) withDefaults() (Options, error) {
	if o.Name == "" || len(o.Name) > maxNameBytes {
		return o, errors.Errorf("peer: name must have 1 to %d bytes", maxNameBytes)
	}
	if _, ok := o.Name.Address(); ok {
		return o, errors.Errorf("peer: name must not begin with %q", addressPrefix)
	}
	if len(o.Keys) == 0 {
		return o, errors.New("peer: no cluster key")
	}
	for i, k := range o.Keys {
		if len(k) < MinKeyBytes {
			return o, errors.Errorf("peer: cluster key %d is shorter than %d bytes", i, MinKeyBytes)
		}
	}
	if o.Registry == nil {
		o.Registry = metrics.New()
	}
	if o.Dial == nil {
		o.Dial = dialTCP
	}
	setDefault(&o.HandshakeTimeout, defaultHandshakeTimeout)
	setDefault(&o.PingDelay, defaultPingDelay)
	setDefault(&o.PingTimeout, defaultPingTimeout)
	setDefault(&o.KeepaliveInterval, defaultKeepaliveInterval)
	setDefault(&o.IdleTimeout, defaultIdleTimeout)
	setDefault(&o.PingsPerSecond, DefaultPingsPerSecond)
	setDefault(&o.oldest, OldestVersion)
	setDefault(&o.newest, NewestVersion)
	return o, nil
}

func setDefault[T comparable](p *T, value T) {
	var zero T
	if *p == zero {
		*p = value
	}
}
