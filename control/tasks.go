// SPDX-License-Identifier: MIT

package control

import (
	"context"
	"fmt"
	"slices"
	"time"

	"rackstep.dev/event"
	"rackstep.dev/fleet"
	"rackstep.dev/plan"
	"rackstep.dev/provider"
	"rackstep.dev/route"
)

// tasks tracks the calls to the platform about the attempts that this entry follows.
type tasks struct {
	// inFlight holds the attempts with a single-task call in flight, due when the next such call for each may be made.
	inFlight map[string]bool
	due      map[string]dueCall
	// usage holds what the platform has reported about each attempt.
	usage map[string]*usage
	// holds holds the long-poll calls, by instance.
	holds map[string]*hold
	// overdue tracks the placement decisions that the owner of the duty has not written.
	overdue overdue
}

// dueCall is when the next call for an attempt may be made, and whether the previous call was made to end the attempt. The first
// call to end an attempt is made at once.
type dueCall struct {
	at     time.Time
	ending bool
}

func (m *tasks) init() {
	m.inFlight = make(map[string]bool)
	m.due = make(map[string]dueCall)
	m.usage = make(map[string]*usage)
	m.holds = make(map[string]*hold)
}

// Intervals of the calls about tasks.
const (
	taskLease = time.Minute
	// taskPeriod is the time between two single-task calls for one attempt.
	taskPeriod = 2 * time.Second
)

func attemptID(j *fleet.Job) string { return fmt.Sprintf("%s.%d", j.ID, j.Attempt) }

// followTasks follows every attempt on the instances that are assigned to this entry.
func (c *Controller) followTasks() {
	current := make(map[string]bool)
	followed := make(map[string]bool)
	for dataCentre, instances := range c.jobs.occupying {
		followers := c.followers(dataCentre)
		if !slices.Contains(followers, c.Self.ID) {
			continue
		}
		for id, jobs := range instances {
			if route.Owner("tasks/"+id, followers) != c.Self.ID {
				continue
			}
			followed[id] = true
			for _, j := range jobs {
				current[attemptID(j)] = true
			}
			c.followInstance(c.tables.Instances.Get(id), jobs)
		}
	}
	c.tasks.prune(current)
	c.dropHolds(followed)
}

// followers returns the entries that follow tasks in the data centre.
//
// When no entry reaches the log, the live entries still renew the leases, which needs no record; ended tasks are recorded later.
func (c *Controller) followers(dataCentre string) []string {
	if ids := c.reachingLogIn(dataCentre); len(ids) > 0 {
		return ids
	}
	return c.liveIn(dataCentre)
}

// prune removes attempts that have ended or that another entry follows.
func (m *tasks) prune(current map[string]bool) {
	for id := range m.due {
		if !current[id] {
			delete(m.due, id)
		}
	}
	for id := range m.usage {
		if !current[id] {
			delete(m.usage, id)
		}
	}
}

// followInstance makes single-task calls for the jobs that are to start or to end, and a hold call for the others.
func (c *Controller) followInstance(in *fleet.Instance, jobs []*fleet.Job) {
	draining := in.State == fleet.InstanceDraining || in.Leaving
	var running []*fleet.Job
	for _, j := range jobs {
		id := attemptID(j)
		leaving := j.Yielding || (draining && c.shouldMove(id, j))
		if j.State == fleet.JobRunning && !leaving {
			running = append(running, j)
			continue
		}
		c.callTask(id, *j, leaving, in.Down)
	}
	c.hold(in.ID, running)
}

// shouldMove reports whether a job on a draining instance is to be moved instead of being waited for.
func (c *Controller) shouldMove(id string, j *fleet.Job) bool {
	seen := c.tasks.usage[id]
	return seen == nil || plan.ShouldMove(j, seen.ran(time.Now()), c.maxJobWait())
}

// callTask makes a single-task call for an attempt if one is due.
func (c *Controller) callTask(id string, j fleet.Job, leaving, down bool) {
	now := time.Now()
	ending := leaving || j.State == fleet.JobCancelling
	due := c.tasks.due[id]
	if c.tasks.inFlight[id] || (now.Before(due.at) && due.ending == ending) {
		return
	}
	c.tasks.inFlight[id] = true
	c.tasks.due[id] = dueCall{now.Add(taskPeriod), ending}
	go func() {
		report, err := c.sendTaskCall(c.ctx, id, j, leaving, down)
		_ = c.post(c.ctx, func() { // post fails only when the entry stops
			delete(c.tasks.inFlight, id)
			c.handleTaskReport(id, j, report, err)
		})
	}()
}

// sendTaskCall starts, stops, checkpoints or queries the attempt, depending on the state of the job and of its instance.
func (c *Controller) sendTaskCall(ctx context.Context, id string, j fleet.Job, leaving, down bool) (provider.TaskReport, error) {
	switch {
	case j.State == fleet.JobCancelling || (down && j.State == fleet.JobStarting):
		return c.Platform.StopTask(ctx, j.Instance, id)
	case leaving && j.State == fleet.JobRunning:
		return c.Platform.Checkpoint(ctx, j.Instance, id)
	case down:
		return c.Platform.Task(ctx, j.Instance, id)
	}
	return c.Platform.StartTask(ctx, j.Instance, id, provider.Task{
		Cores: j.Spec.Cores, MemoryMB: j.Spec.MemoryMB, Command: j.Spec.Command, Continue: j.Checkpointed, Lease: taskLease, Limit: j.Limit,
	})
}

// handleTaskReport writes the attempt's outcome to the log when it differs from the tables, or else its usage when that does.
func (c *Controller) handleTaskReport(id string, j fleet.Job, report provider.TaskReport, err error) {
	if err != nil {
		c.Events.Emit(event.TaskUncertain, event.Subject{Job: j.ID, Instance: j.Instance}, err.Error())
		return
	}
	outcome, ok := outcomeOf(report.State)
	if !ok {
		return
	}
	now := time.Now()
	seen := c.tasks.recordUsage(id, now, report.Usage)
	if outcome == fleet.OutcomeRunning && j.State != fleet.JobStarting {
		c.writeMeasurement(j.ID, j.Attempt, seen, now)
		return
	}
	s := fleet.Settle{Job: j.ID, Attempt: j.Attempt, Outcome: outcome}
	if outcome != fleet.OutcomeRunning && outcome != fleet.OutcomeNotStarted {
		s.Ran = seen.ran(now)
	}
	c.write(fmt.Sprintf("settle/%s/%s", id, outcome), fleet.Record{Settle: &s})
}

func outcomeOf(s provider.TaskState) (fleet.Outcome, bool) {
	switch s {
	case provider.TaskRunning:
		return fleet.OutcomeRunning, true
	case provider.TaskDone:
		return fleet.OutcomeDone, true
	case provider.TaskFailed:
		return fleet.OutcomeFailed, true
	case provider.TaskStopped:
		return fleet.OutcomeStopped, true
	case provider.TaskCheckpointed:
		return fleet.OutcomeCheckpointed, true
	case provider.TaskVoid:
		return fleet.OutcomeNotStarted, true
	}
	return "", false
}
