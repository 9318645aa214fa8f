// SPDX-License-Identifier: MIT

package pool

import (
	"time"

	"rackstep.dev/job"
	"rackstep.dev/place"
)

// shortWorkGrace is how long the tasks of an instance may take to end before they are stopped for its maintenance.
const shortWorkGrace = 2500 * time.Millisecond

// startEmptying starts to empty an instance. If an earlier leader began its maintenance without storing that, the maintenance is requested again: the
// repeated call may be answered like the first one.
func (c *session) startEmptying(row *waveState, machine string, now time.Time) {
	begun := c.machines[machine].State == MachineInMaintenance && !c.inOtherWave(row, machine)
	s := &maintenanceStep{since: now}
	s.uncertain = row.requested[machine] || begun
	s.fromEarlierLeader = s.uncertain
	if w := c.workerOn(machine); w != nil {
		w.beingEmptied = true
		s.incarnation = w.Incarnation
	}
	row.steps[machine] = s
}

// inOtherWave reports whether another wave has begun or requested the maintenance of the instance. The machine interface does not tell for which wave
// an instance is under maintenance. Without this check, the instance would be taken for one already begun by this wave, and its maintenance would be
// requested in excess of the wave's limit.
func (c *session) inOtherWave(row *waveState, machine string) bool {
	for _, o := range c.waveStates {
		if o != row && (o.begun[machine] || o.requested[machine]) {
			return true
		}
	}
	return false
}

func (c *session) listedWorkerOn(machine string) *worker {
	for _, w := range c.incarnationsByMachine[machine] {
		if w.listed {
			return w
		}
	}
	return nil
}

// workerOn returns the incarnation on an instance, preferring a listed one, or nil.
func (c *session) workerOn(machine string) *worker {
	if w := c.listedWorkerOn(machine); w != nil {
		return w
	}
	if incarnations := c.incarnationsByMachine[machine]; len(incarnations) > 0 {
		return incarnations[0]
	}
	return nil
}

// isKnownIdle reports whether an instance without a known incarnation certainly runs nothing: it has no worker, its worker is known to have ended, or
// all leases granted by earlier leaders have expired.
func (c *session) isKnownIdle(machine string, now time.Time) bool {
	x := c.machines[machine]
	return x.ID == "" || c.endedIncarnations[x.ID] || c.term.Number == 1 || c.earlierLeasesOver(now)
}

// tryEmpty reports whether the instance is empty, so that its maintenance interrupts nothing. It stops lasting tasks that their step may miss
// and that fit elsewhere, or that the wave can't wait for, and other tasks after shortWorkGrace. A lasting task that fits nowhere else is away until
// the maintenance is over, so it is stopped only if all tasks of its step on the instance may be away at once.
func (c *session) tryEmpty(machine string, s *maintenanceStep, now time.Time) bool {
	w := c.workers[s.incarnation]
	if w == nil {
		w = c.workerOn(machine) // it may have been restarted or listed in the meantime
	}
	if w == nil {
		return c.isKnownIdle(machine, now)
	}
	if !w.fullyListed || w.unreadRuns > 0 || !w.silentSince.IsZero() {
		return false // it is not known what runs there
	}
	s.incarnation = w.Incarnation
	w.beingEmptied = true
	s.progress.update(len(w.runs), now)
	for t := range w.runs {
		switch {
		case t.Stopping:
		case t.Spec().Lasting:
			if c.canDisrupt(t, now) && (c.fitsElsewhere(t, now) || (s.noTimeLeft && c.canDisruptTogether(t, now))) {
				c.stopTask(w, t, "upkeep")
			}
		case now.Sub(s.since) > shortWorkGrace:
			c.stopTask(w, t, "upkeep")
		}
	}
	return len(w.runs) == 0
}

// fitsElsewhere reports whether another worker has capacity for the task now.
func (c *session) fitsElsewhere(t *job.Task, now time.Time) bool {
	g := &place.Group{Job: t.Job, Time: t.Time, Step: t.Step, Lasting: true}
	c.countPlacedTasks(g, t.Spec())
	pool := c.queue(t.Job).Pool
	for _, w := range c.workers {
		if w.Pool == pool && w.usable(now) && g.Fits(&w.candidate) > 0 {
			return true
		}
	}
	return false
}
