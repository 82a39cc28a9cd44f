// Package placement decides which backend server holds which model version:
// a pure planner, and a controller that carries its plan out under a lease.
package placement

import (
	"cmp"
	"slices"

	"github.com/lycheekeel/lycheekeel/engine"
	"github.com/lycheekeel/lycheekeel/request"
)

// Pool is a pool of one model version in one region, with its demand.
type Pool struct {
	Name    string
	Region  string
	Model   string
	Version string
	// Min and Max bound its servers; zero means 1 and no bound.
	Min, Max int
	// Demand is how many requests run or wait at once, by tier.
	Demand [request.MaxTiers]float64
	// Referenced is false where no template asks for the version any more. Such a
	// pool's demand is planned at the wanted versions of its model.
	Referenced bool
}

// Server is a model engine as it was last seen.
type Server struct {
	Name             string
	Region           string
	AvailabilityZone string
	Generation       string
	// Pool is where it serves by the configuration in force.
	Pool      string
	Slots     int
	Reachable bool
	Leaving   bool
	// Warming: it is loading something and serves nothing meanwhile.
	Warming bool
	Models  []engine.LoadedModel
	// CanUnload: it has served its pool for so long that nothing of an earlier
	// pool's can still be on its way to it.
	CanUnload bool
	// ChecksTokens: it refuses orders with older fencing tokens than it has
	// seen. Fenced: it has seen the present one since it started.
	ChecksTokens bool
	Fenced       bool
}

// holds tells whether the server could serve the pool right now.
func (s *Server) holds(p *Pool) bool {
	return slices.ContainsFunc(s.Models, func(m engine.LoadedModel) bool {
		return m.Model == p.Model && m.Version == p.Version
	})
}

func (s *Server) usable() bool { return s.Reachable && !s.Leaving }

func (s *Server) isWarm(p *Pool) bool {
	return s.Pool == p.Name && s.usable() && !s.Warming && s.holds(p)
}

// Move takes a server from one pool to another. It lasts until the server
// serves the new pool by the configuration in force.
type Move struct {
	Server string `json:"server"`
	From   string `json:"from"`
	To     string `json:"to"`
}

// Input is what a plan is made of.
type Input struct {
	Pools   []Pool
	Servers []Server
	// Moves are those of the last plan.
	Moves []Move
	// MaxMoves bounds the moves under way, zero: no bound. It keeps loads
	// within what the weight store grants.
	MaxMoves int
}

// Plan is what should be.
type Plan struct {
	// Targets is how many servers each pool should have at least.
	Targets map[string]int
	// Moves under way, kept ones first.
	Moves []Move
}

// planner is one run of Make.
type planner struct {
	in      Input
	pools   map[string]*Pool
	servers map[string]*Server
	moves   map[string]Move // by server
	plan    Plan

	// Counts kept up to date, so that choosing a server costs no pass over
	// all of them. Servers count where they move to.
	count       map[string]int      // servers of a pool
	spreadCount map[spreadKey]int   // servers of a pool in one zone or generation
	warm        map[string]int      // a pool's warm servers that are not moving
	modelMoves  map[modelRegion]int // moves away from a model's pools
}

// spreadKey is a pool's servers in one AvailabilityZone or of one generation.
type spreadKey struct{ pool, zone, generation string }

// modelRegion is a model in a region, whatever its version.
type modelRegion struct{ model, region string }

// ComputePlan makes the next plan. It is pure; the same input gives the same plan.
// It keeps moves that still make sense, never takes a pool's last warm server,
// and lets one warm server of a model be on its way at a time, so that a
// rollout over N servers keeps N-1 warm.
func ComputePlan(in Input) Plan {
	p := &planner{
		in: in, pools: map[string]*Pool{}, servers: map[string]*Server{},
		moves: map[string]Move{}, count: map[string]int{}, spreadCount: map[spreadKey]int{},
		warm: map[string]int{}, modelMoves: map[modelRegion]int{},
	}
	for i := range in.Pools {
		p.pools[in.Pools[i].Name] = &in.Pools[i]
	}
	for i := range in.Servers {
		p.servers[in.Servers[i].Name] = &in.Servers[i]
	}
	p.plan.Targets = targets(in.Pools, in.Servers)
	for i := range in.Servers {
		p.addCount(&in.Servers[i], in.Servers[i].Pool, 1)
	}
	p.keepMoves()
	for _, to := range p.poolsBelowTarget() {
		for p.count[to.Name] < p.plan.Targets[to.Name] && p.addMove(to) {
		}
	}
	return p.plan
}

// addCount counts a server in a pool, or with n = -1 no more.
func (p *planner) addCount(s *Server, pool string, n int) {
	if !s.usable() {
		return
	}
	p.count[pool] += n
	p.spreadCount[spreadKey{pool: pool, zone: s.AvailabilityZone}] += n
	p.spreadCount[spreadKey{pool: pool, generation: s.Generation}] += n
	if servingPool := p.pools[pool]; servingPool != nil && s.isWarm(servingPool) {
		p.warm[pool] += n
	}
}

// startMove puts a server on its way.
func (p *planner) startMove(s *Server, m Move) {
	p.addCount(s, s.Pool, -1)
	p.addCount(s, m.To, 1)
	if from := p.pools[m.From]; from != nil {
		p.modelMoves[modelRegion{from.Model, from.Region}]++
	}
	p.moves[s.Name] = m
	p.plan.Moves = append(p.plan.Moves, m)
}

// keepMoves takes over the moves that are not done and can still be done. A move
// is dropped when its server has become its old pool's last warm one.
func (p *planner) keepMoves() {
	for _, m := range p.in.Moves {
		s, to := p.servers[m.Server], p.pools[m.To]
		switch {
		case s == nil || to == nil || !s.usable() || s.Region != to.Region:
		case s.Pool == m.To && s.holds(to):
		case p.isLastWarm(s):
		default:
			p.startMove(s, m)
		}
	}
}

// poolsBelowTarget returns the pools below their target, most urgent demand first.
func (p *planner) poolsBelowTarget() []*Pool {
	var out []*Pool
	for _, pool := range byUrgency(p.in.Pools) {
		if p.count[pool.Name] < p.plan.Targets[pool.Name] {
			out = append(out, p.pools[pool.Name])
		}
	}
	return out
}

// addMove starts the best move to the pool; false where there is none.
func (p *planner) addMove(to *Pool) bool {
	if p.in.MaxMoves > 0 && len(p.plan.Moves) >= p.in.MaxMoves {
		return false
	}
	var best *Server
	for i := range p.in.Servers {
		s := &p.in.Servers[i]
		if p.canMove(s, to) && (best == nil || p.preferred(s, best, to)) {
			best = s
		}
	}
	if best == nil {
		return false
	}
	p.startMove(best, Move{Server: best.Name, From: best.Pool, To: to.Name})
	return true
}

// canMove tells whether taking the server does no harm: its pool has more
// than its target, and stays warm.
func (p *planner) canMove(s *Server, to *Pool) bool {
	if _, moving := p.moves[s.Name]; moving || !s.usable() || s.Warming || s.Region != to.Region || s.Pool == to.Name {
		return false
	}
	from := p.pools[s.Pool]
	if from == nil {
		return true
	}
	if p.count[from.Name] <= p.plan.Targets[from.Name] {
		return false
	}
	return !s.isWarm(from) || !p.isLastWarm(s) && !p.modelMoving(from)
}

// isLastWarm tells whether the server is the last warm one of its pool.
func (p *planner) isLastWarm(s *Server) bool {
	pool := p.pools[s.Pool]
	return pool != nil && s.isWarm(pool) && p.warm[s.Pool] <= 1
}

// modelMoving tells whether a server that served any version of the pool's
// model in its region is being moved.
func (p *planner) modelMoving(pool *Pool) bool {
	return p.modelMoves[modelRegion{pool.Model, pool.Region}] > 0
}

// preferred orders candidates for a pool: one that holds the model already needs
// no load; then one that spreads the pool over AvailabilityZones, then over
// generations; then one of the donor with most to spare; then by name.
func (p *planner) preferred(a, b *Server, to *Pool) bool {
	needsLoad := func(s *Server) int {
		if s.holds(to) {
			return 0
		}
		return 1
	}
	sameZone := func(s *Server) int { return p.spreadCount[spreadKey{pool: to.Name, zone: s.AvailabilityZone}] }
	sameGeneration := func(s *Server) int { return p.spreadCount[spreadKey{pool: to.Name, generation: s.Generation}] }
	deficit := func(s *Server) int { return p.plan.Targets[s.Pool] - p.count[s.Pool] }
	return cmp.Or(
		cmp.Compare(needsLoad(a), needsLoad(b)), cmp.Compare(sameZone(a), sameZone(b)),
		cmp.Compare(sameGeneration(a), sameGeneration(b)), cmp.Compare(deficit(a), deficit(b)), cmp.Compare(a.Name, b.Name),
	) < 0
}
