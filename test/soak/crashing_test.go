package soak

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/lycheekeel/lycheekeel/platform/standin"
)

// The load and the bound of the tests of contents that crash servers.
const (
	crashingInterval = 500 * time.Millisecond // between two requests with one such content
	crashingTimeout  = 4 * time.Second
	// A crashed server's successor starts after restartDelay, and its entry expires after
	// entryExpiry.
	restartDelay = 2500 * time.Millisecond
	entryExpiry  = 3600 * time.Millisecond
	// A content reaches servers at most retriesAfterCrashes times more, later than
	// crashNotice after it has crashed the last of crashesKnown servers.
	crashesKnown        = 3
	crashNotice         = 3 * time.Second
	retriesAfterCrashes = 3
	serversPerCrashTest = 7
)

// crashingContent is the body, or the part of prompts, that crashes servers of one service,
// and the path to it.
type crashingContent struct{ service, path, body, part string }

func (x crashingContent) name() string { return cmp.Or(x.part, x.body) }

var crashingContents = []crashingContent{
	{service: "llm", path: resumePath(0), body: "crashes streams"},
	{service: "app", path: "/again/", body: "crashes calls"},
}

// Guards against: a request that crashes the servers that run it is sent to one server
// after the other.
func TestRequestThatCrashesServersIsSentOn(t *testing.T) {
	f, c, record := runCrashing(t, *firstSeed, 15*time.Second, undisturbed)
	f.checkCrashing(c, record)
	f.checkHarmless(c)
}

// Guards against: what is known of a request that crashes servers is lost when the pool's
// owner changes or a gateway starts again.
func TestRequestThatCrashesServersOutlivesOwners(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed int64) {
		t.Parallel()
		f, c, record := runCrashing(t, seed, 20*time.Second, killInTurn(seed))
		f.checkCrashing(c, record)
	})
}

// Guards against: what is known of a request that crashes servers is lost when all gateways end at once.
func TestRequestThatCrashesServersOutlivesAllGateways(t *testing.T) {
	// All gateways end soon after an arrival, so that the next one comes when they count as started.
	const interval, kill = crashNotice + 500*time.Millisecond, 300 * time.Millisecond
	f, c, record := runCrashingEach(t, *firstSeed, interval, 9*interval, killAllAfter(3*interval+kill, 3*interval))
	f.checkCrashing(c, record)
}

// runCrashing sends contents that crash servers, beside other requests, for the given
// time, while disturb runs.
func runCrashing(t *testing.T, seed int64, span time.Duration, disturb disturbance) (*fleet, *callers, *faultRecord) {
	return runCrashingEach(t, seed, crashingInterval, span, disturb)
}

// runCrashingEach is runCrashing with another interval between the contents that crash servers.
func runCrashingEach(t *testing.T, seed int64, interval, span time.Duration, disturb disturbance) (*fleet, *callers, *faultRecord) {
	f := startFleet(t, fleetOptions{nodes: 6, resumeTimeout: crashingTimeout, onceTimeout: crashingTimeout}, seed)
	f.removeServers()
	record := newFaultRecord()
	ctx, cancel := context.WithTimeout(context.Background(), span)
	defer cancel()
	var servers sync.Mutex
	for _, x := range crashingContents {
		for range serversPerCrashTest {
			f.addCrashingServer(ctx, &servers, x, record, freeAddress(t))
		}
	}
	c := &callers{}
	f.eventually("all services are served", func() bool {
		for i, x := range crashingContents {
			probe := &call{id: fmt.Sprint(requestIDPrefix, "first-", i, time.Now().UnixNano()), path: x.path, apiKey: "k1", node: f.nodes[0], timeout: time.Second}
			if c.sendOnce(probe); probe.status != http.StatusOK {
				return false
			}
		}
		return true
	})
	var wg conc.WaitGroup
	wg.Go(func() { disturb(ctx, f, record) })
	wg.Go(func() {
		c.sendAtInterval(ctx, arrivalInterval, f.nodes, func(i int) string { return []string{resumePath(0), "/again/"}[i/len(f.nodes)%2] })
	})
	for k, x := range crashingContents {
		wg.Go(func() { c.sendContent(ctx, f.nodes, interval, fmt.Sprint("crash-", k, "-"), x.path, x.body) })
		wg.Go(func() {
			c.sendContent(ctx, f.nodes, crashingInterval/10, fmt.Sprint("often-", k, "-"), x.path, harmlessBody)
		})
	}
	wg.Wait()
	f.restarts.Wait()
	servers.Lock()
	defer servers.Unlock()
	return f, c, record
}

// harmlessBody is the body of requests that come often and crash nothing.
const harmlessBody = "often and harmless"

// addCrashingServer starts and registers a server that a content crashes. Each time it is
// followed by a server with a new ID, every second one at the same address.
func (f *fleet) addCrashingServer(ctx context.Context, mu *sync.Mutex, x crashingContent, record *faultRecord, address string) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		f.t.Error(err)
		return
	}
	mu.Lock()
	defer mu.Unlock()
	f.serversCreated++
	id, next := fmt.Sprint("i-", f.serversCreated), address
	if f.serversCreated%2 != 0 {
		next = freeAddress(f.t)
	}
	backend := &standin.Server{ID: id, Events: 30, EventInterval: f.eventInterval, CrashBody: x.body, CrashPart: x.part, OnCrash: func(string) {
		record.addCrash(x.name())
		time.AfterFunc(restartDelay, func() {
			if ctx.Err() == nil {
				f.addCrashingServer(ctx, mu, x, record, next)
			}
		})
		time.AfterFunc(entryExpiry, func() { f.store.Remove(standin.KindServers, id) })
	}}
	go func() { _ = backend.Serve(context.Background(), ln) }()
	f.servers = append(f.servers, &server{service: x.service, Server: backend, stop: func() {}})
	f.store.PutServer(id, x.service, ln.Addr().String(), "ready", 8)
}

// sendContent sends requests with one content to the nodes in turn until the context ends,
// and waits for their ends.
func (c *callers) sendContent(ctx context.Context, nodes []*node, interval time.Duration, name, path, body string) {
	c.sendEach(ctx, interval, nodes, func(i int) *call {
		return &call{id: fmt.Sprint(name, i), path: path, content: body, timeout: crashingTimeout}
	})
}

// checkCrashing checks that each content that crashes servers is sent on at most as often
// as allowed.
func (f *fleet) checkCrashing(c *callers, record *faultRecord) {
	byID := map[string]*call{}
	for _, x := range c.all {
		byID[x.id] = x
	}
	for _, x := range crashingContents {
		all := record.crashes[x.body]
		if len(all) < crashesKnown {
			f.t.Errorf("%s: %d crashes, no test", x.body, len(all))
			continue
		}
		slices.SortFunc(all, time.Time.Compare)
		late, arrived := 0, 0
		for id, arrivals := range f.arrivals() {
			sent := byID[id]
			if sent == nil || sent.content != x.body {
				continue
			}
			for _, a := range arrivals {
				arrived++
				if a.At.After(all[crashesKnown-1].Add(crashNotice)) && !record.justStarted(sent.node, a.At) {
					late++
				}
			}
		}
		f.t.Logf("%s: %d arrivals, %d servers crashed, %d arrivals later than %v after the third crash", x.body, arrived, len(all), late, crashNotice)
		if late > retriesAfterCrashes {
			f.t.Errorf("%s was sent on %d times, allowed %d", x.body, late, retriesAfterCrashes)
		}
	}
	f.reportServed(c)
	f.t.Logf("contents confirmed to crash servers: %d", f.confirmedContents())
}

// confirmedContents counts the contents that some node's log says are confirmed to crash
// servers.
func (f *fleet) confirmedContents() int {
	contents := map[string]bool{}
	for _, n := range f.nodes {
		written, err := os.ReadFile(filepath.Join(f.dir, n.name+".log"))
		if err != nil {
			f.t.Error(err)
		}
		for _, line := range bytes.Split(written, []byte("\n")) {
			var x struct{ Msg, Content, State string }
			if json.Unmarshal(line, &x) == nil && x.Msg == "Content that crashes servers." && x.State == "confirmed" {
				contents[x.Content] = true
			}
		}
	}
	return len(contents)
}

// reportServed logs how many requests of each kind were served.
func (f *fleet) reportServed(c *callers) {
	type tally struct{ sent, served, refused, failed int }
	byKind := map[string]tally{}
	for _, x := range c.all {
		k := byKind[x.path+" "+x.content]
		k.sent++
		switch {
		case x.status == http.StatusOK && x.complete:
			k.served++
		case x.status == http.StatusTooManyRequests || x.status == http.StatusServiceUnavailable:
			k.refused++
		default:
			k.failed++
		}
		byKind[x.path+" "+x.content] = k
	}
	for kind, k := range byKind {
		f.t.Logf("%q: %+v", kind, k)
	}
}

// harmlessWithin is the time at the end of a run in which a harmless content is served.
const harmlessWithin = 3 * time.Second

// checkHarmless checks that a content that crashes nothing is served at the end.
func (f *fleet) checkHarmless(c *callers) {
	end := time.Time{}
	for _, x := range c.all {
		if x.sentAt.After(end) {
			end = x.sentAt
		}
	}
	for _, crashing := range crashingContents {
		served := slices.ContainsFunc(c.all, func(x *call) bool {
			return x.content == harmlessBody && x.path == crashing.path && x.status == http.StatusOK && x.complete && end.Sub(x.sentAt) <= harmlessWithin
		})
		if !served {
			f.t.Errorf("%s: no request with the harmless content was served in the last %v", crashing.path, harmlessWithin)
		}
	}
}
