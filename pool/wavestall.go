// SPDX-License-Identifier: MIT

package pool

import (
	"time"

	"rackstep.dev/event"
)

// An instance that a wave empties takes no work. While its lasting tasks can't leave, perhaps for good, that holds up whatever waits for a worker,
// among it the lasting tasks for whose return the wave waits. So the wave gives back an instance that makes no progress, and takes it again once
// all its lasting tasks can leave.

const (
	// stallTimeout is how long an instance with lasting tasks is emptied without progress. It is longer than short tasks take to be ended, and
	// shorter than the 6 s after which a lasting task must run again.
	stallTimeout = 4 * time.Second
	// slotTimeout is the same for an empty instance, beyond the duration of a maintenance.
	slotTimeout = 4 * time.Second
)

// emptyingProgress is how far an instance has been emptied.
type emptyingProgress struct {
	// runs is the lowest number of runs on it so far, reached at the time at.
	runs int
	at   time.Time
}

// update records the number of runs that are left.
func (p *emptyingProgress) update(runs int, now time.Time) {
	if p.at.IsZero() || runs < p.runs {
		p.runs, p.at = runs, now
	}
}

// releaseStalled gives back the instances of the wave that make no progress.
func (c *session) releaseStalled(row *waveState, now time.Time) {
	for m, s := range row.steps {
		w := c.workers[s.incarnation]
		if w == nil || s.mayBeAway() || row.requested[m] || s.progress.at.IsZero() {
			continue
		}
		waited := now.Sub(s.progress.at)
		switch {
		case w.hasLasting() && waited > stallTimeout:
			c.release(row, m, w, "lasting tasks can't leave")
		case len(w.runs) == 0 && waited > c.Bounds().Maintenance+slotTimeout:
			row.waitsForSlot = true
			c.release(row, m, w, "others have not returned")
		}
	}
}

// release gives an instance back that has been taken out for the wave and makes no progress.
func (c *session) release(row *waveState, machine string, w *worker, why string) {
	row.stalled[machine] = true
	c.giveBack(row, machine, w, why)
}

// giveBack gives an instance back that has been taken out for the wave.
func (c *session) giveBack(row *waveState, machine string, w *worker, why string) {
	delete(row.steps, machine)
	c.reopen(w.Incarnation)
	c.emit(event.UpkeepPostponed, event.Subject{Instance: machine}, "wave=%d runs=%d why=%q", row.Number, len(w.runs), why)
}

// reopen lets the worker get starts again, unless the incarnation has ended or another wave or a move has taken its instance out.
func (c *session) reopen(incarnation string) {
	w := c.workers[incarnation]
	if w == nil || c.inWave(w.Machine) {
		return
	}
	if move := c.moves[w.Machine]; move != nil && !move.queued {
		return
	}
	w.beingEmptied = false
	c.markPoolDirty(w.Pool)
}

// canEmpty reports whether all lasting tasks on the worker can leave now, beside those on the workers that are being emptied.
func (c *session) canEmpty(w *worker, noTimeLeft bool, now time.Time) bool {
	for t := range w.runs {
		if !t.Spec().Lasting {
			continue
		}
		canLeave := c.fitsElsewhere(t, now) && c.canDisruptBesideEmptied(t, false, now)
		if !canLeave && !(noTimeLeft && c.canDisruptBesideEmptied(t, true, now)) {
			return false
		}
	}
	return true
}

// hasStalled reports whether an instance was given back by a wave that has yet to maintain it.
func (c *session) hasStalled(machine string) bool {
	for _, row := range c.waveStates {
		if row.stalled[machine] && !row.begun[machine] {
			return true
		}
	}
	return false
}
