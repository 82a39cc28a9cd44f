package soak

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
)

// The bound on the requests that a server gets from a node while it rests.
const (
	// pushbackNotice is how long after a pushback other requests may arrive.
	pushbackNotice = 500 * time.Millisecond
	// pushbackAllowed is how many requests may arrive from then to its end.
	pushbackAllowed = 2
	// pushbackMargin is what the clocks of the test may differ from those of a node.
	pushbackMargin = 20 * time.Millisecond
)

// pushbackLoad is a load on servers of which each in turn refuses everything for a moment and
// names a Retry-After.
type pushbackLoad struct {
	name       string
	interval   time.Duration // between two requests
	every      int           // every nth server asks
	moment     time.Duration // for which it refuses everything
	retryAfter string        // in seconds
	// leastServed is the share of the requests that has to be served.
	leastServed float64
	inTurn      bool // one server after the other, not all at the same moment
}

const (
	pushbackPeriod  = 5 * time.Second // between the moments of one server
	pushbackSpan    = 9 * time.Second
	pushbackServers = 7 // of each service
	// pushbackServed is the share of requests that is served where other servers have room; the
	// bound on retries may keep the others from them.
	pushbackServed = 0.9
)

var pushbackLoads = []pushbackLoad{
	{"every second", 8 * time.Millisecond, 2, 300 * time.Millisecond, "3", pushbackServed, false},
	{"each in its turn", 8 * time.Millisecond, 1, 600 * time.Millisecond, "2", pushbackServed, true},
	{"all at the same moment", 8 * time.Millisecond, 1, 600 * time.Millisecond, "2", 0.5, false}, // they take requests for 3 s of 5
	{"every seventh, fractions", 8 * time.Millisecond, 7, time.Second, "3.75", pushbackServed, false},
}

// Guards against: a server that pushed a node back gets requests from it before its time is up.
func TestServersThatPushBackGetRequests(t *testing.T) {
	for _, x := range pushbackLoads {
		t.Run(x.name, func(t *testing.T) {
			parallelFleet(t)
			x.run(t, 0, undisturbed)
		})
	}
}

// Guards against: the pushbacks of servers are forgotten when their pool's owner
// changes.
func TestPushbacksOutliveOwners(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed int64) {
		parallelFleet(t)
		pushbackLoads[seed%int64(len(pushbackLoads))].run(t, seed, killInTurn(seed))
	})
}

func (x pushbackLoad) run(t *testing.T, seed int64, disturb disturbance) {
	f := startFleet(t, fleetOptions{nodes: 6, resumeTimeout: crashingTimeout}, seed)
	for len(f.servers) < 2*pushbackServers {
		f.addServer([]string{"llm", "app"}[len(f.servers)%2])
	}
	c := &callers{}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second+pushbackSpan)
	defer cancel()
	record := newFaultRecord()
	var wg conc.WaitGroup
	wg.Go(func() {
		c.sendAtInterval(ctx, x.interval, f.nodes, func(i int) string { return paths[i/len(f.nodes)%len(paths)] })
	})
	sleep(ctx, time.Second)
	for i, s := range f.servers {
		if i/2%x.every != 0 {
			continue
		}
		wg.Go(func() {
			if x.inTurn {
				sleep(ctx, pushbackPeriod*time.Duration(i/2)/pushbackServers)
			}
			s.pushBack(ctx, x)
		})
	}
	wg.Go(func() { disturb(ctx, f, record) })
	wg.Wait()
	f.restarts.Wait()
	if f.checkPushbacks(c, f.servers, record) == 0 {
		t.Error("no server has pushed a node back")
	}
	served := 0
	for _, a := range c.all {
		if a.status == http.StatusOK && a.complete {
			served++
		}
	}
	t.Logf("%d of %d requests served", served, len(c.all))
	if len(record.kills) == 0 && float64(served) < x.leastServed*float64(len(c.all)) {
		t.Errorf("%d of %d requests served", served, len(c.all))
	}
}

// pushBack lets a server refuse everything for a moment in each period, with a Retry-After.
func (s *server) pushBack(ctx context.Context, x pushbackLoad) {
	s.SetRetryAfter(x.retryAfter)
	for ctx.Err() == nil {
		s.SetBusy(true)
		sleep(ctx, x.moment)
		s.SetBusy(false)
		sleep(ctx, pushbackPeriod-x.moment)
	}
}

// checkPushbacks checks how many requests servers got from a node that they had pushed back. A
// node that was killed since knows of nothing. It returns how often they did that.
func (f *fleet) checkPushbacks(c *callers, servers []*server, record *faultRecord) (pushbacks int) {
	nodes := map[string]*node{}
	for _, x := range c.all {
		nodes[x.id] = x.node
	}
	broken, most := 0, 0
	for _, s := range servers {
		arrivals := s.Received()
		for i, a := range arrivals {
			n := nodes[a.ID]
			seconds, err := strconv.ParseFloat(a.RetryAfter, 64)
			if err != nil || n == nil {
				continue
			}
			pushbacks++
			until := a.At.Add(time.Duration(seconds*float64(time.Second)) - pushbackMargin)
			inside := 0
			for _, b := range arrivals[i+1:] {
				if nodes[b.ID] == n && b.At.Sub(a.At) > pushbackNotice && b.At.Before(until) && !record.killedWithin(n, a.At, b.At) {
					inside++
				}
			}
			most = max(most, inside)
			if inside > pushbackAllowed {
				broken++
			}
		}
	}
	f.t.Logf("%d pushbacks, after %d of them more than %d requests came, at most %d", pushbacks, broken, pushbackAllowed, most)
	if broken > 0 {
		f.t.Errorf("after %d of %d pushbacks more than %d requests came from the node, at most %d", broken, pushbacks, pushbackAllowed, most)
	}
	return pushbacks
}
