package soak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/lycheekeel/lycheekeel/platform/standin"
)

// The load and the bounds of the tests of servers of several versions.
const (
	versionedSpan       = 8 * time.Second
	versionedInterval   = time.Second / 35 // between two streams
	overloadInterval    = time.Second / 90 // of streams that need 108 of 64 slots
	overloadTarget      = 2500 * time.Millisecond
	versionedEventGap   = 40 * time.Millisecond
	serversPerVersion   = 4
	takeUpDelay         = 150 * time.Millisecond
	maxTakeUps          = 4
	versionedTimeout    = 8 * time.Second
	mixedStreamsBound   = 2
	minTakeUpsCounted   = 12
	leastTakenUpShare   = 0.5 // of the share of new streams that begin
	inTouchAfter        = 3 * time.Second
	versionGoneAfter    = 4 * time.Second
	minServersOfVersion = 2
	serverNotice        = time.Second // after which a new server is known
)

// Guards against: a stream whose server breaks off or falls silent goes on, within one
// answer, at a server of another software version.
func TestStreamGoesOnAtAnotherVersion(t *testing.T) {
	runVersioned(t, versionedCase{versions: 3, noRollouts: true, disturb: inParallel(resetServers, silenceServers)})
}

// Guards against: a stream that its caller takes up at another daemon goes on at a server of
// another software version, or is refused though its version serves.
func TestTakenUpStreamGoesOnAtAnotherVersion(t *testing.T) {
	for _, c := range []versionedCase{
		{name: "servers reset", versions: 2, disturb: resetServers},
		{name: "three of six daemons killed together", versions: 2, noRollouts: true, disturb: killThree},
		{name: "daemons killed in turn, servers reset", versions: 3, noRollouts: true, disturb: inParallel(killInTurn(1), resetServers)},
		{name: "a version is gone for good, servers reset", versions: 2, noRollouts: true, disturb: inParallel(endVersion, resetServers)},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			runVersioned(t, c)
		})
	}
}

// Guards against: streams that are taken up are refused in an overload in which new ones begin.
func TestTakenUpStreamsAreRefusedInAnOverload(t *testing.T) {
	runVersioned(t, versionedCase{versions: 2, noRollouts: true, interval: overloadInterval, target: overloadTarget, disturb: resetServers})
}

// Guards against: streams change their software version amid any mix of these faults.
func TestStreamsKeepTheirVersionAmidFaults(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed int64) {
		r := rand.New(rand.NewPCG(uint64(seed), 3))
		c := versionedCase{versions: 2 + r.IntN(2), noRollouts: r.IntN(2) == 0, seed: seed}
		all := []disturbance{resetServers, silenceServers, killThree, killInTurn(seed), endVersion, disturbPeers(seed), replaceServers(seed)}
		r.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		c.disturb = inParallel(all[:2+r.IntN(2)]...)
		runVersioned(t, c)
	})
}

// versionedCase is a run with servers of several versions in the streams' service.
type versionedCase struct {
	name       string
	versions   int
	noRollouts bool
	disturb    disturbance
	seed       int64
	interval   time.Duration // between two streams; default versionedInterval
	target     time.Duration // for the first event; default half of the timeout
}

// versionedStream is one stream as its caller observed it, over all its calls.
type versionedStream struct {
	calls    []*call
	events   int
	versions map[string]bool // that wrote its events
	// mixedWithin is set if one answer has events of two versions.
	mixedWithin bool
	whole       bool
}

// startVersioned starts a fleet that serves streams of several versions.
func startVersioned(t *testing.T, x versionedCase, o fleetOptions) *fleet {
	o.nodes, o.noRollouts, o.resumeTimeout, o.resumeTarget = 6, x.noRollouts, versionedTimeout, x.target
	f := startFleet(t, o, x.seed)
	f.serveVersions(x.versions)
	return f
}

func runVersioned(t *testing.T, x versionedCase) {
	f := startVersioned(t, x, fleetOptions{eventInterval: versionedEventGap})
	record := newFaultRecord()
	ctx, cancel := context.WithTimeout(context.Background(), versionedSpan)
	defer cancel()
	var wg conc.WaitGroup
	var mu sync.Mutex
	var all []*versionedStream
	wg.Go(func() { x.disturb(ctx, f, record) })
	wg.Go(func() {
		var streams conc.WaitGroup
		defer streams.Wait()
		tick := time.NewTicker(cmp.Or(x.interval, versionedInterval))
		defer tick.Stop()
		for i := 0; ctx.Err() == nil; i++ {
			streams.Go(func() {
				s := f.takeStream(i)
				mu.Lock()
				defer mu.Unlock()
				all = append(all, s)
			})
			<-tick.C
		}
	})
	wg.Wait()
	f.restarts.Wait()
	f.checkVersions(all, record)
}

// serveVersions replaces the servers of the streams' service by servers of so many versions, and
// waits until all daemons know them.
func (f *fleet) serveVersions(versions int) {
	for _, s := range f.servers {
		if s.service == "llm" {
			f.store.Remove(standin.KindServers, s.ID)
		}
	}
	f.servers = slices.DeleteFunc(f.servers, func(s *server) bool { return s.service == "llm" })
	for range serversPerVersion {
		for v := range versions {
			f.addVersionedServer(versionName(v))
		}
	}
	var started conc.WaitGroup
	for _, n := range f.nodes {
		started.Go(func() { f.awaitVersions(n, versions) })
	}
	started.Wait()
}

func versionName(i int) string { return fmt.Sprint("v", i+1) }

// addVersionedServer starts and registers a server of the streams' service.
func (f *fleet) addVersionedServer(version string) {
	s := f.startServer("llm", &standin.Server{Events: 30, EventInterval: f.eventInterval, Version: version})
	f.serversMu.Lock()
	s.addedAt = time.Now()
	f.servers = append(f.servers, s)
	f.serversMu.Unlock()
	f.store.PutServerVersion(s.ID, s.service, s.proxy.Addr(), version, 8)
}

// awaitVersions waits until a daemon passes on streams of this many versions.
func (f *fleet) awaitVersions(n *node, versions int) {
	seen := map[string]bool{}
	f.eventually(n.name+" serves streams of every version", func() bool {
		x := &call{id: fmt.Sprint(requestIDPrefix, "first-", n.name, time.Now().UnixNano()), path: resumePath(0), apiKey: "k1", node: n, timeout: versionedTimeout}
		(&callers{}).sendOnce(x)
		for v := range x.versionsInBody() {
			seen[v] = true
		}
		return len(seen) >= versions
	})
}

// versionsInBody returns the versions that wrote the events of an answer.
func (x *call) versionsInBody() map[string]bool {
	out := map[string]bool{}
	for _, e := range x.wholeEvents() {
		if _, version, ok := strings.Cut(e, " of "); ok {
			out[version] = true
		}
	}
	return out
}

// wholeEvents returns the events of an answer without a truncated one at its end.
func (x *call) wholeEvents() []string {
	if x.status != http.StatusOK {
		return nil
	}
	all := strings.Split(x.body, "\n\n")
	return all[:len(all)-1]
}

// takeStream requests a stream, and takes it up at the next daemon each time it breaks, while
// its time lasts.
func (f *fleet) takeStream(i int) *versionedStream {
	s, started := &versionedStream{versions: map[string]bool{}}, time.Now()
	for try := 0; try <= maxTakeUps && !s.whole; try++ {
		if try > 0 {
			sleep(context.Background(), takeUpDelay)
		}
		left := versionedTimeout - time.Since(started)
		if left <= 0 {
			break
		}
		x := &call{
			id: fmt.Sprint(requestIDPrefix, "v-", i, "-", try), path: resumePath(0), content: fmt.Sprint("stream ", i), apiKey: "k1",
			node: f.nodes[(i+try)%len(f.nodes)], timeout: left,
		}
		if s.events > 0 {
			x.resumes, x.lastEvent = s.firstCall().id, s.events
		}
		(&callers{}).sendOnce(x)
		s.add(x)
	}
	return s
}

// firstCall returns the call that brought the first event.
func (s *versionedStream) firstCall() *call {
	return s.calls[slices.IndexFunc(s.calls, func(x *call) bool { return len(x.wholeEvents()) > 0 })]
}

// add adds a call and what it brought.
func (s *versionedStream) add(x *call) {
	s.calls = append(s.calls, x)
	versions := x.versionsInBody()
	s.mixedWithin = s.mixedWithin || len(versions) > 1
	for v := range versions {
		s.versions[v] = true
	}
	s.events += len(x.wholeEvents())
	s.whole = x.status == http.StatusOK && x.complete
}

// checkVersions checks that no more than mixedStreamsBound streams hold events of two
// versions, and that streams that are taken up go on.
func (f *fleet) checkVersions(all []*versionedStream, record *faultRecord) {
	mixedWithin, mixed, whole := 0, 0, 0
	var begun, takenUp servedTally
	for _, s := range all {
		if s.mixedWithin {
			mixedWithin++
		}
		if len(s.versions) > 1 {
			mixed++
		}
		if s.whole {
			whole++
		}
		f.checkOrder(s)
		for _, x := range s.calls {
			if !f.countsAsInTouch(x, record) {
				continue
			}
			tally := &begun
			if x.resumes != "" {
				tally = &takenUp
				if !f.enoughServers(s, x) {
					continue
				}
			}
			tally.sent++
			if len(x.wholeEvents()) > 0 {
				tally.served++
			}
		}
	}
	f.t.Logf("%d streams, %d whole; mixed within an answer %d, in all %d; begun %v, taken up and went on %v", len(all), whole, mixedWithin, mixed, begun, takenUp)
	if mixed > mixedStreamsBound {
		f.t.Errorf("%d of %d streams hold events of two versions, %d of them within one answer; %d are allowed", mixed, len(all), mixedWithin, mixedStreamsBound)
	}
	if takenUp.sent >= minTakeUpsCounted && float64(takenUp.served)*float64(begun.sent) < leastTakenUpShare*float64(begun.served)*float64(takenUp.sent) {
		f.t.Errorf("%v streams that were taken up went on, %v new ones began", takenUp, begun)
	}
	if begun.served == 0 {
		f.t.Error("no stream began")
	}
}

// countsAsInTouch reports whether a call's daemon was not killed within inTouchAfter before
// the call nor during it.
func (f *fleet) countsAsInTouch(x *call, record *faultRecord) bool {
	return !record.killedWithin(x.node, x.sentAt.Add(-inTouchAfter), x.endedAt)
}

// enoughServers reports whether enough servers of a stream's version served during a call.
func (f *fleet) enoughServers(s *versionedStream, x *call) bool {
	n := 0
	for _, server := range f.servers {
		added := server.addedAt.Add(serverNotice).Before(x.sentAt)
		if s.versions[server.Version] && added && (server.drainingSince.IsZero() || server.drainingSince.After(x.endedAt)) {
			n++
		}
	}
	return n >= minServersOfVersion
}

// checkOrder checks that the events of a stream came once and in order over all its calls.
func (f *fleet) checkOrder(s *versionedStream) {
	next := 1
	for _, x := range s.calls {
		for _, e := range x.wholeEvents() {
			if !strings.HasPrefix(e, fmt.Sprintf("id: %d\n", next)) {
				f.t.Errorf("%s: %q instead of event %d", x.id, e, next)
				return
			}
			next++
		}
	}
}
