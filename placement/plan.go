// Package placement decides which backend server holds which model version. It consists
// of a pure planner and a controller that executes its plan while holding a lease.
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
	// Min and Max bound the number of servers; 0 means 1 and no limit.
	Min, Max int
	// Demand is the number of running and waiting requests by tier.
	Demand [request.MaxTiers]float64
	// Referenced is false if no template references the version any more. The demand of
	// such a pool is planned for the referenced versions of the same model.
	Referenced bool
}

// Server is a model engine in its last observed state.
type Server struct {
	Name             string
	Region           string
	AvailabilityZone string
	Generation       string
	// Pool is the pool that it serves according to the current configuration.
	Pool      string
	Slots     int
	Reachable bool
	Leaving   bool
	// Warming: it is loading a model and serves nothing meanwhile.
	Warming bool
	Models  []engine.LoadedModel
	// CanUnload: it has served its pool for so long that no request granted by an
	// earlier pool can still be on its way to it.
	CanUnload bool
	// ChecksTokens: it refuses orders with fencing tokens older than the newest it has
	// seen. Fenced: it has seen the current token since its start.
	ChecksTokens bool
	Fenced       bool
}

// holds reports whether the server has the pool's model version loaded.
func (s *Server) holds(p *Pool) bool {
	return slices.ContainsFunc(s.Models, func(m engine.LoadedModel) bool {
		return m.Model == p.Model && m.Version == p.Version
	})
}

func (s *Server) usable() bool { return s.Reachable && !s.Leaving }

func (s *Server) isWarm(p *Pool) bool {
	return s.Pool == p.Name && s.usable() && !s.Warming && s.holds(p)
}

// Move moves a server from one pool to another. It ends when the server serves the new
// pool according to the current configuration.
type Move struct {
	Server string `json:"server"`
	From   string `json:"from"`
	To     string `json:"to"`
}

// Input is the input of the planner.
type Input struct {
	Pools   []Pool
	Servers []Server
	// Moves are the moves of the previous plan.
	Moves []Move
	// MaxMoves limits the moves in progress; 0 means no limit. It keeps the number of
	// loads within the weight store's rate.
	MaxMoves int
}

// Plan is the planner's result.
type Plan struct {
	// Targets is the minimum number of servers for each pool.
	Targets map[string]int
	// Moves are the moves in progress, those kept from the previous plan first.
	Moves []Move
}

// planner is the state of one ComputePlan call.
type planner struct {
	in      Input
	pools   map[string]*Pool
	servers map[string]*Server
	moves   map[string]Move // by server
	plan    Plan

	// Incremental counts, so that choosing a server needs no pass over all of them. A
	// moving server counts in its destination pool.
	count       map[string]int      // servers of a pool
	spreadCount map[spreadKey]int   // servers of a pool in an AvailabilityZone or generation
	warm        map[string]int      // warm servers of a pool that are not moving
	modelMoves  map[modelRegion]int // moves away from a model's pools
}

// spreadKey identifies the servers of a pool in one AvailabilityZone or of one
// generation.
type spreadKey struct{ pool, zone, generation string }

// modelRegion is a model in a region, in any version.
type modelRegion struct{ model, region string }

// ComputePlan computes the next plan. It is a pure function. It keeps moves that are
// still useful, never moves a pool's last warm server, and moves only one warm server
// of a model at a time, so that a rollout over N servers keeps N-1 of them warm.
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

// addCount adds n, 1 or -1, to the counts of the server in the pool.
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

// startMove adds a move to the plan.
func (p *planner) startMove(s *Server, m Move) {
	p.addCount(s, s.Pool, -1)
	p.addCount(s, m.To, 1)
	if from := p.pools[m.From]; from != nil {
		p.modelMoves[modelRegion{from.Model, from.Region}]++
	}
	p.moves[s.Name] = m
	p.plan.Moves = append(p.plan.Moves, m)
}

// keepMoves keeps the previous moves that are neither finished nor impossible. A move
// is dropped if its server has become the last warm one of its old pool.
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

// addMove starts the best move to the pool and returns false if there is none.
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

// canMove reports whether the server can be moved to the pool: its own pool must have
// more servers than its target and keep a warm one.
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

// isLastWarm reports whether the server is the last warm one of its pool.
func (p *planner) isLastWarm(s *Server) bool {
	pool := p.pools[s.Pool]
	return pool != nil && s.isWarm(pool) && p.warm[s.Pool] <= 1
}

// modelMoving reports whether a server of any version of the pool's model is being
// moved within the region.
func (p *planner) modelMoving(pool *Pool) bool {
	return p.modelMoves[modelRegion{pool.Model, pool.Region}] > 0
}

// preferred reports whether a is a better candidate for the pool than b. The criteria
// are, in order: a loaded model needs no load; spread over AvailabilityZones; spread
// over generations; the largest surplus of the server's own pool; the name.
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
