// SPDX-License-Identifier: MIT

package control

import (
	"fmt"
	"time"

	"rackstep.dev/fleet"
	"rackstep.dev/place"
	"rackstep.dev/provider"
)

// usageKept is the number of reports of an attempt of which the largest counts.
const usageKept = 8

// measurePause is the least time between two records about the usage of one attempt.
const measurePause = 30 * time.Second

// usage is what the platform has reported of one attempt to this entry.
type usage struct {
	// since is when this entry first saw the attempt, by its own clock.
	since time.Time
	// longest is the latest run time that the platform reported, told when.
	longest time.Duration
	told    time.Time
	// latest are the newest reports, the next one replaces the one at next.
	latest [usageKept]provider.Usage
	next   int
	// measured is when this entry last wrote what the attempt uses.
	measured time.Time
}

// see remembers the report, which is nil when the platform knows nothing of the usage, and returns all about the attempt.
func (m *tasks) see(id string, now time.Time, report *provider.Usage) *usage {
	u := m.seen[id]
	if u == nil {
		u = &usage{since: now}
		m.seen[id] = u
	}
	if report != nil {
		u.latest[u.next] = *report
		u.next = (u.next + 1) % usageKept
		u.longest, u.told = report.RunTime, now
	}
	return u
}

// ran returns how long the attempt has run: what the platform told, or the time since this entry first saw it.
func (u *usage) ran(now time.Time) time.Duration {
	seen := now.Sub(u.since)
	if u.told.IsZero() {
		return seen
	}
	return max(seen, u.longest+now.Sub(u.told))
}

// most returns the largest of the latest reports.
func (u *usage) most() place.Usage {
	s := place.Usage{Ran: u.longest}
	for _, r := range u.latest {
		s.Cores = max(s.Cores, r.Cores)
		s.MemoryMB = max(s.MemoryMB, r.MemoryMB)
	}
	return s
}

// measure writes what the attempt uses when the tables are far from it.
func (c *Controller) measure(job string, attempt int, u *usage, now time.Time) {
	if u.told.IsZero() || (!u.measured.IsZero() && now.Sub(u.measured) < measurePause) {
		return
	}
	j := c.tables.Jobs.Get(job)
	if j == nil || j.Attempt != attempt {
		return
	}
	m, differs := place.Measured(j, u.most())
	if !differs {
		return
	}
	u.measured = now
	c.write(fmt.Sprintf("measure/%s/%d", job, attempt), fleet.Record{Measure: &m})
}
