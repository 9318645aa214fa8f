// SPDX-License-Identifier: MIT

package drive

import (
	"fmt"
	"testing"

	"github.com/frankban/quicktest"
)

func TestAWaveEndsWithinTheBudgets(t *testing.T) {
	for _, p := range [...]Policy{{}, {Baseline: true}, {RackFails: true}} {
		c := quicktest.New(t)
		r := Wave(Muscat(), p)
		c.Assert(r.Ended, quicktest.IsTrue, quicktest.Commentf("%+v", r))
		c.Assert(r.LowestMargin >= 0 || p.RackFails, quicktest.IsTrue, quicktest.Commentf("%+v", r))
	}
}

// BenchmarkWave prints what a maintenance wave costs, for each site and policy, beside its bounds.
func BenchmarkWave(b *testing.B) {
	for _, s := range Sizes() {
		for _, p := range [...]Policy{{}, {Baseline: true}, {RackFails: true}, {Baseline: true, RackFails: true}} {
			b.Run(fmt.Sprintf("%s/baseline=%t/rack-fails=%t", s.Name, p.Baseline, p.RackFails), func(b *testing.B) {
				for b.Loop() {
					r := Wave(s, p)
					b.ReportMetric(r.RollOut.Minutes(), "roll-out-min")
					b.ReportMetric(r.RollOut.Seconds()/r.RollOutBound.Seconds(), "roll-out/bound")
					b.ReportMetric(float64(r.Moves), "moves")
					b.ReportMetric(float64(r.Moves)/float64(max(1, r.MovesBound)), "moves/bound")
					b.ReportMetric(r.Buffer, "buffer")
					b.ReportMetric(r.Buffer/r.BufferBound, "buffer/bound")
				}
			})
		}
	}
}
