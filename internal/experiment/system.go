package experiment

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/lycheekeel/lycheekeel/broker"
	"github.com/lycheekeel/lycheekeel/internal/entry"
	"github.com/lycheekeel/lycheekeel/internal/metrics"
	"github.com/lycheekeel/lycheekeel/internal/poolhost"
	standin "github.com/lycheekeel/lycheekeel/internal/standin/engine"
	"github.com/lycheekeel/lycheekeel/pool"
	"github.com/lycheekeel/lycheekeel/request"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// Timeouts and intervals of starting and stopping a system.
const (
	readyTimeout = 10 * time.Second
	stopTimeout  = 30 * time.Second
	pollInterval = 20 * time.Millisecond
	// settleTimeout is how long after the callers' last answer the engines may still
	// run requests before their logs are read.
	settleTimeout = 2 * time.Second
)

// system is one daemon's path from callers to engines, for one policy: an entry that
// listens on loopback, its broker, the pool host, and stand-in engines in this
// process.
type system struct {
	scenario *Scenario
	engines  []*standin.Engine
	trace    Trace
	host     *poolhost.Host
	entry    *entry.Entry
	address  string
	tasks    conc.WaitGroup
	cancel   context.CancelFunc
}

// startSystem returns when the pool accepts requests. The caller must call stop.
func startSystem(ctx context.Context, s *Scenario, policy pool.Policy) (*system, error) {
	snapshot, err := s.snapshot(policy)
	if err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for callers")
	}
	sys := &system{scenario: s, address: ln.Addr().String()}
	fleet, err := sys.startEngines()
	if err != nil {
		_ = ln.Close()
		sys.closeEngines()
		return nil, err
	}
	var current workspace.CurrentSnapshot
	current.Store(snapshot)
	registry := metrics.New()
	sys.host = poolhost.New(poolhost.Config{
		Self: "experiment", Region: region, Snapshot: &current, Engines: fleet, Trace: sys.trace.Record, Metrics: registry,
	})
	slotBroker := broker.New(sys.host)
	sys.entry = entry.New(entry.Deps{
		Config: &current, Broker: slotBroker, Engines: fleet, Metrics: registry, Region: region,
	}, entry.Limits{})
	ctx, sys.cancel = context.WithCancel(ctx)
	sys.tasks.Go(func() { sys.host.Run(ctx) })
	sys.tasks.Go(func() { slotBroker.Run(ctx) })
	sys.tasks.Go(func() { _ = sys.entry.Serve(ln) })
	if !waitFor(readyTimeout, func() bool { return sys.host.Owned(poolName) != nil }) {
		sys.stop()
		return nil, errors.New("pool did not start")
	}
	return sys, nil
}

func (sys *system) startEngines() (*standin.LocalDialer, error) {
	fleet := &standin.LocalDialer{}
	for _, g := range sys.scenario.Engines {
		for range g.Count {
			e, err := standin.New(g.Engine)
			if err != nil {
				return nil, errors.Wrap(err, "create stand-in engine")
			}
			fleet.Add(serverAddress(len(sys.engines)), e)
			sys.engines = append(sys.engines, e)
		}
	}
	return fleet, nil
}

// injectFaults injects the scenario's faults, timed from start, until all are injected
// or ctx ends.
func (sys *system) injectFaults(ctx context.Context, start time.Time) error {
	for _, f := range sys.scenario.Faults {
		t := time.NewTimer(time.Until(start.Add(time.Duration(f.AtMs) * time.Millisecond)))
		select {
		case <-ctx.Done():
			t.Stop()
			return nil
		case <-t.C:
		}
		e := sys.engines[f.Engine]
		if f.Crash {
			e.Crash()
		} else if err := e.SetFaults(*f.Faults); err != nil {
			return errors.Wrapf(err, "inject fault at %d ms", f.AtMs)
		}
	}
	return nil
}

// waitIdle waits until no engine runs a request and no request waits according to the
// trace. After settleTimeout it returns anyway; the checks then report what is left.
func (sys *system) waitIdle() {
	waitFor(settleTimeout, func() bool {
		for _, e := range sys.engines {
			for _, r := range e.Runs() {
				if r.Ended == nil {
					return false
				}
			}
		}
		for _, v := range CheckTrace(sys.trace.Records(), true) {
			if v.Rule == RuleUnresolved {
				return false
			}
		}
		return true
	})
}

// runs returns the run logs of all engines with the prompts' blocks.
func (sys *system) runs() []engineRun {
	blocks := blocksByRequest(sys.trace.Records())
	var out []engineRun
	for _, e := range sys.engines {
		for _, r := range e.Runs() {
			out = append(out, engineRun{RunRecord: r, blocks: blocks[request.ID(r.RequestID)]})
		}
	}
	return out
}

func (sys *system) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	_ = sys.entry.Shutdown(ctx)
	sys.cancel()
	sys.tasks.Wait()
	sys.closeEngines()
}

func (sys *system) closeEngines() {
	for _, e := range sys.engines {
		e.Close()
	}
}

// waitFor polls until ok returns true or the limit has passed.
func waitFor(limit time.Duration, ok func() bool) bool {
	for end := time.Now().Add(limit); !ok(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}
