// Package callermem accounts for what callers make a process hold: their connections, the
// bodies that are read or wait, and the answers that are not written yet. Bytes are taken from
// the account before they are from memory.
//
// Without it, clients that nobody controls decide how much memory a process needs: a few that
// announce long bodies and stop end it. The symptom is a process that is killed for its memory
// while few requests run.
//
// When the account is full, those give way that cost least. For a new connection or request
// these are connections on which nothing is read or answered, the one idle longest first; then
// callers that have stalled within a request or an answer; then those that are within a head of
// which nothing has arrived to be read, the one that began first; then those that pause within
// a body, of the lowest tier first. An ordinary caller, whose request comes at once, so gets in
// beside any number of others.
//
// For bytes of a request they are idle connections and stalled callers too; then requests that
// have not been dispatched, of lower tiers, the newest of the lowest tier first; then callers
// of the same tier that are silent; then requests of the same tier whose owner holds more. If
// that is not enough, nobody gives way, and the one that needs room is refused.
package callermem

import (
	"container/list"
	"sync"
	"time"

	"github.com/lycheekeel/lycheekeel/request"
)

// Limits bound what callers make a process hold.
type Limits struct {
	// Bytes bounds the sum of what is counted.
	Bytes int64
	// Connections bounds the open connections.
	Connections int
	// ConnBytes is what a connection counts, BusyBytes what one counts in addition from a
	// request's first byte to the last of its answer, and RequestBytes what each reservation
	// counts in addition to its size.
	ConnBytes, BusyBytes, RequestBytes int64
}

// Events are called when callers give way, with the account's lock held; they must not block.
// Nil fields are not called.
type Events struct {
	// IdleClosed, SlowClosed and Evicted are called for a connection that was idle, for one
	// whose caller had stopped, and for a request that was evicted.
	IdleClosed, SlowClosed, Evicted func()
	// Refused is called for a connection for which there was no room.
	Refused func()
}

// Account is the account of one process. It is safe for concurrent use.
type Account struct {
	limits Limits
	events Events

	mu    sync.Mutex
	used  int64
	open  int               // connections, without those that were closed here
	conns [stages]list.List // of *Conn, the one that is there longest first
	tiers [request.MaxTiers]list.List
	// owners has the bytes of each owner's requests.
	owners map[string]int64
	// freed is closed when bytes are given back; nil if nobody waits for it.
	freed chan struct{}
}

// New returns an empty account.
func New(l Limits, e Events) *Account {
	return &Account{limits: l, events: e, owners: map[string]int64{}}
}

// Used returns the number of bytes taken.
func (a *Account) Used() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used
}

// Open returns the number of open connections.
func (a *Account) Open() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.open
}

// add changes the bytes taken by those of a request of an owner.
func (a *Account) add(r *Reservation, bytes int64) {
	a.used += bytes
	r.bytes += bytes
	if a.owners[r.owner] += bytes; a.owners[r.owner] == 0 {
		delete(a.owners, r.owner)
	}
	if bytes < 0 {
		a.notifyFreed()
	}
}

// notifyFreed wakes those that wait for bytes.
func (a *Account) notifyFreed() {
	if a.freed != nil {
		close(a.freed)
		a.freed = nil
	}
}

// need is what has to become free.
type need struct {
	bytes       int64
	connections int
}

func (n need) met() bool { return n.bytes <= 0 && n.connections <= 0 }

// makeRoom lets others give way until the bytes and connections fit. It reports whether they
// do; if not, nobody has given way. c is the connection that needs room, r the request; nil: it
// is none.
func (a *Account) makeRoom(bytes int64, connections int, c *Conn, r *Reservation) bool {
	n := need{a.used + bytes - a.limits.Bytes, a.open + connections - a.limits.Connections}
	if connections == 0 {
		n.connections = 0
	}
	if n.met() {
		return true
	}
	p := &plan{account: a, need: n, now: time.Now(), except: c, closing: map[*Conn]bool{}, evicted: map[*Reservation]bool{}}
	p.idle()
	p.stalled()
	if r == nil {
		p.incomplete()
	} else {
		p.lowerTiers(r)
		p.silent(r)
		p.owners(r, bytes)
	}
	if !p.need.met() {
		return false
	}
	for _, f := range p.steps {
		f()
	}
	return true
}

// evict ends a reservation and notifies its request.
func (a *Account) evict(r *Reservation) {
	if r.ended {
		return
	}
	a.end(r)
	r.evicted = true
	call(a.events.Evicted)
	r.onEvict()
}

// end removes a reservation and its bytes.
func (a *Account) end(r *Reservation) {
	a.add(r, -r.bytes)
	r.ended = true
	a.removeFromTier(r)
	if r.conn != nil && r.conn.request == r {
		r.conn.request = nil
	}
}

func (a *Account) removeFromTier(r *Reservation) {
	if r.element != nil {
		a.tiers[r.tier].Remove(r.element)
		r.element = nil
	}
}

func call(f func()) {
	if f != nil {
		f()
	}
}
