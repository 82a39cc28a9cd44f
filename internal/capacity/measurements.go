// Package capacity measures the costs of the components on one machine, fits each to a
// line, and computes from them the cost of each role in a deployment of a given size.
// The page docs/CAPACITY.md is rendered from one measurements file, and a test checks
// that the page matches it.
package capacity

import (
	"encoding/json"
	"os"
	"sort"

	"github.com/pkg/errors"
	"gonum.org/v1/gonum/stat"
)

// Point is one measured value Y at size X.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Series is one cost measured over one size, with a fitted line.
type Series struct {
	Name string `json:"name"`
	// Description says in one sentence what was run.
	Description string  `json:"what"`
	XUnit       string  `json:"x_unit"`
	YUnit       string  `json:"y_unit"`
	Points      []Point `json:"points"`
	// Slope and Intercept are the least-squares line y = Intercept + Slope·x. With a
	// single point Slope is 0 and Intercept is its value.
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"base"`
}

// Machine describes where and when the measurements were taken.
type Machine struct {
	Cores int    `json:"cores"`
	Go    string `json:"go"`
	Date  string `json:"date"`
}

// Measurements are the results of one run.
type Measurements struct {
	Machine Machine           `json:"machine"`
	Series  map[string]Series `json:"series"`
}

// NewSeries returns a series with a line fitted to the points, which it sorts by X.
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

// At returns the cost at x. It interpolates between points, so that a nonlinear curve
// stays visible within the measured range, and extrapolates above the last point by
// the fitted slope. Below the first point it returns that point's cost, so that no
// result is negative or below the smallest measured size's.
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

// Add adds a series, replacing one of the same name.
func (m *Measurements) Add(s Series) {
	if m.Series == nil {
		m.Series = map[string]Series{}
	}
	m.Series[s.Name] = s
}

// Get returns a series, or an error with the name of the missing one.
func (m *Measurements) Get(name string) (Series, error) {
	s, ok := m.Series[name]
	if !ok {
		return Series{}, errors.Errorf("series %q was not measured", name)
	}
	return s, nil
}

// ReadFile reads a measurements file.
func ReadFile(path string) (*Measurements, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read measurements file")
	}
	var m Measurements
	if err := json.Unmarshal(data, &m); err != nil {
		return nil, errors.Wrapf(err, "parse measurements file %s", path)
	}
	return &m, nil
}

// WriteFile writes a measurements file.
func (m *Measurements) WriteFile(path string) error {
	data, err := json.MarshalIndent(m, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode measurements")
	}
	return errors.Wrap(os.WriteFile(path, append(data, '\n'), 0o644), "write measurements file")
}
