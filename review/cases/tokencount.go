package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/lycheekeel/lycheekeel/platform/standin"
)

const (
	// oddTokens is the X-Token-Count of a client that means "no limit": the largest number of
	// 64 bits with a sign.
	oddTokens, usualTokens = "1460,9223372036854775807", "1460,80"

	reportPath, sharePath = "/s/report/2f", "/share/2f"
	// calmTime is how long ordinary callers are watched before the odd request, afterTime
	// from it on: less than the route's time of the odd request.
	calmTime, afterTime = 3 * time.Second, 12 * time.Second
	// callInterval is the time between two ordinary requests of a kind at each gateway.
	callInterval = 250 * time.Millisecond
)

// tally counts the ordinary requests of a kind at one gateway.
type tally struct {
	mu            sync.Mutex
	asked, served int
	statuses      map[int]int
}

func (t *tally) add(a answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.asked++
	t.statuses[a.status]++
	if a.served() {
		t.served++
	}
}

// kindTallies are those of the two kinds of request.
type kindTallies struct{ reports, shares tally }

// playTokenCount sends each gateway one request whose X-Token-Count is far too large, amid
// ordinary requests of the same kind and of another one.
func playTokenCount(r *rig) (bool, error) {
	config := &standin.Configuration{
		Tenant: tenantName, Keys: []string{tenantKey},
		Routes: []standin.Route{
			{Prefix: "/s/report/", Type: "stream", Service: "snag-llm", MaxAttempts: 2, Resumable: true, TimeoutMs: 15000, LatencyTargetMs: 1000, GapTargetMs: 600},
			{Prefix: "/share/", Type: "non_idempotent", Service: "snag-app", MaxAttempts: 1, TimeoutMs: 4000, LatencyTargetMs: 300},
		},
		Engines: map[string]int{"snag-llm": 10}, PlainServices: []string{"snag-app"},
	}
	err := r.startServers(18, "snag-llm", 10, &standin.Server{Events: 20, EventInterval: 10 * time.Millisecond})
	if err == nil {
		err = r.startServers(3, "snag-app", 6, &standin.Server{Delay: 20 * time.Millisecond})
	}
	if err != nil {
		return false, err
	}
	r.store.PutConfiguration(config)
	if err := r.startGateways(9); err != nil {
		return false, err
	}
	calm := r.callOrdinarily("calm", calmTime)
	tokens := usualTokens
	if r.trouble {
		tokens = oddTokens
	}
	var odd sync.WaitGroup
	for _, g := range r.gateways {
		odd.Go(func() {
			c := call{method: "POST", path: reportPath, id: "odd-" + g.name, tokens: tokens, body: "odd", deadline: 15 * time.Second}
			r.logf("%s: %s is sent with X-Token-Count: %s", g.name, c.id, tokens)
			r.logf("%s: %s: %v", g.name, c.id, c.send(g))
		})
	}
	after := r.callOrdinarily("after", afterTime)
	odd.Wait()
	r.logRuns()
	return r.starved(calm, after)
}

// callOrdinarily sends ordinary requests of both kinds to all gateways for a time and waits for
// their answers.
func (r *rig) callOrdinarily(phase string, d time.Duration) []*kindTallies {
	var wg sync.WaitGroup
	all := make([]*kindTallies, len(r.gateways))
	for i, g := range r.gateways {
		t := &kindTallies{reports: tally{statuses: map[int]int{}}, shares: tally{statuses: map[int]int{}}}
		all[i] = t
		wg.Go(func() {
			for n, end := 0, time.Now().Add(d); time.Now().Before(end); n++ {
				body := fmt.Sprintf("%s %s %d", phase, g.name, n)
				report := call{method: "POST", path: reportPath, id: fmt.Sprintf("report-%s-%s-%d", phase, g.name, n), tokens: usualTokens, body: body, deadline: 6 * time.Second}
				share := call{method: "POST", path: sharePath, id: fmt.Sprintf("share-%s-%s-%d", phase, g.name, n), body: body, deadline: 4 * time.Second}
				wg.Go(func() { r.callOnce(g, report, &t.reports) })
				wg.Go(func() { r.callOnce(g, share, &t.shares) })
				time.Sleep(callInterval)
			}
		})
	}
	wg.Wait()
	return all
}

func (r *rig) callOnce(g *gateway, c call, t *tally) {
	r.logf("%s: %s is sent", g.name, c.id)
	a := c.send(g)
	r.logf("%s: %s: %v", g.name, c.id, a)
	t.add(a)
}

// starved reports whether a kind of request was served less than a quarter as often as all
// requests after the odd ones were sent.
func (r *rig) starved(calm, after []*kindTallies) (bool, error) {
	var before, reports, shares tally
	for i, g := range r.gateways {
		r.printf("%s: reports before: %d of %d served; after: %d of %d, by status %v; shares after: %d of %d", g.name,
			calm[i].reports.served, calm[i].reports.asked, after[i].reports.served, after[i].reports.asked, after[i].reports.statuses,
			after[i].shares.served, after[i].shares.asked)
		for _, x := range []struct{ sum, t *tally }{{&before, &calm[i].reports}, {&reports, &after[i].reports}, {&shares, &after[i].shares}} {
			x.sum.asked, x.sum.served = x.sum.asked+x.t.asked, x.sum.served+x.t.served
		}
	}
	if 4*before.served < 3*before.asked {
		return false, fmt.Errorf("only %d of %d reports were served in calm", before.served, before.asked)
	}
	kind := float64(reports.served) / float64(reports.asked)
	all := float64(reports.served+shares.served) / float64(reports.asked+shares.asked)
	r.printf("after: %.3f of the reports and %.3f of all requests were served", kind, all)
	return kind < all/4, nil
}
