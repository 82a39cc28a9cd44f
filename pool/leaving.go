package pool

// serverLeaves notes that a server's incarnation has announced that it stops. Unlike a refusal
// for that reason, which may come from an entry that lags behind, this does not lapse.
func (p *Pool) serverLeaves(e Leaving) {
	s := p.servers[e.Server]
	if s == nil || s.announcedLeaving || s.info.Incarnation != e.Incarnation {
		return
	}
	s.announcedLeaving = true
	p.emit(ServerLeaves{Server: e.Server, Entry: e.Entry})
	p.refuseUnlistedVersions()
}

// leaving reports whether a server is leaving, as far as anybody knows.
func (p *Pool) leaving(s *server) bool {
	return s.announcedLeaving || s.health == HealthLeaving || p.now.Before(s.leavingUntil)
}
