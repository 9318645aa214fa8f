// SPDX-License-Identifier: MIT

package place

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

func TestExpectedValueOfAJob(t *testing.T) {
	c := quicktest.New(t)
	now := time.Unix(100, 0)
	// The expected value of a job of two seconds with a target of four seconds; age is the time since it was
	// submitted.
	expected := func(age, left time.Duration, density float64) float64 {
		e := Estimate{From: now.Add(-age), Target: 4 * time.Second, Total: 2 * time.Second, Remaining: left, Density: density}
		return e.At(now).Expected
	}
	for _, x := range [...]struct {
		what         string
		first, after float64
	}{
		{"the more valuable of two new jobs", expected(0, 2*time.Second, 2), expected(0, 2*time.Second, 1)},
		{"the job that can't wait of two with the same value", expected(1500*time.Millisecond, 2*time.Second, 1), expected(0, 2*time.Second, 1)},
		{"a job that can be in time", expected(0, 2*time.Second, 1), expected(6*time.Second, 2*time.Second, 3)},
		{"a job that is slightly late by its estimate", expected(2100*time.Millisecond, 2*time.Second, 1), expected(6*time.Second, 2*time.Second, 3)},
		{"a late job that still has some value", expected(5*time.Second, 2*time.Second, 1), expected(13*time.Second, 2*time.Second, 3)},
		{"a job that is nearly done", expected(3*time.Second, 500*time.Millisecond, 4), expected(0, 2*time.Second, 1)},
	} {
		c.Check(x.first > x.after, quicktest.IsTrue, quicktest.Commentf("%s: %.4f and %.4f", x.what, x.first, x.after))
	}
}
