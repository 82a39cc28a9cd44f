package soak

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
)

// The load of the tests of streams that are taken up after all daemons have restarted.
const (
	brokenStreams        = 60
	brokenStreamInterval = time.Second / 30
	brokenEventGap       = 80 * time.Millisecond
	brokenTimeout        = 40 * time.Second
	restartStep          = 1500 * time.Millisecond
	takeUpAfterRestarts  = 3200 * time.Millisecond
	takeUpInterval       = time.Second / 10
	beganBesideTakeUps   = 50
)

// Guards against: the records of which version began a stream end with the daemons that hold
// them, though others start before all of those have ended.
func TestStreamsAreTakenUpAfterAllDaemonsRestarted(t *testing.T) {
	for _, c := range []struct {
		name     string
		signal   syscall.Signal
		together int // daemons at a time
	}{
		{"terminated in turn", syscall.SIGTERM, 1},
		{"terminated in pairs", syscall.SIGTERM, 2},
		{"killed in halves", syscall.SIGKILL, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			parallelFleet(t)
			f := startFleet(t, fleetOptions{nodes: 6, noRollouts: true, eventInterval: brokenEventGap, resumeTimeout: brokenTimeout}, *firstSeed)
			f.serveVersions(2)
			broken := f.breakStreams()
			f.restartInSteps(c.signal, c.together)
			sleep(context.Background(), takeUpAfterRestarts)
			f.checkTakenUp(broken)
		})
	}
}

// breakStreams begins streams, and breaks all callers' connections in the middle of them.
func (f *fleet) breakStreams() (broken []*versionedStream) {
	var mu sync.Mutex
	var wg conc.WaitGroup
	for i := range brokenStreams {
		wg.Go(func() {
			s := &versionedStream{versions: map[string]bool{}}
			f.sendStream(s, fmt.Sprint("broken-", i), f.nodes[i%len(f.nodes)])
			mu.Lock()
			defer mu.Unlock()
			if s.events > 0 && !s.whole {
				broken = append(broken, s)
			}
		})
		sleep(context.Background(), brokenStreamInterval)
	}
	for _, n := range f.nodes {
		n.callerProxy.Reset()
	}
	wg.Wait()
	return broken
}

// sendStream begins a stream, or takes it up.
func (f *fleet) sendStream(s *versionedStream, id string, n *node) {
	x := &call{id: requestIDPrefix + id, path: resumePath(0), content: id, apiKey: "k1", node: n, timeout: brokenTimeout}
	if s.events > 0 {
		first := s.firstCall()
		x.resumes, x.lastEvent, x.content = first.id, s.events, first.content
	}
	(&callers{}).sendOnce(x)
	s.add(x)
}

// restartInSteps sends a signal to so many daemons at a time, restarts each once it has ended,
// and waits until all are ready again.
func (f *fleet) restartInSteps(signal syscall.Signal, together int) {
	for i, n := range f.nodes {
		restart := n.restarter()
		n.signal(signal)
		restart()
		if (i+1)%together == 0 {
			sleep(context.Background(), restartStep)
		}
	}
	f.restarts.Wait()
	for _, n := range f.nodes {
		f.eventually(n.name+" is ready again", n.ready)
	}
}

// checkTakenUp takes up broken streams and begins new ones, and checks that those go on at their
// version, as often as new ones begin.
func (f *fleet) checkTakenUp(broken []*versionedStream) {
	var takenUp, began servedTally
	mixed := 0
	var mu sync.Mutex
	var wg conc.WaitGroup
	for i := range max(len(broken), beganBesideTakeUps) {
		if i < len(broken) {
			wg.Go(func() {
				wentOn := f.takeUp(broken[i], i)
				mu.Lock()
				defer mu.Unlock()
				takenUp.add(wentOn)
				if len(broken[i].versions) > 1 {
					mixed++
				}
				f.checkOrder(broken[i])
			})
		}
		if i < beganBesideTakeUps {
			wg.Go(func() {
				s := &versionedStream{versions: map[string]bool{}}
				f.sendStream(s, fmt.Sprint("new-", i), f.nodes[i%len(f.nodes)])
				mu.Lock()
				defer mu.Unlock()
				began.add(s.events > 0)
			})
		}
		sleep(context.Background(), takeUpInterval)
	}
	wg.Wait()
	f.t.Logf("taken up and went on %v, at another version %d; new ones began %v", takenUp, mixed, began)
	if takenUp.sent < minTakeUpsCounted || began.served == 0 {
		f.t.Errorf("%d streams were taken up, %d new ones began: too few to tell", takenUp.sent, began.served)
	}
	if float64(takenUp.served)*float64(began.sent) < leastTakenUpShare*float64(began.served)*float64(takenUp.sent) {
		f.t.Errorf("%v streams that were taken up went on, %v new ones began", takenUp, began)
	}
	if mixed > mixedStreamsBound {
		f.t.Errorf("%d streams hold events of two versions; %d are allowed", mixed, mixedStreamsBound)
	}
}

// takeUp takes up a stream at one daemon after the other, and reports whether it went on.
func (f *fleet) takeUp(s *versionedStream, i int) bool {
	had := s.events
	for try := 1; try <= maxTakeUps && s.events == had; try++ {
		f.sendStream(s, fmt.Sprint("taken-up-", i, "-", try), f.nodes[(i+try)%len(f.nodes)])
		if s.events == had {
			sleep(context.Background(), takeUpDelay)
		}
	}
	return s.events > had
}
