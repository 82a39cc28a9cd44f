package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/lycheekeel/lycheekeel/pool/limit"
	"github.com/lycheekeel/lycheekeel/pool/score"
)

const (
	// leavingTimeout is how long a server's own report that it is leaving overrides the
	// health monitor, which may not have noticed yet.
	leavingTimeout = 10 * time.Second
	// unreachableBackoffMin is how long an unreachable server gets no grants. It doubles
	// with each consecutive failure, up to unreachableBackoffMax.
	unreachableBackoffMin, unreachableBackoffMax = 250 * time.Millisecond, 5 * time.Second
	// kiloTokensMin and kiloTokensMax bound the limit on KV memory, in thousands of tokens.
	kiloTokensMin, kiloTokensMax = 4, 4096
)

// server is a backend server and the pool's knowledge of its state.
type server struct {
	info           ServerInfo
	prefixID       int  // ID in the prefix index; -1 means none
	configured     bool // listed in the latest ServerSet
	health         Health
	incarnation    uint64
	running        []*run
	pendingPrefill int // prompt tokens of granted requests without a first token
	kvTokens       int // KV memory that the running requests will need, in tokens
	prefillTotal   int // prefill tokens computed since the start

	latency       *score.LatencyModel
	latencyLimit  limit.Algorithm // limit on running requests, from the time between tokens or of a call
	queueingLimit limit.Algorithm // limit on running requests, from queueing inside the engine
	memoryLimit   limit.Algorithm // limit on KV memory, in thousands of tokens
	kvCapacity    float64         // measured KV capacity, in tokens; zero means unknown
	engineSlots   int             // slots reported by the engine; zero means unknown
	// lastProgress is when a run last showed that the server works.
	lastProgress time.Time
	meanService  float64 // mean time from grant to release, in seconds
	failureRate  failureRate
	breaker      breaker
	heldCount    int

	grantable    bool // may get grants; set by refreshServers
	maxRunning   int  // limit on running requests; set by refreshServers
	gapBudget    int  // tokens that it can prefill within the gap target; set by refreshServers
	straggler    bool // much slower than its peers
	overdue      bool // a first token is overdue
	probeAt      time.Time
	probeBackoff time.Duration
	leavingUntil time.Time
	// announcedLeaving is set once this incarnation has announced that it stops.
	announcedLeaving bool
	pausedAt         time.Time // when its last pause began
	pausedUntil      time.Time
	backoff          time.Duration
	crashedAt        time.Time // time of the last crash
	recoveredAt      time.Time // when it was first seen running after the crash; zero means not yet
	lostRuns         []*run    // runs whose streams were lost recently
	rate             serverRate
	room             room
	extraCalls       extraCalls
	lostAnswers      []lostAnswer
	goneSince        time.Time // when its process was found to have ended; zero means not
	goneReports      []goneReport
}

func (p *Pool) setServers(e ServerSet) {
	p.setRateShare(cmp.Or(e.RateShare, 1))
	before := slices.Clone(p.sorted)
	for _, s := range before {
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
	for _, s := range before {
		if !s.configured {
			p.serverDisappeared(s)
		}
	}
	p.removeIdleServers()
	p.updateBearable()
	p.fastest = score.Profile{}
	p.refuseUnlistedVersions()
}

// configure applies a server's configuration. A changed number of slots resets the
// limits; a changed generation resets the latency model.
func (p *Pool) configure(s *server, info ServerInfo) {
	if s.latencyLimit == nil || s.info.Slots != info.Slots {
		bounds := limit.Bounds{Min: 1, Max: float64(info.Slots), Start: float64(info.Slots)}
		s.latencyLimit = limit.New(p.cfg.LimitAlgorithm, bounds)
		s.queueingLimit = limit.New(limit.AIMD, bounds)
		s.memoryLimit = limit.New(limit.AIMD, limit.Bounds{Min: kiloTokensMin, Max: kiloTokensMax, Start: kiloTokensMax})
	}
	if s.latency == nil || s.info.Generation != info.Generation {
		s.latency = score.NewLatencyModel(p.initialProfile(info.Generation))
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

// resetIncarnation discards the state of a server's previous incarnation: its runs, its
// cache, its failures and its backoff. The latency model describes the machine and stays.
//
// Without it, a restarted server would stay idle while the runs of its previous
// incarnation are counted, until their entries stop waiting for answers, and while the
// backoff for the old failures lasts.
func (p *Pool) resetIncarnation(s *server) {
	for _, r := range s.running {
		p.answerLost(r, p.lossOf(r))
	}
	p.serverGone(s)
	s.goneSince = time.Time{}
	for len(s.running) > 0 {
		r := s.running[len(s.running)-1]
		p.removeRun(r)
		if r.suspect {
			p.suspectEnded(r, OutcomeStreamLost)
		}
	}
	p.forgetCache(s)
	p.endPushbacks(s)
	s.rate = serverRate{}
	s.room.accepted = 0
	s.extraCalls = extraCalls{}
	s.failureRate, s.breaker, s.lostRuns = failureRate{}, breaker{}, nil
	s.leavingUntil, s.announcedLeaving, s.pausedUntil, s.backoff = time.Time{}, false, time.Time{}, 0
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

// server returns the named server. A server that is not in the latest ServerSet is
// added without grants, so that its runs are counted.
func (p *Pool) server(name string) *server {
	s := p.servers[name]
	if s == nil {
		s = &server{info: ServerInfo{Name: name}, prefixID: -1}
		p.servers[name] = s
	}
	return s
}

// removeIdleServers removes servers that are not configured and have no runs.
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

// setHealth applies a report of the health monitor. A new incarnation means that the
// engine restarted and lost its runs and its cache.
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
			s.crashedAt = time.Time{} // it has run since that crash
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
	if e.Health == HealthLeaving && was != HealthLeaving {
		p.refuseUnlistedVersions()
	}
}

func (p *Pool) forgetCache(s *server) {
	if s.prefixID >= 0 {
		p.prefixes.Reset(s.prefixID)
	}
}

// up reports whether a server is configured, healthy and neither leaving nor in
// backoff.
func (p *Pool) up(s *server) bool {
	return s.configured && s.health == HealthUp && !p.leaving(s) && !p.now.Before(s.pausedUntil)
}

// acceptsNow reports whether a server is up, and takes another request by the limit that
// it names and by its room.
func (p *Pool) acceptsNow(s *server) bool {
	return p.up(s) && s.rate.allows(p.now) && p.bearsAnother(s)
}

// pauseServer stops grants to an unreachable server. The pause doubles with each
// consecutive failure.
func (p *Pool) pauseServer(s *server) {
	s.backoff = nextBackoff(s.backoff)
	s.pausedAt, s.pausedUntil = p.now, p.now.Add(s.backoff)
}

func nextBackoff(last time.Duration) time.Duration {
	return min(max(2*last, unreachableBackoffMin), unreachableBackoffMax)
}

// pauseForAll stops grants to a server because of a run's end, and logs that. Runs granted
// before the last pause began count as one failure with that.
func (p *Pool) pauseForAll(r *run, refused bool) {
	s := r.server
	paused := p.now.Before(s.pausedUntil)
	if !r.grantedAt.After(s.pausedAt) {
		return
	}
	p.pauseServer(s)
	if !paused {
		p.emit(ServerPaused{Server: s.info.Name, Entry: r.entry, For: s.backoff, Refused: refused})
	}
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

// prefixSet returns the servers as a bit set of prefix IDs.
func prefixSet(servers []*server) uint64 {
	var set uint64
	for _, s := range servers {
		if s.prefixID >= 0 {
			set |= 1 << s.prefixID
		}
	}
	return set
}
