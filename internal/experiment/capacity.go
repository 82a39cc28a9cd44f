package experiment

import (
	"time"

	"github.com/lycheekeel/lycheekeel/internal/load"
	standin "github.com/lycheekeel/lycheekeel/internal/standin/engine"
)

// OfferedLoad is the offered load as a multiple of the fleet's capacity. It is
// computed from the engines' options for full batches: a request takes its computed
// prompt tokens divided by the prefill rate, plus for each token of its answer the
// step time divided by the batch size. Mean covers the whole run, Peak the busiest
// second.
type OfferedLoad struct {
	Mean float64 `json:"mean"`
	Peak float64 `json:"peak"`
}

// OfferedLoads holds the offered load of all requests and of each tier alone without
// prefix reuse, and of all requests if all shared prefixes are cached.
type OfferedLoads struct {
	All            OfferedLoad            `json:"all"`
	PrefixesCached OfferedLoad            `json:"all_prefixes_cached"`
	ByTier         map[string]OfferedLoad `json:"by_tier"`
	TopTierPeak    float64                `json:"top_tier_peak"`
}

// peakWindow is the window over which a peak is computed.
const peakWindow = time.Second

// offeredLoads computes the offered load of arrivals.
func (s *Scenario) offeredLoads(arrivals []load.Arrival, duration time.Duration) OfferedLoads {
	all := newLoadMeter(s, duration)
	cached := newLoadMeter(s, duration)
	tiers := map[string]*loadMeter{}
	for name := range s.Mix.Tiers {
		tiers[name] = newLoadMeter(s, duration)
	}
	for i := range arrivals {
		a := &arrivals[i]
		prefix := 0
		if a.Prefix >= 0 {
			prefix = a.Class.Prefix.Tokens
		}
		all.add(a, a.SentPromptTokens())
		cached.add(a, a.SentPromptTokens()-prefix)
		tiers[a.Class.Tier].add(a, a.SentPromptTokens())
	}
	c := OfferedLoads{All: all.load(), PrefixesCached: cached.load(), ByTier: map[string]OfferedLoad{}}
	for name, m := range tiers {
		c.ByTier[name] = m.load()
	}
	if names := load.TiersByPriority(&s.Mix); len(names) > 0 {
		c.TopTierPeak = c.ByTier[names[0]].Peak
	}
	return c
}

// loadMeter sums up fleet time per window.
type loadMeter struct {
	scenario *Scenario
	duration time.Duration
	windows  []float64 // fleet time in seconds
}

func newLoadMeter(s *Scenario, duration time.Duration) *loadMeter {
	return &loadMeter{scenario: s, duration: duration, windows: make([]float64, int(duration/peakWindow)+1)}
}

// add adds a request. Its fleet time is one over the sum of the rates at which the
// fleet's engines could run such requests.
func (m *loadMeter) add(a *load.Arrival, prefill int) {
	rate := 0.0
	for _, g := range m.scenario.Engines {
		rate += float64(g.Count) / engineSeconds(g.Engine, prefill, a.OutputTokens)
	}
	m.windows[int(a.At/peakWindow)] += 1 / rate
}

func (m *loadMeter) load() OfferedLoad {
	var o OfferedLoad
	for _, w := range m.windows {
		o.Mean += w
		o.Peak = max(o.Peak, w/peakWindow.Seconds())
	}
	o.Mean /= m.duration.Seconds()
	return o
}

// engineSeconds returns the engine time of a request at full batch, in seconds.
func engineSeconds(o standin.Options, prefill, output int) float64 {
	step := (o.StepMs + o.SequenceMs*float64(o.Slots)) / 1000
	return float64(prefill)/o.PrefillPerSecond + float64(output)*step/float64(o.Slots)
}
