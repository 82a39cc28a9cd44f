package rollout

import (
	"math"
	"slices"
)

// The test of a version is sequential: it is looked at after each report, and stops at the
// first proof. Where each interval brings answers of both versions, its value is a
// nonnegative martingale, while the new version is as good, that starts at 1; so the
// probability that it ever exceeds 1/alpha is alpha at the most (Ville 1939; for
// comparisons that are looked at continuously see Johari, Koomen, Pekelis and Walsh,
// "Always Valid Inference", Operations Research 70(3), 2022). Where an interval has few
// answers of the stable version, its latest ones stand in, and the bound is no exact one.
//
// Given that one of the bad answers of an interval came from either version, it came from
// a server of the new one with a probability that follows from how many answers each gave
// in that interval: a burst or an outage, which hits both, proves nothing.
const (
	// tolerated is by how much the odds of a bad answer may be those of the stable
	// version: a difference that callers hardly notice rejects nobody.
	tolerated = 1.5
	// rejectAt is the value at which a version is rejected at any moment. With five
	// routes, two measures and the sums over routes there are a dozen tests: a version
	// with half more than the odds of the stable one is rejected in one of 40 rollouts at
	// the most, one that is as good far less often.
	rejectAt = 500
	// rejectAtDeadline is the value that suffices when it is time to decide: a good
	// version that is rolled back costs another rollout, a bad one that is promoted an
	// outage.
	rejectAtDeadline = 15
	// trimmed is the part of the new version's servers, one at the least, whose evidence
	// against it is left out, the worst first. A version is bad on all its servers; a
	// server that is bad alone must not reject it.
	trimmed = 1.0 / 3
)

// alternatives are the odds, relative to those of the stable version, that bad versions
// are looked for at.
var alternatives = [...]float64{6, 20, 80}

// test is the value of one test, as logarithms: by server, for each alternative.
type test struct {
	servers map[string]*logRatios
}

type logRatios [len(alternatives)]float64

// answers are how many a server gave in an interval, and how many of them were bad.
type answers struct{ given, bad float64 }

// add takes the answers of an interval: of each server of the new version, and of the
// stable one's together. Each server is held against a part of the stable answers that is
// its part of the new ones, so that the sum over all servers is the test of the version
// as a whole.
func (t *test) add(canary map[string]answers, stable answers) {
	given, bad := 0.0, stable.bad
	for _, a := range canary {
		given += a.given
		bad += a.bad
	}
	if given == 0 || stable.given == 0 || bad == 0 {
		return
	}
	null := fromNew(given, stable.given, tolerated)
	for i, odds := range alternatives {
		p := fromNew(given, stable.given, odds)
		ofNew, ofStable := math.Log(p/null), math.Log((1-p)/(1-null))
		for server, a := range canary {
			t.of(server)[i] += a.bad*ofNew + stable.bad*a.given/given*ofStable
		}
	}
}

func (t *test) of(server string) *logRatios {
	if t.servers == nil {
		t.servers = map[string]*logRatios{}
	}
	logs := t.servers[server]
	if logs == nil {
		logs = &logRatios{}
		t.servers[server] = logs
	}
	return logs
}

// fromNew returns the probability that a bad answer is the new version's, which gave
// some of the answers, where it has so many times the odds of the stable one.
func fromNew(given, stable, odds float64) float64 {
	return odds * given / (odds*given + stable)
}

// value returns the test's value over the servers that have answered.
func (t *test) value(answering int) float64 {
	if answering == 0 {
		return 0
	}
	left := 0
	if answering > 1 {
		left = max(1, int(trimmed*float64(answering)))
	}
	sum := 0.0
	for i := range alternatives {
		sum += math.Exp(t.withoutWorst(i, left)) / float64(len(alternatives))
	}
	return sum
}

// withoutWorst sums the logarithms for one alternative, without so many of the largest.
func (t *test) withoutWorst(alternative, left int) float64 {
	all := make([]float64, 0, len(t.servers))
	for _, logs := range t.servers {
		all = append(all, logs[alternative])
	}
	slices.Sort(all)
	sum := 0.0
	for _, v := range all[:max(0, len(all)-left)] {
		sum += v
	}
	return sum
}
