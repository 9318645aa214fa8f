// SPDX-License-Identifier: MIT

package pool

import (
	"context"
	"errors"
	"time"

	"rackstep.dev/event"
)

// mayLast says whether a lasting task may start on a worker; if not, it asks for what is missing.
//
// The machine interface compares fencing tokens by instance: until this leader has called for one, a call of an earlier leader
// that was held up, in a cut for 12 s on a day that was traced, is carried out and ends whatever runs there by then. A move to the pool
// that the instance is in changes nothing and fences it. After one that gave the lead up itself nothing is asked, as for moves; a call of
// such a leader that a cut holds up is not fenced.
func (c *session) mayLast(w *worker, now time.Time) bool {
	if c.term.Exclusive || c.term.Number == 1 || c.fenced[w.Machine] {
		return true
	}
	if !c.confirmed(now) {
		return true // no call may leave; to start nowhere is worse
	}
	if c.fencing[w.Machine] {
		return false
	}
	if !c.desk.take(c.Machines.PerSecond, now) {
		c.dirtyPool(w.Pool) // asked with a later look
		return false
	}
	c.fencing[w.Machine] = true
	machine, pool := w.Machine, w.Pool
	c.work.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, storeTimeout)
		defer cancel()
		err := c.whileConfirmed(func() error { return c.Machines.Move(ctx, machine, pool, c.term.Fence) })
		c.post(machineFenced{machine: machine, pool: pool, err: err})
	})
	return false
}

// machineFenced is the answer to a call that fences an instance, or the lack of one.
type machineFenced struct {
	machine, pool string
	err           error
}

func (m machineFenced) apply(c *session) {
	c.desk.done()
	delete(c.fencing, m.machine)
	c.dirtyPool(m.pool)
	switch {
	case errors.Is(m.err, ErrFenced):
		c.Lost(c.term.Fence)
	case errors.Is(m.err, ErrTooMany):
		c.desk.rest(c.now())
	default: // one that can't be fenced is used all the same: lasting tasks must not stay away for it
		c.fenced[m.machine] = true
		if m.err != nil {
			c.emit(event.UpkeepRefused, event.Subject{Instance: m.machine}, "fence in pool=%s err=%q", m.pool, m.err)
		}
	}
}
