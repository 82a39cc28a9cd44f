package soak

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	// reportDelay is the time between the first answers that say that a server leaves and the
	// store's acknowledgment of its entry.
	reportDelay = 250 * time.Millisecond
	// ownersOutFor is how long the owners of the pools are out, from ownersOutAfter after the
	// last acknowledgment: all have had to know by then.
	ownersOutAfter, ownersOutFor = 2500 * time.Millisecond, 4 * time.Second
	// restartNotice is how long after its start a node is not counted.
	restartNotice = 3 * time.Second
)

// takeOut takes a node out until the returned function is called.
type takeOut func(n *node) (end func())

func pauseNode(n *node) func() {
	n.signal(syscall.SIGSTOP)
	return func() { n.signal(syscall.SIGCONT) }
}

func killNode(n *node) func() {
	restart := n.restarter()
	n.kill()
	restart()
	return func() {}
}

// Guards against: the store says that a server leaves, and nodes go on sending to it because
// the one that reads the store had heard it in an answer before; it shows without owners.
func TestNodesLearnThatServersLeaveWhileOwnersArePaused(t *testing.T) {
	parallelFleet(t)
	runToldLeaving(t, true, pauseNode)
}

// Guards against: the same while new owners take over that nobody has told.
func TestNodesLearnThatServersLeaveWhileOwnersAreKilled(t *testing.T) {
	parallelFleet(t)
	runToldLeaving(t, true, killNode)
}

// Guards against: nodes that hear from the store alone that servers leave go on sending to them.
func TestNodesLearnFromTheStoreThatServersLeave(t *testing.T) {
	parallelFleet(t)
	runToldLeaving(t, false, pauseNode)
}

// runToldLeaving lets one server of each service leave for each node. While it says so in its
// answers, and the store does not yet, that node alone gets requests. Then the owners are out.
func runToldLeaving(t *testing.T, inAnswers bool, out takeOut) {
	f := startFleet(t, fleetOptions{nodes: 6, resumeTimeout: crashingTimeout, noRollouts: true}, 1)
	for len(f.servers) < 4*len(f.nodes) {
		f.addServer([]string{"llm", "app"}[len(f.servers)%2])
	}
	l, acked := &toldLoad{}, map[*server]time.Time{}
	l.sendFor(2*time.Second, f.nodes)
	for i, n := range f.nodes {
		leaving := f.servers[2*i : 2*i+2]
		if inAnswers {
			for _, s := range leaving {
				s.SetLeaving("1")
			}
		}
		l.sendFor(reportDelay, []*node{n})
		for _, s := range leaving {
			f.putServer(s, "draining")
			acked[s] = time.Now()
		}
	}
	l.sendFor(ownersOutAfter, f.nodes)
	outFrom, owners := time.Now(), f.owners()
	if len(owners) == 0 {
		t.Fatal("no owner in the logs")
	}
	var ends []func()
	for n := range owners {
		ends = append(ends, out(n))
	}
	l.sendFor(ownersOutFor, f.nodes)
	for _, end := range ends {
		end()
	}
	outUntil := time.Now()
	l.sendFor(time.Second, f.nodes)
	l.wg.Wait()
	f.restarts.Wait()
	f.checkToldInTime(l.all, acked, func(x *call) bool {
		return owners[x.node] && x.endedAt.After(outFrom) && x.sentAt.Before(outUntil.Add(restartNotice))
	})
}

// toldLoad sends requests without waiting for their answers.
type toldLoad struct {
	callers
	sent int
	wg   conc.WaitGroup
}

// sendFor sends requests to the nodes in turn for a time.
func (l *toldLoad) sendFor(d time.Duration, nodes []*node) {
	tick := time.NewTicker(leavingInterval / 2)
	defer tick.Stop()
	for end := time.Now().Add(d); time.Now().Before(end); l.sent++ {
		x := &call{id: fmt.Sprint(requestIDPrefix, "t-", l.sent), path: paths[l.sent%len(paths)], apiKey: "k1", timeout: streamTimeout, node: nodes[l.sent/len(paths)%len(nodes)]}
		l.wg.Go(func() { l.sendOnce(x) })
		<-tick.C
	}
}

// owners returns the nodes that own a pool, by their logs.
func (f *fleet) owners() map[*node]bool {
	owners := map[*node]bool{}
	for _, n := range f.nodes {
		written, err := os.ReadFile(filepath.Join(f.dir, n.name+".log"))
		if err != nil {
			f.t.Fatal(err)
		}
		owned := map[string]bool{}
		for lines := bufio.NewScanner(bytes.NewReader(written)); lines.Scan(); {
			var line struct{ Msg, Pool string }
			if json.Unmarshal(lines.Bytes(), &line) != nil {
				continue
			}
			switch line.Msg {
			case "Owns the pool now.":
				owned[line.Pool] = true
			case "Gave the pool up.":
				delete(owned, line.Pool)
			}
		}
		if len(owned) > 0 {
			owners[n] = true
		}
	}
	return owners
}

// checkToldInTime checks that no request that a caller sent later than the bound after the
// store's acknowledgment reached a server, but for those of nodes that were out.
func (f *fleet) checkToldInTime(all []*call, acked map[*server]time.Time, excused func(*call) bool) {
	calls := map[string]*call{}
	for _, x := range all {
		calls[x.id] = x
	}
	late, counted, worst := 0, 0, time.Duration(0)
	for s, at := range acked {
		for _, a := range s.Received() {
			x := calls[a.ID]
			if x == nil || excused(x) {
				continue
			}
			counted++
			if after := x.sentAt.Sub(at); after > drainBound+drainMargin {
				late++
				worst = max(worst, after)
			}
		}
	}
	f.t.Logf("%d of %d arrivals at leaving servers too late, at worst %v after the store's acknowledgment", late, counted, worst.Round(time.Millisecond))
	if late > 0 {
		f.t.Errorf("%d requests reached servers later than %v after the store had acknowledged that they leave", late, drainBound)
	}
}
