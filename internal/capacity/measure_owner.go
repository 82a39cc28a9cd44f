package capacity

import (
	"context"
	"fmt"
	"net"

	"github.com/pkg/errors"

	"github.com/lycheekeel/lycheekeel/engine"
	"github.com/lycheekeel/lycheekeel/engine/httpengine"
	"github.com/lycheekeel/lycheekeel/internal/httpconn"
	standin "github.com/lycheekeel/lycheekeel/internal/standin/engine"
	"github.com/lycheekeel/lycheekeel/placement"
	"github.com/lycheekeel/lycheekeel/pool"
)

// Names of the series of pool owners and the placement controller.
const (
	seriesTickSeconds = "tick_seconds_by_waiting"
	seriesProbeBytes  = "probe_bytes"
	seriesProbeCPU    = "probe_cpu_seconds"
	seriesPlanSeconds = "plan_seconds_by_servers"
)

// Rounds per measurement, and the pools of a planned region.
const (
	tickRounds  = 2000
	probeRounds = 2000
	planRounds  = 50
	planPools   = 22
)

// measureOwner measures the cost of an idle pool, of probes to its servers and of
// placement plans.
func measureOwner(ctx context.Context, m *Measurements) error {
	var ticks []Point
	for _, n := range []int{100, 1000, maxRigWaiting} {
		r := newPoolRig(maxRigServers, n)
		ticks = append(ticks, Point{float64(n), cpuPerOp(tickRounds, func() {
			for range tickRounds {
				r.handle(pool.Tick{})
			}
		})})
	}
	m.Add(NewSeries(seriesTickSeconds, "one tick of a pool of 32 full servers", "waiting", "s", ticks))
	if err := measureProbes(ctx, m); err != nil {
		return errors.Wrap(err, "probes")
	}
	measurePlans(m)
	return nil
}

// measureProbes measures load reports requested from one stand-in engine.
func measureProbes(ctx context.Context, m *Measurements) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	listener := &countingListener{Listener: ln}
	done := make(chan error, 1)
	go func() { done <- standin.Serve(ctx, listener, standin.Options{}) }()
	e := httpengine.New(ln.Addr().String(), httpconn.Settings{})
	var probeErr error
	cost := cpuPerOp(probeRounds, func() {
		for range probeRounds {
			if _, err := e.Load(ctx); err != nil {
				probeErr = err
			}
		}
	})
	cancel()
	<-done
	if probeErr != nil {
		return probeErr
	}
	bytes := float64(listener.bytesIn.Load()+listener.bytesOut.Load()) / probeRounds
	m.Add(NewSeries(seriesProbeBytes, "a load report asked for over an open connection, both ways, without TCP's and IP's headers", "probes", "B", []Point{{1, bytes}}))
	m.Add(NewSeries(seriesProbeCPU, "the same, processor time with the stand-in's part", "probes", "s", []Point{{1, cost}}))
	return nil
}

// measurePlans measures placement plans for regions of several sizes.
func measurePlans(m *Measurements) {
	var points []Point
	for _, n := range []int{44, 110, 220} {
		in := placementInput(n)
		points = append(points, Point{float64(n), cpuPerOp(planRounds, func() {
			for range planRounds {
				placement.Steps(in, placement.ComputePlan(in).Moves)
			}
		})})
	}
	m.Add(NewSeries(seriesPlanSeconds, "one plan of a region with 22 pools whose demand is uneven", "servers", "s", points))
}

// placementInput returns a region whose servers are spread evenly over its pools.
func placementInput(servers int) placement.Input {
	var in placement.Input
	for i := range planPools {
		name := fmt.Sprint("m", i)
		in.Pools = append(in.Pools, placement.Pool{
			Name: name, Region: "r", Model: name, Version: "1", Referenced: true, Demand: placement.Demand{float64(8 * i)},
		})
	}
	for i := range servers {
		name := fmt.Sprint("m", i%planPools)
		in.Servers = append(in.Servers, placement.Server{
			Name: fmt.Sprint("s", i), Region: "r", AvailabilityZone: fmt.Sprint("z", i%3), Generation: fmt.Sprint("g", i%2),
			Pool: name, Slots: rigSlots, Reachable: true, CanUnload: true, ChecksTokens: true, Fenced: true,
			Models: []engine.LoadedModel{{Model: name, Version: "1"}},
		})
	}
	return in
}
