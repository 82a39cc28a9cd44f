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
	cfg    Config
	random *rand.Rand
	now    time.Time
	out    []Command

	waiters
	backends
	runs
	learned
	perEvent

	suspects *suspect.Register
	siblings map[string]*sibling
	entries  entries
	tally    Tally
	shares   *fairshare.Ledger
}

// waiters are the requests that wait, and what those were told that don't any more.
type waiters struct {
	queue    *tier.Queue[*waiter]
	isolated *tier.Queue[*waiter] // suspects, which run alone
	waiting  map[request.ID]*waiter
	held     []*waiter             // of all servers, in the order in which they were held
	waitOn   [request.MaxTiers]int // waiters beyond their shorter patience
	passed   [request.MaxTiers]int // live ones granted since a late one, while some waited
	// returnsUntil is when all callers that were refused will have had room.
	returnsUntil time.Time
}

// backends are the backend servers, and what their caches hold.
type backends struct {
	servers  map[string]*server
	order    []*server // the present servers, by name
	byIndex  [prefix.MaxServers]*server
	next     int // round robin's next server
	prefixes *prefix.Index
	alone    *server // drains for, or runs, a suspect
}

// runs are the requests that run, by grant and by request.
type runs struct {
	seq      uint64 // of grants
	byGrant  map[GrantID]*run
	granted  map[request.ID]*run
	pending  map[uint64]*run // the run that is computing a block now
	lostRuns int             // freed that nobody released
}

// learned is what the pool has seen of its callers' requests and its servers' speed.
type learned struct {
	lengths   *estimate.Estimator
	hints     *estimate.Hints
	peers     map[string]score.Prior // measured speed by generation
	fastest   score.Prior            // the best of all servers; zero: unknown
	measured  time.Time
	arrivals  [request.MaxTiers]headroom.Arrivals
	targets   [request.MaxTiers]time.Duration // first token, by tier
	served    decay.Rate
	pace      pace
	deadlines deadlines
}

// perEvent is worked out anew for each event that may grant, by refresh, and scratch space.
type perEvent struct {
	sound bool    // a server is up that is no straggler
	freed float64 // slots that come free a second, of so many
	slots int
	free  []*server
	near  []*tier.Item[*waiter]
}

// New returns a pool. An unknown policy schedules as PolicyLycheekeel; check
// with Config.Validate first.
func New(cfg Config) *Pool {
	cfg = cfg.withDefaults()
	return &Pool{
		cfg:    cfg,
		random: cfg.random(),
		waiters: waiters{
			queue:    tier.NewQueue[*waiter](),
			isolated: tier.NewQueue[*waiter](),
			waiting:  make(map[request.ID]*waiter),
		},
		backends: backends{servers: make(map[string]*server), prefixes: prefix.NewIndex()},
		runs: runs{
			byGrant: make(map[GrantID]*run),
			granted: make(map[request.ID]*run),
			pending: make(map[uint64]*run),
		},
		learned: learned{
			lengths:   estimate.New(),
			hints:     estimate.NewHints(),
			peers:     make(map[string]score.Prior),
			deadlines: make(deadlines),
			served:    decay.Rate{TimeConstant: flowTime},
			pace:      newPace(),
		},
		suspects: suspect.NewRegister(cfg.Verdict),
		siblings: make(map[string]*sibling),
		shares:   newShares(),
	}
}

// Handle takes one event at the time now, and appends the commands that
// follow from it to out. now never goes back.
func (p *Pool) Handle(now time.Time, ev Event, out []Command) []Command {
	p.now, p.out = now, out
	p.take(ev)
	p.entries.settle(now)
	p.expire()
	p.trim()
	p.schedule()
	out, p.out = p.out, nil
	return out
}

func (p *Pool) take(ev Event) {
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
		p.learnLoad(e)
	case ServerCache:
		p.learnCache(e)
	case Sibling:
		p.learnSibling(e)
	case SuspectShared:
		p.learnSuspect(e)
	case Tick:
		p.tick()
	}
}

func (p *Pool) tick() {
	p.measure()
	p.watchOverdue()
	p.freeLost()
	p.relieve()
}

func (p *Pool) emit(c Command) { p.out = append(p.out, c) }

// plain tells whether the pool schedules as a baseline does.
func (p *Pool) plain() bool { return p.cfg.Policy != PolicyLycheekeel }
