package gateway

import (
	"time"

	"github.com/lycheekeel/lycheekeel/member"
)

// lostShareTTL is how long a daemon that died without leaving keeps its share of the
// quotas. Regions and zones may be partitioned from each other for minutes.
const lostShareTTL = 5 * time.Minute

// shareHolders are the daemons among which the quotas are divided.
//
// Dead daemons keep a share. Otherwise, in a network partition, each side would declare
// the other dead after some seconds and divide the whole rate among its own daemons, and a
// workspace would get its quota once on each side.
type shareHolders struct {
	present map[string]bool      // seen, and not seen to leave
	lostAt  map[string]time.Time // when they were first seen dead without having left
	// nextExpiry is when the first of the lost shares expires; zero: none is lost.
	nextExpiry time.Time
}

func newShareHolders() *shareHolders {
	return &shareHolders{present: map[string]bool{}, lostAt: map[string]time.Time{}}
}

// others returns the names of the view's other daemons that have a share.
func (s *shareHolders) others(v *member.View, now time.Time) []string {
	var out []string
	s.nextExpiry = time.Time{}
	for _, m := range v.Members {
		if m.Name != v.Self && s.hasShare(m, now) {
			out = append(out, m.Name)
		}
	}
	return out
}

func (s *shareHolders) hasShare(m member.Member, now time.Time) bool {
	if m.State != member.Dead {
		s.present[m.Name] = m.State != member.Leaving
		delete(s.lostAt, m.Name)
		return true
	}
	if !s.present[m.Name] {
		return false
	}
	if s.lostAt[m.Name].IsZero() {
		s.lostAt[m.Name] = now
	}
	expiry := s.lostAt[m.Name].Add(lostShareTTL)
	if !expiry.After(now) {
		return false
	}
	if s.nextExpiry.IsZero() || expiry.Before(s.nextExpiry) {
		s.nextExpiry = expiry
	}
	return true
}

// due reports whether the result of others has changed since, though the view has not.
func (s *shareHolders) due(now time.Time) bool {
	return !s.nextExpiry.IsZero() && !now.Before(s.nextExpiry)
}
