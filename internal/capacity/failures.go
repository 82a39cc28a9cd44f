package capacity

import "math"

// Failure is one kind of failure and its effects in a deployment of a given size.
type Failure struct {
	Name      string
	Frequency string
	// LostNodes is the number of daemons that fail.
	LostNodes float64
	// LostStreams is the number of answers that are lost with their entries.
	// MovedPools is the number of pools that change owner. ResentRequests is the
	// number of requests that entries enqueue or report again, ResentBytes the total
	// size of these messages.
	LostStreams, MovedPools, ResentRequests, ResentBytes float64
	// DetectSeconds is the time until the region has detected the failure.
	// RebuildSeconds is the CPU time that the busiest new owner spends on the resent
	// requests.
	DetectSeconds, RebuildSeconds float64
}

// The extent of failures is assumed; their frequency was given by the operators.
const (
	nodesPerRack         = 8
	waitingPerEntry      = 50 // requests that wait in one entry at a busy time
	rackFailureFrequency = "every month or two"
	zoneFailureFrequency = "a few times a year"
	regionCutFrequency   = "several times a year"
)

// failures returns the failure scenarios of a size.
func (c *model) failures() []Failure {
	s := c.size
	rows := []Failure{
		c.nodeLoss("a VM fails", "12 a day", 1),
		c.nodeLoss("a VM is restarted or replaced in order", "160 a day", 1),
		c.nodeLoss("a rack or switch is lost", rackFailureFrequency, math.Min(nodesPerRack, s.NodesPerRegion()/2)),
		c.nodeLoss("an availability zone is lost", zoneFailureFrequency, s.Nodes/s.Zones),
		{Name: "a region is cut off", Frequency: regionCutFrequency, DetectSeconds: c.cost(seriesClusterDetect, s.Nodes)},
	}
	rows[1].LostStreams = 0 // the daemon drains first, so its streams end normally
	return rows
}

// nodeLoss computes the effects of n daemons of one region failing together.
func (c *model) nodeLoss(name, frequency string, n float64) Failure {
	s := c.size
	alive := s.NodesPerRegion() - n
	running := s.NodeRequests() * c.streamSeconds()
	moved := n * s.PoolsPerRegion() / s.NodesPerRegion()
	share := moved / s.PoolsPerRegion() // of the region's requests whose owner failed
	resent := share * alive * (running + waitingPerEntry)
	enqueue := c.wireBytes(c.cost(seriesEnqueueBytes, s.PromptTokens/promptBlockTokens))
	perPool := resent / math.Max(moved, 1)
	return Failure{
		Name: name, Frequency: frequency, LostNodes: n, LostStreams: n * running, MovedPools: moved, ResentRequests: resent, ResentBytes: resent * enqueue,
		DetectSeconds:  c.cost(seriesRegionDetect, s.Nodes),
		RebuildSeconds: perPool * (c.cost(seriesDecisionWaiting, math.Max(perPool, 1)) + c.cost(seriesCodecSeconds, 1) + c.messageCPU(enqueue)),
	}
}
