// SPDX-License-Identifier: MIT

package pool

import (
	"time"

	"rackstep.dev/event"
)

// Thresholds for detecting that a leader is short of processor time. On an instance that was slowed down for four
// seconds, a leader with 1,100 workers gave no orders for half a second at a time and ordered a tenth of the work
// requested of it.
const (
	// waitQuantile is the quantile of the goroutines' waits for a processor that is observed.
	waitQuantile = 0.9
	// shortageWait is the wait that indicates a shortage; a wait below shortageOverWait ends it. Measured waits: 100
	// ms to 1 s on a slowed instance; 1 to 40 ms, occasionally 84 ms, on a healthy one under full load.
	shortageWait     = 100 * time.Millisecond
	shortageOverWait = 50 * time.Millisecond
	// minShortage is how long the shortage must last before the leader hands over. A handover under load costs 1.4 to
	// 3.6 s without a start, so it gains nothing in a shortage of about four seconds. Benchmark scores with a
	// handover after one second were 0.379 and 0.250, without any 0.341 and 0.470 (one run each).
	minShortage = 5 * time.Second
	// minLeadTime is how long a leader leads before it may hand over. If all entries are short of processor time,
	// handing over helps nobody.
	minLeadTime = 8 * time.Second
)

// cpuShortage distinguishes a leader that is short of processor time from a busy one. Its zero value is ready to use.
type cpuShortage struct {
	since time.Time
	waits schedLatency
}

// observe records how long goroutines waited for a processor since the previous call. It reports whether the leader
// should hand over.
func (s *cpuShortage) observe(waited time.Duration, now time.Time) bool {
	switch {
	case waited < shortageOverWait:
		s.since = time.Time{}
	case s.since.IsZero() && waited >= shortageWait:
		s.since = now
	}
	return !s.since.IsZero() && now.Sub(s.since) >= minShortage
}

// handOverIfShortOfCPU gives up the lead in favour of an entry with more processor time to spare.
func (c *session) handOverIfShortOfCPU(now time.Time) {
	if c.HandOver == nil {
		return
	}
	waited := c.cpuWait()
	if !c.cpuShortage.observe(waited, now) || now.Sub(c.startedAt) < minLeadTime {
		return
	}
	c.emit(event.LeadHandedOver, event.Subject{Entry: c.Entry}, "term=%d why=\"short of processor\" waited=%v", c.term.Number, waited.Round(time.Millisecond))
	c.HandOver(c.term.Fence)
}

// cpuWait returns how long goroutines waited for a processor since the previous call.
func (c *session) cpuWait() time.Duration {
	if c.CPUWait != nil {
		return c.CPUWait()
	}
	return c.cpuShortage.waits.quantile(waitQuantile)
}
