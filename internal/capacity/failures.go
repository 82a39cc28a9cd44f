package capacity

import "math"

// Failure is one kind of failure and what it does at a size.
type Failure struct {
	Name      string
	Frequency string
	// LostNodes is how many daemons are gone.
	LostNodes float64
	// LostStreams are the answers that end with their entries; Moved is how
	// many pools get another owner; Again is how many requests are enqueued or
	// reported again, with Bytes altogether.
	LostStreams, MovedPools, ResentRequests, ResentBytes float64
	// DetectSeconds is how long until its region believes it, in seconds; Rebuilt is
	// the processor time of the busiest new owner for the storm, in seconds.
	DetectSeconds, RebuildSeconds float64
}

// The assumed extent of failures; the users gave only how often they come.
const (
	nodesPerRack         = 8
	waitingPerEntry      = 50 // requests that wait in one entry in a busy minute
	rackFailureFrequency = "every month or two"
	zoneFailureFrequency = "a few times a year"
	regionCutFrequency   = "several times a year"
)

// failures returns the failure days of a size.
func (c *model) failures() []Failure {
	s := c.size
	rows := []Failure{
		c.nodeLoss("a VM fails", "12 a day", 1),
		c.nodeLoss("a VM is restarted or replaced in order", "160 a day", 1),
		c.nodeLoss("a rack or switch is lost", rackFailureFrequency, math.Min(nodesPerRack, s.NodesPerRegion()/2)),
		c.nodeLoss("an availability zone is lost", zoneFailureFrequency, s.Nodes/s.Zones),
		{Name: "a region is cut off", Frequency: regionCutFrequency, DetectSeconds: c.cost(seriesClusterDetect, s.Nodes)},
	}
	rows[1].LostStreams = 0 // it drains first: its streams end by themselves
	return rows
}

// nodeLoss works out what n daemons of one region that die take along.
func (c *model) nodeLoss(name, frequency string, n float64) Failure {
	s := c.size
	alive := s.NodesPerRegion() - n
	running := s.NodeRequests() * c.streamSeconds()
	moved := n * s.PoolsPerRegion() / s.NodesPerRegion()
	share := moved / s.PoolsPerRegion() // of the region's requests whose owner is gone
	resent := share * alive * (running + waitingPerEntry)
	enqueue := c.wireBytes(c.cost(seriesEnqueueBytes, s.PromptTokens/promptBlockTokens))
	perPool := resent / math.Max(moved, 1)
	return Failure{
		Name: name, Frequency: frequency, LostNodes: n, LostStreams: n * running, MovedPools: moved, ResentRequests: resent, ResentBytes: resent * enqueue,
		DetectSeconds:  c.cost(seriesRegionDetect, s.Nodes),
		RebuildSeconds: perPool * (c.cost(seriesDecisionWaiting, math.Max(perPool, 1)) + c.cost(seriesCodecSeconds, 1) + c.messageCPU(enqueue)),
	}
}
