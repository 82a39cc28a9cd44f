// Package capacity measures what the parts cost on one machine, as slopes, and
// works out from them what each role costs at a given size. The page
// docs/CAPACITY.md is rendered from one measured file, and a test checks that
// page and file agree.
package capacity

import (
	"encoding/json"
	"os"
	"sort"

	"github.com/pkg/errors"
	"gonum.org/v1/gonum/stat"
)

// Point is one measured value y at the size x.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Series is one measured cost over one size, with its fitted line.
type Series struct {
	Name string `json:"name"`
	// Description was run, in one sentence.
	Description string  `json:"what"`
	XUnit       string  `json:"x_unit"`
	YUnit       string  `json:"y_unit"`
	Points      []Point `json:"points"`
	// Slope and Base are the least-squares line y = Base + Slope·x. With a
	// single point Slope is zero and Base the value.
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"base"`
}

// Machine says where a file was measured, as far as it matters.
type Machine struct {
	Cores int    `json:"cores"`
	Go    string `json:"go"`
	Date  string `json:"date"`
}

// Measurements is one run's results.
type Measurements struct {
	Machine Machine           `json:"machine"`
	Series  map[string]Series `json:"series"`
}

// NewSeries fits the points, which it sorts by x.
func NewSeries(name, description, xUnit, yUnit string, points []Point) Series {
	s := Series{Name: name, Description: description, XUnit: xUnit, YUnit: yUnit, Points: points}
	sort.Slice(s.Points, func(i, j int) bool { return s.Points[i].X < s.Points[j].X })
	s.Intercept, s.Slope = fit(s.Points)
	return s
}

// fit returns the least-squares line through the points.
func fit(points []Point) (intercept, slope float64) {
	switch len(points) {
	case 0:
		return 0, 0
	case 1:
		return points[0].Y, 0
	}
	xs := make([]float64, len(points))
	ys := make([]float64, len(points))
	for i, p := range points {
		xs[i], ys[i] = p.X, p.Y
	}
	return stat.LinearRegression(xs, ys, nil, false)
}

// At returns the cost at x: between measured points by straight lines, above
// them by the fitted slope from the last point, so that a curve that is not a
// line is not hidden inside the measured range. Below them it is the first
// point's cost: no cost falls below zero, and none is made smaller than seen.
func (s Series) At(x float64) float64 {
	n := len(s.Points)
	if n == 0 {
		return 0
	}
	if x <= s.Points[0].X {
		return s.Points[0].Y
	}
	for i := 1; i < n; i++ {
		a, b := s.Points[i-1], s.Points[i]
		if x <= b.X {
			return a.Y + (b.Y-a.Y)*(x-a.X)/(b.X-a.X)
		}
	}
	last := s.Points[n-1]
	return last.Y + s.Slope*(x-last.X)
}

// Add puts a series into the results.
func (m *Measurements) Add(s Series) {
	if m.Series == nil {
		m.Series = map[string]Series{}
	}
	m.Series[s.Name] = s
}

// Get returns a series, or an error that names the missing one.
func (m *Measurements) Get(name string) (Series, error) {
	s, ok := m.Series[name]
	if !ok {
		return Series{}, errors.Errorf("series %q was not measured", name)
	}
	return s, nil
}

// ReadFile reads a measured file.
func ReadFile(path string) (*Measurements, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "measured file")
	}
	var m Measurements
	if err := json.Unmarshal(data, &m); err != nil {
		return nil, errors.Wrapf(err, "measured file %s", path)
	}
	return &m, nil
}

// WriteFile writes a measured file.
func (m *Measurements) WriteFile(path string) error {
	data, err := json.MarshalIndent(m, "", "  ")
	if err != nil {
		return errors.Wrap(err, "measured file")
	}
	return errors.Wrap(os.WriteFile(path, append(data, '\n'), 0o644), "measured file")
}
