// Package load offers requests to lycheekeel's entries as its callers do and
// checks each answer. Arrivals are open-loop: they come by the clock, whether
// or not earlier answers have come, and a request's latency counts from the
// moment it was meant to be sent. A closed loop would send less while the
// system is slow and so hide the waiting that callers feel.
package load

import "time"

// Mix says what is offered: classes of requests, and the targets of the tiers
// by which their answers are judged.
type Mix struct {
	Name string `json:"name"`
	// Tiers by name.
	Tiers   map[string]Targets `json:"tiers"`
	Classes []Class            `json:"classes"`
}

// Targets are a tier's targets in milliseconds; zero promises nothing.
type Targets struct {
	// Priority orders tiers in reports; 0 is the most urgent.
	Priority     int `json:"priority"`
	FirstTokenMs int `json:"first_token_ms"`
	PerTokenMs   int `json:"per_token_ms"`
	DeadlineMs   int `json:"deadline_ms"`
}

// Class is one kind of request.
type Class struct {
	Name      string `json:"name"`
	Workspace string `json:"workspace"`
	Model     string `json:"model"`
	Tier      string `json:"tier"`
	// NoTierHeader leaves the tier to the workspace's template.
	NoTierHeader bool `json:"no_tier_header,omitempty"`
	// Rate is the mean number of requests a second outside bursts.
	Rate float64 `json:"rate"`
	// PromptTokens counts the whole prompt, a shared prefix included. The
	// answer's text is part of the prompt, so a prompt is never shorter than
	// its prefix and its answer together.
	PromptTokens LengthDistribution `json:"prompt_tokens"`
	OutputTokens LengthDistribution `json:"output_tokens"`
	// MaxTokens is the cap that callers send; 0 sends none.
	MaxTokens int     `json:"max_tokens,omitempty"`
	Prefix    *Prefix `json:"prefix,omitempty"`
	Bursts    []Burst `json:"bursts,omitempty"`
	// StartMs and EndMs bound when the class arrives; EndMs 0 is the end.
	StartMs int `json:"from_ms,omitempty"`
	EndMs   int `json:"to_ms,omitempty"`
	// StreamShare of the requests are streamed, 0 to 1.
	StreamShare float64 `json:"stream_share"`
	// DisconnectShare of the callers leave DisconnectAfterMs after they were sent.
	DisconnectShare   float64             `json:"leave_share,omitempty"`
	DisconnectAfterMs *LengthDistribution `json:"leave_after_ms,omitempty"`
	// IdempotencyKeyShare of the requests carry an Idempotency-Key.
	IdempotencyKeyShare float64 `json:"key_share,omitempty"`
	// NoEchoShare of the requests do not ask for an echo: their answers are
	// checked for completeness only.
	NoEchoShare float64 `json:"plain_share,omitempty"`
	// FaultText is put before the prompt's own text, to bring a fault about.
	FaultText string `json:"text,omitempty"`
	// Resend makes the caller send the very same request again after a
	// failure.
	Resend *Resend `json:"resend,omitempty"`
}

// LengthDistribution is a lognormal distribution of lengths, cut at Min and Max.
type LengthDistribution struct {
	Median float64 `json:"median"`
	// Sigma is the standard deviation of the logarithm; 0 is a fixed length.
	Sigma float64 `json:"sigma"`
	Min   int     `json:"min"`
	Max   int     `json:"max"`
}

// Prefix makes prompts of a class share their beginnings.
type Prefix struct {
	// Name lets classes share the same prefixes; empty means the class's own.
	Name string `json:"name,omitempty"`
	// Count is how many different prefixes there are, Tokens their length.
	Count  int `json:"count"`
	Tokens int `json:"tokens"`
	// Share of the requests that begin with one, 0 to 1.
	Share float64 `json:"share"`
	// RotationMs makes callers favour one prefix after the other, each for this
	// long, as when blocks are handed over in turn; 0 favours none.
	RotationMs int `json:"turn_ms,omitempty"`
}

// Burst multiplies a class's rate for a while.
type Burst struct {
	StartMs    int     `json:"at_ms"`
	DurationMs int     `json:"for_ms"`
	Factor     float64 `json:"factor"`
}

// Resend is how a caller repeats a failed request.
type Resend struct {
	Times   int `json:"times"`
	DelayMs int `json:"after_ms"`
}

// TotalRate returns the mean requests a second of all classes, without bursts.
func (m *Mix) TotalRate() float64 {
	var sum float64
	for _, c := range m.Classes {
		sum += c.Rate
	}
	return sum
}

// Scale multiplies every class's rate.
func (m *Mix) Scale(factor float64) {
	for i := range m.Classes {
		m.Classes[i].Rate *= factor
	}
}

// rateAt returns the class's rate at a moment, and peak its largest rate.
func (c *Class) rateAt(at time.Duration) float64 {
	if at < milliseconds(c.StartMs) || (c.EndMs > 0 && at >= milliseconds(c.EndMs)) {
		return 0
	}
	rate := c.Rate
	for _, b := range c.Bursts {
		if at >= milliseconds(b.StartMs) && at < milliseconds(b.StartMs+b.DurationMs) {
			rate *= b.Factor
		}
	}
	return rate
}

func (c *Class) peakRate() float64 {
	peak := c.Rate
	for _, b := range c.Bursts {
		peak = max(peak, c.rateAt(milliseconds(b.StartMs)), c.Rate*b.Factor)
	}
	return peak
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }
