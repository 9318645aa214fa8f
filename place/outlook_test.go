// SPDX-License-Identifier: MIT

package place

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

func TestWhatAJobIsExpectedToEarn(t *testing.T) {
	c := quicktest.New(t)
	now := time.Unix(100, 0)
	// Of two seconds' work, with an aim of four; age is how long ago it was handed in.
	expected := func(age, left time.Duration, density float64) float64 {
		e := Estimate{From: now.Add(-age), Target: 4 * time.Second, Total: 2 * time.Second, Remaining: left, Density: density}
		return e.At(now).Expected
	}
	for _, x := range [...]struct {
		what         string
		first, after float64
	}{
		{"what earns more of two that are fresh", expected(0, 2*time.Second, 2), expected(0, 2*time.Second, 1)},
		{"what can't wait of two that earn the same", expected(1500*time.Millisecond, 2*time.Second, 1), expected(0, 2*time.Second, 1)},
		{"what can be in time", expected(0, 2*time.Second, 1), expected(6*time.Second, 2*time.Second, 3)},
		{"what seems to be late by a moment", expected(2100*time.Millisecond, 2*time.Second, 1), expected(6*time.Second, 2*time.Second, 3)},
		{"what is late and still earns", expected(5*time.Second, 2*time.Second, 1), expected(13*time.Second, 2*time.Second, 3)},
		{"what is nearly done", expected(3*time.Second, 500*time.Millisecond, 4), expected(0, 2*time.Second, 1)},
	} {
		c.Check(x.first > x.after, quicktest.IsTrue, quicktest.Commentf("%s: %.4f and %.4f", x.what, x.first, x.after))
	}
}
