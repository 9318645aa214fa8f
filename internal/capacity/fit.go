// SPDX-License-Identifier: MIT

package capacity

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/mat"
)

// Figure is one measured quantity of a Point.
type Figure struct {
	Name string              `json:"name"`
	Unit string              `json:"unit"`
	Of   func(Point) float64 `json:"-"`
	// Limit is the users' bound for one node; none when 0.
	Limit float64 `json:"limit,omitempty"`
}

// Figures returns what is fitted.
func Figures() []Figure {
	return []Figure{
		{"cpu", "% of a core", func(p Point) float64 { return p.CPU }, 2.6},
		{"memory", "MB", func(p Point) float64 { return p.Memory / 1e6 }, 64},
		{"peers", "KB/s", func(p Point) float64 { return p.PeerBytes / 1e3 }, 0},
		{"platform", "KB/s", func(p Point) float64 { return p.PlatformBytes / 1e3 }, 0},
		{"network", "KB/s", func(p Point) float64 { return (p.PeerBytes + p.PlatformBytes) / 1e3 }, 11},
	}
}

// Fit is base + perEntry·entries + perWorker·workers.
type Fit struct {
	Figure    Figure  `json:"figure"`
	Base      float64 `json:"base"`
	PerEntry  float64 `json:"per_entry"`
	PerWorker float64 `json:"per_worker"`
	// Error is the root of the mean squared difference between the points and the fit.
	Error  float64 `json:"error"`
	Points int     `json:"points"`
}

// At returns the fit's value at the size.
func (f Fit) At(s Size) float64 {
	return f.Base + f.PerEntry*float64(s.Entries) + f.PerWorker*float64(s.Workers)
}

// columns are the unknowns of a Fit.
const columns = 3

// FitOf fits the figure to the points by least squares; it fails with fewer points than unknowns.
func FitOf(fig Figure, points []Point) (Fit, error) {
	if len(points) < columns {
		return Fit{}, fmt.Errorf("%d points do not give %d slopes; measure more sizes", len(points), columns)
	}
	a := mat.NewDense(len(points), columns, nil)
	b := mat.NewDense(len(points), 1, nil)
	for i, p := range points {
		a.SetRow(i, []float64{1, float64(p.Entries), float64(p.Workers)})
		b.Set(i, 0, fig.Of(p))
	}
	var x mat.Dense
	if err := x.Solve(a, b); err != nil {
		return Fit{}, fmt.Errorf("the sizes do not tell the slopes apart: %w", err)
	}
	f := Fit{Figure: fig, Base: x.At(0, 0), PerEntry: x.At(1, 0), PerWorker: x.At(2, 0), Points: len(points)}
	sum := 0.0
	for _, p := range points {
		d := fig.Of(p) - f.At(p.Size)
		sum += d * d
	}
	f.Error = math.Sqrt(sum / float64(len(points)))
	return f, nil
}
