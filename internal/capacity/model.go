package capacity

import (
	"math"
	"time"

	"github.com/lycheekeel/lycheekeel/internal/daemon"
	"github.com/lycheekeel/lycheekeel/internal/entry"
	"github.com/lycheekeel/lycheekeel/internal/peer"
	"github.com/lycheekeel/lycheekeel/internal/poolhost"
	"github.com/lycheekeel/lycheekeel/placement"
)

// Role is one of the roles of a daemon.
type Role string

// The roles.
const (
	RoleMember     Role = "member"
	RoleWatcher    Role = "watcher"
	RoleEntry      Role = "entry"
	RoleOwner      Role = "pool owner"
	RoleController Role = "controller"
)

// NodeCost is one cost of a node in a role.
type NodeCost struct {
	Role Role
	Name string
	// Control marks costs that do not depend on the request rate. The others grow with
	// requests and tokens.
	Control bool
	// Mechanism names what causes or bounds the cost.
	Mechanism string
	// Messages and Bytes are sent per second, CPU is in cores, Memory in bytes.
	Messages, Bytes, CPU, Memory float64
}

// Bound limits a node's control costs: CPU in cores, Memory in bytes, Bytes sent per
// second.
type Bound struct{ CPU, Memory, Bytes float64 }

// ControlBound is the required bound.
var ControlBound = Bound{CPU: 0.026, Memory: 32 << 20, Bytes: 4 << 10}

// model computes the costs of a size from measured series. err is the error of the
// first series that is missing.
type model struct {
	measurements *Measurements
	size         Size
	// fixedHeartbeatInterval uses the minimum session heartbeat interval whatever the
	// number of sessions, to show what the adaptive interval saves.
	fixedHeartbeatInterval bool
	err                    error
}

// cost returns the value of a series at x.
func (c *model) cost(name string, x float64) float64 {
	s, err := c.measurements.Get(name)
	if err != nil && c.err == nil {
		c.err = err
	}
	return s.At(x)
}

// slope returns the slope of a series.
func (c *model) slope(name string) float64 {
	s, err := c.measurements.Get(name)
	if err != nil && c.err == nil {
		c.err = err
	}
	return s.Slope
}

// wireBytes returns the bytes on the wire of a message with the payload size.
func (c *model) wireBytes(payload float64) float64 { return c.cost(seriesWireBytes, payload) }

// messageCPU returns the CPU seconds of a message on one side.
func (c *model) messageCPU(payload float64) float64 { return c.cost(seriesWireCPU, payload) / 2 }

// NodeLoad is the work assigned to a node.
type NodeLoad struct {
	pools               float64 // owned pools
	servers             float64 // servers of all owned pools
	poolRequests        float64 // per second, all owned pools
	poolWaiting         float64 // waiting requests of the busiest owned pool
	holdsPlacementLease bool
	watchesObjectAPI    bool
}

// meanNodeLoad returns the load of a node with the mean share of everything.
func (c *model) meanNodeLoad() NodeLoad {
	s := c.size
	return NodeLoad{
		pools: s.PoolsPerRegion() / s.NodesPerRegion(), servers: s.ServersPerRegion() / s.NodesPerRegion(),
		poolRequests: s.NodeRequests(),
	}
}

// worstNodeLoad returns the load of the node that owns the most pools under rendezvous
// hashing, including the busiest one with a burst waiting, watches the object API and
// holds the placement lease.
func (c *model) worstNodeLoad() NodeLoad {
	s := c.size
	pools := s.MaxPoolsPerNode()
	others := max(s.PoolsPerRegion()-1, 1)
	requests := (s.RegionRequests() - s.HotPoolRequests()) / others
	servers := (s.ServersPerRegion() - s.HotPoolServers()) / others
	return NodeLoad{
		pools: pools, servers: s.HotPoolServers() + (pools-1)*servers, poolRequests: s.HotPoolRequests() + (pools-1)*requests,
		poolWaiting: s.WaitingAtPeak, holdsPlacementLease: true, watchesObjectAPI: true,
	}
}

// nodeCosts returns all costs of a node.
func (c *model) nodeCosts(l NodeLoad) []NodeCost {
	items := []NodeCost{c.membership(), c.heartbeats(l), c.configuration(), c.snapshot()}
	items = append(items, c.entrySessions(), c.entryRequests(), c.streams())
	items = append(items, c.ownerSessions(l), c.briefs(l), c.probes(l), c.ticks(l), c.ownerRequests(l))
	if l.watchesObjectAPI {
		items = append(items, c.watch())
	}
	if l.holdsPlacementLease {
		items = append(items, c.placement())
	}
	return items
}

func (c *model) membership() NodeCost {
	n := c.size.Nodes
	messages := c.cost(seriesMemberMessages, n) / 2 // sent only; the series counts both directions
	payload := c.cost(seriesMemberMaxBytes, n) / 2
	return NodeCost{
		Role: RoleMember, Name: "probes and gossip", Control: true, Mechanism: "fixed probe rate in rings, bounded piggyback",
		Messages: messages, Bytes: payload + messages*(c.wireBytes(0)),
		CPU: c.cost(seriesMemberCPU, n) + 2*messages*c.messageCPU(0), Memory: c.cost(seriesMemberHeap, n),
	}
}

// assumedProbeConnections is the number of membership connections besides those for
// requests (docs/design/membership.md: 21.2 with 60 members over TCP).
const assumedProbeConnections = 21.0

// connections is the number of daemons that a node is connected to: the pool owners
// that its entry uses, the entries that use its pools, and its probe ring.
func (c *model) connections(l NodeLoad) float64 {
	peers := c.size.NodesPerRegion() - 1
	owners := min(c.size.PoolsPerRegion(), peers)
	served := 0.0
	if l.pools >= 1 {
		served = peers
	} else {
		served = peers * l.pools
	}
	return min(owners+served+assumedProbeConnections, peers+assumedProbeConnections)
}

func (c *model) heartbeats(l NodeLoad) NodeCost {
	const pings = peer.DefaultPingsPerSecond // and as many pongs
	return NodeCost{
		Role: RoleMember, Name: "connections and their heartbeats", Control: true, Mechanism: "one rate limit over all connections",
		Messages: 2 * pings, Bytes: 2 * pings * c.wireBytes(0), CPU: 4 * pings * c.messageCPU(0),
		Memory: c.cost(seriesPeerHeap, c.connections(l)),
	}
}

func (c *model) configuration() NodeCost {
	s := c.size
	rate := s.ChangesPerSec()
	messages := c.cost(seriesChangeMessages, s.Nodes)
	bytes := c.cost(seriesChangeBytes, s.Nodes) + messages*c.wireBytes(0) + s.ConfigBytes
	return NodeCost{
		Role: RoleMember, Name: "configuration changes", Control: true, Mechanism: "pushes to four members, digests, pulls of what differs",
		Messages: rate*messages + 1, Bytes: rate*bytes + c.cost(seriesConfigIdleBytes, s.Nodes),
		CPU: rate*(c.cost(seriesCompileSeconds, s.Workspaces)+2*messages*c.messageCPU(0)) + 2*c.messageCPU(0),
	}
}

func (c *model) snapshot() NodeCost {
	w := c.size.Workspaces
	values := (w + c.size.Servers) * c.size.ConfigBytes // assumed value sizes, on top of the small measured ones
	return NodeCost{
		Role: RoleMember, Name: "snapshot and records", Control: true, Mechanism: "resolutions shared between workspaces",
		Memory: c.cost(seriesSnapshotHeap, w) + c.cost(seriesRecordsHeap, w) + values,
	}
}

// sessionRate returns the messages per second that one side of the idle sessions
// sends.
func (c *model) sessionRate(sessions float64) float64 {
	if sessions <= 0 {
		return 0
	}
	interval := poolhost.HeartbeatInterval(int(math.Ceil(sessions)))
	if c.fixedHeartbeatInterval {
		interval = poolhost.MinHeartbeatInterval
	}
	return sessions / interval.Seconds()
}

func (c *model) entrySessions() NodeCost {
	rate := c.sessionRate(c.size.PoolsPerRegion())
	payload := c.cost(seriesHeartbeatBytes, 1)
	return NodeCost{
		Role: RoleEntry, Name: "sessions with every owner of the region", Control: true, Mechanism: "heartbeats whose interval grows with the sessions; idle ones are closed",
		Messages: rate, Bytes: rate * c.wireBytes(payload), CPU: 2 * rate * c.messageCPU(payload),
	}
}

func (c *model) ownerSessions(l NodeLoad) NodeCost {
	rate := l.pools * c.sessionRate(c.size.NodesPerRegion()-1)
	payload := c.cost(seriesHeartbeatReplyBytes, 1)
	return NodeCost{
		Role: RoleOwner, Name: "sessions with every entry of the region", Control: true, Mechanism: "heartbeats whose interval grows with the sessions; idle ones are closed",
		Messages: rate, Bytes: rate * c.wireBytes(payload), CPU: 2 * rate * c.messageCPU(payload),
	}
}

// progressMessages returns the number of Progress events per request.
func (c *model) progressMessages() float64 {
	return float64(entry.ProgressReports(time.Duration(c.streamSeconds() * float64(time.Second))))
}

// streamSeconds returns how long a request streams at the target rate.
func (c *model) streamSeconds() float64 { return c.size.TokensPerRequest() * targetPerToken.Seconds() }

// targetPerToken is the required bound on the time between two tokens.
const targetPerToken = 62 * time.Millisecond

func (c *model) entryRequests() NodeCost {
	s := c.size
	rate := s.NodeRequests()
	enqueue := c.cost(seriesEnqueueBytes, s.PromptTokens/promptBlockTokens)
	progress := c.cost(seriesProgressBytes, 1)
	release := c.cost(seriesReleaseBytes, 1)
	messages := 2 + c.progressMessages()
	bytes := c.wireBytes(enqueue) + c.wireBytes(release) + c.progressMessages()*c.wireBytes(progress)
	return NodeCost{
		Role: RoleEntry, Name: "requests' messages to owners", Mechanism: "batches; Progress at times that double, not per token",
		Messages: rate * messages, Bytes: rate * bytes, CPU: rate * ((messages+1)*c.messageCPU(progress) + c.cost(seriesCodecSeconds, 1)),
	}
}

// promptBlockTokens is the number of tokens per hashed prompt block.
const promptBlockTokens = 64

func (c *model) streams() NodeCost {
	s := c.size
	tokens := s.TokensPerSec / s.Nodes
	perToken := c.slope(seriesStreamDaemon) - c.slope(seriesStreamDirect)
	return NodeCost{
		Role: RoleEntry, Name: "streams", Mechanism: "one goroutine a stream, no buffering of answers",
		Messages: tokens, CPU: tokens * perToken, Memory: s.NodeRequests() * c.streamSeconds() * c.cost(seriesStreamHeap, 1),
	}
}

func (c *model) ownerRequests(l NodeLoad) NodeCost {
	progress := c.cost(seriesProgressBytes, 1)
	grant := c.cost(seriesGrantBytes, 1)
	in := 2 + c.progressMessages()
	return NodeCost{
		Role: RoleOwner, Name: "requests' messages and decisions", Mechanism: "one queue a pool; at most 32 servers a pool",
		Messages: l.poolRequests, Bytes: l.poolRequests * c.wireBytes(grant),
		CPU: l.poolRequests * (c.cost(seriesDecisionServers, l.servers/l.pools) + (in+1)*c.messageCPU(progress) + c.cost(seriesCodecSeconds, 1)),
		Memory: l.pools*c.cost(seriesServerHeap, l.servers/l.pools) +
			l.poolWaiting*c.slope(seriesWaitingHeap) + l.servers*cachedBlocksPerServer*c.slope(seriesPrefixHeap),
	}
}

// cachedBlocksPerServer is the number of cached blocks per server that a pool's owner
// indexes. It equals the stand-in engine's cache: 1,024 blocks of 64 tokens.
const cachedBlocksPerServer = 1024

func (c *model) probes(l NodeLoad) NodeCost {
	rate := l.servers / poolhost.ProbeInterval.Seconds()
	return NodeCost{
		Role: RoleOwner, Name: "probes of backend servers", Control: true, Mechanism: "one owner a pool asks, not every entry",
		Messages: rate, Bytes: rate * c.cost(seriesProbeBytes, 1), CPU: rate * c.cost(seriesProbeCPU, 1),
	}
}

// briefs returns the cost of the load briefs that owners of pools of the same model
// exchange. Only the busiest model has more than one pool in a region.
func (c *model) briefs(l NodeLoad) NodeCost {
	siblings := c.size.HotPools() - 1
	owned := c.size.HotPools() / c.size.NodesPerRegion()
	if l.poolWaiting > 0 {
		owned = 1
	}
	rate := owned * siblings / poolhost.SummaryInterval.Seconds()
	payload := c.cost(seriesHeartbeatReplyBytes, 1)
	return NodeCost{
		Role: RoleOwner, Name: "briefs to pools of the same model", Control: true, Mechanism: "twice a second where something changed",
		Messages: rate, Bytes: rate * c.wireBytes(payload), CPU: 2 * rate * c.messageCPU(payload),
	}
}

func (c *model) ticks(l NodeLoad) NodeCost {
	rate := l.pools / poolhost.TickInterval.Seconds()
	return NodeCost{
		Role: RoleOwner, Name: "ticks of idle pools", Control: true, Mechanism: "a tick looks at servers and expired requests only",
		CPU: rate * c.cost(seriesTickSeconds, 100),
	}
}

func (c *model) watch() NodeCost {
	s := c.size
	calls := c.cost(seriesConfigStoreCalls, s.Nodes)
	watchers := 2 * s.Regions
	return NodeCost{
		Role: RoleWatcher, Name: "watch of the object API", Control: true, Mechanism: "two watchers a region, long polls",
		Messages: calls/watchers + s.ChangesPerSec(), Bytes: (calls/watchers + s.ChangesPerSec()) * assumedWatchBytes,
		CPU: (calls/watchers + s.ChangesPerSec()) * 2 * c.messageCPU(s.ConfigBytes),
	}
}

// assumedWatchBytes is the approximate size of one HTTP request of a watch.
const assumedWatchBytes = 250

func (c *model) placement() NodeCost {
	s := c.size
	rate := 1 / placement.RoundInterval(placement.DefaultInterval, int(s.ServersPerRegion())).Seconds()
	probes := s.ServersPerRegion() * rate
	return NodeCost{
		Role: RoleController, Name: "plan and look at servers", Control: true, Mechanism: "one controller a region, by lease; the interval grows with its servers",
		Messages: probes + c.slope(seriesLeaseCalls), Bytes: probes * c.cost(seriesProbeBytes, 1),
		CPU: rate*c.cost(seriesPlanSeconds, s.ServersPerRegion()) + probes*c.cost(seriesProbeCPU, 1),
	}
}

// ownerShare returns the fraction of nodes that own at least one pool.
func (c *model) ownerShare() float64 {
	return 1 - math.Exp(-c.size.PoolsPerRegion()/c.size.NodesPerRegion())
}

// StoreCalls is one use of the object API by the whole deployment.
type StoreCalls struct {
	Name, Mechanism string
	Writes, Reads   float64 // per second
}

// storeCalls returns all uses of the object API.
func (c *model) storeCalls() []StoreCalls {
	s := c.size
	claims := s.RequestsPerSec * s.NonIdempotentShare * c.slope(seriesClaimCalls)
	leases := s.Regions + 1 // one placement lease per region and one for the collector
	return []StoreCalls{
		{Name: "claims", Mechanism: "an object a claim: create, then outcome", Writes: claims},
		{Name: "leases", Mechanism: "renewals by the holder", Writes: leases * c.slope(seriesLeaseCalls)},
		{Name: "waiting candidates", Mechanism: "each candidate looks once a lease's duration",
			Reads: s.Nodes * leases / s.Regions / daemon.LeaseDuration.Seconds()},
		{Name: "VM lists", Mechanism: "members that own pools look every 1.5 s", Reads: s.Nodes * c.ownerShare() / daemon.VMListInterval.Seconds()},
		{Name: "watches", Mechanism: "two watchers a region", Reads: c.cost(seriesConfigStoreCalls, s.Nodes)},
		{Name: "configuration changes", Mechanism: "conditional writes by operators", Writes: s.ChangesPerSec(), Reads: s.ChangesPerSec() * c.cost(seriesChangeCalls, 1)},
	}
}
