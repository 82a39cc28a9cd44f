package load

import (
	"fmt"

	"github.com/lycheekeel/lycheekeel/workspace"
)

// Upper bounds of a mix's numbers. They catch typing errors and are above any real
// use.
const (
	maxRate   = 100_000
	maxTokens = 1 << 20
	maxFactor = 1000
)

// ParseMix decodes and checks a mix file. The error is a workspace.Findings with all
// findings of the file.
func ParseMix(file string, data []byte) (*Mix, error) {
	return ParseFile(file, data, func(m *Mix) workspace.Findings { return m.Check(file, "") })
}

// ParseFile decodes a file strictly and checks it. The error is a workspace.Findings
// with all findings. An unknown field is an error here, because the file is written by
// hand. In a stored object it is only a warning, because a newer release may have
// written it.
func ParseFile[T any](file string, data []byte, check func(*T) workspace.Findings) (*T, error) {
	v, f := workspace.Decode[T](file, data)
	if len(f.Fatal()) == 0 {
		f = append(f, check(&v)...)
	}
	for i := range f {
		f[i].Warning = false
	}
	if err := f.Err(); err != nil {
		return nil, err
	}
	return &v, nil
}

// Check returns all findings of the mix; prefix is its JSON path in the file.
func (m *Mix) Check(file, prefix string) workspace.Findings {
	var f workspace.Findings
	c := checker{file: file, findings: &f}
	if len(m.Tiers) == 0 {
		c.add(join(prefix, "tiers"), "at least one tier is required")
	}
	for name, t := range m.Tiers {
		c.checkTargets(join(prefix, "tiers."+name), t)
	}
	if len(m.Classes) == 0 {
		c.add(join(prefix, "classes"), "at least one class is required")
	}
	names := map[string]bool{}
	for i := range m.Classes {
		path := join(prefix, fmt.Sprintf("classes[%d]", i))
		cl := &m.Classes[i]
		c.checkClass(path, cl, m.Tiers)
		if names[cl.Name] {
			c.add(path+".name", "duplicate class name %q", cl.Name)
		}
		names[cl.Name] = true
	}
	return f
}

// join appends a field name to a JSON path.
func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// checker collects the findings of one file.
type checker struct {
	file     string
	findings *workspace.Findings
}

func (c checker) add(path, format string, args ...any) {
	c.findings.Add(c.file, path, format, args...)
}

// inRange adds a finding if v is not in [lo, hi].
func (c checker) inRange(path string, v, lo, hi float64) {
	if !(v >= lo && v <= hi) {
		c.add(path, "%g is not between %g and %g", v, lo, hi)
	}
}

func (c checker) required(path, v string) {
	if v == "" {
		c.add(path, "is required")
	}
}

func (c checker) checkTargets(path string, t Targets) {
	c.inRange(path+".priority", float64(t.Priority), 0, 7)
	for field, v := range map[string]int{"first_token_ms": t.FirstTokenMs, "per_token_ms": t.PerTokenMs, "deadline_ms": t.DeadlineMs} {
		if v < 0 {
			c.add(path+"."+field, "%d is negative", v)
		}
	}
	if t.DeadlineMs == 0 {
		c.add(path+".deadline_ms", "is required: callers do not wait indefinitely")
	}
}

func (c checker) checkClass(path string, cl *Class, tiers map[string]Targets) {
	c.required(path+".name", cl.Name)
	c.required(path+".workspace", cl.Workspace)
	c.required(path+".model", cl.Model)
	if _, ok := tiers[cl.Tier]; !ok {
		c.add(path+".tier", "tier %q is not defined", cl.Tier)
	}
	if cl.Rate <= 0 || cl.Rate > maxRate {
		c.add(path+".rate", "%g must be above 0 and at most %d", cl.Rate, maxRate)
	}
	c.checkLength(path+".prompt_tokens", cl.PromptTokens)
	c.checkLength(path+".output_tokens", cl.OutputTokens)
	c.inRange(path+".max_tokens", float64(cl.MaxTokens), 0, maxTokens)
	if cl.MaxTokens > 0 && cl.OutputTokens.Max > cl.MaxTokens {
		c.add(path+".output_tokens.max", "%d is over max_tokens %d: answers would be truncated", cl.OutputTokens.Max, cl.MaxTokens)
	}
	c.checkShares(path, cl)
	c.checkTimes(path, cl)
	c.checkPrefix(path+".prefix", cl.Prefix)
}

func (c checker) checkShares(path string, cl *Class) {
	c.inRange(path+".stream_share", cl.StreamShare, 0, 1)
	c.inRange(path+".leave_share", cl.DisconnectShare, 0, 1)
	c.inRange(path+".key_share", cl.IdempotencyKeyShare, 0, 1)
	c.inRange(path+".plain_share", cl.NoEchoShare, 0, 1)
	switch {
	case cl.DisconnectAfterMs != nil:
		c.checkLength(path+".leave_after_ms", *cl.DisconnectAfterMs)
	case cl.DisconnectShare > 0:
		c.add(path+".leave_after_ms", "is required with leave_share")
	}
}

func (c checker) checkTimes(path string, cl *Class) {
	for i, b := range cl.Bursts {
		p := fmt.Sprintf("%s.bursts[%d]", path, i)
		c.inRange(p+".factor", b.Factor, 0, maxFactor)
		if b.StartMs < 0 || b.DurationMs <= 0 {
			c.add(p, "at_ms %d must not be negative and for_ms %d must be above 0", b.StartMs, b.DurationMs)
		}
	}
	if cl.StartMs < 0 || (cl.EndMs != 0 && cl.EndMs <= cl.StartMs) {
		c.add(path+".to_ms", "from_ms %d and to_ms %d are not a valid time range", cl.StartMs, cl.EndMs)
	}
	if r := cl.Resend; r != nil && (r.Times < 1 || r.Times > 100 || r.DelayMs < 0) {
		c.add(path+".resend", "times must be between 1 and 100 and after_ms must not be negative")
	}
}

func (c checker) checkPrefix(path string, p *Prefix) {
	if p == nil {
		return
	}
	c.inRange(path+".count", float64(p.Count), 1, maxTokens)
	c.inRange(path+".tokens", float64(p.Tokens), 1, maxTokens)
	c.inRange(path+".share", p.Share, 0, 1)
	if p.RotationMs < 0 {
		c.add(path+".turn_ms", "%d is negative", p.RotationMs)
	}
}

func (c checker) checkLength(path string, l LengthDistribution) {
	if l.Min < 1 || l.Max < l.Min || l.Max > maxTokens {
		c.add(path, "1 <= min <= max <= %d is required, not min %d, max %d", maxTokens, l.Min, l.Max)
	}
	if l.Median < float64(l.Min) || l.Median > float64(l.Max) {
		c.add(path+".median", "%g is not between min %d and max %d", l.Median, l.Min, l.Max)
	}
	c.inRange(path+".sigma", l.Sigma, 0, 5)
}
