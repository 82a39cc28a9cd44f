package rollout

// weigh takes what was added since the last moment into the tests, each against the
// old versions' answers of the same moment.
func (d *Decider) weigh() {
	if len(d.pending) == 0 {
		return
	}
	old, trial := map[string]Counts{}, map[string]map[string]answers{}
	slow := map[string]map[string]answers{}
	for key, added := range d.pending {
		if key.Server == "" {
			old[key.Route] = old[key.Route].plus(added)
			continue
		}
		bad := float64(added.Failed) + d.brokenOnce(key.Server, added)
		put(trial, key, answers{float64(added.Runs), bad})
		if d.warm {
			put(slow, key, answers{float64(added.Runs), float64(added.Slow)})
		}
	}
	clear(d.pending)
	d.remember(old)
	for route, servers := range trial {
		reference := d.reference(old[route], route, servers)
		d.test(route, failures).add(servers, answers{float64(reference.Runs), float64(reference.Failed + reference.Broken)})
		d.test(route, slowness).add(slow[route], answers{float64(reference.Runs), float64(reference.Slow)})
	}
	d.weighAll(old, trial, slow)
}

func put(to map[string]map[string]answers, key Key, a answers) {
	if to[key.Route] == nil {
		to[key.Route] = map[string]answers{}
	}
	to[key.Route][key.Server] = a
}

// weighAll weighs the sums over all routes: a version that fails a few of all requests
// is found sooner so.
func (d *Decider) weighAll(old map[string]Counts, trial, slow map[string]map[string]answers) {
	var reference Counts
	for route := range trial {
		reference = reference.plus(d.reference(old[route], route, trial[route]))
	}
	sum := func(byRoute map[string]map[string]answers) map[string]answers {
		all := map[string]answers{}
		for _, servers := range byRoute {
			for server, a := range servers {
				all[server] = answers{all[server].given + a.given, all[server].bad + a.bad}
			}
		}
		return all
	}
	d.test("", failures).add(sum(trial), answers{float64(reference.Runs), float64(reference.Failed + reference.Broken)})
	d.test("", slowness).add(sum(slow), answers{float64(reference.Runs), float64(reference.Slow)})
}

func (d *Decider) test(route string, m measure) *test {
	key := testKey{route, m}
	if d.tests[key] == nil {
		d.tests[key] = &test{}
	}
	return d.tests[key]
}

// brokenOnce counts the broken answers of a server as one bad answer in brokenEvery.
func (d *Decider) brokenOnce(server string, added Counts) float64 {
	if added.Broken == 0 || d.now.Sub(d.broken[server]) < brokenEvery {
		return 0
	}
	d.broken[server] = d.now
	return 1
}

// remember keeps what the old versions answered of late.
func (d *Decider) remember(old map[string]Counts) {
	d.recent = append(d.recent, moment{d.now, old})
	for len(d.recent) > 1 && d.now.Sub(d.recent[0].at) > referenceTime && !d.opened {
		d.recent = d.recent[1:]
	}
}

// reference returns what the new version's answers on a route are held against: the
// old versions' of the same moment or, where these are few, those of late as well.
//
// What goes wrong without the latter: a version that turns bad when it gets the whole
// traffic has nothing to be compared with, and is taken.
func (d *Decider) reference(old Counts, route string, servers map[string]answers) Counts {
	given := 0.0
	for _, a := range servers {
		given += a.given
	}
	if float64(old.Runs) >= referenceLeast*given {
		return old
	}
	var all Counts
	for _, m := range d.recent {
		all = all.plus(m.old[route])
	}
	return all
}
