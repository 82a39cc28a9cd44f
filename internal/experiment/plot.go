package experiment

import (
	"image/color"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"github.com/lycheekeel/lycheekeel/internal/load"
)

const (
	plotWidth  = 13 * vg.Inch
	plotHeight = 8.5 * vg.Inch
	barWidth   = 14
	// barHeadroom is the ratio of a plot's height to its highest bar.
	barHeadroom = 1.3
)

// WritePlot writes a PNG that compares the policies: goodput by tier, prefill work,
// and for the top tier good requests over time and latency.
func (o *Outcome) WritePlot(path string) error {
	tiers := load.TiersByPriority(o.mix)
	goodput, err := o.bars(o.Scenario+": goodput by tier", append(tiers, "all"), func(p *PolicyOutcome, label string) float64 {
		if label == "all" {
			return p.TotalGoodput
		}
		return p.Goodput[label]
	})
	if err != nil {
		return err
	}
	goodput.Y.Tick.Marker = fractionTicks()
	prefill, err := o.bars("prefill: fractions of what was computed, of all prompts reused", []string{"unfinished", "recomputed", "reused"}, prefillShare)
	if err != nil {
		return err
	}
	duration := time.Duration(o.DurationMs) * time.Millisecond
	ratePlot, latencyPlot := plot.New(), plot.New()
	ratePlot.Title.Text = tiers[0] + ": good requests over time (dashed: offered)"
	load.LatencyAxes(latencyPlot, tiers[0]+": share of callers that waited longer")
	for i, p := range o.Order {
		c := load.Colors[i%len(load.Colors)]
		results := o.Policies[p].results
		if err := load.AddRates(ratePlot, o.mix, tiers[0], string(p), c, i == 0, duration, results); err != nil {
			return err
		}
		if err := load.AddLatencyTail(latencyPlot, tiers[0], string(p), c, results); err != nil {
			return err
		}
	}
	load.RateAxes(ratePlot, duration)
	return load.SavePlots(path, plotWidth, plotHeight, []*plot.Plot{goodput, prefill}, []*plot.Plot{ratePlot, latencyPlot})
}

func prefillShare(p *PolicyOutcome, label string) float64 {
	computed := float64(max(1, p.Prefill.ComputedTokens))
	switch label {
	case "unfinished":
		return float64(p.Prefill.UnfinishedTokens) / computed
	case "recomputed":
		return float64(p.Prefill.RecomputedTokens) / computed
	default:
		return p.Prefill.Reuse
	}
}

// bars draws one group of bars per label, with one bar per policy.
func (o *Outcome) bars(title string, labels []string, value func(*PolicyOutcome, string) float64) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = title
	p.Title.Padding = vg.Points(6)
	p.Legend.Top = true
	grid := plotter.NewGrid()
	grid.Vertical.Color = color.Transparent
	p.Add(grid)
	highest := 0.01
	for i, policy := range o.Order {
		values := make(plotter.Values, len(labels))
		for j, label := range labels {
			values[j] = value(o.Policies[policy], label)
			highest = max(highest, values[j])
		}
		b, err := plotter.NewBarChart(values, vg.Points(barWidth))
		if err != nil {
			return nil, errors.Wrap(err, "plot")
		}
		b.LineStyle.Width = 0
		b.Color = load.Colors[i%len(load.Colors)]
		b.Offset = vg.Points(barWidth * (float64(i) - float64(len(o.Order)-1)/2))
		p.Add(b)
		p.Legend.Add(string(policy), b)
	}
	p.NominalX(labels...)
	// Leave room for the legend above the bars and for whole bars at both sides.
	p.Y.Min, p.Y.Max = 0, highest*barHeadroom
	p.X.Min, p.X.Max = -0.5, float64(len(labels))-0.5
	return p, nil
}

// fractionTicks places ticks at every fifth from 0 to 1.
func fractionTicks() plot.ConstantTicks {
	var out plot.ConstantTicks
	for i := range 6 {
		v := float64(i) / 5
		out = append(out, plot.Tick{Value: v, Label: strconv.FormatFloat(v, 'f', 1, 64)})
	}
	return out
}
