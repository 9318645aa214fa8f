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
	c.Assert(l.Deadline(time.Second, at), quicktest.Equals, Clock(0), quicktest.Commentf("no clock is known yet"))
	l.Sent(0)
	c.Assert(l.Until().IsZero(), quicktest.IsTrue)
	l.Observe(5000, at)
	d := l.Deadline(10*time.Second, at.Add(time.Second))
	c.Assert(d, quicktest.Equals, Clock(15980), quicktest.Commentf("a slow clock has gone on by 0.98 s"))
	l.Sent(d)
	c.Assert(l.Until().Sub(at), quicktest.Equals, MaxLocal(10980*time.Millisecond))
	l.Observe(4000, at.Add(time.Hour)) // an older reading that comes late
	c.Assert(l.Deadline(0, at.Add(time.Second)), quicktest.Equals, Clock(5980))
	l.Sent(7000) // a shorter lease does not shorten
	c.Assert(l.Until().Sub(at), quicktest.Equals, MaxLocal(10980*time.Millisecond))
	l.ExtendTo(at.Add(time.Minute)) // somebody else's
	c.Assert(l.Until().Sub(at), quicktest.Equals, time.Minute)
}
