package pool

import "time"

// pushedBack stops grants of a server to an entry for as long as the server has asked it to.
// Whether other entries may send there is the server's to say: it turns them away, too, if not.
func (p *Pool) pushedBack(e Pushback) {
	s := p.servers[e.Server]
	if s == nil || s.info.Incarnation != e.Incarnation || e.For <= 0 {
		return
	}
	x := p.entry(e.Entry)
	if x.pushbacks == nil {
		x.pushbacks = map[string]time.Time{}
	}
	if until := p.now.Add(e.For); until.After(x.pushbacks[e.Server]) {
		x.pushbacks[e.Server] = until
		p.emit(ServerPaused{Server: e.Server, Entry: e.Entry, For: e.For, Refused: true, EntryOnly: true})
	}
}

// isPushedBack reports whether a server has asked an entry to send it nothing now.
func (p *Pool) isPushedBack(id EntryID, s *server) bool {
	x := p.entries.known[id]
	return x != nil && len(x.pushbacks) > 0 && p.now.Before(x.pushbacks[s.info.Name])
}

// isClosedTo reports whether an entry gets no grants of a server now, for a reason of its own.
func (p *Pool) isClosedTo(id EntryID, s *server) bool {
	return p.pathPaused(id, s) || p.isPushedBack(id, s)
}

// hasClosedServers reports whether there may be servers that are closed to an entry.
func (p *Pool) hasClosedServers(id EntryID) bool {
	x := p.entries.known[id]
	return x != nil && len(x.paths)+len(x.pushbacks) > 0
}

// endPushbacks forgets the pushbacks of a server's earlier incarnation.
func (p *Pool) endPushbacks(s *server) {
	for _, x := range p.entries.known {
		delete(x.pushbacks, s.info.Name)
	}
}

// forgetPushbacks removes the pushbacks whose time is up.
func (p *Pool) forgetPushbacks() {
	for _, x := range p.entries.known {
		for server, until := range x.pushbacks {
			if !p.now.Before(until) {
				delete(x.pushbacks, server)
			}
		}
	}
}
