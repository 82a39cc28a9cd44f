package forward

import (
	"sync"

	"github.com/lycheekeel/lycheekeel/internal/httpconn"
)

// ConnPools holds a connection pool for each address of a backend server. It is safe for
// concurrent use.
type ConnPools struct {
	settings httpconn.Settings
	pools    sync.Map // address to *httpconn.Pool

	mu           sync.Mutex
	incarnations map[string]string // as of the last Update
}

// NewConnPools returns an empty set.
func NewConnPools(s httpconn.Settings) *ConnPools { return &ConnPools{settings: s} }

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
