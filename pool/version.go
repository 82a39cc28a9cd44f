package pool

import "slices"

// mayRunOn reports whether a server has the version that a request needs.
func (w *waiter) mayRunOn(s *server) bool { return w.Version == "" || w.Version == s.info.Version }

// versionListed reports whether a server of the version that a request needs is in the pool
// and not leaving.
func (p *Pool) versionListed(w *waiter) bool {
	return w.Version == "" || slices.ContainsFunc(p.sorted, func(s *server) bool {
		return w.mayRunOn(s) && s.health != HealthLeaving
	})
}

// versionServes reports whether a server of the version that a request needs is up.
func (p *Pool) versionServes(w *waiter) bool {
	return w.Version == "" || slices.ContainsFunc(p.sorted, func(s *server) bool { return w.mayRunOn(s) && p.up(s) })
}
