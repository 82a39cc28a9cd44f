package membertest

import (
	"time"

	"github.com/pkg/errors"
)

// Incident is a failure of many members at once.
type Incident struct {
	Name string `json:"name"`
	// Lost is how many members fail.
	Lost int `json:"lost"`
	// Noticed is until every running member of the struck region believed the
	// lost ones dead; zero where nobody is to be believed dead.
	Noticed time.Duration `json:"noticed_ns"`
	// Recovered is from the repair until everybody believed everybody alive.
	Recovered time.Duration `json:"recovered_ns"`
	// MeanBytes and WorstBytes are a member's traffic in the worst second.
	MeanBytes  float64 `json:"mean_bytes_in_worst_second"`
	WorstBytes float64 `json:"worst_bytes_in_worst_second"`
}

// MeasureIncidents starts n members, and lets a dozen VMs, an availability
// zone and a region fail, one after the other, each repaired before the next.
func MeasureIncidents(n, regions int, seed uint64) ([]Incident, error) {
	c := New(n, regions, seed)
	c.StartAll()
	c.Run(time.Second)
	if _, ok := c.RunUntil(convergeLimit, c.Converged); !ok {
		return nil, errors.New("members did not find each other")
	}
	c.Run(settleTime)
	region, zone := c.Nodes[0].Region, c.Nodes[0].zone
	inZone := func(d *Node) bool { return d.zone == zone }
	first := func(k int) func(*Node) bool { return func(d *Node) bool { return d.index < k } }
	var found []Incident
	for _, i := range []struct {
		name   string
		struck func(*Node) bool
		strike func(*Node)
		repair func(*Node)
	}{
		{"12 VMs killed", first(12), (*Node).Kill, (*Node).Start},
		{"availability zone killed", inZone, (*Node).Kill, (*Node).Start},
		{"availability zone vanished", inZone, (*Node).Freeze, (*Node).Thaw},
	} {
		in, err := c.incident(i.name, region, i.struck, i.strike, i.repair)
		if err != nil {
			return found, err
		}
		found = append(found, in)
	}
	in, err := c.regionCut(region)
	return append(found, in), err
}

// incident strikes members, waits until their region knows, and repairs them.
func (c *Cluster) incident(name, region string, struck func(*Node) bool, strike, repair func(*Node)) (Incident, error) {
	in := Incident{Name: name}
	for _, d := range c.Nodes {
		if struck(d) {
			in.Lost++
			strike(d)
		}
	}
	var ok bool
	in.Noticed, ok = c.watch(&in, func() bool { return c.RegionConverged(region) })
	if !ok {
		return in, errors.Errorf("%s: not noticed", name)
	}
	c.Run(settleTime / 4)
	for _, d := range c.Nodes {
		if struck(d) {
			repair(d)
		}
	}
	if in.Recovered, ok = c.watch(&in, c.Converged); !ok {
		return in, errors.Errorf("%s: not recovered", name)
	}
	c.Run(settleTime / 4)
	return in, nil
}

// regionCut cuts a region off for three minutes.
func (c *Cluster) regionCut(region string) (Incident, error) {
	in := Incident{Name: "region cut off"}
	for _, d := range c.Nodes {
		if d.Region == region {
			in.Lost++
		}
	}
	c.Isolate(func(d *Node) bool { return d.Region == region })
	c.watchFor(&in, 3*time.Minute)
	c.Heal()
	var ok bool
	if in.Recovered, ok = c.watch(&in, c.Converged); !ok {
		return in, errors.New("region cut off: not recovered")
	}
	return in, nil
}

// watch runs until the condition holds, and keeps the traffic of the worst
// second.
func (c *Cluster) watch(in *Incident, cond func() bool) (time.Duration, bool) {
	took := time.Duration(0)
	for took < convergeLimit {
		c.resetCounters()
		d, ok := c.RunUntil(time.Second, cond)
		took += d
		if ok {
			return took, true
		}
		c.keepWorst(in)
	}
	return took, false
}

func (c *Cluster) watchFor(in *Incident, d time.Duration) {
	for range int(d / time.Second) {
		c.resetCounters()
		c.Run(time.Second)
		c.keepWorst(in)
	}
}

func (c *Cluster) keepWorst(in *Incident) {
	second := Cost{Simulated: time.Second}
	c.addTraffic(&second)
	in.MeanBytes = max(in.MeanBytes, second.BytesPerSecond)
	in.WorstBytes = max(in.WorstBytes, second.WorstBytesPerSecond)
}
