// SPDX-License-Identifier: MIT

package control

import (
	"fmt"
	"time"

	"rackstep.dev/fleet"
	"rackstep.dev/place"
	"rackstep.dev/provider"
)

// usageReports is the number of latest reports per attempt over which the peak usage is taken.
const usageReports = 8

// minMeasureInterval is the minimum time between two Measure records for one attempt.
const minMeasureInterval = 30 * time.Second

// usage is what the platform has reported to this entry about one attempt.
type usage struct {
	// firstSeen is when this entry first saw the attempt, by its own clock.
	firstSeen time.Time
	// reportedRun is the run time in the latest report, and reportedAt the time of that report, zero when there was none.
	reportedRun time.Duration
	reportedAt  time.Time
	// latest is a ring buffer of the latest reports; next is the index of the next report.
	latest [usageReports]provider.Usage
	next   int
	// writtenAt is when this entry last wrote a Measure record for the attempt.
	writtenAt time.Time
}

// recordUsage stores the report, which is nil when the platform doesn't know the usage, and returns the usage of the attempt.
func (m *tasks) recordUsage(id string, now time.Time, report *provider.Usage) *usage {
	u := m.usage[id]
	if u == nil {
		u = &usage{firstSeen: now}
		m.usage[id] = u
	}
	if report != nil {
		u.latest[u.next] = *report
		u.next = (u.next + 1) % usageReports
		u.reportedRun, u.reportedAt = report.RunTime, now
	}
	return u
}

// ran returns how long the attempt has run: the larger of the time since this entry first saw it and the reported run time plus
// the time since that report.
func (u *usage) ran(now time.Time) time.Duration {
	sinceSeen := now.Sub(u.firstSeen)
	if u.reportedAt.IsZero() {
		return sinceSeen
	}
	return max(sinceSeen, u.reportedRun+now.Sub(u.reportedAt))
}

// peak returns the largest cores and memory of the latest reports, with the latest run time.
func (u *usage) peak() place.Usage {
	s := place.Usage{Ran: u.reportedRun}
	for _, r := range u.latest {
		s.Cores = max(s.Cores, r.Cores)
		s.MemoryMB = max(s.MemoryMB, r.MemoryMB)
	}
	return s
}

// writeMeasurement writes the attempt's usage to the log when it differs enough from the tables.
func (c *Controller) writeMeasurement(job string, attempt int, u *usage, now time.Time) {
	if u.reportedAt.IsZero() || (!u.writtenAt.IsZero() && now.Sub(u.writtenAt) < minMeasureInterval) {
		return
	}
	j := c.tables.Jobs.Get(job)
	if j == nil || j.Attempt != attempt {
		return
	}
	m, differs := place.Measured(j, u.peak())
	if !differs {
		return
	}
	u.writtenAt = now
	c.write(fmt.Sprintf("measure/%s/%d", job, attempt), fleet.Record{Measure: &m})
}
