// SPDX-License-Identifier: MIT

package pool

import (
	"time"

	"rackstep.dev/job"
)

// Times of going on without the store.
const (
	// slowAfter is how long a batch must be on its way before orders may leave without being kept, once the next
	// leader will know that they may have.
	slowAfter = 250 * time.Millisecond
	// blindAfter is how long nothing must have been published for orders to leave while that goes on: by then another
	// leader, if there were one, would have raised the workers' fencing tokens. It takes blindEach longer for each instance
	// beyond blindSmall: with 1,100 of them half had answered 1.05 s after the tables were read, on 0.8 of a core.
	blindAfter = 2200 * time.Millisecond
	blindEach  = time.Millisecond
	blindSmall = 100
)

// Figures of a store that fails, as against one that is slow.
const (
	// failsAfter is how many times as long as usual a batch takes before the store counts as failing, failsMost the longest that
	// this may be.
	failsAfter = 2.5
	failsMost  = 2 * time.Second
	// usualRate is the weight of a new batch in how long they usually take.
	usualRate = 0.4
)

// blindFor returns how long nothing must have been published for orders to leave without the store.
func blindFor(instances int) time.Duration {
	return blindAfter + blindEach*time.Duration(max(0, instances-blindSmall))
}

// loosen lets orders leave that can't be kept, while the store does not take them.
//
// It needs proof that this entry is not the one cut off: most workers must have answered what they were asked since.
func (c *session) loosen(now time.Time) {
	if !c.overdue(now) {
		if !c.committing {
			c.tighten(now, "nothing is left to be kept")
		}
		return
	}
	c.setMode(modeStoreSlow, true, now, "a batch is not answered")
	c.AnnounceUnstoredOrders(true)
	since := c.commitSince
	switch confirmed := c.ConfirmedAt(); {
	case c.UnstoredOrdersAnnounced():
	case now.Sub(confirmed) > blindFor(c.sure):
		since = confirmed.Add(blindFor(c.sure))
	default:
		return
	}
	if !c.mayOrder(now) || !c.mostAskedSince(since, now) {
		return
	}
	c.setMode(modeUnkeptOrders, true, now, "most workers answer without the store")
	c.sendPlanned()
}

// overdue says whether the batch on its way has not been answered for slowAfter. When the answer came is read at the call: a
// busy control goroutine looks at it late.
func (c *session) overdue(now time.Time) bool {
	return c.committing && c.inFlight.answeredAt.Load() == nil && now.Sub(c.commitSince) >= slowAfter
}

// tighten ends the time in which orders may leave before they are kept, unless some that did are not kept yet. It is called
// when the store has taken a batch in time, or nothing is to be kept.
func (c *session) tighten(now time.Time, why string) {
	if !c.is(modeStoreSlow) || len(c.unkept) > 0 {
		return
	}
	c.AnnounceUnstoredOrders(false)
	c.setMode(modeUnkeptOrders, false, now, why)
	c.setMode(modeStoreSlow, false, now, why)
}

// noteUnkept notes that a run was ordered that no batch holds which the store has taken.
func (c *session) noteUnkept(j *job.Job) {
	if j.Version > j.StoredVersion {
		c.unkept[j] = j.Version
	}
}

// noteKept forgets orders that are kept now.
func (c *session) noteKept(j *job.Job) {
	if v, ok := c.unkept[j]; ok && j.StoredVersion >= v {
		delete(c.unkept, j)
	}
}

// storeFails says whether the store has not answered a batch for much longer than it lately took. What an instance comes back as
// after a move or an upkeep is only known from the store, so none of either begins meanwhile. A store that is only slow tells
// it late, but surely: it stops moves for its first slow batches only.
func (c *session) storeFails(now time.Time) bool {
	patience := min(max(slowAfter, time.Duration(failsAfter*float64(c.usualBatch))), failsMost)
	return c.committing && c.inFlight.answeredAt.Load() == nil && now.Sub(c.commitSince) >= patience
}

// tookBatch notes how long the store took for a batch.
func (c *session) tookBatch(took time.Duration) {
	c.usualBatch += time.Duration(usualRate * float64(took-c.usualBatch))
}

// mostAskedSince says whether most listed workers were asked something after the time that they have answered.
func (c *session) mostAskedSince(t, now time.Time) bool {
	c.countProofs(now)
	c.sortAsked()
	asked := c.mostAsked.Load()
	return asked != nil && asked.After(t)
}

// sendPlanned orders what waits to be kept.
func (c *session) sendPlanned() {
	starts, kept := mayBeUnkept(c.planned)
	c.planned = kept
	if c.inFlight != nil {
		first, kept := mayBeUnkept(c.inFlight.starts)
		starts = append(first, starts...)
		c.inFlight.starts = kept
	}
	for _, p := range starts {
		c.noteUnkept(p.task.Job)
	}
	c.counts.looseStarts.Inc(int64(len(starts)))
	c.held = append(c.held, starts...)
	c.sendHeld(c.now())
}

// mayBeUnkept parts the planned runs into those that may be ordered before they are kept, and those of tasks under which a life has ended: the
// next leader must know of that before they start again.
func mayBeUnkept(planned []plannedStart) (may, not []plannedStart) {
	for _, p := range planned {
		if len(p.task.Lost) > 0 {
			not = append(not, p)
			continue
		}
		may = append(may, p)
	}
	return may, not
}
