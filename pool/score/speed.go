package score

import (
	"math"
	"slices"
	"time"
)

// Speed is what is measured of one server. Times are in seconds.
type Speed struct {
	first Line  // time to first token by prefill tokens ahead and own
	step  Line  // time between tokens by running requests, without prefill
	token Line  // the same with the prefill of others in between
	usual Prior // the speed of old, which stands in for absent peers
	slow  float64
	was   bool // the last verdict
	seen  int  // samples judged
	// Measurements so far: of first tokens, and of times between tokens.
	firsts, tokens int
}

const (
	keepFirst = 0.95
	keepToken = 0.98
	// priorWeight is how many measurements the prior is worth.
	priorWeight = 2
	// lateWeight is the weight of a first token that waited inside the
	// engine: it measures a queue rather than the engine's speed.
	lateWeight = 0.2
	// usualStep is the weight of the present speed in the usual one.
	usualStep = 0.01
	// slowStep is the weight of a new sample in the slowdown, fineStep that
	// of a straggler's probe, so that one or two bring it back.
	slowStep, fineStep = 0.3, 0.6
	// leastSamples is how many measurements make a speed known. Before, it is
	// mostly the prior: a fleet of slow engines would all seem stragglers.
	leastSamples = 8
	// slowSamples is how many samples a verdict needs.
	slowSamples = 3
	// slowBound and fineBound are the slowdowns, beside peers, from which a
	// server is a straggler and below which it no longer is one.
	slowBound, fineBound = 3.0, 1.7
	// maxSample bounds one sample's say in the slowdown.
	maxSample = 20.0
)

// The points at which peers are compared and priors are made: few and many
// prefill tokens, few and many running requests.
const (
	fewPrefill, manyPrefill = 0.0, 4000.0
	fewRunning, manyRunning = 1.0, 16.0
)

// Prior is a server's speed before anything was measured of it.
type Prior struct {
	FirstFew, FirstMany float64 // at fewPrefill and manyPrefill tokens
	TokenFew, TokenMany float64 // at fewRunning and manyRunning requests
}

// DefaultPrior is assumed where no peer has been measured either.
func DefaultPrior() Prior {
	return Prior{FirstFew: 0.02, FirstMany: 0.42, TokenFew: 0.010, TokenMany: 0.016}
}

// NewSpeed returns a speed that starts from a prior.
func NewSpeed(p Prior) *Speed {
	s := &Speed{first: Line{Keep: 1}, step: Line{Keep: 1}, slow: 1}
	s.first.Add(fewPrefill, p.FirstFew, priorWeight)
	s.first.Add(manyPrefill, p.FirstMany, priorWeight)
	s.step.Add(fewRunning, p.TokenFew, priorWeight)
	s.step.Add(manyRunning, p.TokenMany, priorWeight)
	s.token = s.step
	s.first.Keep, s.step.Keep, s.token.Keep = keepFirst, keepToken, keepToken
	return s
}

// FirstToken predicts the time to first token after so much prefill.
func (s *Speed) FirstToken(prefill int) time.Duration { return seconds(s.first.At(float64(prefill))) }

// PerToken predicts the time between tokens among so many running requests,
// the prefill that the server does in between included.
func (s *Speed) PerToken(running int) time.Duration { return seconds(s.token.At(float64(running))) }

// PrefillTime predicts the time that prefill tokens alone take.
func (s *Speed) PrefillTime(tokens int) time.Duration {
	return seconds(s.first.Slope() * float64(tokens))
}

// ObserveFirst records a first token. Peers is the measured speed of its
// generation; zero where there is none. Late tells that it waited in a queue
// inside the engine.
func (s *Speed) ObserveFirst(prefill int, took time.Duration, peers Prior, late bool) {
	s.judge(took.Seconds(), s.expected(peers).first(float64(prefill)))
	s.firsts++
	weight := 1.0
	if late {
		weight = lateWeight
	}
	s.first.Add(float64(prefill), took.Seconds(), weight)
}

// ObserveToken records a mean time between tokens, and what is left of it
// without the prefill of others, by which the server is judged.
func (s *Speed) ObserveToken(running int, took, step time.Duration, peers Prior) {
	s.judge(step.Seconds(), s.expected(peers).token(float64(running)))
	s.tokens++
	s.token.Add(float64(running), took.Seconds(), 1)
	s.step.Add(float64(running), step.Seconds(), 1)
}

// Overdue records that a first token takes far longer than predicted, before
// it is known how long: it judges the server, but is no measurement.
func (s *Speed) Overdue(prefill int, waited time.Duration, peers Prior) {
	s.judge(waited.Seconds(), s.expected(peers).first(float64(prefill)))
}

// Settle lets the usual speed follow the present one, slowly. Call it at
// intervals while the server is no straggler.
func (s *Speed) Settle() {
	if !s.Known() {
		return
	}
	own := s.own()
	if s.usual == (Prior{}) {
		s.usual = own
	}
	s.usual.FirstFew += usualStep * (own.FirstFew - s.usual.FirstFew)
	s.usual.FirstMany += usualStep * (own.FirstMany - s.usual.FirstMany)
	s.usual.TokenFew += usualStep * (own.TokenFew - s.usual.TokenFew)
	s.usual.TokenMany += usualStep * (own.TokenMany - s.usual.TokenMany)
}

// expected is what the server is judged by: its peers or, without any, its
// own usual speed.
func (s *Speed) expected(peers Prior) Prior {
	if peers == (Prior{}) {
		return s.usual
	}
	return peers
}

func (s *Speed) judge(took, expected float64) {
	if expected <= 0 {
		return
	}
	step := slowStep
	if s.was {
		step = fineStep
	}
	s.slow += step * (math.Min(maxSample, took/expected) - s.slow)
	s.seen++
}

// Straggler tells whether the server is a straggler now, given whether it was.
func (s *Speed) Straggler(was bool) bool {
	s.was = s.seen >= slowSamples && s.slow > slowBound || was && s.slow > fineBound
	return s.was
}

// Known tells whether enough was measured for the speed to be the server's own
// rather than the prior. A plain service has no times between tokens.
func (s *Speed) Known() bool {
	return s.firsts >= leastSamples && (s.tokens >= leastSamples || s.tokens == 0)
}

// own is the server's speed in a Prior's terms.
func (s *Speed) own() Prior {
	return Prior{
		FirstFew: s.first.At(fewPrefill), FirstMany: s.first.At(manyPrefill),
		TokenFew: s.step.At(fewRunning), TokenMany: s.step.At(manyRunning),
	}
}

// Faster returns, point by point, the better of the server and a Prior. The
// zero Prior is no speed at all.
func (s *Speed) Faster(than Prior) Prior {
	own := s.own()
	if than == (Prior{}) {
		return own
	}
	return Prior{
		FirstFew: math.Min(own.FirstFew, than.FirstFew), FirstMany: math.Min(own.FirstMany, than.FirstMany),
		TokenFew: math.Min(own.TokenFew, than.TokenFew), TokenMany: math.Min(own.TokenMany, than.TokenMany),
	}
}

// FirstToken is Speed.FirstToken for a Prior.
func (p Prior) FirstToken(prefill int) time.Duration { return seconds(p.first(float64(prefill))) }

// PerToken is Speed.PerToken for a Prior.
func (p Prior) PerToken(running int) time.Duration { return seconds(p.token(float64(running))) }

// Median returns the median speed of peers, and false where there are none.
func Median(peers []*Speed) (Prior, bool) {
	if len(peers) == 0 {
		return Prior{}, false
	}
	return Prior{
		FirstFew:  median(peers, func(p Prior) float64 { return p.FirstFew }),
		FirstMany: median(peers, func(p Prior) float64 { return p.FirstMany }),
		TokenFew:  median(peers, func(p Prior) float64 { return p.TokenFew }),
		TokenMany: median(peers, func(p Prior) float64 { return p.TokenMany }),
	}, true
}

func median(peers []*Speed, of func(Prior) float64) float64 {
	values := make([]float64, len(peers))
	for i, s := range peers {
		values[i] = of(s.own())
	}
	slices.Sort(values)
	return values[len(values)/2]
}

func (p Prior) first(prefill float64) float64 {
	return p.FirstFew + (p.FirstMany-p.FirstFew)*prefill/manyPrefill
}

func (p Prior) token(running float64) float64 {
	return p.TokenFew + (p.TokenMany-p.TokenFew)*(running-fewRunning)/(manyRunning-fewRunning)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
