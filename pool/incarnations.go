// SPDX-License-Identifier: MIT

package pool

import (
	"slices"
	"sync/atomic"
	"time"

	"rackstep.dev/event"
	"rackstep.dev/job"
	"rackstep.dev/work"
)

// A worker may restart under the same ID. The restarted worker is another incarnation, which knows nothing of what the
// previous one was told. A row of the workers table therefore represents one incarnation, and nothing learned from one incarnation
// is assumed of the next: its processed ends, its clock and whatever is computed from it, and its confirmed runs.
//
// Answers decide which of two incarnations under an ID has ended. Incarnations of an ID follow each other, and the row of an incarnation is
// created from what that incarnation said. If another incarnation answers a call that was made after that, it is a later one.
// BootIDs are times of day, which can jump, so they are compared only for equality.

// An order without an answer may be carried out seconds late. It names only the ID, so the next incarnation may carry it
// out: the token and the stops that would have prevented this ended with the previous incarnation, and the deadline of the
// order refers to another clock. Therefore the token of an ID rises with each incarnation, and the answers of an incarnation count
// only if they were requested under a token higher than that of every call to an earlier incarnation. From then on the incarnation
// refuses those earlier calls, and it lists what it accepted of them before.

// assignToken sets the token of a row from its ID. The token is raised if another incarnation had the ID during this term.
func (c *session) assignToken(w *worker) {
	token, known := c.tokens[w.ID]
	switch {
	case w.token != nil: // the row is re-indexed under another instance
	case known:
		w.token = token
		c.raiseToken(w)
	default:
		w.token = new(atomic.Int64)
		w.token.Store(c.term.Fence)
		c.tokens[w.ID] = w.token
	}
}

// raiseToken raises the token of a row's ID. The row's incarnation counts as answered once it has answered under the new
// token.
func (c *session) raiseToken(w *worker) {
	token, ok := c.term.NextToken(w.token.Load())
	if !ok {
		c.Lost(c.term.Fence) // the next leader begins with a higher one
		return
	}
	w.token.Store(token)
	w.requiredToken.Store(token)
	w.wakeHold() // it counts as answered once it has answered under the token
}

// tokenRefused handles a call that a worker refused because of its token: another leader has taken over, unless this
// one has raised the token since the call.
func (c *session) tokenRefused(w *worker, token int64) {
	if token >= w.token.Load() {
		c.Lost(c.term.Fence)
	}
}

// incarnationsWithID returns the rows of the incarnations with a worker ID.
func (c *session) incarnationsWithID(id string) []*worker { return c.incarnationsByID[id] }

// endEarlierIncarnations ends the earlier incarnations under a row's ID: the row's incarnation has answered a call that was made when they
// were already known.
func (c *session) endEarlierIncarnations(w *worker) {
	for _, o := range slices.Clone(c.incarnationsWithID(w.ID)) {
		if o != w && o.successor == nil && o.listedSince.Before(w.askedAt) {
			c.endReplacedIncarnation(o, w)
		}
	}
}

// otherIncarnationAnswered handles an answer by an incarnation other than the row's: the row's incarnation has ended.
func (c *session) otherIncarnationAnswered(w *worker, a work.Answer) {
	if a.BootID == 0 {
		c.retireID(w)
		c.endIncarnation(w, "its address has another life") // no incarnation has its ID any more
		return
	}
	c.replaceIncarnation(w, a.BootID)
}

// replaceIncarnation ends a row whose ID belongs to another incarnation now. That incarnation gets a row at once, and gets starts when the
// platform lists it.
func (c *session) replaceIncarnation(w *worker, bootID work.BootID) {
	next := work.Incarnation{ID: w.ID, BootID: bootID}
	successor := c.workers[next.String()]
	if successor == nil {
		row := w.Worker
		row.Incarnation, row.BootID = next.String(), bootID
		successor = newWorker(row, c.Clock, &c.ledger)
		successor.listed = false
		delete(c.endedIncarnations, successor.Incarnation) // it answers, so it has not ended
		c.addWorker(successor)
		c.startHolds(successor)
	}
	c.endReplacedIncarnation(w, successor)
}

// endReplacedIncarnation ends an incarnation that has been replaced by another one under its ID. It may be called repeatedly until
// the store confirms the lead, but raises the token only once: otherwise each answer of the successor would have been
// requested under a token that is too low by then.
func (c *session) endReplacedIncarnation(w, successor *worker) {
	if w.successor == successor {
		return
	}
	c.counts.restartedWorkers.Inc(1)
	c.emit(event.WorkerReborn, event.Subject{Instance: successor.Incarnation}, "machine=%s before=%s runs=%d ends=%d acknowledged=%d", w.Machine, w.Incarnation, len(w.runs), w.lastProcessedEnd, w.acked.Load())
	w.successor = successor
	if !successor.fullyListed && c.earlierStartsPossible(c.now()) {
		c.uncertainIncarnations[successor.Incarnation] = successor // it may have begun a run by an unstored start to the ID
	}
	c.raiseToken(successor) // the current incarnation refuses what the previous one was told after the successor's row was created
	c.endIncarnation(w, "it has begun anew as "+successor.Incarnation)
}

// retireID records that no later incarnation will have the ID of the row's incarnation.
func (c *session) retireID(w *worker) {
	w.idRetired = true
	c.retire(departedWorker{id: w.ID, pool: w.Pool, late: w.lateEndedTasks(c.now())})
}

// departedWorker is what is remembered of an incarnation that has left the tables until its instance has another one.
type departedWorker struct {
	id, pool    string
	listedSince time.Time
	// late holds the tasks whose unanswered starts may still be carried out under the ID.
	late []*job.Task
}

// retire records that no later incarnation will have the worker's ID. The next leader is told by the deletion of the records of its
// ended incarnations.
func (c *session) retire(d departedWorker) {
	c.retiredIDs[d.id] = true
	c.clearLateOf(d.late)
	for incarnation := range c.keptIncarnations {
		if work.ParseIncarnation(incarnation).ID == d.id {
			c.markIncarnationDirty(incarnation)
		}
	}
	c.markPoolDirty(d.pool)
}

// clearLateOf clears the LateUntil of the tasks that wait.
func (c *session) clearLateOf(tasks []*job.Task) {
	for _, t := range tasks {
		if t.Phase == job.Waiting && !t.Job.State.Ended() {
			c.clearLate(t)
		}
	}
}

// noteDeparted remembers the ID of an incarnation that leaves the tables, until it is known whether the next one on its instance has the same ID.
func (c *session) noteDeparted(w *worker) {
	if w.Machine == "" || w.BootID == 0 || w.idRetired {
		return
	}
	d := departedWorker{id: w.ID, pool: w.Pool, listedSince: w.listedSince, late: w.lateEndedTasks(c.now())}
	for t := range w.runs {
		if t.MayComeLate(c.now()) {
			d.late = append(d.late, t)
		}
	}
	c.departed[w.Machine] = append(c.departed[w.Machine], d)
}

// noteLateEnd remembers a task whose run has ended on the worker although a start of it may still be carried out under the worker's ID.
func (w *worker) noteLateEnd(t *job.Task, now time.Time) {
	w.endedLate = append(w.lateEndedTasks(now), t)
}

// lateEndedTasks returns the tasks that wait after the end of a run on the worker, because a start of theirs may still be carried out under its ID.
func (w *worker) lateEndedTasks(now time.Time) []*job.Task {
	w.endedLate = slices.DeleteFunc(w.endedLate, func(t *job.Task) bool {
		return t.Phase != job.Waiting || t.EndedOn != w.Incarnation || !t.MayComeLate(now)
	})
	return slices.Clone(w.endedLate)
}

// placeOfDeparted returns the instance and the pool of the ended incarnation with a worker ID, or nothing if it is not remembered.
func (c *session) placeOfDeparted(id string) (machine, pool string) {
	for machine, departed := range c.departed {
		for _, d := range departed {
			if d.id == id {
				return machine, d.pool
			}
		}
	}
	return "", ""
}

// retireDeparted retires the IDs of the ended incarnations of an instance on which an incarnation with another ID has just answered for the first time.
func (c *session) retireDeparted(w *worker) {
	rest := slices.DeleteFunc(c.departed[w.Machine], func(d departedWorker) bool {
		if !d.listedSince.Before(w.askedAt) {
			return false
		}
		if d.id != w.ID && len(c.incarnationsWithID(d.id)) == 0 {
			c.retire(d)
		}
		return true
	})
	c.departed[w.Machine] = rest
	if len(rest) == 0 {
		delete(c.departed, w.Machine)
	}
}

// successorOf returns the row of the incarnation that now has the ID of a replaced incarnation, or nil.
func (c *session) successorOf(w *worker) *worker {
	for h := w.successor; h != nil; h = h.successor {
		if c.workers[h.Incarnation] == h {
			return h
		}
	}
	return nil
}

// mayBeAtSuccessor reports whether a run that was ordered under this incarnation may be at the next incarnation with its ID: its
// order may have been sent, and this incarnation has never confirmed it or has no boot ID, so that confirmations can't be
// attributed to one incarnation.
func (w *worker) mayBeAtSuccessor(r *run) bool {
	return r.mayHaveBegun() && (r.confirmed == 0 || w.BootID == 0)
}

// mayStartLate reports whether a run's order may still be carried out by a restarted worker.
func (c *session) mayStartLate(w *worker, t *job.Task, r *run, now time.Time) bool {
	if w.BootID == 0 {
		return false
	}
	if r.orderedAt.IsZero() && r.confirmed == 0 && r.pending.open() && now.Before(c.earlierOrdersEnd(now).Add(lateMax)) {
		return true
	}
	inFlight := w.mayBeAtSuccessor(r) && !r.orderedAt.IsZero() && now.Sub(r.orderedAt) < lateMax
	return inFlight || t.MayComeLate(now)
}

// carryOver moves a run to the row of the next incarnation. The next report of that incarnation settles it.
func (c *session) carryOver(successor *worker, t *job.Task, r *run) {
	t.Phase, t.Worker = job.Starting, successor.Incarnation
	t.Stopping, t.AtWork, t.Percent, t.Gauge = false, false, 0, 0
	t.Job.Version++
	c.dirtyJobs.Add(t.Job.Spec.ID, t.Job)
	next := &run{
		number: r.number, sent: true, fromEarlierLeader: true, carriedOver: true, confirmedEarlier: r.confirmedEarlier || r.confirmed > 0,
		orderedAt: r.orderedAt, sentAt: r.sentAt, pending: r.pending, ticket: r.ticket, pace: fullPercent,
		handedOnInFlight: r.inFlight || r.handedOnInFlight, startUnknown: true,
	}
	next.pending.began = false
	if r.inFlight {
		next.pending.add()
		c.extendLate(t, r.sentAt.Add(lateMax))
	}
	c.addRun(successor, t, next)
}

// restoredRow returns the row of the worker on which an earlier leader's run may be, or nil. ended is true if the
// incarnation named in the record has ended.
//
// An incarnation without a stored record has ended, but its unanswered orders may be at the next incarnation under its ID. A record
// without a boot ID refers to whichever incarnation has the ID.
func (c *session) restoredRow(name string) (row *worker, ended bool) {
	if w := c.workers[name]; w != nil {
		return w, false
	}
	l := work.ParseIncarnation(name)
	if rows := c.incarnationsWithID(l.ID); len(rows) > 0 {
		return rows[len(rows)-1], l.BootID != 0
	}
	return nil, true
}
