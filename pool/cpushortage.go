// SPDX-License-Identifier: MIT

package pool

import (
	"math"
	"time"

	"rackstep.dev/event"
)

// Thresholds for detecting that a leader is short of processor time. Starts of such a leader time out without an
// answer, and it gives no orders for half a second at a time.
const (
	// waitQuantile is the quantile of the goroutines' waits for a processor that is observed.
	waitQuantile = 0.9
	// waitAveraging is the time over which the waits are averaged, since between two bursts of work waits are short even on a
	// slowed instance.
	waitAveraging = 500 * time.Millisecond
	// maxObservedWait bounds the weight of one pause of the process.
	maxObservedWait = 250 * time.Millisecond
	// shortageWait is the average wait that indicates a shortage; one below shortageOverWait ends it. On a healthy
	// instance under full load, waits take 1 to 40 ms and seldom longer.
	shortageWait     = 80 * time.Millisecond
	shortageOverWait = 40 * time.Millisecond
	// minShortage is how long the shortage must last before the leader hands over. No starts are sent during a handover, so a
	// shorter shortage does less harm than the handover. Each worker beyond quickHandoverWorkers adds minShortagePerWorker:
	// all workers must answer the next leader, which on a large fleet takes seconds under load.
	minShortage          = 300 * time.Millisecond
	minShortagePerWorker = 7 * time.Millisecond
	quickHandoverWorkers = 500
	// minLeadTime is how long a leader leads before it may hand over, and minLeadTimeAfterRelease is the same for a leader whose
	// predecessor gave up the term. If all entries are short of processor time, handing over helps nobody.
	minLeadTime             = 8 * time.Second
	minLeadTimeAfterRelease = 30 * time.Second
)

// cpuShortage distinguishes a leader that is short of processor time from a busy one. Its zero value is ready to use.
type cpuShortage struct {
	// since is when the shortage began; zero while there is none.
	since time.Time
	waits schedLatency
	// average is the moving average of the waits, and observedAt the time of the newest one.
	average    time.Duration
	observedAt time.Time
}

// observe records how long goroutines waited for a processor since the previous call. It reports whether the leader of so
// many workers should hand over.
func (s *cpuShortage) observe(waited time.Duration, workers int, now time.Time) bool {
	weight := 1 - math.Exp(-now.Sub(s.observedAt).Seconds()/waitAveraging.Seconds())
	s.observedAt = now
	s.average += time.Duration(weight * float64(min(waited, maxObservedWait)-s.average))
	switch {
	case s.average < shortageOverWait:
		s.since = time.Time{}
	case s.since.IsZero() && s.average >= shortageWait:
		s.since = now
	}
	required := minShortage + minShortagePerWorker*time.Duration(max(0, workers-quickHandoverWorkers))
	return !s.since.IsZero() && now.Sub(s.since) >= required
}

// handOverIfShortOfCPU gives up the lead in favour of an entry with more processor time to spare.
func (c *session) handOverIfShortOfCPU(now time.Time) {
	if c.HandOver == nil || c.handedOver {
		return
	}
	if !c.cpuShortage.observe(c.cpuWait(), len(c.workers), now) || now.Sub(c.startedAt) < c.timeBeforeHandover() {
		return
	}
	c.handedOver, c.handoverAt = true, now
	c.emit(event.LeadHandedOver, event.Subject{Entry: c.Entry}, "term=%d waited=%v", c.term.Number, c.cpuShortage.average.Round(time.Millisecond))
	c.HandOver(c.term.Fence)
}

// timeBeforeHandover returns how long this leader leads before it may hand over for want of processor time.
func (c *session) timeBeforeHandover() time.Duration {
	if c.term.CleanHandover && c.term.Number > 1 {
		return minLeadTimeAfterRelease
	}
	return minLeadTime
}

// cpuWait returns how long goroutines waited for a processor since the previous call.
func (c *session) cpuWait() time.Duration {
	if c.CPUWait != nil {
		return c.CPUWait()
	}
	return c.cpuShortage.waits.quantile(waitQuantile)
}
