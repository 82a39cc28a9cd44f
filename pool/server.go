package pool

import (
	"cmp"
	"slices"
)

// server is one backend server and what the pool knows to run there.
type server struct {
	info        ServerInfo
	present     bool // in the newest ServerSet
	health      Health
	incarnation uint64
	running     []*run
}

func (s *server) up() bool { return s.present && s.health == HealthUp }

func (s *server) free() bool { return s.up() && len(s.running) < s.info.Slots }

func (p *Pool) setServers(e ServerSet) {
	for _, s := range p.order {
		s.present = false
	}
	p.order = p.order[:0]
	for _, info := range e.Servers {
		if info.Slots <= 0 {
			info.Slots = p.cfg.DefaultSlots
		}
		s := p.server(info.Name)
		s.info, s.present = info, true
		if !slices.Contains(p.order, s) {
			p.order = append(p.order, s)
		}
	}
	slices.SortFunc(p.order, func(a, b *server) int { return cmp.Compare(a.info.Name, b.info.Name) })
	p.forgetServers()
}

// server returns the named server; one that is not in the newest ServerSet
// gets no grant, but what runs there is counted.
func (p *Pool) server(name string) *server {
	s := p.servers[name]
	if s == nil {
		s = &server{info: ServerInfo{Name: name}}
		p.servers[name] = s
	}
	return s
}

func (p *Pool) forgetServers() {
	for name, s := range p.servers {
		if !s.present && len(s.running) == 0 {
			delete(p.servers, name)
		}
	}
}

func (p *Pool) setHealth(e ServerHealth) {
	s := p.servers[e.Server]
	if s == nil {
		return
	}
	s.health, s.incarnation = e.Health, e.Incarnation
}
