// SPDX-License-Identifier: MIT

package clock

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// machine simulates a machine that can be suspended, during which its monotonic clock stops.
type machine struct {
	monotonic time.Time
	bootTime  time.Duration
	resumed   []time.Duration
}

func (m *machine) clock() *Clock {
	c := &Clock{Monotonic: func() time.Time { return m.monotonic }, BootTime: func() time.Duration { return m.bootTime }, OnResume: func(d time.Duration) { m.resumed = append(m.resumed, d) }}
	c.ExactNow()
	return c
}

func (m *machine) advance(d time.Duration) {
	m.monotonic, m.bootTime = m.monotonic.Add(d), m.bootTime+d
}

func (m *machine) suspend(d time.Duration) { m.bootTime += d }

// A suspension must enter Now after ExactNow has detected it, exactly once, and OnResume must report it once: a suspension that is missed lets an
// expired proof pass for valid, and one that is counted twice expires valid ones.
func TestSuspensionCountsOnceWhenDetected(t *testing.T) {
	c := quicktest.New(t)
	m := &machine{monotonic: time.Unix(1000, 0), bootTime: time.Hour}
	x := m.clock()
	start := x.Now()
	m.advance(time.Second)
	c.Assert(x.Since(start), quicktest.Equals, time.Second)
	m.suspend(10 * time.Second)
	c.Assert(x.Since(start), quicktest.Equals, time.Second) // not detected before ExactNow
	c.Assert(x.ExactNow().Sub(start), quicktest.Equals, 11*time.Second)
	c.Assert(x.Since(start), quicktest.Equals, 11*time.Second)
	m.advance(time.Second)
	m.suspend(300 * time.Millisecond)
	c.Assert(x.ExactNow().Sub(start), quicktest.Equals, 12300*time.Millisecond)
	c.Assert(x.ExactNow().Sub(start), quicktest.Equals, 12300*time.Millisecond)
	c.Assert(m.resumed, quicktest.DeepEquals, []time.Duration{10 * time.Second, 300 * time.Millisecond})
}

// Clocks whose rates differ slightly, or a boot clock that goes back, must not be taken for a suspension.
func TestSmallDriftIsNoSuspension(t *testing.T) {
	c := quicktest.New(t)
	m := &machine{monotonic: time.Unix(1000, 0)}
	x := m.clock()
	for range 100 {
		m.advance(time.Second)
		m.bootTime += 10 * time.Microsecond // the clocks' rates differ
		x.ExactNow()
	}
	c.Assert(m.resumed, quicktest.HasLen, 0)
	m.bootTime -= time.Second // a boot clock that goes back is no suspension either
	before := x.Now()
	c.Assert(x.ExactNow(), quicktest.Equals, before)
}

// A nil Clock, the zero value, and the real clock without a suspension must follow time.Now, so that callers need no special case.
func TestNilAndZeroClocksFollowTimeNow(t *testing.T) {
	c := quicktest.New(t)
	var none *Clock
	before := none.Now()
	c.Assert(none.ExactNow().Before(before), quicktest.IsFalse)
	var zero Clock
	c.Assert(zero.ExactNow().Before(before), quicktest.IsFalse)
	system := New()
	c.Assert(system.ExactNow().Sub(before) < time.Minute, quicktest.IsTrue)
}

// BenchmarkExactNow measures ExactNow, which makes a system call; Now costs as much as time.Now.
func BenchmarkExactNow(b *testing.B) {
	c := New()
	for b.Loop() {
		c.ExactNow()
	}
}

func BenchmarkNow(b *testing.B) {
	c := New()
	for b.Loop() {
		c.Now()
	}
}
