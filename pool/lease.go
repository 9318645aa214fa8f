// SPDX-License-Identifier: MIT

package pool

import (
	"time"

	"rackstep.dev/job"
	"rackstep.dev/work"
)

func (c *session) addRun(w *worker, t *job.Task, r *run) { w.addRun(t, r) }

// All runs get the longest lease that workers allow. Lasting tasks need it, because an expired lease counts as a
// missed task. Short tasks would benefit from short leases: when their worker falls silent, they could start
// elsewhere while their job still has time. But a lease shorter by seconds leaves no margin for gaps in the proof
// that an earlier leader has stopped.

// leaseOf returns the lease of the runs on a worker.
func (c *session) leaseOf(*worker) time.Duration { return c.Bounds().Lease }

// earlierLeaseOf returns the longest lease that an earlier leader may have given on a worker.
func (c *session) earlierLeaseOf(*worker) time.Duration { return c.Bounds().Lease }

// earlierLeasesOverOn reports whether all leases that earlier leaders may have given on a worker have expired.
func (c *session) earlierLeasesOverOn(w *worker, now time.Time) bool {
	stopped, known := c.earlierStoppedBy()
	return known && now.After(stopped.Add(work.MaxLocal(c.earlierLeaseOf(w))+leaseSlack))
}
