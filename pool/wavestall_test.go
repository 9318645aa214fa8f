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
