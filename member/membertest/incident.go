package membertest

import (
	"time"

	"github.com/pkg/errors"
)

// Incident is the simultaneous failure of many members.
type Incident struct {
	Name string `json:"name"`
	// FailedMembers is the number of failed members.
	FailedMembers int `json:"lost"`
	// DetectTime is the time until all running members of the affected region mark the
	// failed ones dead; zero if none is to be marked dead.
	DetectTime time.Duration `json:"noticed_ns"`
	// RecoverTime is the time from the repair until all members believe each other
	// alive.
	RecoverTime time.Duration `json:"recovered_ns"`
	// MeanBytes and WorstBytes are the mean and the maximum traffic per member, in
	// bytes, in the second with the most traffic.
	MeanBytes  float64 `json:"mean_bytes_in_worst_second"`
	WorstBytes float64 `json:"worst_bytes_in_worst_second"`
}

// MeasureIncidents starts n members and makes 12 VMs, an availability zone and a region
// fail, one after the other. Each incident is repaired before the next.
func MeasureIncidents(n, regions int, seed uint64) ([]Incident, error) {
	c := New(n, regions, seed)
	c.StartAll()
	c.Run(time.Second)
	if _, ok := c.RunUntil(convergeTimeout, c.Converged); !ok {
		return nil, errors.New("members did not converge after their start")
	}
	c.Run(settleTime)
	region, zone := c.Nodes[0].Region, c.Nodes[0].zone
	inZone := func(d *Node) bool { return d.zone == zone }
	first := func(k int) func(*Node) bool { return func(d *Node) bool { return d.index < k } }
	var incidents []Incident
	for _, i := range []struct {
		name     string
		affected func(*Node) bool
		fail     func(*Node)
		repair   func(*Node)
	}{
		{"12 VMs killed", first(12), (*Node).Kill, (*Node).Start},
		{"availability zone killed", inZone, (*Node).Kill, (*Node).Start},
		{"availability zone vanished", inZone, (*Node).Pause, (*Node).Resume},
	} {
		in, err := c.runIncident(i.name, region, i.affected, i.fail, i.repair)
		if err != nil {
			return incidents, err
		}
		incidents = append(incidents, in)
	}
	in, err := c.runRegionPartition(region)
	return append(incidents, in), err
}

// runIncident makes members fail, waits until their region has detected it, and repairs
// them.
func (c *Cluster) runIncident(name, region string, affected func(*Node) bool, fail, repair func(*Node)) (Incident, error) {
	in := Incident{Name: name}
	for _, d := range c.Nodes {
		if affected(d) {
			in.FailedMembers++
			fail(d)
		}
	}
	var ok bool
	in.DetectTime, ok = c.runUntilTracked(&in, func() bool { return c.RegionConverged(region) })
	if !ok {
		return in, errors.Errorf("%s: failure not detected", name)
	}
	c.Run(settleTime / 4)
	for _, d := range c.Nodes {
		if affected(d) {
			repair(d)
		}
	}
	if in.RecoverTime, ok = c.runUntilTracked(&in, c.Converged); !ok {
		return in, errors.Errorf("%s: views did not converge after the repair", name)
	}
	c.Run(settleTime / 4)
	return in, nil
}

// runRegionPartition isolates a region for three minutes.
func (c *Cluster) runRegionPartition(region string) (Incident, error) {
	in := Incident{Name: "region cut off"}
	for _, d := range c.Nodes {
		if d.Region == region {
			in.FailedMembers++
		}
	}
	c.Isolate(func(d *Node) bool { return d.Region == region })
	c.runTracked(&in, 3*time.Minute)
	c.Heal()
	var ok bool
	if in.RecoverTime, ok = c.runUntilTracked(&in, c.Converged); !ok {
		return in, errors.New("region cut off: views did not converge after the repair")
	}
	return in, nil
}

// runUntilTracked runs until the condition holds and records the traffic of the worst
// second.
func (c *Cluster) runUntilTracked(in *Incident, cond func() bool) (time.Duration, bool) {
	elapsed := time.Duration(0)
	for elapsed < convergeTimeout {
		c.resetCounters()
		d, ok := c.RunUntil(time.Second, cond)
		elapsed += d
		if ok {
			return elapsed, true
		}
		c.updateWorstTraffic(in)
	}
	return elapsed, false
}

func (c *Cluster) runTracked(in *Incident, d time.Duration) {
	for range int(d / time.Second) {
		c.resetCounters()
		c.Run(time.Second)
		c.updateWorstTraffic(in)
	}
}

func (c *Cluster) updateWorstTraffic(in *Incident) {
	second := Cost{Simulated: time.Second}
	c.addTraffic(&second)
	in.MeanBytes = max(in.MeanBytes, second.BytesPerSecond)
	in.WorstBytes = max(in.WorstBytes, second.WorstBytesPerSecond)
}
