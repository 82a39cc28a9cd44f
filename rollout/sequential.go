package rollout

import (
	"math"
	"slices"
)

// A version is tested sequentially: the test is evaluated after each report and stops at
// the first rejection. If the new version is as good as the stable one, and each interval
// has answers of both, the value of the test is a nonnegative martingale that starts at 1.
// The probability that it ever exceeds 1/alpha is then at most alpha (Ville 1939; for
// continuous monitoring see Johari, Koomen, Pekelis and Walsh, "Always Valid Inference",
// Operations Research 70(3), 2022). If an interval has few answers of the stable version,
// its latest earlier ones are used instead, and the bound is only approximate.
//
// The test is conditional: given a bad answer in an interval, the probability that it is
// the new version's follows from the number of answers of each version in that interval. A
// burst of failures or an outage that affects both versions is therefore no evidence.
const (
	// toleratedOdds is the odds ratio of bad answers, new to stable version, up to which a
	// version is not rejected: callers hardly notice the difference.
	toleratedOdds = 1.5
	// rejectThreshold is the value of a test at which a version is rejected at any time.
	// With five routes, two measures and the sums over the routes there are a dozen tests.
	// A version at toleratedOdds is rejected in at most one of 40 rollouts, one as good as
	// the stable version far less often.
	rejectThreshold = 500
	// deadlineRejectThreshold is the value of a test that suffices at the time of the
	// decision. Rolling back a good version costs another rollout, promoting a bad one an
	// outage.
	deadlineRejectThreshold = 15
	// trimmedShare is the fraction of the new version's servers, at least one, whose
	// evidence against it is left out, strongest first. A bad version is bad on all its
	// servers, and a single bad server must not reject it.
	trimmedShare = 1.0 / 3
)

// alternativeOdds are the odds ratios of the alternative hypotheses.
var alternativeOdds = [...]float64{6, 20, 80}

// sequentialTest holds the state of one test: log-likelihood ratios by server and
// alternative.
type sequentialTest struct {
	servers map[string]*logLikelihoodRatios
}

type logLikelihoodRatios [len(alternativeOdds)]float64

// sample counts the answers of a server in an interval, and the bad ones among them.
type sample struct{ total, bad float64 }

// add adds the answers of an interval, by server of the new version, and in total for the
// stable one. Each server is compared with a part of the stable answers, in proportion to
// its part of the new ones, so that the sum over all servers is the test of the version as
// a whole.
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

// ratiosOf returns the ratios of a server, which are zero at first.
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

// canaryProbability returns the probability that a bad answer is the new version's, given
// the numbers of answers of both versions and the odds ratio.
func canaryProbability(canaryTotal, stable, odds float64) float64 {
	return odds * canaryTotal / (odds*canaryTotal + stable)
}

// value returns the value of the test, given the number of servers that have answered.
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

// trimmedSum returns the sum of the log-likelihood ratios for one alternative without the
// trimCount largest ones.
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
