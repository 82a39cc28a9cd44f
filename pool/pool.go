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

// TickInterval is the longest time that should pass between two Ticks. It limits the
// accuracy of holds, probes and expiry.
const TickInterval = 25 * time.Millisecond

// Pool is the scheduler of one pool. It is not safe for concurrent use. The same
// configuration and events always produce the same commands.
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

// waiters holds the waiting requests and the state of shedding.
type waiters struct {
	queue           *tier.Queue[*waiter]
	isolated        *tier.Queue[*waiter] // suspects, which run alone
	waiting         map[request.ID]*waiter
	held            []*waiter             // of all servers, in the order of their holds
	extendedCount   [request.MaxTiers]int // waiters on an extended wait, by tier
	grantsSinceLate [request.MaxTiers]int // on-time requests granted since the last late one, while a late one waited
	contendedAt     time.Time             // when a request was last refused for want of a slot
	// retryHorizon is the time by which all callers that were shed should have had the
	// chance to get a slot on a retry.
	retryHorizon time.Time
}

// backends holds the backend servers and the index of their prefix caches.
type backends struct {
	servers    map[string]*server
	sorted     []*server // configured servers, by name
	byPrefixID [prefix.MaxServers]*server
	nextServer int // next server for round robin
	prefixes   *prefix.Index
	isolation  *server // drains for a suspect, or runs one
	rateShare  float64 // of the servers' limits on requests per second
	// brittleInheritedAt is when an entry last told what it knew from an earlier owner.
	brittleInheritedAt time.Time
	bearable           int // rejections per second that each server bears; notBrittle if any
}

// runs holds the running requests by grant and by request.
type runs struct {
	grantSeq      uint64 // sequence number of the last grant
	byGrant       map[GrantID]*run
	byRequest     map[request.ID]*run
	computing     map[uint64]*run // by block: the run that is computing it
	reclaimedRuns int             // runs removed without a release
}

// observations holds statistics of requests and of server latencies.
type observations struct {
	lengths           *estimate.Estimator
	hintEstimator     *estimate.HintEstimator
	profiles          map[string]score.Profile // measured latency profile by generation
	fastest           score.Profile            // best latencies of all servers; zero means unknown
	comparedAt        time.Time
	arrivals          [request.MaxTiers]headroom.Arrivals
	firstTokenTargets [request.MaxTiers]time.Duration // most recent first-token target, by tier
	servedWork        decay.Rate
	rates             tierRates
	deadlines         deadlines
	callTimes         callTimes
}

// scratch holds values that refreshServers computes for each event that may lead to a
// grant, and reusable buffers.
type scratch struct {
	anyHealthy    bool    // a server can get grants and is neither a straggler nor overdue
	freeRate      float64 // slots freed per second when all totalSlots are in use
	totalSlots    int
	openBudget    int  // gap budget from which a server is open to every prompt
	passedOver    bool // a request was kept from a free slot by finishesTooLate
	takeAnyServer bool // finishesTooLate keeps no request from a slot
	usableServers []*server
	candidates    []*tier.Item[*waiter]
}

// New returns a pool. An unknown policy is treated as PolicyLycheekeel; callers should
// check the configuration with Config.Validate first.
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
		backends: backends{servers: make(map[string]*server), prefixes: prefix.NewIndex(), bearable: notBrittle},
		runs: runs{
			byGrant:   make(map[GrantID]*run),
			byRequest: make(map[request.ID]*run),
			computing: make(map[uint64]*run),
		},
		observations: observations{
			lengths:       estimate.New(),
			hintEstimator: estimate.NewHintEstimator(),
			profiles:      make(map[string]score.Profile),
			deadlines:     make(deadlines),
			servedWork:    decay.Rate{TimeConstant: servedWorkWindow},
			rates:         newTierRates(),
		},
		suspects:  suspect.NewRegistry(cfg.suspectRules()),
		siblings:  make(map[string]*sibling),
		fairShare: newFairShare(),
	}
}

// Handle processes one event at time now and appends the resulting commands to out.
// now must not decrease between calls.
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
	case RateLimited:
		p.rateLimited(e)
	case Brittle:
		p.brittleNamed(e)
	case Leaving:
		p.serverLeaves(e)
	case Pushback:
		p.pushedBack(e)
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
	case TraitsSet:
		p.cfg.Traits = e.Traits
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
	p.reconsiderInfeasible()
	p.detectOverdue()
	p.reclaimLostRuns()
	p.redirectWhileDown()
}

func (p *Pool) emit(c Command) { p.commands = append(p.commands, c) }

// isBaseline reports whether the pool runs a baseline policy.
func (p *Pool) isBaseline() bool { return p.cfg.Policy != PolicyLycheekeel }
