package peer

import (
	"time"

	"github.com/lycheekeel/lycheekeel/internal/metrics"
	"github.com/pkg/errors"
)

// The protocol versions that this build speaks. Two daemons use the newest
// that both know; a daemon whose oldest is newer than that is refused.
const (
	OldestVersion uint32 = 1
	NewestVersion uint32 = 1
)

// MinKeyBytes is the shortest cluster key: an acceptor sees the dialer's proof
// only after its own was checked, but a dialer can be lured to a stranger's
// address, who may then try keys at leisure; 16 random bytes withstand that.
const MinKeyBytes = 16

// maxNameBytes bounds a daemon's name on the wire.
const maxNameBytes = 128

// Options are a TCP transport's settings; zero durations and sizes take the
// defaults.
type Options struct {
	Name   Name
	Listen string // IP:port; port 0 picks one, see TCP.Addr
	// Keys are the cluster keys: the first proves this daemon to others, any
	// of them is accepted from others. Rotation is described in
	// docs/operators/membership.md.
	Keys     [][]byte
	Registry *metrics.Registry
	// Overrides are addresses to dial in place of those that membership tells,
	// for links that pass an address translation or a proxy.
	Overrides map[Name]string

	// HandshakeTimeout bounds dialing and authentication, each. Default 2 s.
	HandshakeTimeout time.Duration
	// PingDelay is how long a message may go without any byte from the peer
	// before it is asked for a sign of life. Default 300 ms.
	PingDelay time.Duration
	// PingTimeout is how long after such a ping the connection is given up.
	// Default 700 ms.
	PingTimeout time.Duration
	// KeepaliveInterval is the longest quiet time on a connection that was used
	// within IdleTimeout before it is pinged. Default 1 s.
	KeepaliveInterval time.Duration
	// IdleTimeout closes a connection without messages. Default 30 s.
	IdleTimeout time.Duration
	// PingsPerSecond bounds the heartbeats of all connections together, so
	// that their cost stays constant however many peers there are. Default 10.
	PingsPerSecond float64

	// oldest and newest version, for tests of mixed clusters.
	oldest, newest uint32
}

// DefaultPingsPerSecond is the default of Options.PingsPerSecond.
const DefaultPingsPerSecond = 10

// The other defaults of Options.
const (
	defaultHandshakeTimeout  = 2 * time.Second
	defaultPingDelay         = 300 * time.Millisecond
	defaultPingTimeout       = 700 * time.Millisecond
	defaultKeepaliveInterval = time.Second
	defaultIdleTimeout       = 30 * time.Second
)

// withDefaults checks the options and fills in the defaults.
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
