//go:build !race

package soak

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/lycheekeel/lycheekeel/internal/gateway"
	"github.com/lycheekeel/lycheekeel/platform/standin"
)

// endlessAnswers is how many answers are open at the same time, each with 1 MB that are not
// finished: more than the process may hold.
const endlessAnswers = 140

// endlessTimeout is how long the callers of these answers wait: longer than an ordinary caller tries.
const endlessTimeout = 5 * time.Second

// runEndlessAnswers checks that a process lives within its limits while many answers are open of a
// server that ends none, and serves ordinary requests beside them.
func runEndlessAnswers(t *testing.T, spoiling standin.Spoiling, path string) {
	f := startFleet(t, fleetOptions{
		nodes: 1, noServers: true, slots: endlessAnswers, onceTimeout: 30 * time.Second, resumeTimeout: 30 * time.Second,
		limits: gateway.LimitSettings{MemoryMB: abusiveMemoryMB, Descriptors: abusiveDescriptors},
	}, *firstSeed)
	isStream := strings.HasPrefix(path, "/s/")
	spoiled := f.addServer(map[bool]string{true: "llm", false: "app"}[isStream])
	if isStream {
		f.addServer("app")
	}
	n, c := f.nodes[0], &callers{}
	send := func(name string, timeout time.Duration) *call {
		x := &call{id: requestIDPrefix + name, path: path, apiKey: "k1", node: n, timeout: timeout}
		c.sendOnce(x)
		return x
	}
	f.eventually("an ordinary request is served before", func() bool { return n.serveOrdinary("before") == "" })
	f.eventually("the path is served before", func() bool {
		return send(fmt.Sprint("before-", time.Now().UnixNano()), callerTimeout).status == http.StatusOK
	})
	spoiled.SetSpoiling(spoiling)
	stop := n.watch(t)
	var wg conc.WaitGroup
	var ended atomic.Int64
	before := len(spoiled.Arrivals())
	for i := range endlessAnswers {
		wg.Go(func() {
			if x := send(fmt.Sprint("endless-", i), endlessTimeout); x.status == http.StatusOK && x.complete && x.violation() != "" {
				t.Errorf("%s: %s", x.id, x.violation())
			}
			ended.Add(1)
		})
	}
	f.eventually("most answers are open, or have ended", func() bool {
		return len(spoiled.Arrivals())-before+int(ended.Load()) > endlessAnswers*3/4
	})
	if !isStream {
		f.addServer("app") // a sound one
	}
	if problem := n.serveOrdinary("beside"); problem != "" {
		t.Errorf("an ordinary request beside them: %s", problem)
	}
	wg.Wait()
	spoiled.SetSpoiling(standin.SpoilNothing)
	f.eventually("the path is served after", func() bool {
		return send(fmt.Sprint("after-", time.Now().UnixNano()), callerTimeout).status == http.StatusOK
	})
	t.Logf("%d requests reached the server", len(spoiled.Arrivals())-before)
	stop().Check(t, abusiveMemoryMB, abusiveDescriptors)
	if n.hasExited() {
		t.Error("the process has ended")
	}
}

// Guards against: events that servers begin and do not end take the memory of a process.
func TestAbusiveUnfinishedEvents(t *testing.T) {
	runEndlessAnswers(t, standin.SpoilUnfinished, "/s/once/")
}

// Guards against: the same, while a stream may be taken up at another server.
func TestAbusiveUnfinishedEventsOfResumableStreams(t *testing.T) {
	runEndlessAnswers(t, standin.SpoilUnfinished, resumePath(0))
}

// Guards against: events without end take the memory of a process.
func TestAbusiveEndlessEvents(t *testing.T) {
	runEndlessAnswers(t, standin.SpoilEndless, "/s/once/")
}

// Guards against: answers that servers begin and do not end take the memory of a process, or keep
// the requests of others out.
func TestAbusiveUnfinishedAnswers(t *testing.T) {
	runEndlessAnswers(t, standin.SpoilUnfinished, "/once/")
}

// Guards against: answers without end take the memory of a process, or keep the requests of
// others out.
func TestAbusiveEndlessAnswers(t *testing.T) {
	runEndlessAnswers(t, standin.SpoilEndless, "/again/")
}
