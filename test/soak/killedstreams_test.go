package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
)

// The load of the tests of streams that outlive daemons.
const (
	outlivingEventGap = 80 * time.Millisecond
	outlivingInterval = 50 * time.Millisecond // between two streams
	outlivingSpan     = 4 * time.Second
	// takenUpAfter is the pause from when all daemons are ready until callers come back.
	takenUpAfter    = 3200 * time.Millisecond
	newBesideTakeUp = 50
	triesToTakeUp   = 4
)

// Guards against: streams that nobody can place once all daemons were killed at once, though
// their servers serve.
func TestTakenUpStreamsOutliveAllDaemons(t *testing.T) {
	parallelFleet(t)
	f := startVersioned(t, versionedCase{versions: 2, noRollouts: true}, fleetOptions{eventInterval: outlivingEventGap})
	before := f.storeWrites()
	running := f.beginStreams(f.killAll)
	f.t.Logf("%d writes of the store while streams began", f.storeWrites()-before)
	for _, n := range f.nodes {
		f.eventually(n.name+" is ready", n.ready)
	}
	sleep(context.Background(), takenUpAfter)
	f.takeUpBesideNew(running)
}

// Guards against: streams that daemons refuse which reach no other daemon, though they reach
// the store.
func TestTakenUpStreamsOutliveLinksBetweenDaemons(t *testing.T) {
	parallelFleet(t)
	f := startVersioned(t, versionedCase{versions: 2, noRollouts: true}, fleetOptions{eventInterval: outlivingEventGap})
	for _, n := range f.nodes {
		n.peerProxy.ResetAndRefuse()
	}
	before := f.storeWrites()
	running := f.beginStreams(func() {
		for _, n := range f.nodes {
			n.callerProxy.Reset()
		}
	})
	f.t.Logf("%d writes of the store while streams began", f.storeWrites()-before)
	sleep(context.Background(), takeUpDelay)
	f.takeUpBesideNew(running)
}

// killAll kills all daemons at once and starts them again.
func (f *fleet) killAll() {
	var wg conc.WaitGroup
	for _, n := range f.nodes {
		restart := n.restarter()
		wg.Go(func() { n.kill(); restart() })
	}
	wg.Wait()
	f.restarts.Wait()
}

func (f *fleet) storeWrites() int {
	return f.store.Calls(http.MethodPost) + f.store.Calls(http.MethodPut) + f.store.Calls(http.MethodDelete)
}

// beginStreams begins streams for outlivingSpan, then breaks them, and returns those that
// had begun and were not whole.
func (f *fleet) beginStreams(breakAll func()) (broken []*versionedStream) {
	ctx, cancel := context.WithTimeout(context.Background(), outlivingSpan)
	defer cancel()
	var wg conc.WaitGroup
	var mu sync.Mutex
	for i := 0; ctx.Err() == nil; i++ {
		wg.Go(func() {
			s := f.callStream(&versionedStream{versions: map[string]bool{}}, i, 0)
			mu.Lock()
			defer mu.Unlock()
			if s.events > 0 && !s.whole {
				broken = append(broken, s)
			}
		})
		sleep(ctx, outlivingInterval)
	}
	breakAll()
	wg.Wait()
	return broken
}

// callStream asks a daemon for a stream, or for its rest: the first try at the daemon after the
// one that began it.
func (f *fleet) callStream(s *versionedStream, i, try int) *versionedStream {
	x := &call{
		id: fmt.Sprint(requestIDPrefix, "o-", i, "-", try), path: resumePath(0), content: fmt.Sprint("stream ", i), apiKey: "k1",
		node: f.nodes[(i+try)%len(f.nodes)], timeout: versionedTimeout,
	}
	if s.events > 0 {
		first := s.firstCall()
		x.resumes, x.lastEvent = first.id, s.events
		x.node = f.nodes[(slices.Index(f.nodes, first.node)+try)%len(f.nodes)]
	}
	(&callers{}).sendOnce(x)
	s.add(x)
	return s
}

// takeUpBesideNew takes streams up at up to triesToTakeUp daemons, begins new ones at the
// same time, and checks that those that are taken up go on.
func (f *fleet) takeUpBesideNew(broken []*versionedStream) {
	var wg conc.WaitGroup
	created := make([]*versionedStream, newBesideTakeUp)
	wentOn := make([]bool, len(broken))
	for i, s := range broken {
		wg.Go(func() {
			had := s.events
			for try := 1; try <= triesToTakeUp && s.events == had; try++ {
				f.callStream(s, i, try)
				if s.events == had {
					sleep(context.Background(), takeUpDelay)
				}
			}
			wentOn[i] = s.events > had
		})
	}
	for i := range created {
		wg.Go(func() {
			created[i] = f.callStream(&versionedStream{versions: map[string]bool{}}, len(broken)+i, triesToTakeUp+1)
		})
		sleep(context.Background(), outlivingInterval)
	}
	wg.Wait()
	takenUp, begun, mixed := servedTally{sent: len(broken)}, servedTally{sent: len(created)}, 0
	for i, s := range broken {
		f.checkOrder(s)
		if wentOn[i] {
			takenUp.served++
		}
		if len(s.versions) > 1 {
			mixed++
		}
	}
	for _, s := range created {
		if s.events > 0 {
			begun.served++
		}
	}
	f.t.Logf("taken up and went on %v, at another version %d; new ones began %v", takenUp, mixed, begun)
	if mixed > mixedStreamsBound {
		f.t.Errorf("%d of %d streams hold events of two versions; %d are allowed", mixed, len(broken), mixedStreamsBound)
	}
	if takenUp.sent < minTakeUpsCounted || begun.served == 0 {
		f.t.Errorf("%v streams were taken up and %v new ones began: too few to tell", takenUp, begun)
	}
	if float64(takenUp.served)*float64(begun.sent) < leastTakenUpShare*float64(begun.served)*float64(takenUp.sent) {
		f.t.Errorf("%v streams that were taken up went on, %v new ones began", takenUp, begun)
	}
}
