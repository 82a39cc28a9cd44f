package score

import (
	"math"
	"slices"
	"time"
)

// LatencyModel is what is measured of one server. Times are in seconds.
type LatencyModel struct {
	firstToken      Regression // time to first token by prefill tokens ahead and own
	decodeStep      Regression // time between tokens by running requests, without prefill
	perToken        Regression // the same with the prefill of others in between
	baseline        Profile    // the speed of old, which stands in for absent peers
	slowdown        float64
	straggler       bool // the last verdict
	slowdownSamples int  // samples judged
	// Measurements so far: of first tokens, and of times between tokens.
	firstTokenCount, perTokenCount int
}

const (
	firstTokenDecay = 0.95
	perTokenDecay   = 0.98
	// priorWeight is how many measurements the prior is worth.
	priorWeight = 2
	// queuedWeight is the weight of a first token that waited inside the
	// engine: it measures a queue rather than the engine's speed.
	queuedWeight = 0.2
	// baselineWeight is the weight of the present speed in the usual one.
	baselineWeight = 0.01
	// slowdownWeight is the weight of a new sample in the slowdown, recoveryWeight that
	// of a straggler's probe, so that one or two bring it back.
	slowdownWeight, recoveryWeight = 0.3, 0.6
	// minMeasurements is how many measurements make a speed known. Before, it is
	// mostly the prior: a fleet of slow engines would all seem stragglers.
	minMeasurements = 8
	// minSlowdownSamples is how many samples a verdict needs.
	minSlowdownSamples = 3
	// stragglerThreshold and recoveryThreshold are the slowdowns, beside peers, from which a
	// server is a straggler and below which it no longer is one.
	stragglerThreshold, recoveryThreshold = 3.0, 1.7
	// maxSlowdown bounds one sample's say in the slowdown.
	maxSlowdown = 20.0
)

// The points at which peers are compared and priors are made: few and many
// prefill tokens, few and many running requests.
const (
	lowPrefill, highPrefill = 0.0, 4000.0
	lowRunning, highRunning = 1.0, 16.0
)

// Profile is a server's speed before anything was measured of it.
type Profile struct {
	FirstTokenLow, FirstTokenHigh float64 // at lowPrefill and highPrefill tokens
	PerTokenLow, PerTokenHigh     float64 // at lowRunning and highRunning requests
}

// DefaultProfile is assumed where no peer has been measured either.
func DefaultProfile() Profile {
	return Profile{FirstTokenLow: 0.02, FirstTokenHigh: 0.42, PerTokenLow: 0.010, PerTokenHigh: 0.016}
}

// NewLatencyModel returns a speed that starts from a prior.
func NewLatencyModel(p Profile) *LatencyModel {
	m := &LatencyModel{firstToken: Regression{Decay: 1}, decodeStep: Regression{Decay: 1}, slowdown: 1}
	m.firstToken.Add(lowPrefill, p.FirstTokenLow, priorWeight)
	m.firstToken.Add(highPrefill, p.FirstTokenHigh, priorWeight)
	m.decodeStep.Add(lowRunning, p.PerTokenLow, priorWeight)
	m.decodeStep.Add(highRunning, p.PerTokenHigh, priorWeight)
	m.perToken = m.decodeStep
	m.firstToken.Decay, m.decodeStep.Decay, m.perToken.Decay = firstTokenDecay, perTokenDecay, perTokenDecay
	return m
}

// FirstToken predicts the time to first token after so much prefill.
func (m *LatencyModel) FirstToken(prefill int) time.Duration {
	return fromSeconds(m.firstToken.At(float64(prefill)))
}

// PerToken predicts the time between tokens among so many running requests,
// the prefill that the server does in between included.
func (m *LatencyModel) PerToken(running int) time.Duration {
	return fromSeconds(m.perToken.At(float64(running)))
}

// PrefillTime predicts the time that prefill tokens alone take.
func (m *LatencyModel) PrefillTime(tokens int) time.Duration {
	return fromSeconds(m.firstToken.Slope() * float64(tokens))
}

// ObserveFirstToken records a first token. Peers is the measured speed of its
// generation; zero where there is none. Late tells that it waited in a queue
// inside the engine.
func (m *LatencyModel) ObserveFirstToken(prefill int, took time.Duration, peers Profile, queued bool) {
	m.updateSlowdown(took.Seconds(), m.reference(peers).firstTokenSeconds(float64(prefill)))
	m.firstTokenCount++
	weight := 1.0
	if queued {
		weight = queuedWeight
	}
	m.firstToken.Add(float64(prefill), took.Seconds(), weight)
}

// ObservePerToken records a mean time between tokens, and what is left of it
// without the prefill of others, by which the server is judged.
func (m *LatencyModel) ObservePerToken(running int, took, step time.Duration, peers Profile) {
	m.updateSlowdown(step.Seconds(), m.reference(peers).perTokenSeconds(float64(running)))
	m.perTokenCount++
	m.perToken.Add(float64(running), took.Seconds(), 1)
	m.decodeStep.Add(float64(running), step.Seconds(), 1)
}

// ObserveOverdue records that a first token takes far longer than predicted, before
// it is known how long: it judges the server, but is no measurement.
func (m *LatencyModel) ObserveOverdue(prefill int, waited time.Duration, peers Profile) {
	m.updateSlowdown(waited.Seconds(), m.reference(peers).firstTokenSeconds(float64(prefill)))
}

// UpdateBaseline lets the usual speed follow the present one, slowly. Call it at
// intervals while the server is no straggler.
func (m *LatencyModel) UpdateBaseline() {
	if !m.Known() {
		return
	}
	own := m.profile()
	if m.baseline == (Profile{}) {
		m.baseline = own
	}
	m.baseline.FirstTokenLow += baselineWeight * (own.FirstTokenLow - m.baseline.FirstTokenLow)
	m.baseline.FirstTokenHigh += baselineWeight * (own.FirstTokenHigh - m.baseline.FirstTokenHigh)
	m.baseline.PerTokenLow += baselineWeight * (own.PerTokenLow - m.baseline.PerTokenLow)
	m.baseline.PerTokenHigh += baselineWeight * (own.PerTokenHigh - m.baseline.PerTokenHigh)
}

// reference is what the server is judged by: its peers or, without any, its
// own usual speed.
func (m *LatencyModel) reference(peers Profile) Profile {
	if peers == (Profile{}) {
		return m.baseline
	}
	return peers
}

func (m *LatencyModel) updateSlowdown(took, expected float64) {
	if expected <= 0 {
		return
	}
	step := slowdownWeight
	if m.straggler {
		step = recoveryWeight
	}
	m.slowdown += step * (math.Min(maxSlowdown, took/expected) - m.slowdown)
	m.slowdownSamples++
}

// Straggler tells whether the server is a straggler now, given whether it was.
func (m *LatencyModel) Straggler(current bool) bool {
	m.straggler = m.slowdownSamples >= minSlowdownSamples && m.slowdown > stragglerThreshold || current && m.slowdown > recoveryThreshold
	return m.straggler
}

// Known tells whether enough was measured for the speed to be the server's own
// rather than the prior. A plain service has no times between tokens.
func (m *LatencyModel) Known() bool {
	return m.firstTokenCount >= minMeasurements && (m.perTokenCount >= minMeasurements || m.perTokenCount == 0)
}

// profile is the server's speed in a Prior's terms.
func (m *LatencyModel) profile() Profile {
	return Profile{
		FirstTokenLow: m.firstToken.At(lowPrefill), FirstTokenHigh: m.firstToken.At(highPrefill),
		PerTokenLow: m.decodeStep.At(lowRunning), PerTokenHigh: m.decodeStep.At(highRunning),
	}
}

// Fastest returns, point by point, the better of the server and a Prior. The
// zero Prior is no speed at all.
func (m *LatencyModel) Fastest(other Profile) Profile {
	own := m.profile()
	if other == (Profile{}) {
		return own
	}
	return Profile{
		FirstTokenLow: math.Min(own.FirstTokenLow, other.FirstTokenLow), FirstTokenHigh: math.Min(own.FirstTokenHigh, other.FirstTokenHigh),
		PerTokenLow: math.Min(own.PerTokenLow, other.PerTokenLow), PerTokenHigh: math.Min(own.PerTokenHigh, other.PerTokenHigh),
	}
}

// FirstToken is Speed.FirstToken for a Prior.
func (p Profile) FirstToken(prefill int) time.Duration {
	return fromSeconds(p.firstTokenSeconds(float64(prefill)))
}

// PerToken is Speed.PerToken for a Prior.
func (p Profile) PerToken(running int) time.Duration {
	return fromSeconds(p.perTokenSeconds(float64(running)))
}

// Median returns the median speed of peers, and false where there are none.
func Median(peers []*LatencyModel) (Profile, bool) {
	if len(peers) == 0 {
		return Profile{}, false
	}
	return Profile{
		FirstTokenLow:  medianOf(peers, func(p Profile) float64 { return p.FirstTokenLow }),
		FirstTokenHigh: medianOf(peers, func(p Profile) float64 { return p.FirstTokenHigh }),
		PerTokenLow:    medianOf(peers, func(p Profile) float64 { return p.PerTokenLow }),
		PerTokenHigh:   medianOf(peers, func(p Profile) float64 { return p.PerTokenHigh }),
	}, true
}

func medianOf(peers []*LatencyModel, value func(Profile) float64) float64 {
	values := make([]float64, len(peers))
	for i, m := range peers {
		values[i] = value(m.profile())
	}
	slices.Sort(values)
	return values[len(values)/2]
}

func (p Profile) firstTokenSeconds(prefill float64) float64 {
	return p.FirstTokenLow + (p.FirstTokenHigh-p.FirstTokenLow)*prefill/highPrefill
}

func (p Profile) perTokenSeconds(running float64) float64 {
	return p.PerTokenLow + (p.PerTokenHigh-p.PerTokenLow)*(running-lowRunning)/(highRunning-lowRunning)
}

func fromSeconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
