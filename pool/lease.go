// SPDX-License-Identifier: MIT

package pool

import (
	"time"

	"rackstep.dev/event"
	"rackstep.dev/feed"
	"rackstep.dev/job"
	"rackstep.dev/work"
)

// All runs are leased for as long as workers allow. Lasting tasks need that: one that lapses is missed. Short tasks would be better off with
// brief leases, so that they start elsewhere while their job still has time when their worker falls silent; but a lease that is shorter by
// seconds leaves no margin over holes in the proof that an earlier leader has stopped. What the next leader must know for it, which workers
// may have long leases, is kept already, and nothing reads it yet.

// keptLong names the lives that may have long leases; it speaks for all leaders up to its term.
type keptLong struct {
	_     struct{} `cbor:",toarray"`
	Term  int64
	Lives []string
}

// addRun adds a run to its worker's.
func (c *session) addRun(w *worker, t *job.Task, r *run) {
	w.add(t, r)
	if t.Spec().Lasting && !w.long {
		w.long = true
		c.longDirty = true
	}
}

// restoreLong takes what is kept of long leases, once all lives are in the tables that an earlier leader may have leased. Unless the very last leader has kept it, any life may have them.
func (c *session) restoreLong(k keptLong) {
	known := k.Term == c.term.Number-1
	long := make(map[string]bool, len(k.Lives))
	for _, life := range k.Lives {
		long[life] = true
	}
	for life, w := range c.workers {
		w.before = true
		w.long = w.long || !known || long[life]
		w.longBefore = !known || long[life]
		w.mayLong.Store(w.longBefore)
	}
	c.longDirty = true // the next leader wants it of this term
}

// keepLong adds the record of the lives that may have long leases, if it has changed.
func (c *session) keepLong(done *commitEnded, records []feed.KeyedRecord) []feed.KeyedRecord {
	if !c.longDirty {
		return records
	}
	k := keptLong{Term: c.term.Number}
	for life, w := range c.workers {
		if w.long {
			k.Lives = append(k.Lives, life)
		}
	}
	value, err := job.Encode(k)
	if err != nil {
		c.emit(event.RecordRefused, event.Subject{Entry: c.Entry}, "long leases not kept: %v", err)
		return records // the next batch tries again
	}
	c.longDirty = false
	done.long = k.Lives
	return append(records, feed.KeyedRecord{Key: longKey, Value: value})
}

// longKept lets the lives have long leases whose record is kept.
func (c *session) longKept(lives []string) {
	for _, life := range lives {
		if w := c.workers[life]; w != nil {
			w.mayLong.Store(true)
		}
	}
}

// leaseOf returns how long what is on a worker is leased.
func (c *session) leaseOf(*worker) time.Duration { return c.Bounds().Lease }

// leasedBefore returns the longest lease that an earlier leader may have given on a worker.
func (c *session) leasedBefore(*worker) time.Duration { return c.Bounds().Lease }

// doubtOverOn says whether all that earlier leaders can have leased on a worker has ended.
func (c *session) doubtOverOn(w *worker, now time.Time) bool {
	stopped, known := c.stoppedBy()
	return known && now.After(stopped.Add(work.Longest(c.leasedBefore(w))+doubtSlack))
}
