package forward

import (
	"sync"

	"github.com/lycheekeel/lycheekeel/internal/httpconn"
)

// Servers holds the connections to backend servers by address. It is safe for
// concurrent use.
type Servers struct {
	settings httpconn.Settings
	pools    sync.Map // address to *httpconn.Pool

	mu   sync.Mutex
	kept map[string]string // as Keep was told last
}

// NewServers returns an empty set.
func NewServers(s httpconn.Settings) *Servers { return &Servers{settings: s} }

func (s *Servers) pool(address string) *httpconn.Pool {
	if p, ok := s.pools.Load(address); ok {
		return p.(*httpconn.Pool)
	}
	p, _ := s.pools.LoadOrStore(address, httpconn.NewPool(address, s.settings))
	return p.(*httpconn.Pool)
}

// Keep is told who is at which address: a name of the server's incarnation. The
// connections to all other addresses are closed and forgotten, and the idle ones to
// an address where somebody else is now.
//
// What goes wrong without the latter: a server crashes and starts again at its
// address; what is sent next on each connection to its former incarnation is reset,
// and an attempt is spent.
func (s *Servers) Keep(incarnations map[string]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pools.Range(func(key, p any) bool {
		address := key.(string)
		now, used := incarnations[address]
		if !used || now != s.kept[address] {
			p.(*httpconn.Pool).Flush()
		}
		if !used {
			s.pools.Delete(address)
		}
		return true
	})
	s.kept = incarnations
}
