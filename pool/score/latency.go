package score

import (
	"math"
	"slices"
	"time"
)

// LatencyModel predicts the latency of one server from measurements. Its fields
// hold times in seconds.
type LatencyModel struct {
	firstToken      Regression // time to first token by prefill tokens, those queued ahead included
	decodeStep      Regression // time per token by running requests, without the prefill of others
	perToken        Regression // time per token by running requests, with the prefill of others
	baseline        Profile    // the server's long-term profile, the reference where it has no peers
	slowdown        float64
	straggler       bool // the last result of Straggler
	slowdownSamples int  // samples in slowdown
	// The numbers of measurements.
	firstTokenCount, perTokenCount int
}

const (
	firstTokenDecay = 0.95
	perTokenDecay   = 0.98
	// initialWeight is the weight of each point of the initial profile, in
	// measurements.
	initialWeight = 2
	// queuedWeight is the weight of a first token that waited in the engine's
	// queue: it measures the queue rather than the engine.
	queuedWeight = 0.2
	// baselineWeight is the weight of the current profile in the baseline.
	baselineWeight = 0.01
	// slowdownWeight is the weight of a new sample in the slowdown. recoveryWeight
	// applies to the probes of a straggler, so that one or two end its state.
	slowdownWeight, recoveryWeight = 0.3, 0.6
	// minMeasurements is how many measurements make a model known. With fewer it
	// is mostly the initial profile, compared to which every engine of a slow
	// fleet would be a straggler.
	minMeasurements = 8
	// minSlowdownSamples is how many samples are needed to call a server a
	// straggler.
	minSlowdownSamples = 3
	// stragglerThreshold is the slowdown, relative to its peers, above which a server
	// becomes a straggler. It stops being one at or below recoveryThreshold.
	stragglerThreshold, recoveryThreshold = 3.0, 1.7
	// maxSlowdown caps a single sample of the slowdown.
	maxSlowdown = 20.0
)

// The points at which profiles are taken and compared: numbers of prefill tokens
// and of running requests.
const (
	lowPrefill, highPrefill = 0.0, 4000.0
	lowRunning, highRunning = 1.0, 16.0
)

// Profile describes a server's latency by four points, in seconds.
type Profile struct {
	FirstTokenLow, FirstTokenHigh float64 // at lowPrefill and highPrefill tokens
	PerTokenLow, PerTokenHigh     float64 // at lowRunning and highRunning requests
}

// DefaultProfile returns the initial profile of a server none of whose peers has
// been measured.
func DefaultProfile() Profile {
	return Profile{FirstTokenLow: 0.02, FirstTokenHigh: 0.42, PerTokenLow: 0.010, PerTokenHigh: 0.016}
}

// NewLatencyModel returns a model that starts from a profile.
func NewLatencyModel(p Profile) *LatencyModel {
	m := &LatencyModel{firstToken: Regression{Decay: 1}, decodeStep: Regression{Decay: 1}, slowdown: 1}
	m.firstToken.Add(lowPrefill, p.FirstTokenLow, initialWeight)
	m.firstToken.Add(highPrefill, p.FirstTokenHigh, initialWeight)
	m.decodeStep.Add(lowRunning, p.PerTokenLow, initialWeight)
	m.decodeStep.Add(highRunning, p.PerTokenHigh, initialWeight)
	m.perToken = m.decodeStep
	m.firstToken.Decay, m.decodeStep.Decay, m.perToken.Decay = firstTokenDecay, perTokenDecay, perTokenDecay
	return m
}

// FirstToken predicts the time to first token after prefill tokens.
func (m *LatencyModel) FirstToken(prefill int) time.Duration {
	return fromSeconds(m.firstToken.At(float64(prefill)))
}

// PerToken predicts the time per token with a number of running requests,
// including the prefill that the server does for others in between.
func (m *LatencyModel) PerToken(running int) time.Duration {
	return fromSeconds(m.perToken.At(float64(running)))
}

// PrefillTime predicts the time that the prefill of tokens takes by itself.
func (m *LatencyModel) PrefillTime(tokens int) time.Duration {
	return fromSeconds(m.firstToken.Slope() * float64(tokens))
}

// DecodeStep predicts the time per token with a number of running requests, without the
// prefill that the server does for others in between.
func (m *LatencyModel) DecodeStep(running int) time.Duration {
	return fromSeconds(m.decodeStep.At(float64(running)))
}

// PrefillTokens predicts how many tokens the server can prefill in a time.
func (m *LatencyModel) PrefillTokens(in time.Duration) int {
	if in <= 0 {
		return 0
	}
	return int(math.Min(math.MaxInt32, in.Seconds()/m.firstToken.Slope()))
}

// ObserveFirstToken records a time to first token. peers is the median profile of
// the servers of the same generation, or zero if there is none. queued tells
// whether the request waited in a queue inside the engine.
func (m *LatencyModel) ObserveFirstToken(prefill int, took time.Duration, peers Profile, queued bool) {
	m.updateSlowdown(took.Seconds(), m.reference(peers).firstTokenSeconds(float64(prefill)))
	m.firstTokenCount++
	weight := 1.0
	if queued {
		weight = queuedWeight
	}
	m.firstToken.Add(float64(prefill), took.Seconds(), weight)
}

// ObservePerToken records a mean time per token. step is the same without the
// prefill of others; the slowdown is computed from it.
func (m *LatencyModel) ObservePerToken(running int, took, step time.Duration, peers Profile) {
	m.updateSlowdown(step.Seconds(), m.reference(peers).perTokenSeconds(float64(running)))
	m.perTokenCount++
	m.perToken.Add(float64(running), took.Seconds(), 1)
	m.decodeStep.Add(float64(running), step.Seconds(), 1)
}

// ObserveOverdue records that a first token is overdue by far and has not come
// yet. It adds to the slowdown, but is no measurement.
func (m *LatencyModel) ObserveOverdue(prefill int, waited time.Duration, peers Profile) {
	m.updateSlowdown(waited.Seconds(), m.reference(peers).firstTokenSeconds(float64(prefill)))
}

// UpdateBaseline moves the baseline slowly towards the current profile. Call it
// periodically while the server is not a straggler.
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

// reference returns the profile that the server is compared to: that of its
// peers or, where it has none, its own baseline.
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

// Straggler reports whether the server is a straggler; current tells whether it
// was one before.
func (m *LatencyModel) Straggler(current bool) bool {
	m.straggler = m.slowdownSamples >= minSlowdownSamples && m.slowdown > stragglerThreshold || current && m.slowdown > recoveryThreshold
	return m.straggler
}

// Known reports whether there are enough measurements for the model to describe
// the server rather than the initial profile. A service that does not stream
// tokens has no times per token.
func (m *LatencyModel) Known() bool {
	return m.firstTokenCount >= minMeasurements && (m.perTokenCount >= minMeasurements || m.perTokenCount == 0)
}

// profile returns the server's current profile.
func (m *LatencyModel) profile() Profile {
	return Profile{
		FirstTokenLow: m.firstToken.At(lowPrefill), FirstTokenHigh: m.firstToken.At(highPrefill),
		PerTokenLow: m.decodeStep.At(lowRunning), PerTokenHigh: m.decodeStep.At(highRunning),
	}
}

// Fastest returns the lower latency of the server's profile and another one at
// each point. A zero Profile counts as absent.
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

// FirstToken predicts the time to first token after prefill tokens.
func (p Profile) FirstToken(prefill int) time.Duration {
	return fromSeconds(p.firstTokenSeconds(float64(prefill)))
}

// PerToken predicts the time per token with a number of running requests.
func (p Profile) PerToken(running int) time.Duration {
	return fromSeconds(p.perTokenSeconds(float64(running)))
}

// Median returns the median profile of peers, and false if there are none.
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
