package load

import (
	"image/color"
	"math"
	"os"
	"sort"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	vgdraw "gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
)

// Dimensions and style of a plot.
const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 7 * vg.Inch
	plotDPI    = 110
	lineWidth  = 1.6
	// plotBuckets is the maximum number of points in time.
	plotBuckets = 40
	// minShare is the lowest share of callers in the latency plot.
	minShare = 0.001
	// minLatencyMs is the lowest latency in the latency plot, in milliseconds.
	minLatencyMs  = 10.0
	legendPadding = 2 * vg.Millimeter
	// legendHeadroom is the ratio of a plot's height to its highest line.
	legendHeadroom = 1.35
)

// Colors is a color-blind safe palette (Okabe and Ito).
var Colors = []color.Color{
	color.RGBA{0, 114, 178, 255}, color.RGBA{213, 94, 0, 255}, color.RGBA{0, 158, 115, 255},
	color.RGBA{204, 121, 167, 255}, color.RGBA{230, 159, 0, 255}, color.RGBA{86, 180, 233, 255},
}

// WritePlot writes a PNG with two plots. The upper one shows offered and good requests
// over time by tier. The lower one shows the share of callers that waited longer than
// x for the first token (streamed answers) or the whole answer (others).
func WritePlot(path string, m *Mix, duration time.Duration, results []Result) error {
	ratePlot, latencyPlot := plot.New(), plot.New()
	ratePlot.Title.Text = m.Name + ": offered (dashed) and good (solid) requests by tier"
	LatencyAxes(latencyPlot, "share of callers that waited longer")
	for i, tier := range TiersByPriority(m) {
		if err := addTier(ratePlot, latencyPlot, m, tier, Colors[i%len(Colors)], duration, results); err != nil {
			return err
		}
	}
	RateAxes(ratePlot, duration)
	return SavePlots(path, plotWidth, plotHeight, []*plot.Plot{ratePlot}, []*plot.Plot{latencyPlot})
}

// SavePlots writes rows of plots into one PNG with aligned axes.
func SavePlots(path string, width, height vg.Length, rows ...[]*plot.Plot) error {
	img := vgimg.NewWith(vgimg.UseWH(width, height), vgimg.UseDPI(plotDPI))
	dc := vgdraw.New(img)
	tiles := vgdraw.Tiles{
		Rows: len(rows), Cols: len(rows[0]), PadX: 6 * vg.Millimeter, PadY: 6 * vg.Millimeter,
		PadTop: 3 * vg.Millimeter, PadBottom: 3 * vg.Millimeter, PadLeft: 3 * vg.Millimeter, PadRight: 6 * vg.Millimeter,
	}
	for r, row := range plot.Align(rows, tiles, dc) {
		for c, canvas := range row {
			rows[r][c].Draw(canvas)
		}
	}
	f, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "plot")
	}
	if _, err := (vgimg.PngCanvas{Canvas: img}).WriteTo(f); err != nil {
		_ = f.Close()
		return errors.Wrap(err, "plot")
	}
	return errors.Wrap(f.Close(), "plot")
}

// TiersByPriority returns the names of the tiers, highest priority first.
func TiersByPriority(m *Mix) []string {
	out := make([]string, 0, len(m.Tiers))
	for t := range m.Tiers {
		out = append(out, t)
	}
	sort.Slice(out, func(i, j int) bool {
		a, b := m.Tiers[out[i]].Priority, m.Tiers[out[j]].Priority
		return a < b || (a == b && out[i] < out[j])
	})
	return out
}

func addTier(ratePlot, latencyPlot *plot.Plot, m *Mix, tier string, c color.Color, duration time.Duration, results []Result) error {
	if err := AddRates(ratePlot, m, tier, tier, c, true, duration, results); err != nil {
		return err
	}
	return AddLatencyTail(latencyPlot, tier, tier, c, results)
}

// AddRates draws a tier's good requests over time with the label, and optionally the
// offered ones as a dashed line.
func AddRates(p *plot.Plot, m *Mix, tier, label string, c color.Color, withOffered bool, duration time.Duration, results []Result) error {
	offered, good := rates(m, tier, duration, results)
	if withOffered {
		dashed, err := plotter.NewLine(offered)
		if err != nil {
			return errors.Wrap(err, "plot")
		}
		dashed.Color, dashed.Width, dashed.Dashes = c, vg.Points(lineWidth), []vg.Length{vg.Points(4), vg.Points(3)}
		p.Add(dashed)
	}
	solid, err := plotter.NewLine(good)
	if err != nil {
		return errors.Wrap(err, "plot")
	}
	solid.Color, solid.Width = c, vg.Points(lineWidth)
	p.Add(solid)
	p.Legend.Add(label, solid)
	return nil
}

// RateAxes sets the axes after the last AddRates, with room for the legend above the
// lines.
func RateAxes(p *plot.Plot, duration time.Duration) {
	p.X.Label.Text, p.Y.Label.Text = "seconds from the start", "requests/s"
	p.X.Min, p.X.Max = 0, duration.Seconds()
	p.Y.Min, p.Y.Max = 0, max(1, p.Y.Max)*legendHeadroom
	p.Legend.Top, p.Legend.Left = true, true
	p.Legend.XOffs = legendPadding
	p.Add(plotter.NewGrid())
}

// LatencyAxes prepares a plot for AddLatencyTail.
func LatencyAxes(p *plot.Plot, title string) {
	p.Title.Text = title
	p.X.Label.Text, p.Y.Label.Text = "milliseconds to the first token (plain answers: to their end)", "share"
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = logTicks{}, logTicks{}
	p.X.Min, p.X.Max = minLatencyMs, 2*minLatencyMs
	p.Y.Min, p.Y.Max = minShare, 1
	p.Legend.Left = true
	p.Legend.XOffs, p.Legend.YOffs = legendPadding, legendPadding
	p.Add(plotter.NewGrid())
}

// AddLatencyTail draws the share of a tier's callers that waited longer than x.
func AddLatencyTail(p *plot.Plot, tier, label string, c color.Color, results []Result) error {
	latencies := latencyTail(tier, results)
	if len(latencies) < 2 {
		return nil
	}
	tail, err := plotter.NewLine(latencies)
	if err != nil {
		return errors.Wrap(err, "plot")
	}
	tail.Color, tail.Width = c, vg.Points(lineWidth)
	p.Add(tail)
	p.Legend.Add(label, tail)
	return nil
}

// rates returns a tier's offered and good requests per second over time, each counted
// at its arrival time.
func rates(m *Mix, tier string, duration time.Duration, results []Result) (offered, good plotter.XYs) {
	step := max(duration/plotBuckets, 500*time.Millisecond)
	n := max(1, int(duration/step))
	offered, good = make(plotter.XYs, n), make(plotter.XYs, n)
	for i := range n {
		offered[i].X = (float64(i) + 0.5) * step.Seconds()
		good[i].X = offered[i].X
	}
	for i := range results {
		r := &results[i]
		if r.Arrival.Class.Tier != tier || !r.Offered() {
			continue
		}
		b := min(n-1, int(r.Arrival.At/step))
		offered[b].Y += 1 / step.Seconds()
		if r.Good(m.Tiers[tier]) {
			good[b].Y += 1 / step.Seconds()
		}
	}
	return offered, good
}

// latencyTail returns the share of a tier's callers that waited longer than x.
func latencyTail(tier string, results []Result) plotter.XYs {
	var latencies []float64
	for i := range results {
		r := &results[i]
		attempt := r.LastAttempt()
		if r.Arrival.Class.Tier != tier || attempt.Outcome != OutcomeComplete {
			continue
		}
		d := attempt.FirstToken
		if d == 0 {
			d = attempt.Total
		}
		latencies = append(latencies, max(minLatencyMs, float64(d.Microseconds())/1000))
	}
	sort.Float64s(latencies)
	var out plotter.XYs
	for i, w := range latencies {
		if share := 1 - float64(i)/float64(len(latencies)); share >= minShare {
			out = append(out, plotter.XY{X: w, Y: share})
		}
	}
	return out
}

// logTicks places ticks at 1, 2 and 5 of each decade, labelled with plain numbers.
type logTicks struct{}

// Ticks implements plot.Ticker.
func (logTicks) Ticks(lo, hi float64) []plot.Tick {
	var out []plot.Tick
	for e := math.Floor(math.Log10(lo)); e <= math.Ceil(math.Log10(hi)); e++ {
		for _, f := range []float64{1, 2, 5} {
			if v := f * math.Pow(10, e); v >= lo && v <= hi {
				out = append(out, plot.Tick{Value: v, Label: formatTick(v)})
			}
		}
	}
	return out
}

func formatTick(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }
