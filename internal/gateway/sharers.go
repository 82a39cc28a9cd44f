package gateway

import (
	"time"

	"github.com/lycheekeel/lycheekeel/member"
)

// deadKeepsShare is how long a daemon that was lost without leaving keeps its share of the
// quotas. Regions and zones may be cut off from each other for minutes.
const deadKeepsShare = 5 * time.Minute

// sharers are the daemons among which the quotas are divided.
//
// What goes wrong where the dead have no share: membership takes the far side of a cut for
// dead after some seconds, each side divides the whole rate among its own daemons, and a
// workspace gets its quota once on each side.
type sharers struct {
	present map[string]bool      // seen here, and not seen to leave
	lost    map[string]time.Time // when they were first taken for dead without leaving
	// until is when the first of the lost has no share any more; zero: none is lost.
	until time.Time
}

func newSharers() *sharers { return &sharers{present: map[string]bool{}, lost: map[string]time.Time{}} }

// others returns the names of a view's other daemons that have a share.
func (s *sharers) others(v *member.View, now time.Time) []string {
	var out []string
	s.until = time.Time{}
	for _, m := range v.Members {
		if m.Name != v.Self && s.hasShare(m, now) {
			out = append(out, m.Name)
		}
	}
	return out
}

func (s *sharers) hasShare(m member.Member, now time.Time) bool {
	if m.State != member.Dead {
		s.present[m.Name] = m.State != member.Leaving
		delete(s.lost, m.Name)
		return true
	}
	if !s.present[m.Name] {
		return false
	}
	if s.lost[m.Name].IsZero() {
		s.lost[m.Name] = now
	}
	until := s.lost[m.Name].Add(deadKeepsShare)
	if !until.After(now) {
		return false
	}
	if s.until.IsZero() || until.Before(s.until) {
		s.until = until
	}
	return true
}

// due tells whether the answer has changed though the view has not.
func (s *sharers) due(now time.Time) bool { return !s.until.IsZero() && !now.Before(s.until) }
