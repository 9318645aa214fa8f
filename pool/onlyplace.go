// SPDX-License-Identifier: MIT

package pool

import "time"

// While starts of an earlier leader may be carried out, an inherited task may start on one worker only. Waves and moves leave such a worker alone while the task waits:
// emptying it would keep the task waiting until the instance is back, although other workers are idle.

// neededFor is how long a worker is left alone after a placement pass in which a task could start nowhere else. The passes over a pool with waiting tasks are at most
// maxPassInterval apart.
const neededFor = maxPassInterval + 500*time.Millisecond

// noteOnlyPlace records that a waiting task can start on no other worker than those with the ID, and gives back their instances if they are being emptied.
func (c *session) noteOnlyPlace(id string, now time.Time) {
	c.neededUntil[id] = now.Add(neededFor)
	for _, w := range c.incarnationsWithID(id) {
		if w.beingEmptied {
			c.stopEmptying(w)
		}
	}
}

// isNeeded reports whether a task has lately waited that can start on no other worker.
func (c *session) isNeeded(w *worker, now time.Time) bool { return now.Before(c.neededUntil[w.ID]) }

// forgetNeeded forgets the workers that are not needed any more.
func (c *session) forgetNeeded(now time.Time) {
	for id, until := range c.neededUntil {
		if !now.Before(until) {
			delete(c.neededUntil, id)
		}
	}
}

// stopEmptying gives back the instance of a worker that is being emptied, unless its move or its maintenance may have been requested or the wave has no time left.
func (c *session) stopEmptying(w *worker) {
	for _, row := range c.waveStates {
		s := row.steps[w.Machine]
		if s == nil || s.mayBeAway() || s.noTimeLeft || row.requested[w.Machine] {
			continue
		}
		c.giveBack(row, w.Machine, w, "a task can start nowhere else")
	}
	if s := c.moves[w.Machine]; s != nil && !s.inFlight && !s.moved && s.notBefore.IsZero() {
		c.postponeMove(w.Machine, s)
	}
}
