package callermem

import (
	"cmp"
	"container/list"
	"slices"
	"time"

	"github.com/lycheekeel/lycheekeel/request"
)

// maxLooks bounds the connections that one step of a plan looks at whose bytes may wait to be
// read: where those of many do, the process is late, and looking at all would make it later.
const maxLooks = 32

// plan collects who gives way. Nobody does until it is known to be enough. All methods are
// called with the account's lock held.
type plan struct {
	account *Account
	need    need
	now     time.Time
	except  *Conn // the one that needs room
	steps   []func()
	closing map[*Conn]bool
	evicted map[*Reservation]bool
	looks   int
}

// closeConn plans to close a connection.
func (p *plan) closeConn(c *Conn, event func()) {
	if c == p.except || p.closing[c] {
		return
	}
	p.closing[c] = true
	p.need.connections--
	p.need.bytes -= c.bytes
	if c.request != nil && !p.evicted[c.request] {
		p.need.bytes -= c.request.bytes
	}
	p.steps = append(p.steps, func() { p.account.evictConn(c, event) })
}

// evict plans to evict a request.
func (p *plan) evict(r *Reservation) {
	if r.conn != nil && p.closing[r.conn] {
		return
	}
	p.evicted[r] = true
	p.need.bytes -= r.bytes
	p.steps = append(p.steps, func() { p.account.evict(r) })
}

// each calls f with the connections of a stage until the need is met or f returns false.
func (p *plan) each(s stage, f func(*Conn) bool) {
	for e := p.account.conns[s].Front(); e != nil && !p.need.met(); e = e.Next() {
		if !f(e.Value.(*Conn)) {
			return
		}
	}
}

// waitsForCaller reports whether nothing has arrived of what is read next on a connection.
func (p *plan) waitsForCaller(c *Conn) bool {
	p.looks++
	return !c.readable()
}

// idle plans to close idle connections.
func (p *plan) idle() {
	p.each(stageIdle, func(c *Conn) bool {
		if c.bytes == 0 && p.need.connections <= 0 {
			return false
		}
		if p.waitsForCaller(c) {
			p.closeConn(c, p.account.events.IdleClosed)
		}
		return p.looks < maxLooks || len(p.steps) > 0
	})
	p.looks = 0
}

// stalled plans to close the connections of callers that have stalled. Their tier does not
// count: what they sent is no request yet, or it is answered.
func (p *plan) stalled() {
	p.each(stageReading, func(c *Conn) bool {
		if p.now.Sub(c.began) < stallTime {
			return false // as those that follow
		}
		if c.reading.slow(p.now) && p.waitsForCaller(c) {
			p.closeConn(c, p.account.events.SlowClosed)
		}
		return p.looks < maxLooks || len(p.steps) > 0
	})
	p.each(stageHandled, func(c *Conn) bool {
		if c.blockedFor(p.now) >= stallTime {
			p.closeConn(c, p.account.events.SlowClosed)
		}
		return true
	})
	p.looks = 0
}

// incomplete plans to close connections on which a request has not arrived whole: first those
// whose request is not known yet, then those within a body, the lowest tier first.
func (p *plan) incomplete() {
	var bodies [request.MaxTiers][]*Conn
	p.each(stageReading, func(c *Conn) bool {
		switch {
		case c.request == nil:
			if p.waitsForCaller(c) {
				p.closeConn(c, p.account.events.SlowClosed)
			}
		case c.reading.silentFor(p.now) >= pauseTime && len(bodies[c.request.tier]) < maxLooks:
			bodies[c.request.tier] = append(bodies[c.request.tier], c)
		}
		return p.looks < maxLooks
	})
	for t := len(bodies) - 1; t >= 0; t-- {
		for _, c := range bodies[t] {
			if !p.need.met() && p.waitsForCaller(c) {
				p.closeConn(c, p.account.events.SlowClosed)
			}
		}
	}
}

// lowerTiers plans to evict requests of lower tiers than r.
func (p *plan) lowerTiers(r *Reservation) {
	tiers := &p.account.tiers
	for t := len(tiers) - 1; t > int(r.tier); t-- {
		for e := tiers[t].Back(); e != nil && !p.need.met(); e = e.Prev() {
			p.evict(e.Value.(*Reservation))
		}
	}
}

// silent plans to close the connections of callers of r's tier or a lower one that have sent
// or read nothing for silentTime.
func (p *plan) silent(r *Reservation) {
	p.each(stageReading, func(c *Conn) bool {
		if p.now.Sub(c.began) < silentTime {
			return false // as those that follow
		}
		if c.hasTierFrom(r) && c.reading.silentFor(p.now) >= silentTime && p.waitsForCaller(c) {
			p.closeConn(c, p.account.events.SlowClosed)
		}
		return p.looks < maxLooks
	})
	p.each(stageHandled, func(c *Conn) bool {
		if c.hasTierFrom(r) && c.blockedFor(p.now) >= silentTime {
			p.closeConn(c, p.account.events.SlowClosed)
		}
		return true
	})
}

// owners plans to evict requests of r's tier whose owners hold more than the owner of r would,
// the newest of the one that holds most first.
func (p *plan) owners(r *Reservation, bytes int64) {
	held := p.account.owners
	if p.need.met() {
		return
	}
	own := held[r.owner] + bytes
	left := map[string]int64{}
	victims := p.ofLargerOwners(p.account.tiers[r.tier].Back(), r, own)
	for _, v := range victims {
		if _, ok := left[v.owner]; !ok {
			left[v.owner] = held[v.owner]
		}
		if p.need.met() || left[v.owner]-v.bytes < own {
			continue
		}
		left[v.owner] -= v.bytes
		p.evict(v)
	}
}

// ofLargerOwners returns the requests from e backwards, newest first, whose owners hold more
// than own; those of the one that holds most first.
func (p *plan) ofLargerOwners(e *list.Element, r *Reservation, own int64) []*Reservation {
	held := p.account.owners
	var out []*Reservation
	for ; e != nil; e = e.Prev() {
		if v := e.Value.(*Reservation); v != r && held[v.owner] > own {
			out = append(out, v)
		}
	}
	slices.SortStableFunc(out, func(v, w *Reservation) int { return cmp.Compare(held[w.owner], held[v.owner]) })
	return out
}
