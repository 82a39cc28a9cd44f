package load

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Arrival is one request to send. Its texts are generated from its fields on demand,
// so that a long run does not hold them in memory.
type Arrival struct {
	// Seq numbers the arrivals of a run in time order, from 0.
	Seq   int
	Class *Class
	// At is the intended send time, relative to the run's start.
	At           time.Duration
	PromptTokens int
	OutputTokens int
	// Prefix is the index of its shared prefix, or -1 for none.
	Prefix int
	Stream bool
	Echo   bool
	// DisconnectAfter is the time from sending until the caller disconnects; 0 means
	// that it stays.
	DisconnectAfter time.Duration
	// IdempotencyKey is the Idempotency-Key header, or empty.
	IdempotencyKey string
	// textSeed seeds the request's own texts, prefixSeed the shared prefixes.
	textSeed, prefixSeed uint64
}

// Arrivals returns the arrivals of a run in time order. The same mix, seed and
// duration give the same arrivals. Each class has its own random source, so that
// changing one class does not change the others' arrivals.
func Arrivals(m *Mix, seed uint64, duration time.Duration) []Arrival {
	var out []Arrival
	for i := range m.Classes {
		c := &m.Classes[i]
		rng := rand.New(rand.NewPCG(seed, xxhash.Sum64String(c.Name)))
		out = append(out, classArrivals(c, rng, duration)...)
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].At < out[j].At })
	for i := range out {
		out[i].Seq = i
		out[i].prefixSeed = seed
	}
	return out
}

// classArrivals draws a nonhomogeneous Poisson process by thinning: it draws at the
// peak rate and keeps each arrival with the probability rate/peak at that time.
func classArrivals(c *Class, rng *rand.Rand, duration time.Duration) []Arrival {
	var out []Arrival
	peak := c.peakRate()
	for at := 0.0; ; {
		at += rng.ExpFloat64() / peak
		when := time.Duration(at * float64(time.Second))
		if when >= duration {
			return out
		}
		a := drawArrival(c, rng, when)
		if rng.Float64()*peak < c.rateAt(when) {
			out = append(out, a)
		}
	}
}

func drawArrival(c *Class, rng *rand.Rand, at time.Duration) Arrival {
	a := Arrival{Class: c, At: at, Prefix: -1, textSeed: rng.Uint64()}
	a.OutputTokens = c.OutputTokens.draw(rng)
	a.PromptTokens = c.PromptTokens.draw(rng)
	a.Stream = rng.Float64() < c.StreamShare
	a.Echo = rng.Float64() >= c.NoEchoShare
	if p := c.Prefix; p != nil {
		a.Prefix = p.draw(rng, at)
	}
	if rng.Float64() < c.DisconnectShare {
		a.DisconnectAfter = milliseconds(c.DisconnectAfterMs.draw(rng))
	}
	if rng.Float64() < c.IdempotencyKeyShare {
		a.IdempotencyKey = "key-" + hex(rng.Uint64())
	}
	return a
}

func (l LengthDistribution) draw(rng *rand.Rand) int {
	v := l.Median * math.Exp(rng.NormFloat64()*l.Sigma)
	return int(min(max(math.Round(v), float64(l.Min)), float64(l.Max)))
}

// rotationShare is the fraction of a class's prefixed requests that use the prefix
// favoured at that time.
const rotationShare = 0.8

func (p *Prefix) draw(rng *rand.Rand, at time.Duration) int {
	other, hasPrefix, favoured := rng.IntN(p.Count), rng.Float64() < p.Share, rng.Float64() < rotationShare
	switch {
	case !hasPrefix:
		return -1
	case p.RotationMs > 0 && favoured:
		return int(at/milliseconds(p.RotationMs)) % p.Count
	default:
		return other
	}
}
