// SPDX-License-Identifier: MIT

package pool

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
)

// TestAnInstanceThatIsNotOfTheWaveIsUsedAgain guards against a worker that gets no more work because a wave named its instance and the machine interface
// says that it does not belong to the wave.
func TestAnInstanceThatIsNotOfTheWaveIsUsedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := newFixture(c, nil, "w1")
		b.Machines.Maintenance = func(context.Context, string, int64, int64) error { return ErrNotInWave }
		b.PutWave = func(context.Context, int64, bool) error { return nil }
		b.machines["m-w1"] = Machine{Name: "m-w1", Pool: "p", ID: "w1"}
		b.report("w1", 10, nil)
		waveRequested{wave: Wave{Number: 1, Machines: []string{"m-w1"}, MaxAway: 1, Within: time.Minute}}.apply(b.session)
		b.runWavesFor(time.Second)
		c.Assert(b.waveStates[1].steps, quicktest.HasLen, 0)
		c.Assert(b.workers["w1"].beingEmptied, quicktest.IsFalse)
	})
}

// TestAnInstanceThatTwoWavesTakeOutStaysOut guards against starts on a worker whose maintenance one wave has requested, because another wave has given
// its instance back.
func TestAnInstanceThatTwoWavesTakeOutStaysOut(t *testing.T) {
	c := quicktest.New(t)
	b := newFixture(c, nil, "w1")
	w := b.workers["w1"]
	for _, number := range []int64{1, 2} {
		b.startEmptying(b.wave(number), "m-w1", time.Now())
	}
	b.release(b.wave(1), "m-w1", w, "a test")
	c.Assert(w.beingEmptied, quicktest.IsTrue)
	b.release(b.wave(2), "m-w1", w, "a test")
	c.Assert(w.beingEmptied, quicktest.IsFalse)
}

// TestInstancesDoNotWaitForOneThatNeverReturns guards against empty workers that get no work because an instance does not return from its maintenance, and
// against a wave that doesn't go on once it does.
func TestInstancesDoNotWaitForOneThatNeverReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := newFixture(c, nil, "w0", "w1", "w2")
		b.SetBounds(Bounds{Lease: 10 * time.Second, Stop: 400 * time.Millisecond, Status: time.Minute, Maintenance: 2 * time.Second})
		b.PutWave = func(context.Context, int64, bool) error { return nil }
		wave := Wave{Number: 1, MaxAway: 1, Within: 20 * time.Second}
		for _, id := range []string{"w0", "w1", "w2"} {
			machine := "m-" + id
			wave.Machines = append(wave.Machines, machine)
			b.machines[machine] = Machine{Name: machine, Pool: "p", ID: id}
			b.report(id, 10, nil)
		}
		b.Machines.Maintenance = func(_ context.Context, machine string, _, _ int64) error {
			b.machines[machine] = Machine{Name: machine, Pool: "p", State: MachineInMaintenance}
			return nil
		}
		waveRequested{wave: wave}.apply(b.session)
		b.runWavesFor(15 * time.Second)
		c.Assert(b.waveStates[1].begun, quicktest.HasLen, 1)
		for _, w := range b.workers {
			c.Check(w.beingEmptied, quicktest.IsFalse, quicktest.Commentf("%s", w.Incarnation))
		}
		for range 2 {
			for name := range b.waveStates[1].begun {
				b.machines[name] = Machine{Name: name, Pool: "p"} // it has returned
			}
			b.runWavesFor(5 * time.Second)
		}
		c.Assert(b.waveStates[1].begun, quicktest.HasLen, 3)
	})
}
