package rollout

import (
	"math"
	"slices"
)

// The test of a version is sequential: it is looked at after each report, and stops
// at the first proof. Against a version as good as the old ones its value is a
// nonnegative martingale that starts at 1, so that the probability that it ever
// exceeds 1/alpha is alpha at the most (Ville 1939; for comparisons that are looked at
// continuously see Johari, Koomen, Pekelis and Walsh, "Always Valid Inference",
// Operations Research 70(3), 2022).
//
// Given that one of the bad answers of a moment came from either version, it came
// from a server of the new one with a probability that follows from how many answers
// each gave in that moment: a burst or an outage, which hits both, proves nothing.
const (
	// tolerated is by how much the odds of a bad answer may be those of the old
	// versions: a difference that callers hardly notice convicts nobody.
	tolerated = 1.5
	// provedAt is the value from which a test convicts at any moment. With five
	// routes, two measures and the sums over routes there are a dozen tests: a version
	// with half more than the odds of the old ones is rejected in one of 40 rollouts at
	// the most, one that is as good far less often.
	provedAt = 500
	// doubtedAt is the value that suffices when it is time to decide: a good version
	// that is taken back costs another order, a bad one that is taken an outage.
	doubtedAt = 15
	// excused is the part of the new version's servers, one at the least, whose
	// evidence against it is left out, the worst first. A version is bad on all its
	// servers; a server that is bad alone must not convict it.
	excused = 1.0 / 3
)

// alternatives are the odds, relative to those of the old versions, that bad versions
// are looked for at.
var alternatives = [...]float64{6, 20, 80}

// test is the value of one test, as logarithms: by server, for each alternative.
type test struct {
	servers map[string]*logRatios
}

type logRatios [len(alternatives)]float64

// answers are how many a server gave in a moment, and how many of them were bad.
type answers struct{ given, bad float64 }

// add takes the answers of a moment: of each server of the new version, and of the
// old ones together. Each server is held against a part of the old answers that is
// its part of the new ones, so that the sum over all servers is the test of the
// version as a whole.
func (t *test) add(trial map[string]answers, old answers) {
	given, bad := 0.0, old.bad
	for _, a := range trial {
		given += a.given
		bad += a.bad
	}
	if given == 0 || old.given == 0 || bad == 0 {
		return
	}
	null := fromNew(given, old.given, tolerated)
	for i, odds := range alternatives {
		p := fromNew(given, old.given, odds)
		ofNew, ofOld := math.Log(p/null), math.Log((1-p)/(1-null))
		for server, a := range trial {
			t.of(server)[i] += a.bad*ofNew + old.bad*a.given/given*ofOld
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
// some of the answers, where it has so many times the odds of the old ones.
func fromNew(given, old, odds float64) float64 {
	return odds * given / (odds*given + old)
}

// value returns the test's value over the servers that have answered.
func (t *test) value(answering int) float64 {
	if answering == 0 {
		return 0
	}
	left := 0
	if answering > 1 {
		left = max(1, int(excused*float64(answering)))
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
