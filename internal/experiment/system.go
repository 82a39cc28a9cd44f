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

// Times of starting and stopping a system.
const (
	readyWithin = 10 * time.Second
	stopWithin  = 30 * time.Second
	pollEvery   = 20 * time.Millisecond
	// outlasting is how long after the callers' last answer the engines' runs
	// may go on before their logs are read.
	outlasting = 2 * time.Second
)

// system is one daemon's path from callers to engines, for one policy: an
// entry that listens on loopback, its broker, the pool's host, and stand-in
// engines that are called in the process.
type system struct {
	scenario *Scenario
	engines  []*standin.Engine
	trace    Trace
	host     *poolhost.Host
	entry    *entry.Entry
	address  string
	group    conc.WaitGroup
	cancel   context.CancelFunc
}

// startSystem returns once the pool takes requests. Call stop on it.
func startSystem(ctx context.Context, s *Scenario, policy pool.Policy) (*system, error) {
	snapshot, err := s.snapshot(policy)
	if err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for callers")
	}
	y := &system{scenario: s, address: ln.Addr().String()}
	fleet, err := y.startEngines()
	if err != nil {
		_ = ln.Close()
		y.closeEngines()
		return nil, err
	}
	var live workspace.CurrentSnapshot
	live.Store(snapshot)
	registry := metrics.New()
	y.host = poolhost.New(poolhost.Config{
		Self: "experiment", Region: region, Snapshots: &live, Engines: fleet, Trace: y.trace.Add, Metrics: registry,
	})
	slots := broker.New(y.host)
	y.entry = entry.New(entry.Deps{
		Config: &live, Broker: slots, Engines: fleet, Metrics: registry, Region: region,
	}, entry.Limits{})
	ctx, y.cancel = context.WithCancel(ctx)
	y.group.Go(func() { y.host.Run(ctx) })
	y.group.Go(func() { slots.Run(ctx) })
	y.group.Go(func() { _ = y.entry.Serve(ln) })
	if !eventually(readyWithin, func() bool { return y.host.Owned(poolName) != nil }) {
		y.stop()
		return nil, errors.New("the pool did not start")
	}
	return y, nil
}

func (y *system) startEngines() (*standin.LocalDialer, error) {
	fleet := &standin.LocalDialer{}
	for _, g := range y.scenario.Engines {
		for range g.Count {
			e, err := standin.New(g.Engine)
			if err != nil {
				return nil, errors.Wrap(err, "stand-in engine")
			}
			fleet.Add(serverAddress(len(y.engines)), e)
			y.engines = append(y.engines, e)
		}
	}
	return fleet, nil
}

// inject brings the scenario's faults about, counted from begin, until all
// have come or ctx ends.
func (y *system) inject(ctx context.Context, begin time.Time) error {
	for _, f := range y.scenario.Faults {
		t := time.NewTimer(time.Until(begin.Add(time.Duration(f.AtMs) * time.Millisecond)))
		select {
		case <-ctx.Done():
			t.Stop()
			return nil
		case <-t.C:
		}
		e := y.engines[f.Engine]
		if f.Crash {
			e.Crash()
		} else if err := e.SetFaults(*f.Faults); err != nil {
			return errors.Wrapf(err, "fault at %d ms", f.AtMs)
		}
	}
	return nil
}

// settle waits until no engine runs anything and no request waits, as far as
// the trace tells; after a time it gives up, and the checks will show why.
func (y *system) settle() {
	eventually(outlasting, func() bool {
		for _, e := range y.engines {
			for _, r := range e.Runs() {
				if r.Ended == nil {
					return false
				}
			}
		}
		for _, v := range CheckTrace(y.trace.Records(), true) {
			if v.Rule == RuleForgotten {
				return false
			}
		}
		return true
	})
}

// runs returns the run logs of all engines, with the prompts' blocks.
func (y *system) runs() []runOf {
	blocks := blocksOf(y.trace.Records())
	var out []runOf
	for _, e := range y.engines {
		for _, r := range e.Runs() {
			out = append(out, runOf{RunRecord: r, blocks: blocks[request.ID(r.RequestID)]})
		}
	}
	return out
}

func (y *system) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopWithin)
	defer cancel()
	_ = y.entry.Shutdown(ctx)
	y.cancel()
	y.group.Wait()
	y.closeEngines()
}

func (y *system) closeEngines() {
	for _, e := range y.engines {
		e.Close()
	}
}

// eventually polls until ok returns true, or for at most the limit.
func eventually(limit time.Duration, ok func() bool) bool {
	for end := time.Now().Add(limit); !ok(); time.Sleep(pollEvery) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}
