// SPDX-License-Identifier: MIT

package pool

import (
	"time"

	"rackstep.dev/job"
	"rackstep.dev/work"
)

// addRun adds a run to its worker's.
func (c *session) addRun(w *worker, t *job.Task, r *run) { w.add(t, r) }

// All runs are leased for as long as workers allow. Lasting tasks need that: one that lapses is missed. Short tasks would be better off with
// brief leases, so that they start elsewhere while their job still has time when their worker falls silent; but a lease that is shorter by
// seconds leaves no margin over holes in the proof that an earlier leader has stopped.

// leaseOf returns how long what is on a worker is leased.
func (c *session) leaseOf(*worker) time.Duration { return c.Bounds().Lease }

// leasedBefore returns the longest lease that an earlier leader may have given on a worker.
func (c *session) leasedBefore(*worker) time.Duration { return c.Bounds().Lease }

// doubtOverOn says whether all that earlier leaders can have leased on a worker has ended.
func (c *session) doubtOverOn(w *worker, now time.Time) bool {
	stopped, known := c.stoppedBy()
	return known && now.After(stopped.Add(work.MaxLocal(c.leasedBefore(w))+doubtSlack))
}
