package capacity

import "math"

// Size describes a deployment.
type Size struct {
	Name           string
	Nodes          float64
	Regions        float64
	Zones          float64
	Servers        float64
	Workspaces     float64
	Models         float64
	RequestsPerSec float64 // at peak, whole deployment
	TokensPerSec   float64
	ChangesPerDay  float64
	// HotModelShare is the share of requests for the busiest model. The worst node
	// owns a pool of that model.
	HotModelShare float64
	// NonIdempotentShare is the share of requests that need a claim.
	NonIdempotentShare float64
	// PromptTokens is the mean prompt length.
	PromptTokens float64
	// ConfigBytes is the mean size of a changed object.
	ConfigBytes float64
	// WaitingAtPeak is the number of requests that wait in the busiest pool during a
	// burst.
	WaitingAtPeak float64
}

// maxPoolServers is the maximum number of servers per pool.
const maxPoolServers = 32

// Assumptions where the operators gave no figure; the page states them.
const (
	assumedHotModelShare      = 0.25
	assumedNonIdempotentShare = 0.05
	assumedPromptTokens       = 1500
	assumedConfigBytes        = 1500
	assumedWaitingAtPeak      = 2000
)

// Sizes returns the two present deployments and the target.
func Sizes() []Size {
	return []Size{
		withAssumptions(Size{Name: "Punchline today", Nodes: 9, Regions: 1, Zones: 3, Servers: 23, Workspaces: 5,
			Models: 2, RequestsPerSec: 30, TokensPerSec: 6000, ChangesPerDay: 100}),
		withAssumptions(Size{Name: "Bảng Xanh today", Nodes: 9, Regions: 1, Zones: 4, Servers: 14, Workspaces: 5,
			Models: 2, RequestsPerSec: 30, TokensPerSec: 4000, ChangesPerDay: 100}),
		withAssumptions(Size{Name: "Target", Nodes: 390, Regions: 6, Zones: 15, Servers: 1300, Workspaces: 2400,
			Models: 22, RequestsPerSec: 770, TokensPerSec: 210000, ChangesPerDay: 6800}),
	}
}

func withAssumptions(s Size) Size {
	s.HotModelShare = math.Max(assumedHotModelShare, 1/s.Models)
	s.NonIdempotentShare = assumedNonIdempotentShare
	s.PromptTokens = assumedPromptTokens
	s.ConfigBytes = assumedConfigBytes
	s.WaitingAtPeak = assumedWaitingAtPeak
	return s
}

// NodesPerRegion is the mean number of daemons in a region.
func (s Size) NodesPerRegion() float64 { return s.Nodes / s.Regions }

// ServersPerRegion is the mean number of backend servers in a region.
func (s Size) ServersPerRegion() float64 { return s.Servers / s.Regions }

// TokensPerRequest is the mean answer length.
func (s Size) TokensPerRequest() float64 { return s.TokensPerSec / s.RequestsPerSec }

// RegionRequests is a region's requests per second at peak.
func (s Size) RegionRequests() float64 { return s.RequestsPerSec / s.Regions }

// NodeRequests is one entry's requests per second at peak.
func (s Size) NodeRequests() float64 { return s.RequestsPerSec / s.Nodes }

// PoolsPerRegion is the number of pools in a region if each model's servers are split
// into pools within the server limit. The busiest model gets HotModelShare of the
// servers.
func (s Size) PoolsPerRegion() float64 {
	hot := math.Ceil(s.ServersPerRegion() * s.HotModelShare / maxPoolServers)
	others := s.Models - 1
	if others <= 0 {
		return hot
	}
	each := s.ServersPerRegion() * (1 - s.HotModelShare) / others
	return hot + others*math.Ceil(each/maxPoolServers)
}

// HotPools is the number of pools of the busiest model in a region.
func (s Size) HotPools() float64 {
	return math.Ceil(s.ServersPerRegion() * s.HotModelShare / maxPoolServers)
}

// HotPoolServers is the number of servers in the busiest pool of a region.
func (s Size) HotPoolServers() float64 {
	hot := s.ServersPerRegion() * s.HotModelShare
	return math.Ceil(hot / math.Ceil(hot/maxPoolServers))
}

// HotPoolRequests is the busiest pool's requests per second at peak.
func (s Size) HotPoolRequests() float64 {
	hot := s.ServersPerRegion() * s.HotModelShare
	return s.RegionRequests() * s.HotModelShare / math.Ceil(hot/maxPoolServers)
}

// MaxPoolsPerNode is the number of pools on the node that owns the most. Rendezvous
// hashing places pools like balls into bins at random: with M pools on N nodes the
// fullest bin holds about the k at which N·P(Poisson(M/N) ≥ k) falls to 0.01.
func (s Size) MaxPoolsPerNode() float64 {
	const rare = 0.01
	lambda := s.PoolsPerRegion() / s.NodesPerRegion()
	tail, term := 1.0, math.Exp(-lambda)
	for k := 0.0; ; k++ {
		if s.Nodes*tail <= rare {
			return math.Min(k-1, s.PoolsPerRegion())
		}
		tail -= term
		term *= lambda / (k + 1)
	}
}

// ChangesPerSec is the mean rate of configuration changes.
func (s Size) ChangesPerSec() float64 { return s.ChangesPerDay / secondsPerDay }

const secondsPerDay = 24 * 60 * 60

// Scaled multiplies everything that grows with the fleet by the factor. The numbers of
// regions and models stay, so regions grow.
func (s Size) Scaled(factor float64) Size {
	s.Nodes *= factor
	s.Servers *= factor
	s.Workspaces *= factor
	s.RequestsPerSec *= factor
	s.TokensPerSec *= factor
	s.ChangesPerDay *= factor
	return s
}
