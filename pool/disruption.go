// SPDX-License-Identifier: MIT

package pool

import (
	"time"

	"rackstep.dev/job"
)

// stopTransit is how long a stop sent by an earlier leader may take to arrive. It is added to the duration of the
// stop.
const stopTransit = 200 * time.Millisecond

// canDisrupt reports whether planned work may end a lasting task, given how many other tasks of its step are down. It
// must be checked before any planned end of a lasting task on a worker that could go on running it.
//
// Another task counts as serving only by a report that is newer than all planned ends that an earlier leader may have
// ordered, because a run is listed as running until it has stopped.
func (c *session) canDisrupt(t *job.Task, now time.Time) bool {
	return c.canSpare(t, now, func(o *job.Task) bool { return o == t })
}

// canDisruptTogether reports the same for all tasks of the step on the task's worker at once.
func (c *session) canDisruptTogether(t *job.Task, now time.Time) bool {
	return c.canSpare(t, now, func(o *job.Task) bool { return o.Worker == t.Worker })
}

// canDisruptBesideEmptied reports the same as canDisrupt, or as canDisruptTogether, if the tasks on all other workers that are being emptied are
// ended too.
func (c *session) canDisruptBesideEmptied(t *job.Task, together bool, now time.Time) bool {
	return c.canSpare(t, now, func(o *job.Task) bool {
		if o.Worker == t.Worker {
			return together || o == t
		}
		w := c.workers[o.Worker]
		return w != nil && w.beingEmptied
	})
}

// canSpare reports whether planned work may end the tasks of the step for which ending returns true.
func (c *session) canSpare(t *job.Task, now time.Time, ending func(o *job.Task) bool) bool {
	now = c.laterOf(now)
	after := c.earlierStopsDone()
	if now.Before(after) || !c.confirmed(now) {
		return false
	}
	down := 0
	tasks := t.Job.StepTasks(t.Time, t.Step)
	for i := range tasks {
		if o := &tasks[i]; ending(o) || !c.isServing(o, after, now) {
			down++
		}
	}
	return down <= t.Spec().MayMiss
}

// earlierStopsDone returns the time by which all planned ends ordered by an earlier leader have certainly been
// carried out. It ordered them only while the store confirmed its lead.
func (c *session) earlierStopsDone() time.Time {
	if c.term.Number == 1 {
		return c.soleLeaderFrom
	}
	return c.soleLeaderFrom.Add(c.Bounds().Stop + stopTransit)
}

// isServing reports whether a lasting task is running according to its worker's latest report, which must be newer
// than the time after and than all planned ends that an earlier leader may have ordered there.
func (c *session) isServing(t *job.Task, after, now time.Time) bool {
	w := c.workers[t.Worker]
	return t.AtWork && !t.Stopping && w != nil && w.lostReason == "" && w.silentSince.IsZero() && now.Sub(w.reportedAt) < reportMaxAge && !w.reportedAt.Before(after) &&
		!w.reportedAt.Before(c.earlierStopsDoneOn(w))
}

// earlierStopsDoneOn returns the time by which a worker has carried out all stops of an earlier leader. Such a stop may be held up with the worker, and reach it
// right before the worker's first answer to this leader; the worker refuses it after that.
func (c *session) earlierStopsDoneOn(w *worker) time.Time {
	if c.term.Number == 1 || !w.knownAtTakeover {
		return time.Time{}
	}
	return w.answeredAt.Add(c.Bounds().Stop)
}
