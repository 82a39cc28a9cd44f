package forward

import (
	"sync"

	"github.com/lycheekeel/lycheekeel/internal/httpconn"
)

// ConnPools holds the connections to backend servers by address. It is safe for
// concurrent use.
type ConnPools struct {
	settings httpconn.Settings
	pools    sync.Map // address to *httpconn.Pool

	mu           sync.Mutex
	incarnations map[string]string // as Keep was told last
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

// Update is told who is at which address: a name of the server's incarnation. The
// connections to all other addresses are closed and forgotten, and the idle ones to
// an address where somebody else is now.
//
// What goes wrong without the latter: a server crashes and starts again at its
// address; what is sent next on each connection to its former incarnation is reset,
// and an attempt is spent.
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
