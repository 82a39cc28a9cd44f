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
	// toleratedOdds is by how much the odds of a bad answer may be those of the stable
	// version: a difference that callers hardly notice rejects nobody.
	toleratedOdds = 1.5
	// rejectThreshold is the value at which a version is rejected at any moment. With five
	// routes, two measures and the sums over routes there are a dozen tests: a version
	// with half more than the odds of the stable one is rejected in one of 40 rollouts at
	// the most, one that is as good far less often.
	rejectThreshold = 500
	// deadlineRejectThreshold is the value that suffices when it is time to decide: a good
	// version that is rolled back costs another rollout, a bad one that is promoted an
	// outage.
	deadlineRejectThreshold = 15
	// trimmedShare is the part of the new version's servers, one at the least, whose evidence
	// against it is left out, the worst first. A version is bad on all its servers; a
	// server that is bad alone must not reject it.
	trimmedShare = 1.0 / 3
)

// alternativeOdds are the odds, relative to those of the stable version, that bad versions
// are looked for at.
var alternativeOdds = [...]float64{6, 20, 80}

// sequentialTest is the value of one test, as logarithms: by server, for each alternative.
type sequentialTest struct {
	servers map[string]*logLikelihoodRatios
}

type logLikelihoodRatios [len(alternativeOdds)]float64

// sample are how many a server gave in an interval, and how many of them were bad.
type sample struct{ total, bad float64 }

// add takes the answers of an interval: of each server of the new version, and of the
// stable one's together. Each server is held against a part of the stable answers that is
// its part of the new ones, so that the sum over all servers is the test of the version
// as a whole.
func (t *sequentialTest) add(canary map[string]sample, stable sample) {
	canaryTotal, bad := 0.0, stable.bad
	for _, s := range canary {
		canaryTotal += s.total
		bad += s.bad
	}
	if canaryTotal == 0 || stable.total == 0 || bad == 0 {
		return
	}
	pNull := canaryProbability(canaryTotal, stable.total, toleratedOdds)
	for i, odds := range alternativeOdds {
		pAlternative := canaryProbability(canaryTotal, stable.total, odds)
		canaryRatio, stableRatio := math.Log(pAlternative/pNull), math.Log((1-pAlternative)/(1-pNull))
		for server, s := range canary {
			t.ratiosOf(server)[i] += s.bad*canaryRatio + stable.bad*s.total/canaryTotal*stableRatio
		}
	}
}

func (t *sequentialTest) ratiosOf(server string) *logLikelihoodRatios {
	if t.servers == nil {
		t.servers = map[string]*logLikelihoodRatios{}
	}
	ratios := t.servers[server]
	if ratios == nil {
		ratios = &logLikelihoodRatios{}
		t.servers[server] = ratios
	}
	return ratios
}

// canaryProbability returns the probability that a bad answer is the new version's, which gave
// some of the answers, where it has so many times the odds of the stable one.
func canaryProbability(canaryTotal, stable, odds float64) float64 {
	return odds * canaryTotal / (odds*canaryTotal + stable)
}

// value returns the test's value over the servers that have answered.
func (t *sequentialTest) value(answering int) float64 {
	if answering == 0 {
		return 0
	}
	trimCount := 0
	if answering > 1 {
		trimCount = max(1, int(trimmedShare*float64(answering)))
	}
	sum := 0.0
	for i := range alternativeOdds {
		sum += math.Exp(t.trimmedSum(i, trimCount)) / float64(len(alternativeOdds))
	}
	return sum
}

// trimmedSum sums the logarithms for one alternative, without so many of the largest.
func (t *sequentialTest) trimmedSum(alternative, trimCount int) float64 {
	all := make([]float64, 0, len(t.servers))
	for _, ratios := range t.servers {
		all = append(all, ratios[alternative])
	}
	slices.Sort(all)
	sum := 0.0
	for _, v := range all[:max(0, len(all)-trimCount)] {
		sum += v
	}
	return sum
}
