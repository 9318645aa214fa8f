// SPDX-License-Identifier: MIT

package pool

import (
	"time"

	"rackstep.dev/event"
	"rackstep.dev/feed"
	"rackstep.dev/job"
	"rackstep.dev/work"
)

// Leases have one of two durations.
//
// Lasting tasks are leased for as long as workers allow, because a task whose lease expires is missed. Tasks that end within seconds get
// brief leases, so that when their worker stops answering they can be started elsewhere before their job is late. If a brief lease expires
// during a takeover, a few seconds of work are repeated.
//
// The next leader must know which workers may have long leases. The record of a life therefore says so before the first long lease is given
// there, and a life that has had a lasting task may have long leases until it ends.

// briefLease is the lease of short tasks. It covers several holds of briefWait, and the time in which a new leader usually completes a hold
// of every worker.
const briefLease = 3 * time.Second

// keptLeases states that the records of lives tell which of them may have long leases, and in which term this was stored. Leaders of versions
// that do not write it give long leases for everything.
type keptLeases struct {
	Term int64 `cbor:"1,keyasint"`
}

// addRun adds a run to its worker's.
func (c *session) addRun(w *worker, t *job.Task, r *run) {
	w.add(t, r)
	if t.Spec().Lasting && !w.needsLongLease {
		w.needsLongLease = true
		c.lifeChanged(w.Life)
	}
}

// restoreLeases determines on which workers an earlier leader may have given long leases. Unless the leader of the previous term has stored
// this, all workers count as such; so does a worker whose own record is not stored.
func (c *session) restoreLeases(k keptLeases, earlier map[string]keptLife) {
	known := k.Term >= c.term.Number-1
	for life, w := range c.workers {
		kept, stored := earlier[life]
		w.longLeaseBefore = !known || !stored || kept.LongLease
		w.longLeaseAllowed.Store(known && kept.LongLease)
		if (!known || kept.LongLease) && !w.needsLongLease {
			w.needsLongLease = true
			if !kept.LongLease {
				c.lifeChanged(life)
			}
		}
	}
	c.leasesDirty = true
}

// keepLeases adds the record of this term's leases once no record of a life remains to be written.
func (c *session) keepLeases(records []feed.KeyedRecord) []feed.KeyedRecord {
	if !c.leasesDirty || !c.livesDirty.Empty() {
		return records
	}
	value, err := job.Encode(keptLeases{Term: c.term.Number})
	if err != nil {
		c.emit(event.RecordRefused, event.Subject{Entry: c.Entry}, "term of leases not kept: %v", err)
		return records
	}
	c.leasesDirty = false
	return append(records, feed.KeyedRecord{Key: leasesKey, Value: value})
}

// leaseOf returns the lease duration of the runs on a worker.
func (c *session) leaseOf(w *worker) time.Duration {
	if w.longLeaseAllowed.Load() {
		return c.Bounds().Lease
	}
	return min(briefLease, c.Bounds().Lease)
}

// leasedBefore returns the longest lease that a worker may have from anyone but this leader. Where births are reported, it is always the long
// one: a call to the previous life under the same ID may have been carried out late, and its deadline refers to another clock.
func (c *session) leasedBefore(w *worker) time.Duration {
	if w.longLeaseBefore || w.Birth != 0 {
		return c.Bounds().Lease
	}
	return min(briefLease, c.Bounds().Lease)
}

// doubtOverOn says whether all that earlier leaders can have leased on a worker has ended.
func (c *session) doubtOverOn(w *worker, now time.Time) bool {
	stopped, known := c.stoppedBy()
	return known && now.After(stopped.Add(work.Longest(c.leasedBefore(w))+doubtSlack))
}
