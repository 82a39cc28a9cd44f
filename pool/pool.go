package pool

import (
	"math/rand/v2"
	"time"

	"github.com/lycheekeel/lycheekeel/pool/tier"
	"github.com/lycheekeel/lycheekeel/request"
)

// Pool is one pool's scheduler. It is not safe for concurrent use. Equal
// configurations and equal events give equal commands.
type Pool struct {
	cfg    Config
	random *rand.Rand
	now    time.Time
	out    []Command
	seq    uint64 // of grants

	queue   *tier.Queue[*waiter]
	waiting map[request.ID]*waiter
	servers map[string]*server
	order   []*server // the present servers, by name
	runs    map[GrantID]*run
	granted map[request.ID]*run
	next    int // round robin's next server
}

// New returns a pool. An unknown policy schedules as PolicyLycheekeel; check
// with Config.Validate first.
func New(cfg Config) *Pool {
	cfg = cfg.withDefaults()
	return &Pool{
		cfg:     cfg,
		random:  cfg.random(),
		queue:   tier.NewQueue[*waiter](),
		waiting: make(map[request.ID]*waiter),
		servers: make(map[string]*server),
		runs:    make(map[GrantID]*run),
		granted: make(map[request.ID]*run),
	}
}

// Handle takes one event at the time now, and appends the commands that
// follow from it to out. now never goes back.
func (p *Pool) Handle(now time.Time, ev Event, out []Command) []Command {
	p.now, p.out = now, out
	switch e := ev.(type) {
	case Enqueue:
		p.enqueue(e)
	case Withdraw:
		p.withdraw(e)
	case Release:
		p.release(e)
	case Running:
		p.adopt(e)
	case EntrySet:
		p.setEntries(e)
	case ServerSet:
		p.setServers(e)
	case ServerHealth:
		p.setHealth(e)
	}
	p.expire()
	p.schedule()
	out, p.out = p.out, nil
	return out
}

func (p *Pool) emit(c Command) { p.out = append(p.out, c) }
