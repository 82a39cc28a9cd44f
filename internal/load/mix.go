// Package load sends requests to lycheekeel's entries as callers do, and checks each
// answer. Arrivals are open-loop: their times do not depend on earlier answers, and
// latencies count from the intended send time. A closed loop would send less while the
// system is slow and thus hide queueing delay (coordinated omission).
package load

import "time"

// Mix describes the offered load: classes of requests, and the tiers' targets for
// their answers.
type Mix struct {
	Name string `json:"name"`
	// Tiers holds the targets by tier name.
	Tiers   map[string]Targets `json:"tiers"`
	Classes []Class            `json:"classes"`
}

// Targets are a tier's targets in milliseconds; 0 means no target.
type Targets struct {
	// Priority orders tiers in reports; 0 is the highest.
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
	// NoTierHeader omits the tier header, so that the workspace's template decides.
	NoTierHeader bool `json:"no_tier_header,omitempty"`
	// Rate is the mean number of requests per second outside bursts.
	Rate float64 `json:"rate"`
	// PromptTokens counts the whole prompt, including a shared prefix. The answer's
	// text is part of the prompt, so a prompt is never shorter than its prefix and its
	// answer together.
	PromptTokens LengthDistribution `json:"prompt_tokens"`
	OutputTokens LengthDistribution `json:"output_tokens"`
	// MaxTokens is the max_tokens that callers send; 0 omits it.
	MaxTokens int     `json:"max_tokens,omitempty"`
	Prefix    *Prefix `json:"prefix,omitempty"`
	Bursts    []Burst `json:"bursts,omitempty"`
	// StartMs and EndMs limit when the class arrives; EndMs 0 means the end of the
	// run.
	StartMs int `json:"from_ms,omitempty"`
	EndMs   int `json:"to_ms,omitempty"`
	// StreamShare is the fraction of streamed requests, 0 to 1.
	StreamShare float64 `json:"stream_share"`
	// DisconnectShare is the fraction of callers that disconnect DisconnectAfterMs
	// after sending.
	DisconnectShare   float64             `json:"leave_share,omitempty"`
	DisconnectAfterMs *LengthDistribution `json:"leave_after_ms,omitempty"`
	// IdempotencyKeyShare is the fraction of requests with an Idempotency-Key.
	IdempotencyKeyShare float64 `json:"key_share,omitempty"`
	// NoEchoShare is the fraction of requests that do not ask for an echo. Only the
	// completeness of their answers is checked.
	NoEchoShare float64 `json:"plain_share,omitempty"`
	// FaultText is put before the prompt's own text to trigger a fault.
	FaultText string `json:"text,omitempty"`
	// Resend makes the caller send the identical request again after a failure.
	Resend *Resend `json:"resend,omitempty"`
}

// LengthDistribution is a lognormal distribution, clamped to Min and Max.
type LengthDistribution struct {
	Median float64 `json:"median"`
	// Sigma is the standard deviation of the logarithm; 0 gives a fixed length.
	Sigma float64 `json:"sigma"`
	Min   int     `json:"min"`
	Max   int     `json:"max"`
}

// Prefix makes prompts of a class share prefixes.
type Prefix struct {
	// Name lets classes share the same prefixes; empty means the class's own.
	Name string `json:"name,omitempty"`
	// Count is the number of distinct prefixes, Tokens the length of each.
	Count  int `json:"count"`
	Tokens int `json:"tokens"`
	// Share is the fraction of requests with a shared prefix, 0 to 1.
	Share float64 `json:"share"`
	// RotationMs makes callers favour one prefix after the other, each for this time,
	// as when batches of work are processed in turn; 0 favours none.
	RotationMs int `json:"turn_ms,omitempty"`
}

// Burst multiplies a class's rate for a limited time.
type Burst struct {
	StartMs    int     `json:"at_ms"`
	DurationMs int     `json:"for_ms"`
	Factor     float64 `json:"factor"`
}

// Resend describes how a caller repeats a failed request.
type Resend struct {
	Times   int `json:"times"`
	DelayMs int `json:"after_ms"`
}

// TotalRate returns the mean requests per second of all classes, without bursts.
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

// rateAt returns the class's rate at a time since the run's start.
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
