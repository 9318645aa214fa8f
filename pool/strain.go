// SPDX-License-Identifier: MIT

package pool

import (
	"time"

	"rackstep.dev/event"
)

// Figures of a leader that is short of processor. On an instance that was slowed down for four seconds a leader of 1,100 workers
// ordered nothing for half a second at a time and a tenth of what was asked of it; others lead after some 0.4 s.
const (
	// strainWait is how long what was posted must have waited for the control goroutine: at full load it waits for some tens
	// of milliseconds.
	strainWait = 300 * time.Millisecond
	// strainFor is for how long every look must find that; one long wait is a pause of the whole process.
	strainFor = 1200 * time.Millisecond
	// strainRest is how long a leader leads before it hands over: if all are short, nobody gains by it.
	strainRest = 8 * time.Second
)

// strain tells a leader that is short of processor from one that is busy. The zero value has seen nothing.
type strain struct {
	since time.Time
}

// see takes note of how long what is taken in now has waited; it says whether the leader should hand over.
func (s *strain) see(waited time.Duration, now time.Time) bool {
	if waited < strainWait {
		s.since = time.Time{}
		return false
	}
	if s.since.IsZero() {
		s.since = now
	}
	return now.Sub(s.since) >= strainFor
}

// handOverIfStrained gives the lead up, to an entry that has more processor to spare.
func (c *session) handOverIfStrained(waited time.Duration, now time.Time) {
	if !c.strain.see(waited, now) || now.Sub(c.began) < strainRest || c.HandOver == nil {
		return
	}
	c.emit(event.LeadHandedOver, event.Subject{Entry: c.Entry}, "term=%d waited=%v", c.term.Number, waited.Round(time.Millisecond))
	c.HandOver(c.term.Fence)
}
