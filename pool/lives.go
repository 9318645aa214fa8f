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

// A worker may restart under the same ID. The restarted worker is another life, which knows nothing of what the
// previous one was told. A row of the workers table therefore represents one life, and nothing learned from one life
// is assumed of the next: its processed ends, its clock and whatever is computed from it, and its confirmed runs.
//
// Answers decide which of two lives under an ID has ended. Lives of an ID follow each other, and the row of a life is
// created from what that life said. If another life answers a call that was made after that, it is a later one.
// Births are times of day, which can jump, so they are compared only for equality.

// An order without an answer may be carried out seconds late. It names only the ID, so the next life may carry it
// out: the token and the stops that would have prevented this ended with the previous life, and the deadline of the
// order refers to another clock. Therefore the token of an ID rises with each life, and the answers of a life count
// only if they were requested under a token higher than that of every call to an earlier life. From then on the life
// refuses those earlier calls, and it lists what it accepted of them before.

// assignToken sets the token of a row from its ID. The token is raised if another life had the ID during this term.
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

// raiseToken raises the token of a row's ID. The row's life counts as answered once it has answered under the new
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

// livesWithID returns the rows of the lives with a worker ID.
func (c *session) livesWithID(id string) []*worker { return c.livesByID[id] }

// endEarlierLives ends the earlier lives under a row's ID: the row's life has answered a call that was made when they
// were already known.
func (c *session) endEarlierLives(w *worker) {
	for _, o := range slices.Clone(c.livesWithID(w.ID)) {
		if o != w && o.successor == nil && o.listedSince.Before(w.askedAt) {
			c.endReplacedLife(o, w)
		}
	}
}

// otherLifeAnswered handles an answer by a life other than the row's: the row's life has ended.
func (c *session) otherLifeAnswered(w *worker, a work.Answer) {
	if a.Birth == 0 {
		w.idRetired = true
		c.endLife(w, "its address has another life") // no life has its ID any more
		return
	}
	c.replaceLife(w, a.Birth)
}

// replaceLife ends a row whose ID belongs to another life now. That life gets a row at once, and gets starts when the
// platform lists it.
func (c *session) replaceLife(w *worker, birth work.Birth) {
	next := work.Life{ID: w.ID, Birth: birth}
	successor := c.workers[next.String()]
	if successor == nil {
		row := w.Worker
		row.Life, row.Birth = next.String(), birth
		successor = newWorker(row, c.Clock, &c.ledger)
		successor.listed = false
		delete(c.endedLives, successor.Life) // it answers, so it has not ended
		c.addWorker(successor)
		c.startHolds(successor)
	}
	c.endReplacedLife(w, successor)
}

// endReplacedLife ends a life that has been replaced by another one under its ID. It may be called repeatedly until
// the store confirms the lead, but raises the token only once: otherwise each answer of the successor would have been
// requested under a token that is too low by then.
func (c *session) endReplacedLife(w, successor *worker) {
	if w.successor == successor {
		return
	}
	c.counts.restartedWorkers.Inc(1)
	c.emit(event.WorkerReborn, event.Subject{Instance: successor.Life}, "machine=%s before=%s runs=%d ends=%d acknowledged=%d", w.Machine, w.Life, len(w.runs), w.lastProcessedEnd, w.acked.Load())
	w.successor = successor
	c.raiseToken(successor) // the current life refuses what the previous one was told after the successor's row was created
	c.endLife(w, "it has begun anew as "+successor.Life)
}

// successorOf returns the row of the life that now has the ID of a replaced life, or nil.
func (c *session) successorOf(w *worker) *worker {
	for h := w.successor; h != nil; h = h.successor {
		if c.workers[h.Life] == h {
			return h
		}
	}
	return nil
}

// mayBeAtSuccessor reports whether a run that was ordered under this life may be at the next life with its ID: its
// order may have been sent, and this life has never confirmed it or has no birth, so that confirmations can't be
// attributed to one life.
func (w *worker) mayBeAtSuccessor(r *run) bool {
	return r.mayHaveBegun() && (r.confirmed == 0 || w.Birth == 0)
}

// mayStartLate reports whether a run's order may still be carried out by a restarted worker.
func (w *worker) mayStartLate(t *job.Task, r *run, now time.Time) bool {
	inFlight := w.mayBeAtSuccessor(r) && !r.orderedAt.IsZero() && now.Sub(r.orderedAt) < lateMax
	return w.Birth != 0 && (inFlight || t.MayComeLate(now))
}

// carryOver moves a run to the row of the next life. The next report of that life settles it.
func (c *session) carryOver(successor *worker, t *job.Task, r *run) {
	t.Phase, t.Worker = job.Starting, successor.Life
	t.Stopping, t.AtWork, t.Percent, t.Gauge = false, false, 0, 0
	t.Job.Version++
	c.dirtyJobs.Add(t.Job.Spec.ID, t.Job)
	c.addRun(successor, t, &run{
		number: r.number, sent: true, fromEarlierLeader: true, carriedOver: true, confirmedEarlier: r.confirmedEarlier || r.confirmed > 0,
		orderedAt: r.orderedAt, sentAt: r.sentAt, pending: r.pending, ticket: r.ticket, pace: fullPercent,
	})
}

// restoredRow returns the row of the worker on which an earlier leader's run may be, or nil. ended is true if the
// life named in the record has ended.
//
// A life without a stored record has ended, but its unanswered orders may be at the next life under its ID. A record
// without a birth refers to whichever life has the ID.
func (c *session) restoredRow(name string) (row *worker, ended bool) {
	if w := c.workers[name]; w != nil {
		return w, false
	}
	l := work.ParseLife(name)
	if rows := c.livesWithID(l.ID); len(rows) > 0 {
		return rows[len(rows)-1], l.Birth != 0
	}
	return nil, true
}
