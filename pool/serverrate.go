package pool

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

const (
	// minServerRate is the lowest rate, in requests per second, at which a server gets
	// requests. Only an answer tells that its limit has ended.
	minServerRate = 0.2
	// serverRateBurst is the time whose requests a server may get at once after a pause.
	serverRateBurst = 250 * time.Millisecond
)

// serverRate limits the requests per second that a server gets, as its answers ask. The
// zero value does not limit.
type serverRate struct {
	limiter   *rate.Limiter
	perSecond float64
	// statedBy is when the run was granted whose answer set or ended the limit.
	statedBy time.Time
}

func (l *serverRate) allows(now time.Time) bool {
	return l.limiter == nil || l.limiter.TokensAt(now) >= 1
}

func (l *serverRate) take(now time.Time) {
	if l.limiter != nil {
		l.limiter.AllowN(now, 1)
	}
}

// set sets the limit; 0 ends it. share is the part of it that this pool may use.
func (l *serverRate) set(now time.Time, perSecond, share float64) {
	l.perSecond = perSecond
	if perSecond <= 0 {
		l.limiter = nil
		return
	}
	effective := rate.Limit(math.Max(perSecond, minServerRate) * share)
	burst := max(1, int(float64(effective)*serverRateBurst.Seconds()))
	if l.limiter == nil {
		l.limiter = rate.NewLimiter(effective, burst)
		l.limiter.AllowN(now, burst) // its last requests have only just arrived
		return
	}
	l.limiter.SetLimitAt(now, effective)
	l.limiter.SetBurstAt(now, burst)
}

// rateLimited handles a server's limit that an answer has named.
func (p *Pool) rateLimited(e RateLimited) {
	s := p.servers[e.Server]
	if s == nil || !(e.PerSecond > 0) {
		return
	}
	if e.Grant == (GrantID{}) {
		// An entry knows it from an earlier owner's time. Any answer since knows better.
		if s.rate.statedBy.IsZero() && s.rate.perSecond == 0 {
			p.setServerRate(s, e.PerSecond)
		}
		return
	}
	r := p.byGrant[e.Grant]
	if r == nil || r.server != s {
		return
	}
	r.namedRate = true
	if !r.grantedAt.Before(s.rate.statedBy) {
		s.rate.statedBy = r.grantedAt
		p.setServerRate(s, e.PerSecond)
	}
}

func (p *Pool) setServerRate(s *server, perSecond float64) {
	if perSecond == s.rate.perSecond {
		return
	}
	s.rate.set(p.now, perSecond, p.rateShare)
	p.emit(ServerRateChanged{Server: s.info.Name, PerSecond: perSecond})
}

// setRateShare sets the part of the servers' limits that this pool may use.
func (p *Pool) setRateShare(share float64) {
	if share == p.rateShare {
		return
	}
	p.rateShare = share
	for _, s := range p.sorted {
		s.rate.set(p.now, s.rate.perSecond, share)
	}
}

// endServerRate ends a server's limit if a run granted after the limit was named has been
// answered without one. Of a run that an earlier owner granted, nobody knows here whether
// it is that recent.
func (p *Pool) endServerRate(r *run) {
	s := r.server
	if s.rate.perSecond == 0 || r.namedRate || r.adopted || r.grantedAt.Before(s.rate.statedBy) {
		return
	}
	s.rate.statedBy = r.grantedAt
	p.setServerRate(s, 0)
}

// takeServerRate counts a grant against its server's limit, and takes the server out of this
// round if it takes no other request now.
func (p *Pool) takeServerRate(s *server) {
	s.rate.take(p.now)
	if !s.rate.allows(p.now) || !p.bearsAnother(s) {
		s.grantable = false
	}
}
