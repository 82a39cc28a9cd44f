package pool

import (
	"cmp"
	"math/rand/v2"
	"time"

	"github.com/lycheekeel/lycheekeel/fairshare"
	"github.com/lycheekeel/lycheekeel/internal/decay"
	"github.com/lycheekeel/lycheekeel/pool/estimate"
	"github.com/lycheekeel/lycheekeel/pool/headroom"
	"github.com/lycheekeel/lycheekeel/pool/prefix"
	"github.com/lycheekeel/lycheekeel/pool/score"
	"github.com/lycheekeel/lycheekeel/pool/suspect"
	"github.com/lycheekeel/lycheekeel/pool/tier"
	"github.com/lycheekeel/lycheekeel/request"
)

// TickInterval is how often a pool should be sent a Tick at the least. Held
// requests, probes and expiry are as exact as the ticks.
const TickInterval = 25 * time.Millisecond

// Pool is one pool's scheduler. It is not safe for concurrent use. Equal
// configurations and equal events give equal commands.
type Pool struct {
	cfg      Config
	rng      *rand.Rand
	now      time.Time
	commands []Command

	waiters
	backends
	runs
	observations
	scratch

	suspects  *suspect.Registry
	siblings  map[string]*sibling
	entries   entries
	tally     Tally
	fairShare *fairshare.Ledger
}

// waiters are the requests that wait, and what those were told that don't any more.
type waiters struct {
	queue           *tier.Queue[*waiter]
	isolated        *tier.Queue[*waiter] // suspects, which run alone
	waiting         map[request.ID]*waiter
	held            []*waiter             // of all servers, in the order in which they were held
	extendedCount   [request.MaxTiers]int // waiters beyond their shorter patience
	grantsSinceLate [request.MaxTiers]int // live ones granted since a late one, while some waited
	// retryHorizon is when all callers that were refused will have had room.
	retryHorizon time.Time
}

// backends are the backend servers, and what their caches hold.
type backends struct {
	servers    map[string]*server
	sorted     []*server // the present servers, by name
	byPrefixID [prefix.MaxServers]*server
	nextServer int // round robin's next server
	prefixes   *prefix.Index
	isolation  *server // drains for, or runs, a suspect
}

// runs are the requests that run, by grant and by request.
type runs struct {
	grantSeq      uint64 // of grants
	byGrant       map[GrantID]*run
	byRequest     map[request.ID]*run
	computing     map[uint64]*run // the run that is computing a block now
	reclaimedRuns int             // freeRate that nobody released
}

// observations is what the pool has seen of its callers' requests and its servers' speed.
type observations struct {
	lengths           *estimate.Estimator
	hints             *estimate.Hints
	priors            map[string]score.Profile // comparedAt speed by generation
	fastest           score.Profile            // the best of all servers; zero: unknown
	comparedAt        time.Time
	arrivals          [request.MaxTiers]headroom.Arrivals
	firstTokenTargets [request.MaxTiers]time.Duration // first token, by tier
	servedWork        decay.Rate
	rates             tierRates
	deadlines         deadlines
}

// scratch is worked out anew for each event that may grant, by refresh, and scratch space.
type scratch struct {
	anyHealthy    bool    // a server is up that is no straggler
	freeRate      float64 // totalSlots that come free a second, of so many
	totalSlots    int
	usableServers []*server
	candidates    []*tier.Item[*waiter]
}

// New returns a pool. An unknown policy schedules as PolicyLycheekeel; check
// with Config.Validate first.
func New(cfg Config) *Pool {
	cfg = cfg.withDefaults()
	return &Pool{
		cfg: cfg,
		rng: cfg.newRand(),
		waiters: waiters{
			queue:    tier.NewQueue[*waiter](),
			isolated: tier.NewQueue[*waiter](),
			waiting:  make(map[request.ID]*waiter),
		},
		backends: backends{servers: make(map[string]*server), prefixes: prefix.NewIndex()},
		runs: runs{
			byGrant:   make(map[GrantID]*run),
			byRequest: make(map[request.ID]*run),
			computing: make(map[uint64]*run),
		},
		observations: observations{
			lengths:    estimate.New(),
			hints:      estimate.NewHints(),
			priors:     make(map[string]score.Profile),
			deadlines:  make(deadlines),
			servedWork: decay.Rate{TimeConstant: servedWorkWindow},
			rates:      newTierRates(),
		},
		suspects:  suspect.NewRegistry(cfg.SuspectTTL),
		siblings:  make(map[string]*sibling),
		fairShare: newFairShare(),
	}
}

// Handle takes one event at the time now, and appends the commands that
// follow from it to out. now never goes back.
func (p *Pool) Handle(now time.Time, ev Event, out []Command) []Command {
	p.now, p.commands = now, out
	p.apply(ev)
	p.entries.updateComplete(now)
	p.expire()
	p.evictExcess()
	p.schedule()
	out, p.commands = p.commands, nil
	return out
}

func (p *Pool) apply(ev Event) {
	switch e := ev.(type) {
	case Enqueue:
		p.enqueue(e)
	case Withdraw:
		p.withdraw(e)
	case Progress:
		p.progress(e)
	case Release:
		p.release(e)
	case Running:
		p.adopt(e)
	case EntryReported:
		p.entryReported(e)
	case EntrySet:
		p.setEntries(e)
	case EntryEnded:
		p.entryEnded(e)
	case ServerSet:
		p.setServers(e)
	case QueueBound:
		p.cfg.MaxWaiting = cmp.Or(e.MaxWaiting, defaultMaxWaiting)
	case ServerHealth:
		p.setHealth(e)
	case ServerLoad:
		p.updateLoad(e)
	case ServerCache:
		p.updateCache(e)
	case Sibling:
		p.updateSibling(e)
	case SuspectShared:
		p.mergeSuspect(e)
	case Tick:
		p.tick()
	}
}

func (p *Pool) tick() {
	p.compareServers()
	p.detectOverdue()
	p.reclaimLostRuns()
	p.redirectWhileDown()
}

func (p *Pool) emit(c Command) { p.commands = append(p.commands, c) }

// isBaseline tells whether the pool schedules as a baseline does.
func (p *Pool) isBaseline() bool { return p.cfg.Policy != PolicyLycheekeel }
