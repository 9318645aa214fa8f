// SPDX-License-Identifier: MIT

package pool

import (
	"time"

	"rackstep.dev/event"
	"rackstep.dev/work"
)

// A report names all runs that go on, but it may leave out ends: those beyond the ones that a worker lists at once (work.Report.MoreEnds), and those behind the end of
// a task whose job this leader may not have read. A run that such a report does not name may have succeeded, and its task must not start again.
//
// A report is therefore complete if neither is the case, and only a complete report proves anything about what it does not name. That concerns
//
//   - a run in the tables, which is given up if it can't be on the worker any more (resolveMissing);
//   - a run that an earlier leader started without storing it, of which no record exists. An incarnation that it can be on stays in uncertainIncarnations until it has
//     made a complete report, or its lease has expired: what has ended there can't be acknowledged any more after that;
//   - ends that would be lost with an instance that is moved or maintained (hasNoRuns, tryEmpty).
//
// That a worker refuses the orders of an earlier leader needs no complete report, since it follows from the token of the call that was answered. Neither does the amount
// of free capacity.

// recordAnswer records the first answer of an incarnation under this leader's token.
func (c *session) recordAnswer(w *worker, now time.Time) {
	if w.answered {
		return
	}
	w.answered, w.answeredAt = true, now
	c.answeredCount++
	if stopped, known := c.earlierStoppedBy(); w.knownAtTakeover || !known || !w.listedSince.After(stopped) || w.requiredToken.Load() > 0 {
		w.boundLease(now.Add(work.MaxLocal(c.earlierLeaseOf(w)))) // an earlier leader, or a late call to the previous incarnation, may have extended a lease for that long just before
	}
	c.updateRaised(now)
	c.endPreviousIncarnations(w)
	c.markPoolDirty(w.Pool)
}

// recordListing records whether the incarnation has made a complete report since its first answer.
func (c *session) recordListing(w *worker, complete bool, now time.Time) {
	switch {
	case w.fullyListed:
	case complete:
		w.fullyListed = true
		if !w.partlyListedSince.IsZero() {
			c.emit(event.WorkerSeen, event.Subject{Instance: w.Incarnation}, "has listed all ends after %v", now.Sub(w.partlyListedSince).Round(time.Millisecond))
		}
		delete(c.uncertainIncarnations, w.Incarnation)
		c.markPoolDirty(w.Pool) // also for jobs of an earlier leader that waited for this worker
	case w.partlyListedSince.IsZero():
		w.partlyListedSince = now
		c.emit(event.WorkerSeen, event.Subject{Instance: w.Incarnation}, "may have ended runs that it does not list yet runs=%d ends=%d", len(w.runs), w.lastProcessedEnd)
	}
}
