// SPDX-License-Identifier: MIT

package pool

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"rackstep.dev/event"
	"rackstep.dev/feed"
	"rackstep.dev/job"
	"rackstep.dev/maintenance"
)

// newWaveFixture returns a leader of a pool "p" with a burst and six idle instances that it needs.
func newWaveFixture(c *quicktest.C) (b *fixture, asked *atomic.Int64) {
	b, asked = newFixture(c, nil), new(atomic.Int64)
	b.SetBounds(Bounds{Lease: 10 * time.Second, Stop: 400 * time.Millisecond, Status: time.Minute, Maintenance: 2 * time.Second})
	b.Machines.Maintenance = func(context.Context, string, int64, int64) error { asked.Add(1); return nil }
	b.PutWave = func(context.Context, int64, bool) error { return nil }
	for i := range 6 {
		m := fmt.Sprintf("m%d", i)
		b.machines[m] = Machine{Name: m, Pool: "p", State: MachineUp, DataCentre: "z"}
	}
	b.machinesListedAt = time.Now()
	b.burst(true)
	return b, asked
}

// burst begins or ends the burst of the pool.
func (b *fixture) burst(on bool) {
	b.waveLoads = map[string]maintenance.PoolLoad{"p": {Surplus: 6, Burst: on}}
}

// testWave is a wave of all the instances that may hold them for 37 s, that is until 8 s before three quarters of its time.
func testWave(number int64) Wave {
	return Wave{Number: number, Machines: []string{"m0", "m1", "m2", "m3", "m4", "m5"}, MaxAway: 6, Within: time.Minute}
}

// runWavesFor runs the waves for the given time. Instances whose maintenance is over are listed as up.
func (b *fixture) runWavesFor(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(tickInterval) {
		b.machinesListedAt = time.Now()
		b.runWaves(time.Now())
		b.commit()
		synctest.Wait()
		for _, m := range b.inbox.takeAll() {
			m.apply(b.session)
		}
	}
}

// heldEvents returns the texts of the events about the waiting of waves.
func (b *fixture) heldEvents() (texts []string) {
	for _, e := range b.Events.Since(0) {
		if e.Number == event.WaveHeld {
			texts = append(texts, e.Text)
		}
	}
	return texts
}

// TestAWaveThatWaitsSaysSoOnce guards against a wave that waits without telling why, or that tells it with each tick.
func TestAWaveThatWaitsSaysSoOnce(t *testing.T) {
	for _, over := range [...]struct {
		name, why string
		wait      time.Duration
	}{
		{"the burst ends", "why=no-burst-needs-them", 5 * time.Second},
		{"the burst does not end", "why=time-requires-them", 38 * time.Second},
	} {
		t.Run(over.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				b, asked := newWaveFixture(c)
				scope := tally.NewTestScope("", nil)
				b.counts = newMetrics(scope)
				gauge := func() float64 { return scope.Snapshot().Gauges()["upkeeps_held+"].Value() }
				waveRequested{wave: testWave(1)}.apply(b.session)
				b.runWavesFor(4 * time.Second)
				c.Assert(asked.Load(), quicktest.Equals, int64(0))
				c.Assert(gauge(), quicktest.Equals, 6.0)
				b.runWavesFor(over.wait - 4*time.Second)
				if over.wait < 30*time.Second {
					b.burst(false)
				}
				b.runWavesFor(20 * time.Second)
				c.Assert(asked.Load(), quicktest.Equals, int64(6))
				c.Assert(gauge(), quicktest.Equals, 0.0)
				c.Assert(b.waveStates[1].finished, quicktest.IsTrue)
				held := b.heldEvents()
				c.Assert(held, quicktest.HasLen, 2)
				c.Assert(strings.Contains(held[0], "state=begun held=6 in=p:6 out=0 begun=0 of 6 elapsed=0s at-most=37s"), quicktest.IsTrue, quicktest.Commentf("%s", held[0]))
				c.Assert(strings.Contains(held[1], over.why), quicktest.IsTrue, quicktest.Commentf("%s", held[1]))
			})
		})
	}
}

// TestTheNextLeaderDoesNotWaitAgain guards against a wave that is late because each leader waits for bursts as long as if the wave had just begun:
// nothing of a waiting wave changes that would be stored, and the time between two leaders counts too.
func TestTheNextLeaderDoesNotWaitAgain(t *testing.T) {
	for _, knew := range []bool{false, true} {
		t.Run(fmt.Sprintf("its entry knew of the wave: %t", knew), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				b, asked := newWaveFixture(c)
				var kept []feed.KeyedRecord
				b.State.Append = func(_ context.Context, batch feed.Batch) (int64, error) { kept = batch.Records; return 1, nil }
				waveRequested{wave: testWave(1)}.apply(b.session)
				began := time.Now()
				b.runWavesFor(34 * time.Second)
				c.Assert(asked.Load(), quicktest.Equals, int64(0))
				time.Sleep(6 * time.Second) // no leader
				next, nextAsked := newWaveFixture(c)
				next.fillTables(feed.KeyedPage{Records: kept}, []feed.KeyedPage{{}}, feed.KeyedPage{})
				m := waveRequested{wave: testWave(1)}
				if knew {
					m.learned = began
				}
				m.apply(next.session)
				known := next.waveStates[1].known(time.Now())
				c.Assert(known >= 33*time.Second, quicktest.IsTrue, quicktest.Commentf("%v", known))
				if knew {
					c.Assert(known, quicktest.Equals, 40*time.Second)
					next.runWavesFor(time.Second)
					c.Assert(nextAsked.Load() > 0, quicktest.IsTrue)
				}
				next.runWavesFor(20 * time.Second)
				c.Assert(nextAsked.Load(), quicktest.Equals, int64(6))
			})
		})
	}
}

// TestAnEntryKnowsHowLongItHasKnownAWave guards against an entry that forgets when it read of a wave, because the wave is published again or the entry
// was not the leader then.
func TestAnEntryKnowsHowLongItHasKnownAWave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b, _ := newWaveFixture(c)
		b.Scheduler.SetWave(testWave(1))
		time.Sleep(7 * time.Second)
		b.Scheduler.SetWave(testWave(1))
		b.Scheduler.setCurrent(b.session)
		for _, m := range b.inbox.takeAll() {
			m.apply(b.session)
		}
		c.Assert(b.waveStates[1].known(time.Now()), quicktest.Equals, 7*time.Second)
	})
}

// TestAStoredWaveEndsWhileTheStoreIsSlow guards against a wave that is never done because the time for which it has been known is stored again and
// again: its end is published once all of it is stored.
func TestAStoredWaveEndsWhileTheStoreIsSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b, _ := newWaveFixture(c)
		b.burst(false)
		b.State.Append = func(context.Context, feed.Batch) (int64, error) { time.Sleep(1500 * time.Millisecond); return 1, nil }
		waveRequested{wave: testWave(1)}.apply(b.session)
		b.runWavesFor(20 * time.Second)
		c.Assert(b.waveStates[1].finished, quicktest.IsTrue)
	})
}

// TestTwoWavesWaitEachForItself guards against a wave with little time that waits as long as another one, and against one with time that does not
// wait beside it.
func TestTwoWavesWaitEachForItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b, asked := newWaveFixture(c)
		var waves [3]atomic.Int64
		b.Machines.Maintenance = func(_ context.Context, _ string, wave, _ int64) error { waves[wave].Add(1); asked.Add(1); return nil }
		long, short := testWave(1), testWave(2)
		long.Machines, short.Machines = long.Machines[:4], short.Machines[2:]
		short.Within = 12 * time.Second
		waveRequested{wave: long}.apply(b.session)
		waveRequested{wave: short}.apply(b.session)
		b.runWavesFor(short.Within)
		c.Assert(waves[2].Load(), quicktest.Equals, int64(4))
		c.Assert(waves[1].Load(), quicktest.Equals, int64(0))
		b.runWavesFor(long.Within - short.Within)
		c.Assert(waves[1].Load(), quicktest.Equals, int64(4))
	})
}

// TestADrainedInstanceDoesNotWaitForABurst guards against a wave that leaves an instance for a burst although its data centre is drained, so that the
// burst can't use it.
func TestADrainedInstanceDoesNotWaitForABurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b, asked := newWaveFixture(c)
		x := b.machines["m4"]
		x.DataCentre = "drained"
		b.machines["m4"] = x
		drainsChanged{[]string{"drained"}}.apply(b.session)
		waveRequested{wave: testWave(1)}.apply(b.session)
		b.runWavesFor(2 * time.Second)
		c.Assert(asked.Load(), quicktest.Equals, int64(1))
		c.Assert(b.waveStates[1].begun["m4"], quicktest.IsTrue)
	})
}

// TestCallsThatFailDoNotDelayWhatWaits guards against instances that wait for a burst behind others whose calls are refused or not answered.
func TestCallsThatFailDoNotDelayWhatWaits(t *testing.T) {
	for _, answer := range []error{ErrBusy, context.DeadlineExceeded} {
		t.Run(answer.Error(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				b, asked := newWaveFixture(c)
				b.waveLoads["q"] = maintenance.PoolLoad{Surplus: 2}
				for _, m := range []string{"m0", "m1"} {
					x := b.machines[m]
					x.Pool = "q"
					b.machines[m] = x
				}
				b.Machines.Maintenance = func(_ context.Context, machine string, _, _ int64) error {
					if machine < "m2" {
						return answer
					}
					asked.Add(1)
					return nil
				}
				waveRequested{wave: testWave(1)}.apply(b.session)
				b.runWavesFor(46 * time.Second)
				c.Assert(asked.Load(), quicktest.Equals, int64(4))
				c.Assert(len(b.waveStates[1].begun), quicktest.Equals, 4)
			})
		})
	}
}

// TestAWaveGoesOnAfterALongFailureOfTheStore guards against a wave that still waits for a burst when the store answers again late in its time.
func TestAWaveGoesOnAfterALongFailureOfTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b, asked := newWaveFixture(c)
		waveRequested{wave: testWave(1)}.apply(b.session)
		b.runWavesFor(2 * time.Second)
		b.committing, b.inFlight, b.commitStartedAt = true, &commitBatch{}, time.Now().Add(-time.Second)
		for range 200 { // 40 s
			b.runWaves(time.Now())
			time.Sleep(200 * time.Millisecond)
		}
		c.Assert(asked.Load(), quicktest.Equals, int64(0))
		b.committing, b.inFlight = false, nil
		b.runWavesFor(14 * time.Second)
		c.Assert(asked.Load(), quicktest.Equals, int64(6))
		c.Assert(b.waveStates[1].finished, quicktest.IsTrue)
	})
}

// TestSizingTellsWavesWhatABurstNeeds guards against waves that do not learn of bursts: the burst needs two instances of the headroom and all of its own.
func TestSizingTellsWavesWhatABurstNeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b, _ := newWaveFixture(c)
		b.Machines.Move = func(context.Context, string, string, int64) error { return ErrBusy }
		b.config.Pools = map[string]job.Pool{"p": {}, "spare": {Headroom: true}}
		for i := range 6 {
			m := fmt.Sprintf("m%d", i)
			x := b.machines[m]
			x.Pool = "spare"
			b.machines[m] = x
		}
		b.bursts.Pools = map[string]*maintenance.Burst{"p": {Active: true, Began: time.Now(), Ended: true, Need: 2}}
		b.sizePools(time.Now())
		c.Assert(b.waveLoads["p"].Burst, quicktest.IsTrue)
		c.Assert(b.waveLoads["spare"], quicktest.Equals, maintenance.PoolLoad{Surplus: 4, Burst: true, BurstSurplus: 4})
		waveRequested{wave: testWave(1)}.apply(b.session)
		b.runWaves(time.Now())
		c.Assert(b.moves, quicktest.HasLen, 1)
		c.Assert(b.waveStates[1].wait.held, quicktest.Equals, 1, quicktest.Commentf("the other one is moving to the pool"))
	})
}
