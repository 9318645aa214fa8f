// SPDX-License-Identifier: MIT

package work

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

func TestALeaseIsBoundedWithoutComparingClocks(t *testing.T) {
	c := quicktest.New(t)
	at := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	var l Lease
	c.Assert(l.Deadline(time.Second, at), quicktest.Equals, Clock(0), quicktest.Commentf("the clock has not been read yet"))
	l.Sent(0)
	c.Assert(l.Until().IsZero(), quicktest.IsTrue)
	l.Observe(5000, at)
	d := l.Deadline(10*time.Second, at.Add(time.Second))
	c.Assert(d, quicktest.Equals, Clock(15980), quicktest.Commentf("a clock at the minimum rate has advanced by 0.98 s"))
	l.Sent(d)
	c.Assert(l.Until().Sub(at), quicktest.Equals, MaxLocal(10980*time.Millisecond))
	l.Observe(4000, at.Add(time.Hour)) // an older reading that arrives late
	c.Assert(l.Deadline(0, at.Add(time.Second)), quicktest.Equals, Clock(5980))
	l.Sent(7000) // an earlier deadline does not move the bound back
	c.Assert(l.Until().Sub(at), quicktest.Equals, MaxLocal(10980*time.Millisecond))
	l.ExtendTo(at.Add(time.Minute)) // a lease granted by another leader
	c.Assert(l.Until().Sub(at), quicktest.Equals, time.Minute)
}
