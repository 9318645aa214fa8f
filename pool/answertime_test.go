// SPDX-License-Identifier: MIT

package pool

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// TestStartTimeoutFollowsTheAnswers guards against a leader under load that takes most of its starts for unanswered and sends each of them several times. A leader
// whose answers took 0.15 to 0.3 s sent twice as many starts as were answered and did not recover for 20 s.
func TestStartTimeoutFollowsTheAnswers(t *testing.T) {
	for _, x := range [...]struct {
		name string
		took time.Duration
		// lost is how many of ten starts get no answer.
		lost     int
		min, max time.Duration
	}{
		{"fast answers", 5 * time.Millisecond, 0, startTimeout, startTimeout},
		{"fast answers, some lost", 5 * time.Millisecond, 4, startTimeout, startTimeout},
		{"slow answers", 250 * time.Millisecond, 0, 600 * time.Millisecond, orderTimeout},
		{"slow answers, some lost", 250 * time.Millisecond, 2, 600 * time.Millisecond, orderTimeout},
		{"none", 0, 10, orderTimeout, orderTimeout},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := quicktest.New(t)
			var a answerTime
			play := func(n int, took time.Duration, lost int) {
				for i := range n {
					if i%10 < lost || took > a.startTimeout(0) {
						a.unanswered()
					} else {
						a.observe(took)
					}
				}
			}
			c.Assert(a.startTimeout(0), quicktest.Equals, startTimeout)
			play(400, x.took, x.lost)
			c.Assert(a.startTimeout(0) >= x.min && a.startTimeout(0) <= x.max, quicktest.IsTrue, quicktest.Commentf("%v", a.startTimeout(0)))
			c.Assert(a.startTimeout(startAttempts) <= orderTimeout, quicktest.IsTrue)
			play(400, 5*time.Millisecond, 0)
			c.Assert(a.startTimeout(0), quicktest.Equals, startTimeout)
		})
	}
}
