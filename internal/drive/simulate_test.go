// SPDX-License-Identifier: MIT

package drive

import (
	"fmt"
	"testing"

	"github.com/frankban/quicktest"
)

// TestWaveCompletesWithinTheBudgets guards against a wave that never completes and against drains that exceed a budget. With a
// failed rack a budget may be exceeded without any drain, so only completion is checked.
func TestWaveCompletesWithinTheBudgets(t *testing.T) {
	for _, p := range [...]Policy{{}, {Baseline: true}, {RackFails: true}, {Declared: true}} {
		c := quicktest.New(t)
		r := SimulateWave(Muscat(), p, 1)
		c.Assert(r.Completed, quicktest.IsTrue, quicktest.Commentf("%+v", r))
		c.Assert(r.MinMargin >= 0 || p.RackFails, quicktest.IsTrue, quicktest.Commentf("%+v", r))
	}
}

// seedsPerFigure is the number of simulations that each benchmark figure averages.
const seedsPerFigure = 8

// BenchmarkWave reports the measurements of a maintenance wave and their ratios to the bounds, for each size and policy.
func BenchmarkWave(b *testing.B) {
	for _, s := range Sizes() {
		for _, p := range [...]Policy{{}, {Baseline: true}, {RackFails: true}, {Baseline: true, RackFails: true}, {Declared: true}} {
			b.Run(fmt.Sprintf("%s/baseline=%t/rack-fails=%t/declared=%t", s.Name, p.Baseline, p.RackFails, p.Declared), func(b *testing.B) {
				for b.Loop() {
					r := SumWaves(s, p, seedsPerFigure)
					b.ReportMetric(r.RollOut.Minutes()/seedsPerFigure, "roll-out-min")
					b.ReportMetric(r.RollOut.Seconds()/r.RollOutBound.Seconds(), "roll-out/bound")
					b.ReportMetric(float64(r.Moves)/seedsPerFigure, "moves")
					b.ReportMetric(float64(r.Moves)/float64(r.MovesBound), "moves/bound")
					b.ReportMetric(float64(r.RepeatMoves)/seedsPerFigure, "moved-again")
					b.ReportMetric(float64(r.UnavoidableMoves)/seedsPerFigure, "unavoidable")
					b.ReportMetric(r.Buffer/seedsPerFigure, "buffer")
					b.ReportMetric(r.Buffer/r.BufferBound, "buffer/bound")
					b.ReportMetric(100*r.SlowedSeconds/r.RunSeconds, "slowed-%")
					b.ReportMetric(100*r.OverloadSeconds/r.RunSeconds, "overload-%")
					b.ReportMetric(float64(r.Measures)/float64(r.Jobs), "measures/job")
					b.ReportMetric(float64(r.Throttles)/float64(r.Jobs), "throttles/job")
					b.ReportMetric(float64(r.Yields)/seedsPerFigure, "yields")
				}
			})
		}
	}
}
