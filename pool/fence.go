// SPDX-License-Identifier: MIT

package pool

import (
	"context"
	"errors"
	"time"

	"rackstep.dev/event"
)

// canStartLasting reports whether a lasting task may start on a worker. If the worker's instance is not fenced yet,
// it makes the fencing call.
//
// The machine interface compares fencing tokens per instance. Until this leader has made a call for an instance, a
// delayed call of an earlier leader is still accepted and ends whatever runs there by then; one was delayed by 12 s
// in a network partition. A move to the instance's own pool changes nothing and fences the instance.
//
// After a leader that gave up the lead itself no fencing call is made, as for moves, so a call of such a leader that
// is delayed by a partition is not fenced.
func (c *session) canStartLasting(w *worker, now time.Time) bool {
	if c.term.Exclusive || c.term.Number == 1 || c.fenced[w.Machine] {
		return true
	}
	if !c.confirmed(now) {
		return true // no call can be made now, and not starting the task at all would be worse
	}
	if c.fencing[w.Machine] {
		return false
	}
	if !c.machineCalls.tryAcquire(c.Machines.PerSecond, now) {
		c.markPoolDirty(w.Pool) // tried again in the next placement pass
		return false
	}
	c.fencing[w.Machine] = true
	machine, pool := w.Machine, w.Pool
	c.background.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, storeTimeout)
		defer cancel()
		err := c.callIfConfirmed(func() error { return c.Machines.Move(ctx, machine, pool, c.term.Fence) })
		c.post(machineFenced{machine: machine, pool: pool, err: err})
	})
	return false
}

// machineFenced is the result of a fencing call.
type machineFenced struct {
	machine, pool string
	err           error
}

func (m machineFenced) apply(c *session) {
	c.machineCalls.release()
	delete(c.fencing, m.machine)
	c.markPoolDirty(m.pool)
	switch {
	case errors.Is(m.err, ErrFenced):
		c.Lost(c.term.Fence)
	case errors.Is(m.err, ErrTooMany):
		c.machineCalls.pause(c.now())
	default: // the instance is used even if it can't be fenced, so that lasting tasks are not kept down by this
		c.fenced[m.machine] = true
		if m.err != nil {
			c.emit(event.UpkeepRefused, event.Subject{Instance: m.machine}, "fence in pool=%s err=%q", m.pool, m.err)
		}
	}
}
