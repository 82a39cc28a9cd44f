package pool

import (
	"slices"
	"time"
)

const (
	// rejectionWindow is the time in which rejections are counted: the second in which
	// servers count them, and what a report of one may take.
	rejectionWindow = 1200 * time.Millisecond
	// acceptedAfter is how long after its grant a run that was not rejected counts as
	// accepted. A server rejects at once.
	acceptedAfter = 100 * time.Millisecond
	// provenAcceptedAfter is the same where the server has had room for as many runs lately.
	provenAcceptedAfter = 30 * time.Millisecond
	// roomRaiseMin is the time after which a server with less room is tried with one run
	// more. It doubles with each rejection up to roomRaiseMax.
	roomRaiseMin, roomRaiseMax = time.Second, 8 * time.Second
)

// room is what a pool knows of the room of a server while the pool's servers are brittle:
// they fall over when they have to reject too many requests in a second, and may take fewer
// than their slots.
type room struct {
	// named is set while the server's answers say that it is brittle; rejections is the
	// number per second that it bears. statedBy is when the run was granted whose answer
	// said so or ended it.
	named      bool
	rejections int
	statedBy   time.Time

	// limit is the number of runs that it has room for; 0: unknown. accepted is the most
	// runs at which it has accepted one since its room was last found to have shrunk.
	limit, accepted int
	rejectedAt      time.Time // of the last rejection
	rejected        []time.Time
	raiseAt         time.Time
	raiseBackoff    time.Duration
}

// notBrittle is the value of Pool.bearable while no server says that it is brittle.
const notBrittle = -1

// brittleNamed handles a report that a server is brittle.
func (p *Pool) brittleNamed(e Brittle) {
	s := p.servers[e.Server]
	if s == nil || e.Rejections < 0 {
		return
	}
	if e.Grant == (GrantID{}) {
		// An entry knows it from an earlier owner's time. Any answer since knows better.
		if s.room.statedBy.IsZero() && !s.room.named {
			p.brittleInheritedAt = p.now
			p.setBrittle(s, true, e.Rejections)
		}
		return
	}
	r := p.byGrant[e.Grant]
	if r == nil || r.server != s {
		return
	}
	r.namedBrittle = true
	if !r.grantedAt.Before(s.room.statedBy) {
		s.room.statedBy = r.grantedAt
		p.setBrittle(s, true, e.Rejections)
	}
}

// endBrittle notes that a server is not brittle any more if a run granted after it said so
// has been answered without that.
func (p *Pool) endBrittle(r *run) {
	s := r.server
	if !s.room.named || r.namedBrittle || r.adopted || r.grantedAt.Before(s.room.statedBy) {
		return
	}
	s.room.statedBy = r.grantedAt
	p.setBrittle(s, false, 0)
}

func (p *Pool) setBrittle(s *server, named bool, rejections int) {
	if named == s.room.named && rejections == s.room.rejections {
		return
	}
	s.room.named, s.room.rejections = named, rejections
	p.emit(BrittleChanged{Server: s.info.Name, Brittle: named, Rejections: rejections})
	p.updateBearable()
}

// updateBearable determines how many rejections per second the servers bear. All servers of
// a pool count as brittle while one says so: they run the same service, and one that has
// just started has not answered yet.
func (p *Pool) updateBearable() {
	before := p.bearable
	p.bearable = notBrittle
	for _, s := range p.sorted {
		if s.room.named && (p.bearable == notBrittle || s.room.rejections < p.bearable) {
			p.bearable = s.room.rejections
		}
	}
	if before != notBrittle || p.bearable == notBrittle {
		return
	}
	for _, s := range p.sorted {
		s.room.limit, s.room.accepted = 0, 0
		p.updateRoom(s)
		s.room.accepted = max(s.room.accepted, p.acceptedRuns(s))
	}
}

func (p *Pool) isBrittle() bool { return p.bearable != notBrittle }

// acceptedRuns counts the runs that a server has accepted.
func (p *Pool) acceptedRuns(s *server) int {
	n := 0
	for _, r := range s.running {
		if p.isAccepted(r) {
			n++
		}
	}
	return n
}

func (p *Pool) isAccepted(r *run) bool {
	return r.firstToken || r.adopted || p.now.Sub(r.grantedAt) >= acceptedAfter
}

// roomAdopts notes the runs of a server that an earlier owner has granted.
func (p *Pool) roomAdopts(s *server) {
	if p.isBrittle() {
		s.room.accepted = max(s.room.accepted, p.acceptedRuns(s))
	}
}

// roomAccepts notes that a server has accepted a run.
func (p *Pool) roomAccepts(r *run) {
	x := &r.server.room
	if p.isBrittle() && !r.adopted && r.grantedAt.After(x.rejectedAt) {
		x.accepted = max(x.accepted, r.runningAtGrant)
	}
}

// roomRejects notes that a server has rejected a run. One at more runs than it has accepted
// was one too many; one at fewer shows that its room has shrunk, nobody knows how far.
func (p *Pool) roomRejects(r *run) {
	if !p.isBrittle() {
		return
	}
	x := &r.server.room
	x.rejected = append(x.rejected, p.now)
	x.rejectedAt = p.now
	x.raiseBackoff = min(max(2*x.raiseBackoff, roomRaiseMin), roomRaiseMax)
	x.raiseAt = p.now.Add(x.raiseBackoff)
	level := max(1, r.runningAtGrant)
	if x.accepted > 0 && x.accepted < level {
		x.limit = x.accepted
		return
	}
	most := level
	if x.limit > 0 {
		most = min(most, x.limit)
	}
	x.limit, x.accepted = max(1, most/2), 0
}

// updateRoom brings up to date what is known of a server's room.
func (p *Pool) updateRoom(s *server) {
	x := &s.room
	x.rejected = slices.DeleteFunc(x.rejected, func(at time.Time) bool { return p.now.Sub(at) >= rejectionWindow })
	for _, r := range s.running {
		if p.isAccepted(r) {
			p.roomAccepts(r)
		}
	}
	if x.limit > 0 && x.accepted >= x.limit && !p.now.Before(x.raiseAt) {
		x.limit++
		x.raiseAt = p.now.Add(roomRaiseMin)
	}
}

// bearsAnother reports whether a server may get another run without the danger that it has
// to reject more in a second than it bears.
func (p *Pool) bearsAnother(s *server) bool {
	if !p.isBrittle() {
		return true
	}
	p.updateRoom(s)
	if n := len(s.running); n > s.room.accepted && s.room.accepted > 0 || n >= s.room.accepted && !p.mayTryRoom() {
		return false // its room is tried with one run more at a time
	}
	return p.unconfirmed(s)+len(s.room.rejected) < max(1, p.bearable)
}

// mayTryRoom reports whether servers may get more runs than they are known to have room for.
// A new owner does not know what they have just rejected, and one that has a share of the
// slots does not know what others try.
func (p *Pool) mayTryRoom() bool {
	return p.rateShare >= 1 && p.now.Sub(p.brittleInheritedAt) >= rejectionWindow
}

// unconfirmed counts the runs of a server that it may still reject.
func (p *Pool) unconfirmed(s *server) int {
	n := 0
	for _, r := range s.running {
		after := acceptedAfter
		if r.runningAtGrant <= s.room.accepted {
			after = provenAcceptedAfter
		}
		if !r.firstToken && p.now.Sub(r.grantedAt) < after {
			n++
		}
	}
	return n
}

// roomLimit bounds the number of runs of a server by its room.
func (p *Pool) roomLimit(s *server, n int) int {
	if !p.isBrittle() || s.room.limit == 0 {
		return n
	}
	return min(n, s.room.limit)
}
