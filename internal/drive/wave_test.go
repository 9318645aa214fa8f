// SPDX-License-Identifier: MIT

package drive

import (
	"fmt"
	"testing"

	"github.com/frankban/quicktest"
)

func TestAWaveEndsWithinTheBudgets(t *testing.T) {
	for _, p := range [...]Policy{{}, {Baseline: true}, {RackFails: true}, {Declared: true}} {
		c := quicktest.New(t)
		r := Wave(Muscat(), p, 1)
		c.Assert(r.Ended, quicktest.IsTrue, quicktest.Commentf("%+v", r))
		c.Assert(r.LowestMargin >= 0 || p.RackFails, quicktest.IsTrue, quicktest.Commentf("%+v", r))
	}
}

// seeds is the number of runs that one figure is the mean of.
const seeds = 8

// BenchmarkWave prints what a maintenance wave costs, for each site and policy, beside its bounds.
func BenchmarkWave(b *testing.B) {
	for _, s := range Sizes() {
		for _, p := range [...]Policy{{}, {Baseline: true}, {RackFails: true}, {Baseline: true, RackFails: true}, {Declared: true}} {
			b.Run(fmt.Sprintf("%s/baseline=%t/rack-fails=%t/declared=%t", s.Name, p.Baseline, p.RackFails, p.Declared), func(b *testing.B) {
				for b.Loop() {
					r := Sum(s, p, seeds)
					b.ReportMetric(r.RollOut.Minutes()/seeds, "roll-out-min")
					b.ReportMetric(r.RollOut.Seconds()/r.RollOutBound.Seconds(), "roll-out/bound")
					b.ReportMetric(float64(r.Moves)/seeds, "moves")
					b.ReportMetric(float64(r.Moves)/float64(r.MovesBound), "moves/bound")
					b.ReportMetric(float64(r.Twice)/seeds, "moved-again")
					b.ReportMetric(float64(r.Unavoidable)/seeds, "unavoidable")
					b.ReportMetric(r.Buffer/seeds, "buffer")
					b.ReportMetric(r.Buffer/r.BufferBound, "buffer/bound")
					b.ReportMetric(100*r.Lost/r.Ran, "slowed-%")
					b.ReportMetric(100*r.Overload/r.Ran, "overload-%")
					b.ReportMetric(float64(r.Measures)/float64(r.Jobs), "measures/job")
					b.ReportMetric(float64(r.Throttles)/float64(r.Jobs), "throttles/job")
					b.ReportMetric(float64(r.Yields)/seeds, "yields")
				}
			})
		}
	}
}
