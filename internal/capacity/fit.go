// SPDX-License-Identifier: MIT

package capacity

import (
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/mat"
)

// Figure is one quantity derived from a Point.
type Figure struct {
	Name  string              `json:"name"`
	Unit  string              `json:"unit"`
	Value func(Point) float64 `json:"-"`
	// Limit is the highest value that the requirements allow for one node; 0 means no limit.
	Limit float64 `json:"limit,omitempty"`
}

// Figures returns the quantities to fit.
func Figures() []Figure {
	return []Figure{
		{"cpu", "% of a core", func(p Point) float64 { return p.CPU }, 2.6},
		{"memory", "MB", func(p Point) float64 { return p.Memory / 1e6 }, 64},
		{"peers", "KB/s", func(p Point) float64 { return p.PeerBytes / 1e3 }, 0},
		{"platform", "KB/s", func(p Point) float64 { return p.PlatformBytes / 1e3 }, 0},
		{"network", "KB/s", func(p Point) float64 { return (p.PeerBytes + p.PlatformBytes) / 1e3 }, 11},
	}
}

// Fit is the linear model base + perEntry·entries + perWorker·workers + perJob·jobs.
type Fit struct {
	Figure    Figure  `json:"figure"`
	Base      float64 `json:"base"`
	PerEntry  float64 `json:"per_entry"`
	PerWorker float64 `json:"per_worker"`
	PerJob    float64 `json:"per_job"`
	// Error is the root mean square error of the fit.
	Error  float64 `json:"error"`
	Points int     `json:"points"`
}

// At returns the predicted value for the size and number of running jobs.
func (f Fit) At(s Size, jobs int) float64 {
	return f.Base + f.PerEntry*float64(s.Entries) + f.PerWorker*float64(s.Workers) + f.PerJob*float64(jobs)
}

// regressors returns the independent variables of the model. The number of jobs is one only if some point has running jobs,
// since the system would be singular otherwise.
func regressors(points []Point) []func(Point) float64 {
	vars := []func(Point) float64{
		func(Point) float64 { return 1 },
		func(p Point) float64 { return float64(p.Entries) },
		func(p Point) float64 { return float64(p.Workers) },
	}
	if slices.ContainsFunc(points, func(p Point) bool { return p.Jobs > 0 }) {
		vars = append(vars, func(p Point) float64 { return float64(p.Jobs) })
	}
	return vars
}

// FitPoints fits the figure to the points by least squares; it fails with fewer points than coefficients.
func FitPoints(fig Figure, points []Point) (Fit, error) {
	vars := regressors(points)
	if len(points) < len(vars) {
		return Fit{}, fmt.Errorf("%d points are too few to fit %d coefficients; measure more sizes", len(points), len(vars))
	}
	a := mat.NewDense(len(points), len(vars), nil)
	b := mat.NewDense(len(points), 1, nil)
	for i, p := range points {
		for k, x := range vars {
			a.Set(i, k, x(p))
		}
		b.Set(i, 0, fig.Value(p))
	}
	var x mat.Dense
	if err := x.Solve(a, b); err != nil {
		return Fit{}, fmt.Errorf("the measured sizes do not determine the slopes: %w", err)
	}
	f := Fit{Figure: fig, Base: x.At(0, 0), PerEntry: x.At(1, 0), PerWorker: x.At(2, 0), Points: len(points)}
	if len(vars) > 3 {
		f.PerJob = x.At(3, 0)
	}
	sum := 0.0
	for _, p := range points {
		d := fig.Value(p) - f.At(p.Size, p.Jobs)
		sum += d * d
	}
	f.Error = math.Sqrt(sum / float64(len(points)))
	return f, nil
}
