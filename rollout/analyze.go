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
	canary, stable := d.split()
	d.remember(stable)
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
		d.test(route, servers, baselines[route])
	}
}

// split divides what was added by version: by route and server of the new one, by route
// of the stable one.
func (d *Decider) split() (canary map[string]map[string]Counts, stable map[string]Counts) {
	canary, stable = map[string]map[string]Counts{}, map[string]Counts{}
	for key, added := range d.pending {
		if key.Server == "" {
			stable[key.Route] = added
			continue
		}
		if canary[key.Route] == nil {
			canary[key.Route] = map[string]Counts{}
		}
		added.Broken = d.brokenOnce(key.Server, added.Broken)
		canary[key.Route][key.Server] = added
	}
	clear(d.pending)
	return canary, stable
}

// brokenOnce counts the broken answers of a server as one in brokenEvery.
func (d *Decider) brokenOnce(server string, broken uint64) uint64 {
	if broken == 0 || d.now.Sub(d.broken[server]) < brokenEvery {
		return 0
	}
	d.broken[server] = d.now
	return 1
}

// test takes the answers of an interval on a route into its tests. Servers that are cold
// are slow for another reason than their version.
func (d *Decider) test(route string, servers map[string]Counts, baseline Counts) {
	failed, slow := map[string]answers{}, map[string]answers{}
	for server, c := range servers {
		failed[server] = answers{float64(c.Runs), float64(c.Failed + c.Broken)}
		slow[server] = answers{float64(c.Runs), float64(c.Slow)}
	}
	given := float64(baseline.Runs)
	d.testOf(testKey{route, failures}).add(failed, answers{given, float64(baseline.Failed + baseline.Broken)})
	if d.warm {
		d.testOf(testKey{route, slowness}).add(slow, answers{given, float64(baseline.Slow)})
	}
}

func (d *Decider) testOf(key testKey) *test {
	if d.tests[key] == nil {
		d.tests[key] = &test{}
	}
	return d.tests[key]
}

// remember keeps what the stable version answered of late; from the cutover on what it
// answered before that, when it still had the traffic.
func (d *Decider) remember(stable map[string]Counts) {
	if d.cutover {
		return
	}
	d.recent = append(d.recent, interval{d.now, stable})
	for len(d.recent) > 1 && d.now.Sub(d.recent[0].at) > baselineTime {
		d.recent = d.recent[1:]
	}
}

// baseline returns what the new version's answers on a route are held against: the stable
// version's of the same interval or, where these are few, those of late.
//
// What goes wrong without the latter: a version that turns bad when it gets the whole
// traffic has nothing to be compared with, and is promoted.
func (d *Decider) baseline(stable Counts, route string, servers map[string]Counts) Counts {
	given := 0.0
	for _, c := range servers {
		given += float64(c.Runs)
	}
	if float64(stable.Runs) >= baselineLeast*given {
		return stable
	}
	var all Counts
	for _, i := range d.recent {
		all = all.plus(i.stable[route])
	}
	return all
}
