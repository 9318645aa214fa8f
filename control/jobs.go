// SPDX-License-Identifier: MIT

package control

import (
	"context"
	"fmt"
	"time"

	"rackstep.dev/event"
	"rackstep.dev/fleet"
	"rackstep.dev/place"
	"rackstep.dev/plan"
	"rackstep.dev/platform"
)

// tasks remembers what this entry has asked the platform about running attempts.
type tasks struct {
	// asking are the attempts with a call under way, due is when the next call about each is to be made.
	asking map[string]bool
	due    map[string]time.Time
	// seen is what the platform has reported of each attempt.
	seen map[string]*usage
	// urgentSince is when there was last no urgent job pending.
	urgentSince time.Time
}

func (m *tasks) init() {
	m.asking = make(map[string]bool)
	m.due = make(map[string]time.Time)
	m.seen = make(map[string]*usage)
}

// Times and bounds of jobs.
const (
	taskLease   = time.Minute
	taskPeriod  = 2 * time.Second
	startsATick = 128
)

func attemptID(j *fleet.Job) string { return fmt.Sprintf("%s.%d", j.ID, j.Attempt) }

// runJobs decides starts and follows what runs.
func (c *Controller) runJobs() {
	if c.placing() {
		c.startJobs()
	}
	current := make(map[string]bool)
	for _, j := range c.tables.Jobs.All {
		if !j.State.Held() {
			continue
		}
		id := attemptID(j)
		current[id] = true
		if in := c.tables.Instances.Get(j.Instance); in != nil && c.leads("tasks", in.DataCentre) {
			c.followTask(id, *j, in.Down)
		}
	}
	c.tasks.keep(current)
}

// keep forgets attempts that have ended.
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

// urgentWait is how long an urgent job may stay pending before the next entry in line decides as well.
const urgentWait = 1500 * time.Millisecond

// placing says whether this entry decides starts now: the leader does, and the next in line when the leader lets an
// urgent job wait, because it may take a while until a dead leader in another data centre is missed.
func (c *Controller) placing() bool {
	if c.leads("place", "") {
		return true
	}
	now := time.Now()
	if !c.urgentPending() {
		c.tasks.urgentSince = now
		return false
	}
	return now.Sub(c.tasks.urgentSince) > urgentWait && c.members.second(c, "place") == c.Self.ID
}

func (c *Controller) urgentPending() bool {
	for _, j := range c.tables.Jobs.All {
		if j.State == fleet.JobPending && j.Spec.Urgent {
			return true
		}
	}
	return false
}

func (c *Controller) startJobs() {
	d := place.Decide(c.tables, place.Options{Most: startsATick, Until: plan.Turns(c.tables, c.Costs)})
	for _, s := range d.Starts {
		c.write(fmt.Sprintf("start/%s/%d", s.Job, s.Attempt), fleet.Record{Start: &s})
	}
	for _, p := range d.Parks {
		c.write("park/"+p.Job, fleet.Record{Park: &p})
	}
	relief := place.Relieve(c.tables)
	for _, y := range append(d.Yields, relief.Yields...) {
		c.write(fmt.Sprintf("yield/%s/%d", y.Job, y.Attempt), fleet.Record{Yield: &y})
	}
	for _, t := range relief.Throttles {
		c.write(fmt.Sprintf("throttle/%s/%d", t.Job, t.Attempt), fleet.Record{Throttle: &t})
	}
}

// patience is how long a job about to end is waited for, by the weights of the site.
func (c *Controller) patience() time.Duration { return c.Costs.Wait(c.tables.Configuration.Weights) }

// followTask asks the platform about one attempt when that is due.
func (c *Controller) followTask(id string, j fleet.Job, down bool) {
	now := time.Now()
	leaving := j.Yielding || (c.draining(j.Instance) && c.shouldLeave(&j))
	if c.tasks.asking[id] || (now.Before(c.tasks.due[id]) && !leaving && j.State == fleet.JobRunning) {
		return
	}
	c.tasks.asking[id] = true
	c.tasks.due[id] = now.Add(taskPeriod)
	go func() {
		report, err := c.askTask(c.ctx, id, j, leaving, down)
		_ = c.post(c.ctx, func() { c.taskSays(id, j, report, err) }) // it fails only when the entry stops
	}()
}

// draining says that jobs are to leave the instance: a plan drains it, or the platform will take it away.
func (c *Controller) draining(instance string) bool {
	in := c.tables.Instances.Get(instance)
	return in != nil && (in.State == fleet.InstanceDraining || in.Leaving)
}

// shouldLeave says whether a job on a draining instance is moved rather than waited for.
func (c *Controller) shouldLeave(j *fleet.Job) bool {
	seen := c.tasks.seen[attemptID(j)]
	return seen == nil || plan.Leaves(j, seen.ran(time.Now()), c.patience())
}

func (c *Controller) askTask(ctx context.Context, id string, j fleet.Job, leaving, down bool) (platform.TaskReport, error) {
	switch {
	case j.State == fleet.JobCancelling || (down && j.State == fleet.JobStarting):
		return c.Platform.StopTask(ctx, j.Instance, id)
	case leaving && j.State == fleet.JobRunning:
		return c.Platform.Checkpoint(ctx, j.Instance, id)
	case down:
		return c.Platform.Task(ctx, j.Instance, id)
	}
	return c.Platform.StartTask(ctx, j.Instance, id, platform.Task{
		Cores: j.Spec.Cores, MemoryMB: j.Spec.MemoryMB, Command: j.Spec.Command, Continue: j.Checkpointed, Lease: taskLease, Limit: j.Limit,
	})
}

// taskSays writes what the platform said when it differs from the tables.
func (c *Controller) taskSays(id string, j fleet.Job, report platform.TaskReport, err error) {
	delete(c.tasks.asking, id)
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

func outcomeOf(s platform.TaskState) (fleet.Outcome, bool) {
	switch s {
	case platform.TaskRunning:
		return fleet.OutcomeRunning, true
	case platform.TaskDone:
		return fleet.OutcomeDone, true
	case platform.TaskFailed:
		return fleet.OutcomeFailed, true
	case platform.TaskStopped:
		return fleet.OutcomeStopped, true
	case platform.TaskCheckpointed:
		return fleet.OutcomeCheckpointed, true
	case platform.TaskVoid:
		return fleet.OutcomeNotStarted, true
	}
	return "", false
}

// SubmitJob is serve.Jobs' Submit.
func (c *Controller) SubmitJob(ctx context.Context, team string, spec fleet.JobSpec) error {
	ctx, cancel := context.WithTimeout(ctx, publishTime)
	defer cancel()
	_, err := c.Publish(ctx, team, fleet.Record{Submit: &fleet.Submit{Team: team, Spec: spec}})
	return err
}

// CancelJob is serve.Jobs' Cancel.
func (c *Controller) CancelJob(ctx context.Context, team, id string) error {
	ctx, cancel := context.WithTimeout(ctx, publishTime)
	defer cancel()
	_, err := c.Publish(ctx, team, fleet.Record{Cancel: &fleet.Cancel{Job: id, Team: team}})
	return err
}

// GetJob is serve.Jobs' Get.
func (c *Controller) GetJob(team, id string) (job fleet.Job, ok bool) {
	_ = c.do(c.ctx, func() { // it fails only when the entry stops
		if c.tables == nil {
			return
		}
		if j := c.tables.Jobs.Get(id); j != nil && j.Team == team {
			job, ok = *j, true
		}
	})
	return job, ok
}

// publishTime bounds the wait for a record's outcome.
const publishTime = 10 * time.Second
