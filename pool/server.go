package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/lycheekeel/lycheekeel/pool/limit"
	"github.com/lycheekeel/lycheekeel/pool/score"
)

const (
	// leavingFor is how long a server's own word that it leaves outweighs a
	// monitor that hasn't noticed.
	leavingFor = 10 * time.Second
	// pauseMin and pauseMax bound how long a server that couldn't be reached
	// is left alone; the time doubles at each failure in a row.
	pauseMin, pauseMax = 250 * time.Millisecond, 5 * time.Second
	// Bounds of the limit on tokens, in thousands.
	kiloTokensMin, kiloTokensMax = 4, 4096
)

// server is one backend server and what the pool knows to run there.
type server struct {
	info        ServerInfo
	index       int  // in the prefix index; -1: none
	present     bool // in the newest ServerSet
	health      Health
	incarnation uint64
	running     []*run
	prefill     int // tokens of granted prompts whose first token hasn't come
	tokens      int // KV memory that the running requests will need, in tokens
	prefilled   int // prefill tokens computed, ever

	speed    *score.Speed
	requests limit.Law // running requests, by time between tokens
	slotted  limit.Law // running requests, by waiting inside the engine
	kilo     limit.Law // thousands of tokens in KV memory
	kv       float64   // measured KV capacity in tokens; zero: unknown
	slots    int       // as the engine itself says; zero: unknown
	// progressed is when a run here last showed that the server works.
	progressed time.Time
	service    float64 // mean seconds from grant to release
	failures   failures
	breaker    breaker
	held       int

	ready       bool // may get grants; by refresh
	most        int  // running requests allowed; by refresh
	straggler   bool
	overdue     bool
	probeAt     time.Time
	probeWait   time.Duration
	leavingTill time.Time
	pausedTill  time.Time
	pause       time.Duration
	crashed     time.Time // the last crash
	back        time.Time // when it was first seen to run after that; zero: not yet
	lost        []*run    // released as broken of late
}

func (p *Pool) setServers(e ServerSet) {
	for _, s := range p.order {
		s.present = false
	}
	p.order = p.order[:0]
	for _, info := range e.Servers {
		if info.Slots <= 0 {
			info.Slots = p.cfg.DefaultSlots
		}
		s := p.server(info.Name)
		if s.present {
			continue // named twice
		}
		s.present = true
		p.configure(s, info)
		p.order = append(p.order, s)
	}
	slices.SortFunc(p.order, func(a, b *server) int { return cmp.Compare(a.info.Name, b.info.Name) })
	p.forgetServers()
	p.fastest = score.Prior{}
}

// configure sets what the configuration says. A changed number of slots or
// generation starts the limits or the speed afresh.
func (p *Pool) configure(s *server, info ServerInfo) {
	if s.requests == nil || s.info.Slots != info.Slots {
		bounds := limit.Bounds{Min: 1, Max: float64(info.Slots), Start: float64(info.Slots)}
		s.requests = limit.New(p.cfg.Law, bounds)
		s.slotted = limit.New(limit.AIMD, bounds)
		s.kilo = limit.New(limit.AIMD, limit.Bounds{Min: kiloTokensMin, Max: kiloTokensMax, Start: kiloTokensMax})
	}
	if s.speed == nil || s.info.Generation != info.Generation {
		s.speed = score.NewSpeed(p.prior(info.Generation))
	}
	if s.info.Incarnation != "" && s.info.Incarnation != info.Incarnation {
		p.startedAgain(s)
	}
	s.info = info
	if s.index < 0 {
		s.index = p.freeIndex()
		if s.index >= 0 {
			p.byIndex[s.index] = s
		}
	}
}

// startedAgain forgets what was true of a server's former incarnation: what ran
// there has ended, what it cached is lost, and why it was left alone is over. Its
// speed is the machine's and stays.
//
// What goes wrong without it: a server that crashed and is back stands idle while
// the runs of its former incarnation count, for as long as their entries wait for
// answers, and while it is left alone for that one's failures.
func (p *Pool) startedAgain(s *server) {
	for len(s.running) > 0 {
		r := s.running[len(s.running)-1]
		p.removeRun(r)
		if r.alone {
			p.aloneEnded(r, OutcomeBroken)
		}
	}
	p.forgetCache(s)
	s.failures, s.breaker, s.lost = failures{}, breaker{}, nil
	s.leavingTill, s.pausedTill, s.pause = time.Time{}, time.Time{}, 0
	s.progressed = p.now
}

func (p *Pool) freeIndex() int {
	for i := range p.byIndex {
		if p.byIndex[i] == nil {
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
		s = &server{info: ServerInfo{Name: name}, index: -1}
		p.servers[name] = s
	}
	return s
}

// forgetServers drops servers that are gone and on which nothing runs.
func (p *Pool) forgetServers() {
	for name, s := range p.servers {
		if s.present || len(s.running) > 0 {
			continue
		}
		if s.index >= 0 {
			p.prefixes.Forget(s.index)
			p.byIndex[s.index] = nil
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
		if restarted && !s.back.IsZero() {
			s.crashed = time.Time{} // it was seen to run since that crash
		}
		p.serverCrashed(s, nil)
	}
	if restarted {
		p.forgetCache(s)
	}
	if restarted || e.Health == HealthUp && was == HealthGone {
		s.back = p.now
	}
	if e.Health == HealthUp && was == HealthGone {
		s.pausedTill, s.pause = time.Time{}, 0
	}
}

func (p *Pool) forgetCache(s *server) {
	if s.index >= 0 {
		p.prefixes.Forget(s.index)
	}
}

// up tells whether a server may get a grant at all.
func (p *Pool) up(s *server) bool {
	return s.present && s.health == HealthUp && !p.now.Before(s.leavingTill) && !p.now.Before(s.pausedTill)
}

// leaveAlone stops grants to a server that could not be reached, for longer
// at each failure in a row.
func (p *Pool) leaveAlone(s *server) {
	s.pause = min(max(2*s.pause, pauseMin), pauseMax)
	s.pausedTill = p.now.Add(s.pause)
}

func (p *Pool) learnCache(e ServerCache) {
	s := p.servers[e.Server]
	if s == nil || s.index < 0 || p.plain() {
		return
	}
	if e.Gap {
		p.prefixes.Gap(s.index)
	}
	for _, ev := range e.Events {
		if ev.Stored {
			p.prefixes.StoreBlock(p.now, s.index, ev.Block)
		} else {
			p.prefixes.Evict(p.now, s.index, ev.Block)
		}
	}
}

// indexSet is the servers of a list as a set of the prefix index.
func indexSet(servers []*server) uint64 {
	var set uint64
	for _, s := range servers {
		if s.index >= 0 {
			set |= 1 << s.index
		}
	}
	return set
}
