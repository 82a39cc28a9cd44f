package broker

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/lycheekeel/lycheekeel/internal/poolwire"
	"github.com/lycheekeel/lycheekeel/request"
)

// waitGranularity is the step to which expected waits are rounded down. A difference
// of one step outweighs a prefix that the other pool may have cached.
const waitGranularity = 200 * time.Millisecond

// cachedBrief is the last brief of a pool and the time until which it is valid.
type cachedBrief struct {
	poolwire.Brief
	expires time.Time
}

// chooseLink returns the link to the candidate with the shortest expected wait.
// Among equals it selects by rendezvous hashing of the prompt's first block, so
// that requests with the same prefix go to the same pool's caches.
func (e *Entry) chooseLink(d Demand) *link {
	if len(d.Candidates) == 1 {
		return e.link(d.Candidates[0].Name)
	}
	now := e.cfg.Now()
	var best *link
	var bestWait int64
	var bestWeight uint64
	for _, p := range d.Candidates {
		l := e.link(p.Name)
		wait, weight := l.expectedWait(now, d.Spec.Tier), affinity(p.Name, d.Spec)
		if best == nil || wait < bestWait || (wait == bestWait && weight > bestWeight) {
			best, bestWait, bestWeight = l, wait, weight
		}
	}
	return best
}

// expectedWait returns the pool's expected wait in units of waitGranularity, or
// zero if there is no valid brief.
func (l *link) expectedWait(now time.Time, t request.Tier) int64 {
	b := l.brief.Load()
	if b == nil || now.After(b.expires) || t >= request.MaxTiers {
		return 0
	}
	return int64(b.ExpectedWait[t] / waitGranularity)
}

// affinity returns the rendezvous hash of a request on a pool.
func affinity(pool string, s *request.Spec) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(pool)
	if len(s.Blocks) > 0 {
		var b [8]byte
		binary.LittleEndian.PutUint64(b[:], s.Blocks[0])
		_, _ = d.Write(b[:])
	} else {
		_, _ = d.WriteString(string(s.ID))
	}
	return d.Sum64()
}
