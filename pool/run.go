package pool

import (
	"slices"
	"time"

	"github.com/lycheekeel/lycheekeel/request"
)

// run is a grant that has not been released.
type run struct {
	id      GrantID
	request request.ID
	entry   EntryID
	server  *server
	waiter  *waiter
	since   time.Time
	index   int // in server.running
}

func (p *Pool) addRun(r *run) {
	r.index = len(r.server.running)
	r.server.running = append(r.server.running, r)
	p.runs[r.id] = r
	p.granted[r.request] = r
}

func (p *Pool) removeRun(r *run) {
	s := r.server
	last := s.running[len(s.running)-1]
	s.running[r.index], last.index = last, r.index
	s.running = slices.Delete(s.running, len(s.running)-1, len(s.running))
	delete(p.runs, r.id)
	if p.granted[r.request] == r {
		delete(p.granted, r.request)
	}
	if !s.present && len(s.running) == 0 {
		delete(p.servers, s.info.Name)
	}
}

// release frees a grant's slot. A late, doubled or unknown release finds no
// run and does nothing.
func (p *Pool) release(e Release) {
	r := p.runs[e.Grant]
	if r == nil || r.entry != e.Entry {
		return
	}
	p.removeRun(r)
	if e.RefusedLeaving {
		r.server.health = HealthLeaving
	}
}

// adopt counts a run that an earlier owner granted.
func (p *Pool) adopt(e Running) {
	if p.runs[e.Grant] != nil {
		return
	}
	if w := p.waiting[e.Request]; w != nil {
		p.drop(w)
	}
	p.addRun(&run{id: e.Grant, request: e.Request, entry: e.Entry, server: p.server(e.Server), since: p.now})
}

func (p *Pool) setEntries(e EntrySet) {
	gone := func(id EntryID) bool { return !slices.Contains(e.Entries, id) }
	for _, w := range p.sortedWaiting() {
		if gone(w.Entry) {
			p.drop(w)
		}
	}
}

func (p *Pool) sortedWaiting() []*waiter {
	all := make([]*waiter, 0, len(p.waiting))
	for _, w := range p.waiting {
		all = append(all, w)
	}
	slices.SortFunc(all, func(a, b *waiter) int { return compareID(a.Request, b.Request) })
	return all
}

func compareID(a, b request.ID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}
