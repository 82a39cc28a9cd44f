package broker

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lycheekeel/lycheekeel/pool"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// pushback is a server's request to get nothing from this daemon.
type pushback struct {
	incarnation string
	until       time.Time
}

// pushbacks holds the pushbacks of servers by name. It is safe for concurrent use. The pools'
// owners grant by what this daemon reports to them, but an owner may be new or of an older
// version, and a grant may be on its way.
type pushbacks struct {
	mu     sync.Mutex // held while a pushback is added
	byName atomic.Pointer[map[string]pushback]
}

// add adds a pushback, unless a longer one is known, and removes those that have ended.
func (p *pushbacks) add(s workspace.BackendServer, now, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := map[string]pushback{}
	if all := p.byName.Load(); all != nil {
		next = maps.Clone(*all)
	}
	maps.DeleteFunc(next, func(_ string, x pushback) bool { return !now.Before(x.until) })
	if old, known := next[s.Name]; !known || old.incarnation != s.Incarnation || until.After(old.until) {
		next[s.Name] = pushback{s.Incarnation, until}
	}
	p.byName.Store(&next)
}

// remaining returns for how long a server is to get nothing; 0: it may get requests.
func (p *pushbacks) remaining(s workspace.BackendServer, now time.Time) time.Duration {
	all := p.byName.Load()
	if all == nil {
		return 0
	}
	x, known := (*all)[s.Name]
	if !known || x.incarnation != s.Incarnation {
		return 0
	}
	return max(0, x.until.Sub(now))
}

// pushbackMessage reports a pushback to the pool's owner.
type pushbackMessage struct{ ev pool.Pushback }

func (m pushbackMessage) apply(l *link) { l.sendIfOpen(m.ev) }

// pushbackOf returns the event that reports the pushback of a server; false if there is none.
func (l *link) pushbackOf(s workspace.BackendServer) (pool.Pushback, bool) {
	wait := l.entry.pushbacks.remaining(s, l.now)
	return pool.Pushback{Server: s.Name, Incarnation: s.Incarnation, For: wait}, wait > 0
}

// reportPushbacks tells a new owner which servers have pushed this daemon back.
func (l *link) reportPushbacks() {
	for _, s := range l.currentServers() {
		if ev, ok := l.pushbackOf(s); ok {
			l.outbox = append(l.outbox, ev)
		}
	}
}
