package soak

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/lycheekeel/lycheekeel/platform/standin"
)

// regressionSeeds are seeds that have failed before, each with its cause. They run
// in addition to the requested seeds.
var regressionSeeds = []int64{
	// A gateway exited at startup because its peer port was in use by another
	// run that had started at the same time.
	18,
	// A version that fails each request at once got several times what a rollout's spike was
	// planned for, as callers came again at once.
	609,
}

// TestSoak checks the guarantees under random faults, once per seed. Every second fleet is a
// contended one, here and in TestPartitionsAmidOtherFaults.
func TestSoak(t *testing.T) {
	all := append([]int64(nil), regressionSeeds...)
	for i := range *seedCount {
		all = append(all, *firstSeed+int64(i))
	}
	for _, seed := range all {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			runSeed(t, seed, fleetOptions{contended: seed%2 != 0, closeFramed: true}, anyFault)
		})
	}
}

func anyFault(string) bool { return true }

// Guards against: guarantees break when daemons are partitioned from all servers amid other
// faults, and reach them through daemons that stop, restart and are partitioned in turn.
func TestPartitionsAmidOtherFaults(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed int64) {
		runSeed(t, seed, fleetOptions{partitionable: true, contended: seed%2 == 0}, anyFault)
	})
}

// Guards against: what servers spoil of their streams ends processes, or is missing from answers that look complete.
func TestSpoiledStreamsAmidOtherFaults(t *testing.T) {
	included := map[string]bool{malformedHeads: true, "kill and restart": true, "terminate and restart": true, "pause": true, "server is busy": true}
	for _, x := range spoilFaults {
		included[x.name] = true
	}
	f, c := runSeed(t, *firstSeed, fleetOptions{spoils: true}, func(name string) bool { return included[name] })
	f.checkNoneEndedByThemselves()
	f.reportServed(c)
}

// checkNoneEndedByThemselves checks that no process has ended by a panic.
func (f *fleet) checkNoneEndedByThemselves() {
	for _, n := range f.nodes {
		written, err := os.ReadFile(filepath.Join(f.dir, n.name+".log"))
		if err != nil {
			f.t.Error(err)
		}
		if bytes.Contains(written, []byte("\npanic: ")) || bytes.Contains(written, []byte("\nfatal error: ")) {
			f.t.Errorf("a process of %s has ended by itself", n.name)
		}
	}
}

// Guards against: a daemon that stops or restarts in plan cuts off what it relays for
// daemons that are partitioned from all servers. No connection is broken by the partition.
func TestRollingRestartBesidePartitions(t *testing.T) {
	f, c := runSeed(t, *firstSeed, fleetOptions{partitionable: true}, func(name string) bool {
		return name == "terminate and restart" || name == "refuse new connections to servers"
	})
	f.checkNoneCutOff(c)
}

// Guards against: planned restarts and SIGHUPs cut requests off. No other fault is
// injected.
func TestRollingRestart(t *testing.T) {
	planned := map[string]bool{"terminate and restart": true, "send SIGHUP": true}
	f, c := runSeed(t, *firstSeed, fleetOptions{}, func(name string) bool { return planned[name] })
	f.checkNoneCutOff(c)
}

// checkNoneCutOff checks that no request that reached a server was cut off.
func (f *fleet) checkNoneCutOff(c *callers) {
	for _, x := range c.all {
		if x.status == 0 && len(f.arrivals()[x.id]) > 0 || x.status != 0 && !x.complete {
			f.t.Errorf("%s on %s was cut off %v after it was sent, status %d", x.id, x.node.name, x.endedAt.Sub(x.sentAt), x.status)
		}
	}
}

// runSeed injects the faults that include selects into a fleet under load, waits
// for recovery, and checks the guarantees.
func runSeed(t *testing.T, seed int64, o fleetOptions, include func(string) bool) (*fleet, *callers) {
	r := rand.New(rand.NewPCG(uint64(seed), 1))
	f := startFleet(t, o, seed)
	c := &callers{}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg conc.WaitGroup
	for _, n := range f.nodes {
		for i := range f.callersPerNode() {
			wg.Go(func() { c.run(ctx, n, fmt.Sprintf("%s.%d", n.name, i), f.callerPaths(i)) })
		}
	}
	f.injectFaults(r, include)
	f.awaitRecovery(c)
	f.checkRollout()
	f.checkTraits()
	cancel()
	wg.Wait()
	f.checkInvariants(c)
	f.checkRetries(c)
	f.checkAnnouncements(c)
	return f, c
}

// checkAnnouncements checks that what servers have said in their answers is kept.
func (f *fleet) checkAnnouncements(c *callers) {
	var leaving, reachable []*server
	for _, s := range f.servers {
		if s.saysLeaving {
			leaving = append(leaving, s)
		}
		if !s.linkDisturbed {
			reachable = append(reachable, s)
		}
	}
	f.checkLeaving(c, leaving, f.record)
	f.checkPushbacks(c, reachable, f.record)
}

// startFleet returns a fleet whose nodes are ready. If the test fails, their logs are kept
// under the seed.
func startFleet(t *testing.T, o fleetOptions, seed int64) *fleet {
	f := newFleet(t, o)
	t.Cleanup(func() {
		if t.Failed() {
			f.keepLogs(seed)
		}
	})
	for _, n := range f.nodes {
		f.eventually(n.name+" is ready", n.ready)
	}
	return f
}

// awaitRecovery waits until every node is ready and serves requests.
func (f *fleet) awaitRecovery(c *callers) {
	for _, n := range f.nodes {
		f.eventually(n.name+" is ready again", n.ready)
		since := time.Now()
		f.eventually(n.name+" serves again", func() bool { return c.servedSince(n, since) })
	}
}

func (c *callers) servedSince(n *node, since time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := len(c.all) - 1; i >= 0 && c.all[i].endedAt.After(since); i-- {
		if x := c.all[i]; x.node == n && x.status == http.StatusOK && x.complete && x.sentAt.After(since) {
			return true
		}
	}
	return false
}

// arrivals returns the arrivals of each request at all servers, including those that have ended.
func (f *fleet) arrivals() map[string][]standin.Arrival {
	out := map[string][]standin.Arrival{}
	for _, s := range append(slices.Clone(f.servers), f.badServers...) {
		for _, a := range s.Arrivals() {
			out[a.ID] = append(out[a.ID], a)
		}
	}
	return out
}

// checkInvariants checks what callers and servers observed against the guarantees.
func (f *fleet) checkInvariants(c *callers) {
	runs := f.arrivals()
	byID := make(map[string]*call, len(c.all))
	served := 0
	for _, x := range c.all {
		byID[x.id] = x
		f.checkCall(x, runs[x.id])
		if x.status == http.StatusOK && x.complete {
			served++
		}
	}
	for id, all := range runs {
		if byID[id] == nil && !strings.HasPrefix(id, crowdIDPrefix) {
			f.t.Errorf("%s ran, but no caller sent it", id)
		}
		for _, a := range all {
			if a.HasKey || a.Tenant != "space" {
				f.t.Errorf("%s: the API key was forwarded (%v), or the workspace is wrong: %q", id, a.HasKey, a.Tenant)
			}
		}
	}
	f.t.Logf("%d requests, %d served completely, %d ran", len(c.all), served, len(runs))
	if served == 0 {
		f.t.Error("no request was served")
	}
}

func (f *fleet) checkCall(x *call, ran []standin.Arrival) {
	if violation := x.violation(); violation != "" {
		f.t.Errorf("%s %s on %s: %s", x.id, x.path, x.node.name, violation)
	}
	maxRuns := 1
	if x.mayRetry() {
		maxRuns = 2
	}
	if len(ran) > maxRuns {
		f.t.Errorf("%s %s ran %d times", x.id, x.path, len(ran))
	}
	refusedNotRun := x.status == http.StatusServiceUnavailable || x.status == http.StatusTooManyRequests
	if refusedNotRun && !x.mayRetry() && len(ran) > 0 {
		f.t.Errorf("%s %s was refused with status %d but ran", x.id, x.path, x.status)
	}
	if revokedAt, ok := f.revokedAt[x.apiKey]; ok && x.sentAt.After(revokedAt.Add(revokeBound)) && len(ran) > 0 {
		f.t.Errorf("%s ran although its key was revoked %v before it was sent", x.id, x.sentAt.Sub(revokedAt))
	}
}

// keepLogs copies the processes' logs to a directory that outlives the test.
func (f *fleet) keepLogs(seed int64) {
	dir, err := os.MkdirTemp("", fmt.Sprintf("lycheekeel-soak-%d-", seed))
	if err == nil {
		err = os.CopyFS(dir, os.DirFS(f.dir))
	}
	if err != nil {
		f.t.Logf("the logs could not be copied: %v", err)
		return
	}
	f.t.Logf("logs of the processes: %s", dir)
}
