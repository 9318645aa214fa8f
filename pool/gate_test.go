// SPDX-License-Identifier: MIT

package pool

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
)

// TestABurstGoesAFewAtATime has six thousand calls at once, a sixth of which are never answered.
func TestABurstGoesAFewAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		g := newGate()
		var under, most, done atomic.Int64
		at := time.Now()
		for i := range 6000 {
			go func() {
				leave := g.enter(context.Background())
				if i%6 == 0 {
					time.Sleep(2 * time.Second)
				} else {
					n := under.Add(1)
					for m := most.Load(); n > m && !most.CompareAndSwap(m, n); m = most.Load() {
					}
					time.Sleep(5 * time.Millisecond)
					under.Add(-1)
				}
				leave()
				done.Add(1)
			}()
		}
		for done.Load() < 6000 {
			time.Sleep(10 * time.Millisecond)
		}
		c.Assert(most.Load() <= gateWidth, quicktest.IsTrue)
		c.Assert(time.Since(at) < 4*time.Second, quicktest.IsTrue, quicktest.Commentf("%v", time.Since(at)))
		c.Assert(g, quicktest.HasLen, 0)
	})
}
