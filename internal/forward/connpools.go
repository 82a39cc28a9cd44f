package forward

import (
	"sync"

	"github.com/lycheekeel/lycheekeel/internal/httpconn"
)

// ConnPools holds a connection pool for each address of a backend server. It is safe for
// concurrent use.
type ConnPools struct {
	settings httpconn.Settings
	pathDown func(address string) bool
	pools    sync.Map // address to *httpconn.Pool

	mu           sync.Mutex
	incarnations map[string]string // as of the last Update
}

// NewConnPools returns an empty set. pathDown reports whether this daemon can't reach a
// server that another one reaches; nil: it always can.
func NewConnPools(s httpconn.Settings, pathDown func(address string) bool) *ConnPools {
	return &ConnPools{settings: s, pathDown: pathDown}
}

// PathDown reports whether this daemon can't reach a server that another one reaches.
func (s *ConnPools) PathDown(address string) bool { return s.pathDown != nil && s.pathDown(address) }

// Incarnations returns the current addresses, each with the name of its server's incarnation.
// The map is not changed.
func (s *ConnPools) Incarnations() map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.incarnations
}

func (s *ConnPools) pool(address string) *httpconn.Pool {
	if p, ok := s.pools.Load(address); ok {
		return p.(*httpconn.Pool)
	}
	p, _ := s.pools.LoadOrStore(address, httpconn.NewPool(address, s.settings))
	return p.(*httpconn.Pool)
}

// Update sets the current addresses, each with the name of its server's incarnation. It
// drops the connections to all other addresses, and closes the idle ones to an address
// whose incarnation has changed.
//
// Without the latter, after a server crashes and restarts at its address, the next request
// on each connection to the old incarnation is reset and costs an attempt.
func (s *ConnPools) Update(incarnations map[string]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pools.Range(func(key, p any) bool {
		address := key.(string)
		current, inUse := incarnations[address]
		if !inUse || current != s.incarnations[address] {
			p.(*httpconn.Pool).CloseIdle()
		}
		if !inUse {
			s.pools.Delete(address)
		}
		return true
	})
	s.incarnations = incarnations
}
