package soak

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
)

// The load of TestSilentServersAreWaitedFor.
const (
	silentFor      = 1300 * time.Millisecond
	silentEvery    = 2 * time.Second
	silentSpan     = 8 * time.Second
	silentInterval = 20 * time.Millisecond // between two requests
	// longBodyBytes do not fit into what the connection to a silent server takes.
	longBodyBytes = 6 << 20
)

// Guards against: a sound server that falls silent for a second and goes on is taken for
// gone, or its runs are given up or run twice.
func TestSilentServersAreWaitedFor(t *testing.T) {
	f := startFleet(t, fleetOptions{eventInterval: 20 * time.Millisecond, resumeTimeout: streamTimeout}, 0)
	c := &callers{}
	ctx, cancel := context.WithTimeout(context.Background(), silentSpan)
	defer cancel()
	var wg conc.WaitGroup
	wg.Go(func() {
		c.sendAtInterval(ctx, silentInterval, f.nodes, func(i int) string { return paths[i%len(paths)] })
	})
	wg.Go(func() {
		c.sendContent(ctx, f.nodes, 15*silentInterval, "long-", "/once/", strings.Repeat("x", longBodyBytes))
	})
	for i := 0; ctx.Err() == nil; i++ {
		one := f.oneOfEach(i)
		for _, s := range one {
			s.proxy.Hold()
		}
		sleep(ctx, silentFor)
		for _, s := range one {
			s.proxy.ClearFaults()
		}
		sleep(ctx, silentEvery-silentFor)
	}
	wg.Wait()
	f.checkNoCrashLogged()
	runs := f.arrivals()
	unserved := 0
	for _, x := range c.all {
		f.checkCall(x, runs[x.id])
		if x.status != http.StatusOK || !x.complete {
			unserved++
			t.Log(fmt.Sprint(x.id, " ", x.path, " ended with status ", x.status, " after ", x.endedAt.Sub(x.sentAt).Truncate(time.Millisecond), ", ran ", len(runs[x.id])))
		}
	}
	t.Logf("%d of %d requests were not served", unserved, len(c.all))
	if unserved > 0 {
		t.Errorf("%d of %d requests were not served though all servers are sound", unserved, len(c.all))
	}
}

// oneOfEach returns the ith server of each service.
func (f *fleet) oneOfEach(i int) (one []*server) {
	byService := map[string][]*server{}
	for _, s := range f.servers {
		byService[s.service] = append(byService[s.service], s)
	}
	for _, all := range byService {
		one = append(one, all[i%len(all)])
	}
	return one
}
