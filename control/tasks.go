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

// tasks remembers what this entry has asked the platform about the attempts that it follows.
type tasks struct {
	// asking are the attempts with a call of their own under way, due is when the next such call about each may be made.
	asking map[string]bool
	due    map[string]dueCall
	// seen is what the platform has reported of each attempt.
	seen map[string]*usage
	// holds are the calls that follow what runs on an instance, by instance.
	holds map[string]*hold
	// overdue is what the leader of the placement has left undone.
	overdue overdue
}

// dueCall is when the next call about an attempt may be made; one that is to end is asked about at once when it was not to
// end before.
type dueCall struct {
	at     time.Time
	ending bool
}

func (m *tasks) init() {
	m.asking = make(map[string]bool)
	m.due = make(map[string]dueCall)
	m.seen = make(map[string]*usage)
	m.holds = make(map[string]*hold)
}

// Times of tasks.
const (
	taskLease = time.Minute
	// taskPeriod is the time between two calls about one attempt that is not simply running.
	taskPeriod = 2 * time.Second
)

func attemptID(j *fleet.Job) string { return fmt.Sprintf("%s.%d", j.ID, j.Attempt) }

// followTasks follows every attempt on the instances that are this entry's to follow.
func (c *Controller) followTasks() {
	current := make(map[string]bool)
	followed := make(map[string]bool)
	for centre, instances := range c.jobs.held {
		followers := c.followers(centre)
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
	c.tasks.keep(current)
	c.dropHolds(followed)
}

// followers returns the entries that follow tasks in the data centre.
//
// When nobody reaches the log, leases are renewed all the same: that needs no record, and what ends is written later.
func (c *Controller) followers(centre string) []string {
	if ids := c.ableIn(centre); len(ids) > 0 {
		return ids
	}
	return c.liveIn(centre)
}

// keep forgets attempts that have ended or are another entry's.
func (m *tasks) keep(current map[string]bool) {
	for id := range m.due {
		if !current[id] {
			delete(m.due, id)
		}
	}
	for id := range m.seen {
		if !current[id] {
			delete(m.seen, id)
		}
	}
}

// followInstance asks about each job that is to begin or to end, and holds those that simply run.
func (c *Controller) followInstance(in *fleet.Instance, jobs []*fleet.Job) {
	draining := in.State == fleet.InstanceDraining || in.Leaving
	var running []*fleet.Job
	for _, j := range jobs {
		id := attemptID(j)
		leaving := j.Yielding || (draining && c.shouldLeave(id, j))
		if j.State == fleet.JobRunning && !leaving {
			running = append(running, j)
			continue
		}
		c.askAbout(id, *j, leaving, in.Down)
	}
	c.hold(in.ID, running)
}

// shouldLeave says whether a job on a draining instance is moved rather than waited for.
func (c *Controller) shouldLeave(id string, j *fleet.Job) bool {
	seen := c.tasks.seen[id]
	return seen == nil || plan.ShouldMove(j, seen.ran(time.Now()), c.patience())
}

// askAbout makes a call about one attempt when that is due.
func (c *Controller) askAbout(id string, j fleet.Job, leaving, down bool) {
	now := time.Now()
	ending := leaving || j.State == fleet.JobCancelling
	due := c.tasks.due[id]
	if c.tasks.asking[id] || (now.Before(due.at) && due.ending == ending) {
		return
	}
	c.tasks.asking[id] = true
	c.tasks.due[id] = dueCall{now.Add(taskPeriod), ending}
	go func() {
		report, err := c.askTask(c.ctx, id, j, leaving, down)
		_ = c.post(c.ctx, func() { // it fails only when the entry stops
			delete(c.tasks.asking, id)
			c.taskSays(id, j, report, err)
		})
	}()
}

func (c *Controller) askTask(ctx context.Context, id string, j fleet.Job, leaving, down bool) (provider.TaskReport, error) {
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

// taskSays writes what the platform said of the attempt when it differs from the tables.
func (c *Controller) taskSays(id string, j fleet.Job, report provider.TaskReport, err error) {
	if err != nil {
		c.Events.Emit(event.TaskUncertain, event.Subject{Job: j.ID, Instance: j.Instance}, err.Error())
		return
	}
	outcome, ok := outcomeOf(report.State)
	if !ok {
		return
	}
	now := time.Now()
	seen := c.tasks.see(id, now, report.Usage)
	if outcome == fleet.OutcomeRunning && j.State != fleet.JobStarting {
		c.measure(j.ID, j.Attempt, seen, now)
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
