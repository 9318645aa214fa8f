// SPDX-License-Identifier: MIT

package pool

import (
	"context"
	"errors"
	"time"

	"rackstep.dev/event"
	"rackstep.dev/maintenance"
)

// Timing of moves.
const (
	// moveRetryPause is the pause before a failed move is retried.
	moveRetryPause = 600 * time.Millisecond
	// moveArrivalMargin is added to the stated duration of a move as the time limit for an instance to appear in its new pool.
	moveArrivalMargin = 4 * time.Second
	// localStateTTL is how long the state of an instance that this leader has just moved takes precedence over the machine interface's list.
	localStateTTL = 3 * time.Second
)

// pendingMove is the move of an instance to another pool.
type pendingMove struct {
	// instanceCall is the call to move the instance.
	instanceCall
	to, incarnation string
	since           time.Time
	// moved means that the move has succeeded, queued that the call waits for the rate limit. Tasks may start on the instance
	// meanwhile, which cancels the move.
	moved, queued bool
	notBefore     time.Time
}

// immovable reports whether an instance is already moving, or has recently failed to move.
func (c *session) immovable(machine string, now time.Time) bool {
	return c.moves[machine] != nil || now.Before(c.unmovable[machine])
}

// startMove starts to move an instance out of its pool: its worker gets no new tasks.
func (c *session) startMove(m maintenance.Move, now time.Time) {
	s := &pendingMove{to: m.To, since: now}
	if w := c.workerOn(m.Instance); w != nil {
		w.beingEmptied = true
		s.incarnation = w.Incarnation
	}
	c.moves[m.Instance] = s
	c.advanceMove(m.Instance, s, now)
}

// advanceMoves continues the pending moves: those into pools that serve load first, then those into the headroom pool.
func (c *session) advanceMoves(now time.Time) {
	c.machineCalls.denied = false
	for _, parks := range [...]bool{false, true} {
		for machine, s := range c.moves {
			if c.config.Pools[s.to].Headroom == parks {
				c.advanceMove(machine, s, now)
			}
		}
	}
}

// cancelQueuedMoves cancels the moves whose calls still wait for the rate limit. The next sizing pass decides whether they are still wanted.
func (c *session) cancelQueuedMoves() {
	for machine, s := range c.moves {
		if s.queued && s.notBefore.IsZero() {
			c.cancelMove(machine, s)
		}
	}
}

// cancelUnsentMoves cancels the moves for which no call has been made.
func (c *session) cancelUnsentMoves() {
	for machine, s := range c.moves {
		if !s.inFlight && !s.moved && s.notBefore.IsZero() {
			c.postponeMove(machine, s)
		}
	}
}

func (c *session) advanceMove(machine string, s *pendingMove, now time.Time) {
	switch {
	case s.inFlight || now.Before(s.notBefore):
	case s.moved:
		c.checkArrival(machine, s, now)
	case s.incarnation != "" && c.workers[s.incarnation] == nil:
		c.postponeMove(machine, s) // the incarnation was removed in the meantime, and it is not known what runs on the instance now
	case s.queued && c.workers[s.incarnation] != nil && !c.workers[s.incarnation].hasNoRuns():
		c.cancelMove(machine, s) // tasks have started there while the call waited
	case c.workers[s.incarnation] != nil && !c.workers[s.incarnation].hasNoRuns():
		if now.Sub(s.since) > shortWorkGrace {
			c.postponeMove(machine, s) // its tasks take too long to end; another instance may be moved instead
		}
	default:
		c.requestMove(machine, s)
	}
}

// checkArrival completes the move once the instance has reported from its new pool, or has had the time to power off in the headroom pool. It gives
// up waiting after moveArrivalMargin.
func (c *session) checkArrival(machine string, s *pendingMove, now time.Time) {
	w := c.listedWorkerOn(machine)
	arrived := w != nil && w.Incarnation != s.incarnation && w.answered
	off := c.config.Pools[s.to].Headroom && now.Sub(s.since) > c.Bounds().Move
	if arrived || off || now.Sub(s.since) > c.Bounds().Move+moveArrivalMargin {
		delete(c.moves, machine)
	}
}

// cancelMove leaves the instance in its pool.
func (c *session) cancelMove(machine string, s *pendingMove) {
	delete(c.moves, machine)
	c.reopen(s.incarnation)
}

// postponeMove cancels the move and excludes the instance from moves for moveRetryPause.
func (c *session) postponeMove(machine string, s *pendingMove) {
	c.cancelMove(machine, s)
	c.unmovable[machine] = c.now().Add(moveRetryPause)
}

func (c *session) requestMove(machine string, s *pendingMove) {
	now := c.now()
	if !c.confirmed(now) {
		return
	}
	s.queued = !c.machineCalls.tryAcquire(c.Machines.PerSecond, now)
	if s.queued {
		c.reopen(s.incarnation) // an idle instance stays in use until the call may be made
		return
	}
	if w := c.workers[s.incarnation]; w != nil {
		w.beingEmptied = true
	}
	s.begin(s.incarnation)
	c.background.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, storeTimeout)
		defer cancel()
		err := c.callIfConfirmed(func() error { return c.Machines.Move(ctx, machine, s.to, c.term.Fence) })
		c.post(moveAnswered{machine: machine, step: s, err: err})
	})
}

// moveAnswered is the result of a call to move an instance.
type moveAnswered struct {
	machine string
	step    *pendingMove
	err     error
}

func (m moveAnswered) apply(c *session) {
	s := m.step
	s.inFlight = false
	now := c.now()
	c.machineCalls.release()
	defer func() {
		if c.machineCalls.denied {
			c.advanceMoves(now)
		}
	}()
	switch {
	case m.err == nil:
		s.moved, s.since = true, now
		c.fenced[m.machine] = true
		c.recordMove(m.machine, s, now)
	case errors.Is(m.err, ErrFenced):
		c.Lost(c.term.Fence)
	case errors.Is(m.err, ErrTooMany):
		c.machineCalls.pause(now)
		if s.notBefore.IsZero() {
			c.cancelMove(m.machine, s) // decided again when the interface accepts calls
		}
	case errors.Is(m.err, ErrBusy), errors.Is(m.err, ErrNotInWave):
		c.emit(event.UpkeepRefused, event.Subject{Instance: m.machine}, "move to=%s err=%q", s.to, m.err)
		c.postponeMove(m.machine, s)
	default: // the move may have been carried out; repeating the call is harmless
		c.emit(event.UpkeepRefused, event.Subject{Instance: m.machine}, "move to=%s err=%q", s.to, m.err)
		s.gotNoAnswer()
		s.notBefore = now.Add(moveRetryPause)
	}
}

// recordMove updates the tables after the answer that an instance has been moved. Unless the move was made by the call that got the answer, the
// instance may have had a new incarnation for a while, which only the machine interface's next list names.
func (c *session) recordMove(machine string, s *pendingMove, now time.Time) {
	x := c.machines[machine]
	from := x.Pool
	x.Pool, x.State = s.to, MachineUp
	c.movedAt[machine] = now
	if s.madeNow() {
		x.ID = ""
		c.listIgnoredUntil[machine] = now.Add(localStateTTL)
	}
	c.machines[machine] = x
	if w := c.workers[s.incarnation]; w != nil && s.provesEndOf(w.Incarnation) {
		c.endIncarnation(w, "its instance was moved")
	}
	c.freeSwitchedOff(now)
	c.counts.moves.Inc(1)
	c.countShift(from, s.to)
	c.emit(event.InstanceMoved, event.Subject{Instance: machine}, "from=%s to=%s", from, s.to)
}
