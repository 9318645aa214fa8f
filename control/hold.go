// SPDX-License-Identifier: MIT

package control

import (
	"context"
	"time"

	"rackstep.dev/event"
	"rackstep.dev/fleet"
	"rackstep.dev/provider"
)

// hold is a long-poll call that renews the leases of the tasks on one instance and waits until one of them ends.
type hold struct {
	// tasks holds the attempts that the call names, with their limits.
	tasks  map[string]provider.HoldTask
	cancel context.CancelFunc // nil when no call is in flight
	// calls counts the calls, to distinguish the response of an earlier call from that of the current one.
	calls int
	// due is when the next call may be made.
	due time.Time
	// failures counts consecutive failed calls.
	failures int
}

const (
	// minHoldWait is how long a call may wait when an attempt has just started, so that its usage is known early. The wait
	// grows with the attempt's age up to maxHoldWait. Each call renews the leases, so the wait is also the renewal interval.
	minHoldWait = 2 * time.Second
	maxHoldWait = 20 * time.Second
	// minHoldPause is the pause after a call that reported the end of a task, and after the first failed call. It doubles with
	// each further failure up to maxHoldPause.
	minHoldPause = time.Second
	maxHoldPause = 8 * time.Second
)

// hold keeps one call in flight that names exactly the running jobs.
func (c *Controller) hold(instance string, running []*fleet.Job) {
	h := c.tasks.holds[instance]
	if h == nil {
		if len(running) == 0 {
			return
		}
		h = &hold{}
		c.tasks.holds[instance] = h
	}
	if !h.matches(running) {
		h.abort()
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

// maxHoldWait returns how long a call for the jobs may wait: the run time of the youngest, between minHoldWait and maxHoldWait.
func (m *tasks) holdWait(running []*fleet.Job, now time.Time) time.Duration {
	wait := maxHoldWait
	for _, j := range running {
		u := m.usage[attemptID(j)]
		if u == nil {
			return minHoldWait
		}
		wait = min(wait, u.ran(now))
	}
	return max(minHoldWait, wait)
}

// matches reports whether the call names exactly these jobs with their current limits.
func (h *hold) matches(running []*fleet.Job) bool {
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

// abort cancels the call in flight.
func (h *hold) abort() {
	if h.cancel != nil {
		h.cancel()
		h.cancel = nil
	}
}

// callHold makes a hold call for the instance in the background.
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
		_ = c.post(c.ctx, func() { // post fails only when the entry stops
			if h.cancel != nil && h.calls == call { // otherwise the call was aborted
				c.handleHoldReports(instance, h, jobs, reports, err)
			}
		})
	}()
}

// handleHoldReports handles the report on each job. Unless a task has ended, the next call is made at the next tick.
func (c *Controller) handleHoldReports(instance string, h *hold, jobs []fleet.Job, reports map[string]provider.TaskReport, err error) {
	h.cancel = nil
	if err != nil {
		h.due = time.Now().Add(min(maxHoldPause, minHoldPause<<min(h.failures, 8)))
		if h.failures++; h.failures == 1 {
			c.Events.Emit(event.TaskUncertain, event.Subject{Instance: instance}, err.Error())
		}
		return
	}
	h.failures = 0
	for i := range jobs {
		id := attemptID(&jobs[i])
		report, reported := reports[id]
		if !reported || report.State != provider.TaskRunning {
			h.due = time.Now().Add(minHoldPause) // the tables need time to record the end
		}
		if reported {
			c.handleTaskReport(id, jobs[i], report, nil)
		}
	}
}

// dropHolds aborts the calls for instances that this entry does not follow.
func (c *Controller) dropHolds(followed map[string]bool) {
	for id, h := range c.tasks.holds {
		if !followed[id] {
			h.abort()
			delete(c.tasks.holds, id)
		}
	}
}
