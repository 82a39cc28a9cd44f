package pool

import (
	"cmp"
	"slices"

	"github.com/lycheekeel/lycheekeel/request"
)

// isRestOfStream reports whether a request is for the rest of a stream that a server began.
// Its target for the first event was met or missed by the server that began it.
func (w *waiter) isRestOfStream() bool { return w.Version != "" }

// mayRunOn reports whether a server has the version that a request needs.
func (w *waiter) mayRunOn(s *server) bool { return w.Version == "" || w.Version == s.info.Version }

// versionListed reports whether a server of the version that a request needs is in the pool
// and not leaving.
func (p *Pool) versionListed(w *waiter) bool {
	return w.Version == "" || slices.ContainsFunc(p.sorted, func(s *server) bool {
		return w.mayRunOn(s) && s.health != HealthLeaving && !s.announcedLeaving
	})
}

// versionServes reports whether a server of the version that a request needs is up.
func (p *Pool) versionServes(w *waiter) bool {
	return w.Version == "" || slices.ContainsFunc(p.sorted, func(s *server) bool { return w.mayRunOn(s) && p.up(s) })
}

// refuseUnlistedVersions refuses the waiting requests whose version has no server left: they
// may wait until their deadlines, and nothing would be granted to them.
func (p *Pool) refuseUnlistedVersions() {
	var refused []*waiter
	for _, w := range p.waiting {
		if !p.versionListed(w) {
			refused = append(refused, w)
		}
	}
	slices.SortFunc(refused, func(a, b *waiter) int { return cmp.Compare(a.Request, b.Request) })
	for _, w := range refused {
		p.removeWaiter(w)
		p.shed(&w.Enqueue, request.ReasonVersionUnavailable, retryAfterMin)
	}
}
