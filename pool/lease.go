// SPDX-License-Identifier: MIT

package pool

import (
	"time"

	"rackstep.dev/event"
	"rackstep.dev/feed"
	"rackstep.dev/job"
	"rackstep.dev/work"
)

// Leases come in two lengths.
//
// Lasting tasks are leased for as long as workers allow: one that lapses is missed. What ends by itself within seconds is leased
// briefly, so that it can start elsewhere while its job still has time when its worker falls silent; if it lapses over a takeover,
// some seconds of work are done again.
//
// The next leader must know which workers may have long leases. They are kept before the first long one is given, and a worker that had a
// lasting task counts as one until its life ends.
const (
	// briefLease is how long short tasks are leased: two holds that wait for briefWait and what their answers may take, and the 2 s that
	// a takeover usually takes until it has held all workers. In cuts of 4 to 7 s with one leader three days of 349 workers were worth
	// 0.611 instead of 0.579 with leases of ten seconds, and the worst served kind of job 0.71 instead of 0.63 of what it was owed.
	briefLease = 3 * time.Second
	// briefWait is how long a hold waits on a worker with brief leases where something runs; an idle one needs no lease, and what starts
	// there meanwhile brings its own deadline.
	briefWait = time.Second
)

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
		return records // they stay brief
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
func (c *session) leaseOf(w *worker) time.Duration {
	if w.mayLong.Load() {
		return c.Bounds().Lease
	}
	return min(briefLease, c.Bounds().Lease)
}

// leasedBefore returns the longest lease that an earlier leader may have given on a worker.
func (c *session) leasedBefore(w *worker) time.Duration {
	if w.longBefore {
		return c.Bounds().Lease
	}
	return min(briefLease, c.Bounds().Lease)
}

// doubtOverOn says whether all that earlier leaders can have leased on a worker has ended.
func (c *session) doubtOverOn(w *worker, now time.Time) bool {
	stopped, known := c.stoppedBy()
	return known && now.After(stopped.Add(work.Longest(c.leasedBefore(w))+doubtSlack))
}
