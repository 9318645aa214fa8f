// SPDX-License-Identifier: MIT

package capacity

import (
	"fmt"
	"math"
	"slices"

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

// Fit is base + perEntry·entries + perWorker·workers + perJob·jobs.
type Fit struct {
	Figure    Figure  `json:"figure"`
	Base      float64 `json:"base"`
	PerEntry  float64 `json:"per_entry"`
	PerWorker float64 `json:"per_worker"`
	PerJob    float64 `json:"per_job"`
	// Error is the root of the mean squared difference between the points and the fit.
	Error  float64 `json:"error"`
	Points int     `json:"points"`
}

// At returns the fit's value at the size with the number of running jobs.
func (f Fit) At(s Size, jobs int) float64 {
	return f.Base + f.PerEntry*float64(s.Entries) + f.PerWorker*float64(s.Workers) + f.PerJob*float64(jobs)
}

// regressors returns what the figure is taken to depend on, as far as the points differ in it.
func regressors(points []Point) []func(Point) float64 {
	all := []func(Point) float64{
		func(Point) float64 { return 1 },
		func(p Point) float64 { return float64(p.Entries) },
		func(p Point) float64 { return float64(p.Workers) },
	}
	if slices.ContainsFunc(points, func(p Point) bool { return p.Jobs > 0 }) {
		all = append(all, func(p Point) float64 { return float64(p.Jobs) })
	}
	return all
}

// FitOf fits the figure to the points by least squares; it fails with fewer points than unknowns.
func FitOf(fig Figure, points []Point) (Fit, error) {
	of := regressors(points)
	if len(points) < len(of) {
		return Fit{}, fmt.Errorf("%d points do not give %d slopes; measure more sizes", len(points), len(of))
	}
	a := mat.NewDense(len(points), len(of), nil)
	b := mat.NewDense(len(points), 1, nil)
	for i, p := range points {
		for k, x := range of {
			a.Set(i, k, x(p))
		}
		b.Set(i, 0, fig.Of(p))
	}
	var x mat.Dense
	if err := x.Solve(a, b); err != nil {
		return Fit{}, fmt.Errorf("the sizes do not tell the slopes apart: %w", err)
	}
	f := Fit{Figure: fig, Base: x.At(0, 0), PerEntry: x.At(1, 0), PerWorker: x.At(2, 0), Points: len(points)}
	if len(of) > 3 {
		f.PerJob = x.At(3, 0)
	}
	sum := 0.0
	for _, p := range points {
		d := fig.Of(p) - f.At(p.Size, p.Jobs)
		sum += d * d
	}
	f.Error = math.Sqrt(sum / float64(len(points)))
	return f, nil
}
