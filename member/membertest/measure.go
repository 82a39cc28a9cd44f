package membertest

import (
	"runtime"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Cost is the cost of membership per member, as a mean and, in the Worst fields, as the
// maximum over the members. Bytes are encoded messages in both directions, without the
// transport's framing, encryption and connection setup. CPU covers the machine and its
// encoding only.
type Cost struct {
	Members                int           `json:"members"`
	Regions                int           `json:"regions"`
	Simulated              time.Duration `json:"simulated_ns"`
	MessagesPerSecond      float64       `json:"messages_per_second"`
	BytesPerSecond         float64       `json:"bytes_per_second"`
	WorstMessagesPerSecond float64       `json:"worst_messages_per_second"`
	WorstBytesPerSecond    float64       `json:"worst_bytes_per_second"`
	// CPU is in core seconds per second and member.
	CPU float64 `json:"cpu"`
	// HeapBytes is the heap per member, in bytes.
	HeapBytes float64 `json:"heap_bytes"`
	// RegionDetectTime is the time from a kill until all members of its region mark the
	// member dead, ClusterDetectTime until all members do. JoinTime is the time from a
	// restart until all members know the member.
	RegionDetectTime  time.Duration `json:"kill_to_dead_ns"`
	ClusterDetectTime time.Duration `json:"kill_to_all_ns"`
	JoinTime          time.Duration `json:"join_ns"`
}

// Durations of a measurement's phases, in virtual time.
const (
	convergeTimeout = 2 * time.Minute
	settleTime      = 4 * time.Minute // until the broadcasts of the joins have ended
)

// Measure starts n members in the given number of regions, waits until traffic settles,
// and measures the cost while nothing happens, then the detection of one kill and one
// restart.
func Measure(n, regions int, simulated time.Duration, seed uint64) (Cost, error) {
	before := heapBytes()
	c := New(n, regions, seed)
	c.StartAll()
	c.Run(time.Second)
	if _, ok := c.RunUntil(convergeTimeout, c.Converged); !ok {
		return Cost{}, errors.Errorf("%d members did not converge after their start", n)
	}
	c.Run(settleTime)
	cost := Cost{Members: n, Regions: regions, Simulated: simulated}
	cost.HeapBytes = (heapBytes() - before) / float64(n)
	c.resetCounters()
	cpu := cpuTime()
	c.Run(simulated)
	cost.CPU = (cpuTime() - cpu).Seconds() / simulated.Seconds() / float64(n)
	c.addTraffic(&cost)

	killed := c.Nodes[n-1]
	killed.Kill()
	region, ok := c.RunUntil(convergeTimeout, func() bool { return c.RegionConverged(killed.Region) })
	if !ok {
		return cost, errors.New("killed member was not detected within its region")
	}
	rest, ok := c.RunUntil(convergeTimeout, c.Converged)
	if !ok {
		return cost, errors.New("killed member was not detected by all members")
	}
	cost.RegionDetectTime, cost.ClusterDetectTime = region, region+rest
	killed.Start()
	if cost.JoinTime, ok = c.RunUntil(convergeTimeout, c.Converged); !ok {
		return cost, errors.New("restarted member was not known to all members")
	}
	return cost, nil
}

func (c *Cluster) resetCounters() {
	for _, d := range c.Nodes {
		d.MessagesIn, d.MessagesOut, d.BytesIn, d.BytesOut = 0, 0, 0, 0
	}
}

func (c *Cluster) addTraffic(cost *Cost) {
	seconds, n := cost.Simulated.Seconds(), float64(len(c.Nodes))
	for _, d := range c.Nodes {
		messages := float64(d.MessagesIn+d.MessagesOut) / seconds
		bytes := float64(d.BytesIn+d.BytesOut) / seconds
		cost.MessagesPerSecond += messages / n
		cost.BytesPerSecond += bytes / n
		cost.WorstMessagesPerSecond = max(cost.WorstMessagesPerSecond, messages)
		cost.WorstBytesPerSecond = max(cost.WorstBytesPerSecond, bytes)
	}
}

func heapBytes() float64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc)
}

// cpuTime returns the process's user and system time.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
