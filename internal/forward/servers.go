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

// Keep closes and forgets the connections to all other addresses.
func (s *Servers) Keep(addresses map[string]bool) {
	s.pools.Range(func(address, p any) bool {
		if !addresses[address.(string)] {
			p.(*httpconn.Pool).Flush()
			s.pools.Delete(address)
		}
		return true
	})
}
