// SPDX-License-Identifier: MIT

//go:build !race

package lead

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"rackstep.dev/internal/clock"
)

// TestALeadIsNotConfirmedAfterASuspension suspends the machine for longer than ConfirmedFor. Another entry may have taken
// leadership meanwhile, so the renewal before the suspension must not count as a confirmation.
func TestALeadIsNotConfirmedAfterASuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		base, suspended := time.Now(), time.Duration(0)
		e := &Elector{Entry: "a", Clock: &clock.Clock{BootTime: func() time.Duration { return time.Since(base) + suspended }}}
		e.confirmedAt = e.Clock.ExactNow()
		c.Assert(e.Confirmed(), quicktest.IsTrue)
		suspended = 3 * time.Second
		c.Assert(e.Confirmed(), quicktest.IsFalse)
	})
}
