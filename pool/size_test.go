// SPDX-License-Identifier: MIT

package pool

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"rackstep.dev/job"
)

// TestNothingMovesOrIsMaintainedWhileTheStoreFails guards against instances being moved or maintained while the store fails: the scheduler could not
// learn of the incarnations that they return with.
func TestNothingMovesOrIsMaintainedWhileTheStoreFails(t *testing.T) {
	for _, fails := range []bool{false, true} {
		t.Run(fmt.Sprint(fails), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				b := newFixture(c, nil, "w1")
				b.config.Pools = map[string]job.Pool{"p": {}, "spare": {Headroom: true}}
				b.machines["m-w1"] = Machine{Name: "m-w1", Pool: "p", ID: "w1"}
				var moved, maintained atomic.Int64 // calls are concurrent
				wave := Wave{Number: 1, MaxAway: 1, Within: time.Minute}
				for i := range 4 {
					m := fmt.Sprintf("off%d", i)
					b.machines[m] = Machine{Name: m, Pool: "spare"}
					wave.Machines = append(wave.Machines[:0], m)
				}
				b.Machines.Move = func(context.Context, string, string, int64) error { moved.Add(1); return nil }
				b.Machines.Maintenance = func(context.Context, string, int64, int64) error { maintained.Add(1); return nil }
				b.PutWave = func(context.Context, int64, bool) error { return nil }
				b.machinesListedAt = time.Now()
				waveRequested{wave: wave}.apply(b.session)
				b.pool("p").recentWork = []submission{{at: time.Now(), work: 3}}
				b.committing, b.inFlight, b.commitStartedAt = fails, &commitBatch{}, time.Now().Add(-time.Second)
				for range 3 {
					b.runWaves(time.Now())
					b.sizePools(time.Now())
					synctest.Wait()
					if !fails {
						b.commitAll() // maintenance is requested only after the request is stored
					}
				}
				c.Assert(moved.Load() > 0, quicktest.Equals, !fails)
				c.Assert(maintained.Load() > 0, quicktest.Equals, !fails)
			})
		})
	}
}
