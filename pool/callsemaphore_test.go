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

// TestABurstGoesAFewAtATime makes 6,000 calls at once, a sixth of which are not answered in time.
func TestABurstGoesAFewAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		limiter := newCallSemaphore()
		var inFlight, highest, done atomic.Int64
		began := time.Now()
		for i := range 6000 {
			go func() {
				release := limiter.acquire(context.Background())
				if i%6 == 0 {
					time.Sleep(2 * time.Second)
				} else {
					n := inFlight.Add(1)
					for m := highest.Load(); n > m && !highest.CompareAndSwap(m, n); m = highest.Load() {
					}
					time.Sleep(5 * time.Millisecond)
					inFlight.Add(-1)
				}
				release()
				done.Add(1)
			}()
		}
		for done.Load() < 6000 {
			time.Sleep(10 * time.Millisecond)
		}
		c.Assert(highest.Load() <= maxLimitedCalls, quicktest.IsTrue)
		c.Assert(time.Since(began) < 4*time.Second, quicktest.IsTrue, quicktest.Commentf("%v", time.Since(began)))
		c.Assert(limiter, quicktest.HasLen, 0)
	})
}
