// SPDX-License-Identifier: MIT

package capacity

import (
	"encoding/json"
	"math"
	"testing"

	"github.com/frankban/quicktest"
)

// TestFitRecoversTheSlopes fits points of a known linear model and expects its coefficients. The function
// in a Figure must not keep the fit from being encoded as JSON, and too few points must give an error.
func TestFitRecoversTheSlopes(t *testing.T) {
	c := quicktest.New(t)
	var points []Point
	for _, entries := range [...]int{8, 16, 32} {
		for _, workers := range [...]int{50, 780} {
			for _, jobs := range [...]int{0, 1000} {
				cpu := 0.5 + 0.01*float64(entries) + 0.001*float64(workers) + 0.0002*float64(jobs)
				points = append(points, Point{Size: Size{Entries: entries, Workers: workers}, Jobs: jobs, CPU: cpu})
			}
		}
	}
	f, err := FitPoints(Figures()[0], points)
	c.Assert(err, quicktest.IsNil)
	c.Assert(math.Abs(f.PerEntry-0.01) < 1e-9 && math.Abs(f.PerWorker-0.001) < 1e-9 && math.Abs(f.PerJob-0.0002) < 1e-9 && f.Error < 1e-9, quicktest.IsTrue, quicktest.Commentf("%+v", f))
	c.Assert(math.Abs(f.At(Size{Entries: 64, Workers: 100}, 500)-1.34) < 1e-9, quicktest.IsTrue)
	_, err = json.Marshal(f)
	c.Assert(err, quicktest.IsNil)
	_, err = FitPoints(Figures()[0], points[:3])
	c.Assert(err, quicktest.IsNotNil)
}
