package relay

import (
	"sync"
	"time"
)

const (
	// probeInterval is how often a direct connection is tried while a server is reached
	// through peers.
	probeInterval = 500 * time.Millisecond
	// pathMemory is how long a path counts as down without a new failure.
	pathMemory = 10 * time.Second
)

// paths is a daemon's knowledge of its own ways to servers. It is safe for concurrent use.
type paths struct {
	mu   sync.Mutex
	down map[string]*downPath // by address
}

// downPath is a way to a server that does not work.
type downPath struct {
	failedAt time.Time
	probedAt time.Time
	peer     string // through which the server was reached last
}

func newPaths() *paths { return &paths{down: map[string]*downPath{}} }

// isDown reports whether direct connections to an address fail.
func (p *paths) isDown(address string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.get(address, now) != nil
}

// get returns the path if it is down, or nil. The mutex is held.
func (p *paths) get(address string, now time.Time) *downPath {
	x := p.down[address]
	if x != nil && now.Sub(x.failedAt) > pathMemory {
		delete(p.down, address)
		return nil
	}
	return x
}

// takeProbe reports whether a direct connection is to be tried now though the path is down.
// Only one caller in probeInterval gets true.
func (p *paths) takeProbe(address string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	x := p.get(address, now)
	if x == nil || now.Sub(x.probedAt) < probeInterval {
		return x == nil
	}
	x.probedAt = now
	return true
}

// lastPeer returns the peer through which a server was reached last, or "".
func (p *paths) lastPeer(address string, now time.Time) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if x := p.get(address, now); x != nil {
		return x.peer
	}
	return ""
}

// connected notes that a direct connection was opened. It reports whether the path was down.
func (p *paths) connected(address string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, was := p.down[address]
	delete(p.down, address)
	return was
}

// failed notes that a server which another daemon reaches can't be reached directly. peer is
// the one through which it is reached now, or empty. It reports whether the path was up.
func (p *paths) failed(address, peer string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	x := p.get(address, now)
	wasUp := x == nil
	if wasUp {
		x = &downPath{probedAt: now}
		p.down[address] = x
	}
	x.failedAt, x.peer = now, peer
	return wasUp
}

// count returns the number of paths that are down.
func (p *paths) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.down)
}
