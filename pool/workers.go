// SPDX-License-Identifier: MIT

package pool

import (
	"cmp"
	"context"
	"errors"
	"slices"

	"rackstep.dev/event"
	"rackstep.dev/feed"
	"rackstep.dev/work"
)

// followWorkers tails the list of workers and posts its pages.
func (c *session) followWorkers() {
	from := c.workersOffset
	for c.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(c.ctx, intakeWait+storeTimeout)
		page, err := c.Workers.Read(ctx, from, intakeWait)
		cancel()
		complete := false
		var trimmed *feed.TrimmedError
		if errors.As(err, &trimmed) {
			ctx, cancel := context.WithTimeout(c.ctx, 3*storeTimeout)
			page, err = c.Workers.Newest(ctx)
			cancel()
			complete = true
		}
		if err != nil {
			sleep(c.ctx, storeRetryPause)
			continue
		}
		from = page.Next
		c.post(workersRead{page: page, complete: complete})
		sleep(c.ctx, workersPollInterval)
	}
}

// workersRead is a page of the list of workers. A complete page names every listed incarnation.
type workersRead struct {
	page     feed.KeyedPage
	complete bool
}

func (m workersRead) apply(c *session) {
	named := make(map[string]bool)
	slices.SortFunc(m.page.Records, func(a, b feed.KeyedRecord) int { return cmp.Compare(a.Offset, b.Offset) })
	for _, r := range m.page.Records {
		named[r.Key] = len(r.Value) > 0
		if w := c.applyWorkerRecord(r.Key, r.Value); w != nil {
			c.startHolds(w)
		}
	}
	if !m.complete {
		return
	}
	for _, w := range c.workers {
		if !named[w.ID] && w.listed {
			c.markUnlisted(w)
		}
	}
}

// applyWorkerRecord applies a record of the list of workers. It returns the worker if it is new.
//
// A record of another incarnation under the same ID does not end a listed incarnation; which of them is alive is known only from the answers to calls.
func (c *session) applyWorkerRecord(id string, value []byte) *worker {
	if len(value) == 0 {
		c.unusable.drop(id)
		for _, w := range c.incarnationsWithID(id) {
			if w.listed {
				c.markUnlisted(w)
			}
		}
		return nil
	}
	row, err := c.parseEntry(id, value)
	if err != nil {
		c.rejectEntry(id, value, err)
		return nil
	}
	c.acceptEntry(id)
	w := c.workers[row.Incarnation]
	if w == nil {
		if c.endedIncarnations[row.Incarnation] {
			return nil // the record is older than the proof that the incarnation has ended
		}
		w = newWorker(row, c.Clock, &c.ledger)
		c.addWorker(w)
		c.emit(event.WorkerSeen, event.Subject{Instance: row.Incarnation}, "machine=%s pool=%s room=%d leaving=%t", row.Machine, row.Pool, row.Capacity.MilliCPU, row.Leaving)
		return w
	}
	if w.Leaving != row.Leaving || !w.listed {
		c.emit(event.WorkerSeen, event.Subject{Instance: w.Incarnation}, "machine=%s pool=%s leaving=%t", row.Machine, row.Pool, row.Leaving)
	}
	c.updateWorker(w, row)
	return nil
}

// updateWorker applies a newer record of a known incarnation.
func (c *session) updateWorker(w *worker, row work.Worker) {
	if row.Capacity != w.Capacity {
		c.emit(event.WorkerSeen, event.Subject{Instance: w.Incarnation}, "machine=%s pool=%s room=%d before=%d", row.Machine, row.Pool, row.Capacity.MilliCPU, w.Capacity.MilliCPU)
	}
	w.candidate.Free = w.candidate.Free.Plus(row.Capacity.Minus(w.Capacity)) // negative if the capacity is now less than the running tasks need
	startsLeaving := row.Leaving && !w.Leaving
	if row.Machine != w.Machine {
		heard := w.answered
		c.removeWorker(w)
		w.Machine = row.Machine
		c.addWorker(w)
		if heard {
			c.answeredCount++
		}
	}
	w.updateCold(row.Cold, c.now())
	w.Worker = row
	w.drained = c.drains[w.DataCentre] != nil
	w.listed = true
	c.markPoolDirty(w.Pool)
	if startsLeaving {
		c.markLeaving(w)
	}
}

func (c *session) markUnlisted(w *worker) {
	w.listed = false
	c.emit(event.WorkerSeen, event.Subject{Instance: w.Incarnation}, "machine=%s no longer listed runs=%d", w.Machine, len(w.runs))
	c.markLeaving(w)
}

// endPreviousIncarnations ends the other incarnations of the instance of a worker that has just answered for the first time, and retires the IDs of those that have ended before, because an instance has one incarnation at a time. The
// list of workers is no proof, since it may name ended incarnations. Neither is an answer to a call that was made before the other incarnation was known.
func (c *session) endPreviousIncarnations(w *worker) {
	for _, o := range slices.Clone(c.incarnationsByMachine[w.Machine]) {
		if o != w && o.Machine != "" && o.ID != w.ID && o.listedSince.Before(w.askedAt) {
			c.retireID(o)
			c.endIncarnation(o, "the instance has a new life "+w.Incarnation)
		}
	}
	c.retireDeparted(w)
}
