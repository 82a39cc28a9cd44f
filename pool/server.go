package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/lycheekeel/lycheekeel/pool/limit"
	"github.com/lycheekeel/lycheekeel/pool/score"
)

const (
	// leavingTimeout is how long a server's own word that it leaves outweighs a
	// monitor that hasn't noticed.
	leavingTimeout = 10 * time.Second
	// unreachableBackoffMin and unreachableBackoffMax bound how long a server that couldn't be reached
	// is left alone; the time doubles at each failure in a row.
	unreachableBackoffMin, unreachableBackoffMax = 250 * time.Millisecond, 5 * time.Second
	// Bounds of the limit on tokens, in thousands.
	kiloTokensMin, kiloTokensMax = 4, 4096
)

// server is one backend server and what the pool knows to run there.
type server struct {
	info           ServerInfo
	prefixID       int  // in the prefix index; -1: none
	configured     bool // in the newest ServerSet
	health         Health
	incarnation    uint64
	running        []*run
	pendingPrefill int // kvTokens of granted prompts whose first token hasn't come
	kvTokens       int // KV memory that the running requests will need, in tokens
	prefillTotal   int // pendingPrefill tokens computed, ever

	speed          *score.LatencyModel
	tokenRateLimit limit.Algorithm // running requests, by time between tokens
	queueingLimit  limit.Algorithm // running requests, by waiting inside the engine
	memoryLimit    limit.Algorithm // thousands of tokens in KV memory
	kvCapacity     float64         // measured KV capacity in tokens; zero: unknown
	engineSlots    int             // as the engine itself says; zero: unknown
	// lastProgress is when a run here last showed that the server works.
	lastProgress time.Time
	meanService  float64 // mean seconds from grant to release
	failureRate  failureRate
	breaker      breaker
	heldCount    int

	grantable    bool // may get grants; by refresh
	maxRunning   int  // running requests allowed; by refresh
	straggler    bool
	overdue      bool
	probeAt      time.Time
	probeBackoff time.Duration
	leavingUntil time.Time
	pausedUntil  time.Time
	backoff      time.Duration
	crashedAt    time.Time // the last crash
	recoveredAt  time.Time // when it was first seen to run after that; zero: not yet
	lostRuns     []*run    // released as broken of late
}

func (p *Pool) setServers(e ServerSet) {
	for _, s := range p.sorted {
		s.configured = false
	}
	p.sorted = p.sorted[:0]
	for _, info := range e.Servers {
		if info.Slots <= 0 {
			info.Slots = p.cfg.DefaultSlots
		}
		s := p.server(info.Name)
		if s.configured {
			continue // named twice
		}
		s.configured = true
		p.configure(s, info)
		p.sorted = append(p.sorted, s)
	}
	slices.SortFunc(p.sorted, func(a, b *server) int { return cmp.Compare(a.info.Name, b.info.Name) })
	p.removeIdleServers()
	p.fastest = score.Profile{}
}

// configure sets what the configuration says. A changed number of slots or
// generation starts the limits or the speed afresh.
func (p *Pool) configure(s *server, info ServerInfo) {
	if s.tokenRateLimit == nil || s.info.Slots != info.Slots {
		bounds := limit.Bounds{Min: 1, Max: float64(info.Slots), Start: float64(info.Slots)}
		s.tokenRateLimit = limit.New(p.cfg.Law, bounds)
		s.queueingLimit = limit.New(limit.AIMD, bounds)
		s.memoryLimit = limit.New(limit.AIMD, limit.Bounds{Min: kiloTokensMin, Max: kiloTokensMax, Start: kiloTokensMax})
	}
	if s.speed == nil || s.info.Generation != info.Generation {
		s.speed = score.NewLatencyModel(p.prior(info.Generation))
	}
	if s.info.Incarnation != "" && s.info.Incarnation != info.Incarnation {
		p.resetIncarnation(s)
	}
	s.info = info
	if s.prefixID < 0 {
		s.prefixID = p.freePrefixID()
		if s.prefixID >= 0 {
			p.byPrefixID[s.prefixID] = s
		}
	}
}

// resetIncarnation forgets what was true of a server's former incarnation: what ran
// there has ended, what it cached is lost, and why it was left alone is over. Its
// speed is the machine's and stays.
//
// What goes wrong without it: a server that crashed and is back stands idle while
// the runs of its former incarnation count, for as long as their entries wait for
// answers, and while it is left alone for that one's failures.
func (p *Pool) resetIncarnation(s *server) {
	for len(s.running) > 0 {
		r := s.running[len(s.running)-1]
		p.removeRun(r)
		if r.suspect {
			p.suspectEnded(r, OutcomeStreamLost)
		}
	}
	p.forgetCache(s)
	s.failureRate, s.breaker, s.lostRuns = failureRate{}, breaker{}, nil
	s.leavingUntil, s.pausedUntil, s.backoff = time.Time{}, time.Time{}, 0
	s.lastProgress = p.now
}

func (p *Pool) freePrefixID() int {
	for i := range p.byPrefixID {
		if p.byPrefixID[i] == nil {
			return i
		}
	}
	return -1
}

// server returns the named server; one that is not in the newest ServerSet
// gets no grant, but what runs there is counted.
func (p *Pool) server(name string) *server {
	s := p.servers[name]
	if s == nil {
		s = &server{info: ServerInfo{Name: name}, prefixID: -1}
		p.servers[name] = s
	}
	return s
}

// removeIdleServers drops servers that are gone and on which nothing runs.
func (p *Pool) removeIdleServers() {
	for name, s := range p.servers {
		if s.configured || len(s.running) > 0 {
			continue
		}
		if s.prefixID >= 0 {
			p.prefixes.Reset(s.prefixID)
			p.byPrefixID[s.prefixID] = nil
		}
		delete(p.servers, name)
	}
}

// setHealth takes the monitor's word. A new incarnation means that the engine
// restarted: it lost what it ran and cached.
func (p *Pool) setHealth(e ServerHealth) {
	s := p.servers[e.Server]
	if s == nil {
		return
	}
	was := s.health
	s.health = e.Health
	restarted := e.Incarnation != 0 && s.incarnation != 0 && e.Incarnation != s.incarnation
	if e.Incarnation != 0 {
		s.incarnation = e.Incarnation
	}
	if restarted || e.Health == HealthGone && was != HealthGone {
		if restarted && !s.recoveredAt.IsZero() {
			s.crashedAt = time.Time{} // it was seen to run since that crash
		}
		p.serverCrashed(s, nil)
	}
	if restarted {
		p.forgetCache(s)
	}
	if restarted || e.Health == HealthUp && was == HealthGone {
		s.recoveredAt = p.now
	}
	if e.Health == HealthUp && was == HealthGone {
		s.pausedUntil, s.backoff = time.Time{}, 0
	}
}

func (p *Pool) forgetCache(s *server) {
	if s.prefixID >= 0 {
		p.prefixes.Reset(s.prefixID)
	}
}

// up tells whether a server may get a grant at all.
func (p *Pool) up(s *server) bool {
	return s.configured && s.health == HealthUp && !p.now.Before(s.leavingUntil) && !p.now.Before(s.pausedUntil)
}

// pauseServer stops grants to a server that could not be reached, for longer
// at each failure in a row.
func (p *Pool) pauseServer(s *server) {
	s.backoff = min(max(2*s.backoff, unreachableBackoffMin), unreachableBackoffMax)
	s.pausedUntil = p.now.Add(s.backoff)
}

func (p *Pool) updateCache(e ServerCache) {
	s := p.servers[e.Server]
	if s == nil || s.prefixID < 0 || p.isBaseline() {
		return
	}
	if e.Gap {
		p.prefixes.EventsMissed(s.prefixID)
	}
	for _, ev := range e.Events {
		if ev.Stored {
			p.prefixes.StoreBlock(p.now, s.prefixID, ev.Block)
		} else {
			p.prefixes.Evict(p.now, s.prefixID, ev.Block)
		}
	}
}

// prefixSet is the servers of a list as a set of the prefix index.
func prefixSet(servers []*server) uint64 {
	var set uint64
	for _, s := range servers {
		if s.prefixID >= 0 {
			set |= 1 << s.prefixID
		}
	}
	return set
}
