// SPDX-License-Identifier: MIT

package pool

import (
	"time"

	"rackstep.dev/event"
)

// Figures of a leader that is short of processor. On an instance that was slowed down for four seconds a leader of 1,100 workers
// ordered nothing for half a second at a time and a tenth of what was asked of it.
const (
	// strainPart is the part of all waits for the processor that is looked at.
	strainPart = 0.9
	// strainWait is how long that must be: 100 ms to 1 s while such an instance was slowed down, at full load on a sound one
	// 1 to 40 ms and 84 ms now and then. Under strainCalm it is over.
	strainWait = 100 * time.Millisecond
	strainCalm = 50 * time.Millisecond
	// strainFor is for how long no look must find it calm. A hand-over under load costs 1.4 to 3.6 s without a start, so that one
	// for a shortage of some four seconds gains nothing: after one second of it days with such a leader were worth 0.379 and 0.250,
	// with none 0.341 and 0.470 (one play each).
	strainFor = 5 * time.Second
	// strainRest is how long a leader leads before it hands over: if all are short, nobody gains by it.
	strainRest = 8 * time.Second
)

// strain tells a leader that is short of processor from one that is busy. The zero value has seen nothing.
type strain struct {
	since time.Time
	waits latency
}

// see takes note of how long goroutines waited for the processor since the last look; it says whether the leader should hand
// over.
func (s *strain) see(waited time.Duration, now time.Time) bool {
	switch {
	case waited < strainCalm:
		s.since = time.Time{}
	case s.since.IsZero() && waited >= strainWait:
		s.since = now
	}
	return !s.since.IsZero() && now.Sub(s.since) >= strainFor
}

// handOverIfStrained gives the lead up, to an entry that has more processor to spare.
func (c *session) handOverIfStrained(now time.Time) {
	if c.HandOver == nil {
		return
	}
	waited := c.waited()
	if !c.strain.see(waited, now) || now.Sub(c.began) < strainRest {
		return
	}
	c.emit(event.LeadHandedOver, event.Subject{Entry: c.Entry}, "term=%d waited=%v", c.term.Number, waited.Round(time.Millisecond))
	c.HandOver(c.term.Fence)
}

// waited returns how long goroutines waited for the processor since the last look.
func (c *session) waited() time.Duration {
	if c.Waited != nil {
		return c.Waited()
	}
	return c.strain.waits.since(strainPart)
}
