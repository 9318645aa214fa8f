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

// TestNothingMovesOrIsMaintainedWhileTheStoreFails: what an instance comes back as would not be known.
func TestNothingMovesOrIsMaintainedWhileTheStoreFails(t *testing.T) {
	for _, fails := range []bool{false, true} {
		t.Run(fmt.Sprint(fails), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				b := newBench(c, nil, "w1")
				b.config.Pools = map[string]job.Pool{"p": {}, "spare": {Headroom: true}}
				b.machines["m-w1"] = Machine{Name: "m-w1", Pool: "p", ID: "w1"}
				var moved, maintained atomic.Int64 // calls are made at the same time
				wave := Wave{Number: 1, MaxAway: 1, Within: time.Minute}
				for i := range 4 {
					m := fmt.Sprintf("off%d", i)
					b.machines[m] = Machine{Name: m, Pool: "spare"}
					wave.Machines = append(wave.Machines[:0], m)
				}
				b.Machines.Move = func(context.Context, string, string, int64) error { moved.Add(1); return nil }
				b.Machines.Upkeep = func(context.Context, string, int64, int64) error { maintained.Add(1); return nil }
				b.PutWave = func(context.Context, int64, bool) error { return nil }
				b.machinesRead = time.Now()
				waveRead{wave: wave}.apply(b.session)
				b.pool("p").handed = []handed{{at: time.Now(), work: 3}}
				b.committing, b.inFlight, b.commitSince = fails, &commitEnded{}, time.Now().Add(-time.Second)
				for range 3 {
					b.runWaves(time.Now())
					b.sizePools(time.Now())
					synctest.Wait()
					if !fails {
						b.keeps() // an upkeep is asked for once it is kept that it will be
					}
				}
				c.Assert(moved.Load() > 0, quicktest.Equals, !fails)
				c.Assert(maintained.Load() > 0, quicktest.Equals, !fails)
			})
		})
	}
}
