package rollout

// allRoutes is the key of the sum over all routes.
const allRoutes = ""

// analyze adds the counts since the previous tick to the tests. The new version is compared
// with the stable version's answers of the same interval. The sum over all routes is
// tested, too, which finds a version sooner that fails a few of all requests.
func (d *Decider) analyze() {
	if len(d.pending) == 0 {
		return
	}
	canary, stable := d.splitByVersion()
	d.recordBaseline(stable)
	baselines := map[string]Counts{}
	sums := map[string]Counts{}
	for route, servers := range canary {
		baselines[route] = d.baseline(stable[route], route, servers)
		baselines[allRoutes] = baselines[allRoutes].plus(baselines[route])
		for server, c := range servers {
			sums[server] = sums[server].plus(c)
		}
	}
	canary[allRoutes] = sums
	for route, servers := range canary {
		d.updateTests(route, servers, baselines[route])
	}
}

// splitByVersion returns the pending counts of the new version by route and server, and
// those of the stable version by route.
func (d *Decider) splitByVersion() (canary map[string]map[string]Counts, stable map[string]Counts) {
	canary, stable = map[string]map[string]Counts{}, map[string]Counts{}
	for key, added := range d.pending {
		if key.Server == "" {
			stable[key.Route] = added
			continue
		}
		if canary[key.Route] == nil {
			canary[key.Route] = map[string]Counts{}
		}
		added.Broken = d.limitBroken(key.Server, added.Broken)
		canary[key.Route][key.Server] = added
	}
	clear(d.pending)
	return canary, stable
}

// limitBroken counts the broken answers of a server as one per brokenInterval.
func (d *Decider) limitBroken(server string, broken uint64) uint64 {
	if broken == 0 || d.now.Sub(d.lastBroken[server]) < brokenInterval {
		return 0
	}
	d.lastBroken[server] = d.now
	return 1
}

// updateTests adds the answers of an interval on a route to its tests. Slowness is not
// tested while the servers are cold, because they are then slow for another reason than
// their version.
func (d *Decider) updateTests(route string, servers map[string]Counts, baseline Counts) {
	failed, slow := map[string]sample{}, map[string]sample{}
	for server, c := range servers {
		failed[server] = sample{float64(c.Runs), float64(c.Failed + c.Broken)}
		slow[server] = sample{float64(c.Runs), float64(c.Slow)}
	}
	total := float64(baseline.Runs)
	d.testFor(testKey{route, failures}).add(failed, sample{total, float64(baseline.Failed + baseline.Broken)})
	if d.hasWarmServers {
		d.testFor(testKey{route, slowness}).add(slow, sample{total, float64(baseline.Slow)})
	}
}

// testFor returns the test of a key, and creates it if needed.
func (d *Decider) testFor(key testKey) *sequentialTest {
	if d.tests[key] == nil {
		d.tests[key] = &sequentialTest{}
	}
	return d.tests[key]
}

// recordBaseline keeps the stable version's recent answers. After the cutover has begun it
// keeps those from before, when the stable version still had the traffic.
func (d *Decider) recordBaseline(stable map[string]Counts) {
	if d.cutoverBegun {
		return
	}
	d.baselines = append(d.baselines, baselineInterval{d.now, stable})
	for len(d.baselines) > 1 && d.now.Sub(d.baselines[0].at) > baselineWindow {
		d.baselines = d.baselines[1:]
	}
}

// baseline returns the stable version's answers with which the new version's on a route are
// compared: those of the same interval or, if they are too few, the recent ones.
//
// Without the latter, a version that turns bad when it gets the whole traffic has nothing
// to be compared with, and is promoted.
func (d *Decider) baseline(stable Counts, route string, servers map[string]Counts) Counts {
	total := 0.0
	for _, c := range servers {
		total += float64(c.Runs)
	}
	if float64(stable.Runs) >= minBaselineRatio*total {
		return stable
	}
	var all Counts
	for _, i := range d.baselines {
		all = all.plus(i.stable[route])
	}
	return all
}
