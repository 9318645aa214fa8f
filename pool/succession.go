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

// A worker may begin anew under the ID that it had: another life, at which nothing is known of before. One row of the table is one life, so
// that nothing which was learned of the life before is believed of the next: ends that were taken in, the clock and all that is reckoned by
// it, what was confirmed there.
//
// Which of two lives is over is told by who answers. Lives of an ID follow each other, and a life's row is made of what that life said: whoever
// answers a call that was made after that, and is not that life, came later. Births are times of day, which jump, and are never compared but for being the same.

// An order that got no answer may be carried out seconds late, and names the ID alone: the next life may carry it out, since the token and the stops that
// would have refused it ended with the life before, and its deadline is of another clock. So the token of an ID rises with each life, and a
// life's answers count once they were asked under a token above that of every call that was made to a life before it: from then on it refuses
// what those were told, and lists whatever of it came before.

// giveToken gives a row the token of its ID, raised if another life of this lead has borne it.
func (c *session) giveToken(w *worker) {
	token, known := c.tokens[w.ID]
	switch {
	case w.token != nil: // it changes its place in the tables
	case known:
		w.token = token
		c.raise(w)
	default:
		w.token = new(atomic.Int64)
		w.token.Store(c.term.Fence)
		c.tokens[w.ID] = w.token
	}
}

// raise raises the token of a row's ID, and has the row's life count as heard when it has answered under it.
func (c *session) raise(w *worker) {
	token, ok := c.term.NextToken(w.token.Load())
	if !ok {
		c.Lost(c.term.Fence) // the next leader begins with a higher one
		return
	}
	w.token.Store(token)
	w.needs.Store(token)
	w.endRest() // it counts as heard once it has answered under the token
}

// tokenRefused takes it that a worker has refused a call for its token: another leader has followed, unless this one has raised it meanwhile.
func (c *session) tokenRefused(w *worker, token int64) {
	if token >= w.token.Load() {
		c.Lost(c.term.Fence)
	}
}

// bearing returns the rows of the lives that bear an ID.
func (c *session) bearing(id string) []*worker { return c.bearers[id] }

// endLivesBefore ends the lives that have borne a row's ID before: it has answered a call that was made when they were known.
func (c *session) endLivesBefore(w *worker) {
	for _, o := range slices.Clone(c.bearing(w.ID)) {
		if o != w && o.heir == nil && o.since.Before(w.asked) {
			c.succeed(o, w)
		}
	}
}

// strangerAnswered takes it that another life than the row's has answered a call: the row's is over.
func (c *session) strangerAnswered(w *worker, a work.Answer) {
	if a.Birth == 0 {
		w.idRetired = true
		c.lose(w, "its address has another life") // its ID is over as well
		return
	}
	c.bornAgain(w, a.Birth)
}

// bornAgain ends a row whose ID another life bears now; that one gets a row at once, and starts when the platform lists it.
func (c *session) bornAgain(w *worker, birth work.Birth) {
	next := work.Life{ID: w.ID, Birth: birth}
	heir := c.workers[next.String()]
	if heir == nil {
		row := w.Worker
		row.Life, row.Birth = next.String(), birth
		heir = newWorker(row, c.Clock, &c.ledger)
		heir.listed = false
		delete(c.over, heir.Life) // it answers
		c.addWorker(heir)
		c.startHolds(heir)
	}
	c.succeed(w, heir)
}

// succeed ends a life that another one under its ID has followed. It may be told so again and again until the store confirms the lead; the token
// rises once, or each answer of the heir would have been asked under a lower one.
func (c *session) succeed(w, heir *worker) {
	if w.heir == heir {
		return
	}
	c.counts.reborn.Inc(1)
	c.emit(event.WorkerReborn, event.Subject{Instance: heir.Life}, "machine=%s before=%s runs=%d ends=%d acknowledged=%d", w.Machine, w.Life, len(w.runs), w.processed, w.acked.Load())
	w.heir = heir
	c.raise(heir) // what the life before was told since the heir's row was made, too, is refused by whoever answers now
	c.lose(w, "it has begun anew as "+heir.Life)
}

// heirOf returns the row of the life that bears the ID of a row now, nil if there is none.
func (c *session) heirOf(w *worker) *worker {
	for h := w.heir; h != nil; h = h.heir {
		if c.workers[h.Life] == h {
			return h
		}
	}
	return nil
}

// unsettled says whether a run that was ordered under a life may be at the next one that bears its ID: the life has never said that it has the
// run. Where no birth is told of a life, nobody says which one had it.
func (w *worker) unsettled(r *run) bool {
	return r.mayRun() && (r.confirmed == 0 || w.Birth == 0)
}

// mayComeLate says whether a run's order may still be carried out by a life that begins anew.
func (w *worker) mayComeLate(t *job.Task, r *run, now time.Time) bool {
	underWay := w.unsettled(r) && !r.began.IsZero() && now.Sub(r.began) < lateMost
	return w.Birth != 0 && (underWay || t.MayComeLate(now))
}

// handOn moves a run to the row of the next life; that one's next report settles it.
func (c *session) handOn(heir *worker, t *job.Task, r *run) {
	t.Phase, t.Worker = job.Starting, heir.Life
	t.Stopping, t.AtWork, t.Percent, t.Gauge = false, false, 0, 0
	t.Job.Version++
	c.dirty.Add(t.Job.Spec.ID, t.Job)
	c.addRun(heir, t, &run{
		number: r.number, sent: true, earlier: true, handedOn: true, confirmedBefore: r.confirmedBefore || r.confirmed > 0,
		began: r.began, sentAt: r.sentAt, pending: r.pending, ticket: r.ticket, pace: fullPercent,
	})
}

// restoredOn returns the row on which an earlier leader's run may be, nil if there is none; over says that the life which is named in the record has ended.
//
// A life that is not kept has ended, but what it was told without an answer may be at the next life under its ID. A record without a
// birth names whichever life bears the ID.
func (c *session) restoredOn(name string) (row *worker, over bool) {
	if w := c.workers[name]; w != nil {
		return w, false
	}
	l := work.ParseLife(name)
	if rows := c.bearing(l.ID); len(rows) > 0 {
		return rows[len(rows)-1], l.Birth != 0
	}
	return nil, true
}
