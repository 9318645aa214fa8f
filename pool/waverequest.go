// SPDX-License-Identifier: MIT

package pool

import (
	"context"
	"errors"
	"time"

	"rackstep.dev/event"
)

// maintenanceRetryPause is the pause after a maintenance call that was refused or not answered.
const maintenanceRetryPause = 500 * time.Millisecond

// requestMaintenance calls the machine interface to begin the maintenance of the instance.
func (c *session) requestMaintenance(row *waveState, machine string, s *maintenanceStep) {
	now := c.now()
	if !c.confirmed(now) || !c.machineCalls.tryAcquire(c.Machines.PerSecond, now) {
		return
	}
	s.begin(s.incarnation)
	c.background.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, storeTimeout)
		defer cancel()
		err := c.callIfConfirmed(func() error { return c.Machines.Maintenance(ctx, machine, row.Number, c.term.Fence) })
		c.post(maintenanceAnswered{row: row, machine: machine, step: s, err: err})
	})
}

// maintenanceAnswered is the result of a maintenance call.
type maintenanceAnswered struct {
	row     *waveState
	machine string
	step    *maintenanceStep
	err     error
}

func (m maintenanceAnswered) apply(c *session) {
	m.step.inFlight = false
	now := c.now()
	c.machineCalls.release()
	switch {
	case m.err == nil:
		m.step.away, m.step.uncertain, m.step.begun = true, false, now
		m.row.markBegun(m.machine)
		if w := c.workers[m.step.incarnation]; w != nil && m.step.provesEndOf(w.Incarnation) {
			c.endIncarnation(w, "its upkeep has begun")
		}
		c.counts.maintenances.Inc(1)
		c.emit(event.UpkeepBegun, event.Subject{Instance: m.machine}, "wave=%d done=%d of %d", m.row.Number, len(m.row.begun), len(m.row.Machines))
		return
	case errors.Is(m.err, ErrTooMany):
		c.machineCalls.pause(now) // the step is retried unchanged
	case errors.Is(m.err, errNotCalled): // the step is retried unchanged
	case errors.Is(m.err, ErrBusy):
		m.step.refused()
		if !m.step.uncertain {
			m.row.clearRequested(m.machine)
		}
	case errors.Is(m.err, ErrFenced):
		c.Lost(c.term.Fence)
	case errors.Is(m.err, ErrNotInWave):
		m.row.markBegun(m.machine) // the instance no longer exists or does not belong to the wave
		delete(m.row.steps, m.machine)
		c.reopen(m.step.incarnation)
	default:
		m.step.gotNoAnswer()
	}
	m.step.notBefore = now.Add(maintenanceRetryPause)
	c.emit(event.UpkeepRefused, event.Subject{Instance: m.machine}, "wave=%d err=%q", m.row.Number, m.err)
}

// publishWave writes the state of the wave for the operator after a change.
func (c *session) publishWave(row *waveState) {
	done := len(row.begun) >= len(row.Machines) && row.storedVersion >= row.version
	if row.writing || (row.running && !done) {
		return
	}
	row.writing = true
	c.background.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, storeTimeout)
		defer cancel()
		err := c.PutWave(ctx, row.Number, done)
		c.post(wavePublished{row: row, done: done, err: err})
	})
}

// wavePublished is the result of writing the state of a wave.
type wavePublished struct {
	row  *waveState
	done bool
	err  error
}

func (m wavePublished) apply(c *session) {
	m.row.writing = false
	if m.err != nil {
		return // retried with the next tick
	}
	m.row.running = true
	m.row.finished = m.done
	c.emit(event.WaveChanged, event.Subject{}, "wave=%d finished=%t", m.row.Number, m.done)
}
