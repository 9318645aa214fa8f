// SPDX-License-Identifier: MIT

package control

import (
	"context"
	"time"

	"rackstep.dev/event"
	"rackstep.dev/fleet"
	"rackstep.dev/provider"
)

// hold is a call that renews the leases of what runs on one instance and waits until something ends there.
type hold struct {
	// tasks are the attempts that the call names, with their limits.
	tasks  map[string]provider.HoldTask
	cancel context.CancelFunc // nil when no call is under way
	// calls counts the calls, so that the answer of an earlier one is told from the present one's.
	calls int
	// due is when the next call may be made.
	due time.Time
	// failed counts the calls in a row that had no answer.
	failed int
}

const (
	// firstWait is how long the platform may wait for an end when an attempt has just begun, so that its usage is known
	// soon; the wait grows with the attempt's age up to holdWait. Leases are renewed that often.
	firstWait = 2 * time.Second
	holdWait  = 20 * time.Second
	// holdPause is the pause after a call that told of an end, and after the first that failed; it doubles with each further
	// one up to longestHoldPause.
	holdPause        = time.Second
	longestHoldPause = 8 * time.Second
)

// hold keeps one call under way that names just the running jobs.
func (c *Controller) hold(instance string, running []*fleet.Job) {
	h := c.tasks.holds[instance]
	if h == nil {
		if len(running) == 0 {
			return
		}
		h = &hold{}
		c.tasks.holds[instance] = h
	}
	if !h.names(running) {
		h.end()
		h.tasks = make(map[string]provider.HoldTask, len(running))
		for _, j := range running {
			h.tasks[attemptID(j)] = provider.HoldTask{Limit: j.Limit}
		}
	}
	if h.cancel != nil || len(running) == 0 || time.Now().Before(h.due) {
		return
	}
	c.callHold(instance, h, running)
}

// holdWait returns how long a call about the jobs may wait: as long as the youngest of them has run, within bounds.
func (m *tasks) holdWait(running []*fleet.Job, now time.Time) time.Duration {
	wait := holdWait
	for _, j := range running {
		u := m.seen[attemptID(j)]
		if u == nil {
			return firstWait
		}
		wait = min(wait, u.ran(now))
	}
	return max(firstWait, wait)
}

// names says whether the call names the jobs with their limits and no other.
func (h *hold) names(running []*fleet.Job) bool {
	if len(h.tasks) != len(running) {
		return false
	}
	for _, j := range running {
		if t, ok := h.tasks[attemptID(j)]; !ok || t.Limit != j.Limit {
			return false
		}
	}
	return true
}

// end gives up the call that is under way.
func (h *hold) end() {
	if h.cancel != nil {
		h.cancel()
		h.cancel = nil
	}
}

func (c *Controller) callHold(instance string, h *hold, running []*fleet.Job) {
	ctx, cancel := context.WithCancel(c.ctx)
	h.cancel = cancel
	h.calls++
	call := h.calls
	order := provider.Hold{Lease: taskLease, Wait: c.tasks.holdWait(running, time.Now()), Tasks: h.tasks}
	jobs := make([]fleet.Job, len(running))
	for i, j := range running {
		jobs[i] = *j
	}
	go func() {
		defer cancel()
		reports, err := c.Platform.RenewLeases(ctx, instance, order)
		_ = c.post(c.ctx, func() { // it fails only when the entry stops
			if h.cancel != nil && h.calls == call { // else it was given up
				c.holdSays(instance, h, jobs, reports, err)
			}
		})
	}()
}

// holdSays passes the reports on, and makes the next call soon when none has ended.
func (c *Controller) holdSays(instance string, h *hold, jobs []fleet.Job, reports map[string]provider.TaskReport, err error) {
	h.cancel = nil
	if err != nil {
		h.due = time.Now().Add(min(longestHoldPause, holdPause<<min(h.failed, 8)))
		if h.failed++; h.failed == 1 {
			c.Events.Emit(event.TaskUncertain, event.Subject{Instance: instance}, err.Error())
		}
		return
	}
	h.failed = 0
	for i := range jobs {
		id := attemptID(&jobs[i])
		report, told := reports[id]
		if !told || report.State != provider.TaskRunning {
			h.due = time.Now().Add(holdPause) // until the tables know of the end
		}
		if told {
			c.taskSays(id, jobs[i], report, nil)
		}
	}
}

// dropHolds gives up the calls about instances that are not this entry's to follow.
func (c *Controller) dropHolds(followed map[string]bool) {
	for id, h := range c.tasks.holds {
		if !followed[id] {
			h.end()
			delete(c.tasks.holds, id)
		}
	}
}
