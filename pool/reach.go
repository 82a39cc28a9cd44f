package pool

import (
	"slices"
	"time"
)

const (
	// pathMemory is how long a path that has failed is remembered after its pause.
	pathMemory = unreachableBackoffMax
	// goneReportTTL is how long the report of one entry that a server is gone waits for that
	// of another one.
	goneReportTTL = 2 * time.Second
)

// path is an entry's way to a server, after a connection has failed there. An entry may
// have lost its own links to servers that all others reach.
//
// Without it, one entry that is partitioned from all servers would take them from all
// entries: each of its requests would be granted on one server after the other, and pause
// all of them.
type path struct {
	pausedAt, pausedUntil time.Time
	backoff               time.Duration
}

// goneReport is one entry's report that a server's process has ended.
type goneReport struct {
	entry EntryID
	at    time.Time
}

// pausePath stops grants of a server to an entry that could not reach it. The pause doubles
// with each consecutive failure. Runs granted before the last pause began count as one failure
// with that.
func (p *Pool) pausePath(r *run) {
	x := p.entry(r.entry)
	if x.paths == nil {
		x.paths = map[string]*path{}
	}
	way := x.paths[r.server.info.Name]
	if way == nil {
		way = &path{}
		x.paths[r.server.info.Name] = way
	}
	if !r.grantedAt.After(way.pausedAt) {
		return
	}
	way.backoff = nextBackoff(way.backoff)
	way.pausedAt, way.pausedUntil = p.now, p.now.Add(way.backoff)
}

// pathWorks notes that a server has answered an entry.
func (p *Pool) pathWorks(r *run) {
	r.server.goneReports = nil
	if x := p.entries.known[r.entry]; x != nil {
		delete(x.paths, r.server.info.Name)
		x.foundGone = ""
	}
}

// pathPaused reports whether an entry gets no grants of a server, since it could not reach
// it.
func (p *Pool) pathPaused(id EntryID, s *server) bool {
	x := p.entries.known[id]
	if x == nil || len(x.paths) == 0 {
		return false
	}
	way := x.paths[s.info.Name]
	return way != nil && p.now.Before(way.pausedUntil)
}

// forgetPaths removes the paths whose pause has long ended.
func (p *Pool) forgetPaths() {
	for _, x := range p.entries.known {
		for server, way := range x.paths {
			if p.now.Sub(way.pausedUntil) > pathMemory {
				delete(x.paths, server)
			}
		}
	}
}

// confirmsGone reports whether a run's end shows that its server's process has ended. The
// word of one entry is not enough if there are others: a partition refuses connections, too.
func (p *Pool) confirmsGone(r *run, e Release) bool {
	if !e.ServerGone || e.Reach == ReachedByPeer {
		return false
	}
	if e.Reach == UnreachableByPeer || p.entries.alive <= 1 {
		return true
	}
	if !p.entry(r.entry).isWitness(r.server) {
		return false
	}
	s := r.server
	s.goneReports = slices.DeleteFunc(s.goneReports, func(x goneReport) bool {
		return x.entry == r.entry || p.now.Sub(x.at) > goneReportTTL
	})
	s.goneReports = append(s.goneReports, goneReport{r.entry, p.now})
	return len(s.goneReports) > 1
}

// isWitness reports whether what the entry says of a server may count for others: it has
// found no other server gone since it last had an answer.
func (x *entry) isWitness(s *server) bool {
	if x.foundGone == "" {
		x.foundGone = s.info.Name
	}
	return x.foundGone == s.info.Name
}

// connectFailed handles a run whose connection could not be opened.
func (p *Pool) connectFailed(r *run, e Release) {
	gone := p.confirmsGone(r, e)
	if gone {
		p.serverGone(r.server)
	}
	if gone || e.Reach == UnreachableByPeer {
		p.pauseForAll(r, false)
		return
	}
	p.pausePath(r)
}
