package rollout

// allRoutes stands for the sum over all routes.
const allRoutes = ""

// analyze takes what was added since the last tick into the tests, each against the
// stable version's answers of the same interval. The sum over all routes is tested, too: a
// version that fails a few of all requests is found sooner so.
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

// splitByVersion divides what was added by version: by route and server of the new one, by route
// of the stable one.
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

// limitBroken counts the broken answers of a server as one in brokenInterval.
func (d *Decider) limitBroken(server string, broken uint64) uint64 {
	if broken == 0 || d.now.Sub(d.lastBroken[server]) < brokenInterval {
		return 0
	}
	d.lastBroken[server] = d.now
	return 1
}

// updateTests takes the answers of an interval on a route into its tests. Servers that are cold
// are slow for another reason than their version.
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

func (d *Decider) testFor(key testKey) *sequentialTest {
	if d.tests[key] == nil {
		d.tests[key] = &sequentialTest{}
	}
	return d.tests[key]
}

// recordBaseline keeps what the stable version answered of late; from the cutover on what it
// answered before that, when it still had the traffic.
func (d *Decider) recordBaseline(stable map[string]Counts) {
	if d.cutoverBegun {
		return
	}
	d.baselines = append(d.baselines, baselineInterval{d.now, stable})
	for len(d.baselines) > 1 && d.now.Sub(d.baselines[0].at) > baselineWindow {
		d.baselines = d.baselines[1:]
	}
}

// baseline returns what the new version's answers on a route are held against: the stable
// version's of the same interval or, where these are few, those of late.
//
// What goes wrong without the latter: a version that turns bad when it gets the whole
// traffic has nothing to be compared with, and is promoted.
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
