package capacity

import "math"

// Failure is one kind of failure and what it does at a size.
type Failure struct {
	Name  string
	Often string
	// Nodes is how many daemons are gone.
	Nodes float64
	// LostStreams are the answers that end with their entries; Moved is how
	// many pools get another owner; Again is how many requests are enqueued or
	// reported again, with Bytes altogether.
	LostStreams, Moved, Again, Bytes float64
	// Noticed is how long until its region believes it, in seconds; Rebuilt is
	// the processor time of the busiest new owner for the storm, in seconds.
	Noticed, Rebuilt float64
}

// The assumed extent of failures; the users gave only how often they come.
const (
	nodesOfARack     = 8
	waitingOfANode   = 50 // requests that wait in one entry in a busy minute
	failuresOfARack  = "every month or two"
	failuresOfAZone  = "a few times a year"
	failuresOfARange = "several times a year"
)

// failures returns the failure days of a size.
func (c *model) failures() []Failure {
	s := c.size
	rows := []Failure{
		c.lost("a VM fails", "12 a day", 1),
		c.lost("a VM is restarted or replaced in order", "160 a day", 1),
		c.lost("a rack or switch is lost", failuresOfARack, math.Min(nodesOfARack, s.NodesPerRegion()/2)),
		c.lost("an availability zone is lost", failuresOfAZone, s.Nodes/s.Zones),
		{Name: "a region is cut off", Often: failuresOfARange, Noticed: c.at(seriesKillToAll, s.Nodes)},
	}
	rows[1].LostStreams = 0 // it drains first: its streams end by themselves
	return rows
}

// lost works out what n daemons of one region that die take along.
func (c *model) lost(name, often string, n float64) Failure {
	s := c.size
	alive := s.NodesPerRegion() - n
	running := s.NodeRequests() * c.runSeconds()
	moved := n * s.PoolsPerRegion() / s.NodesPerRegion()
	share := moved / s.PoolsPerRegion() // of the region's requests whose owner is gone
	again := share * alive * (running + waitingOfANode)
	enqueue := c.wire(c.at(seriesEnqueueBytes, s.PromptTokens/promptBlock))
	perPool := again / math.Max(moved, 1)
	return Failure{
		Name: name, Often: often, Nodes: n, LostStreams: n * running, Moved: moved, Again: again, Bytes: again * enqueue,
		Noticed: c.at(seriesKillToDead, s.Nodes),
		Rebuilt: perPool * (c.at(seriesDecisionWaiting, math.Max(perPool, 1)) + c.at(seriesCodecSeconds, 1) + c.messageCPU(enqueue)),
	}
}
