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
// Lasting tasks are leased for as long as workers allow, because a task whose lease expires counts as missed. Tasks that end within seconds get
// brief leases, so that they start elsewhere before their job is late when their worker stops answering. If a brief lease expires
// during a takeover, a few seconds of work are repeated.
//
// The next leader must know which workers may have long leases. The record of an incarnation therefore says so before the first long lease is
// given there, and an incarnation that has had a lasting task may have long leases until it ends.

// briefLease is the lease of tasks that end by themselves. It covers several holds, and the time in which a new leader usually completes a hold of
// every worker.
const briefLease = 3 * time.Second

// keptLeases states that the records of incarnations tell which of them may have long leases, and in which term this was stored. Leaders of
// versions that do not write it give long leases for everything.
type keptLeases struct {
	Term int64 `cbor:"1,keyasint"`
}

// addRun adds a run to its worker's.
func (c *session) addRun(w *worker, t *job.Task, r *run) {
	w.addRun(t, r)
	if t.Spec().Lasting && !w.needsLongLease {
		w.needsLongLease = true
		c.markIncarnationDirty(w.Incarnation)
	}
}

// restoreLeases determines on which workers an earlier leader may have given long leases. Unless the leader of the previous term has stored
// this, all workers count as such; so does a worker whose own record is not stored.
func (c *session) restoreLeases(k keptLeases, earlier map[string]keptIncarnation) {
	known := k.Term >= c.term.Number-1
	for incarnation, w := range c.workers {
		kept, stored := earlier[incarnation]
		w.hadLongLease = !known || !stored || kept.LongLease
		w.longLeaseAllowed.Store(known && kept.LongLease)
		if (known && !kept.LongLease) || w.needsLongLease {
			continue
		}
		w.needsLongLease = true
		if !kept.LongLease {
			c.markIncarnationDirty(incarnation)
		}
	}
	c.leasesDirty = true
}

// appendLeases appends the record of this term's leases once no record of an incarnation remains to be written.
func (c *session) appendLeases(records []feed.KeyedRecord) []feed.KeyedRecord {
	if !c.leasesDirty || !c.dirtyIncarnations.Empty() {
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

// leaseOf returns the lease of the runs on a worker.
func (c *session) leaseOf(w *worker) time.Duration {
	if w.longLeaseAllowed.Load() {
		return c.Bounds().Lease
	}
	return min(briefLease, c.Bounds().Lease)
}

// earlierLeaseOf returns the longest lease that a worker may have from anyone but this leader. Where boot IDs are told, it is always the long
// one: a late call to the previous incarnation may have been carried out, and its deadline is on another clock.
func (c *session) earlierLeaseOf(w *worker) time.Duration {
	if w.hadLongLease || w.BootID != 0 {
		return c.Bounds().Lease
	}
	return min(briefLease, c.Bounds().Lease)
}

// earlierLeasesOverOn reports whether all leases that earlier leaders may have given on a worker have expired.
func (c *session) earlierLeasesOverOn(w *worker, now time.Time) bool {
	stopped, known := c.earlierStoppedBy()
	return known && now.After(stopped.Add(work.MaxLocal(c.earlierLeaseOf(w))+leaseSlack))
}
