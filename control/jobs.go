// SPDX-License-Identifier: MIT

package control

import (
	"context"
	"fmt"
	"time"

	"rackstep.dev/fleet"
	"rackstep.dev/place"
	"rackstep.dev/plan"
)

// startsATick bounds the starts that one tick decides.
const startsATick = 128

// runJobs decides starts and follows what runs.
func (c *Controller) runJobs() {
	c.jobs.refresh(c.tables)
	switch {
	case c.leads("place", ""):
		c.startJobs(c.decide())
		c.relieve(c.jobs.reliefOf())
	case c.jobs.pending && c.second("place") == c.Self.ID:
		c.startJobs(c.tasks.overdue.of(c.decide(), time.Now()))
	default:
		c.tasks.overdue = overdue{}
	}
	c.followTasks()
}

func (c *Controller) decide() place.Decisions {
	if !c.jobs.pending {
		return place.Decisions{}
	}
	return place.Decide(c.tables, place.Options{MaxStarts: startsATick, UntilDrain: plan.TimeToTakeOut(c.tables, c.Costs)})
}

// startJobs writes what is decided about pending jobs.
func (c *Controller) startJobs(d place.Decisions) {
	for _, s := range d.Starts {
		c.write(fmt.Sprintf("start/%s/%d", s.Job, s.Attempt), fleet.Record{Start: &s})
	}
	for _, p := range d.Parks {
		c.write("park/"+p.Job, fleet.Record{Park: &p})
	}
	c.yield(d.Yields)
}

// relieve writes what is decided about instances on which too much is in use.
func (c *Controller) relieve(r place.Relief) {
	c.yield(r.Yields)
	for _, t := range r.Throttles {
		c.write(fmt.Sprintf("throttle/%s/%d", t.Job, t.Attempt), fleet.Record{Throttle: &t})
	}
}

func (c *Controller) yield(yields []fleet.Yield) {
	for _, y := range yields {
		c.write(fmt.Sprintf("yield/%s/%d", y.Job, y.Attempt), fleet.Record{Yield: &y})
	}
}

// patience is how long a job about to end is waited for, by the weights of the site.
func (c *Controller) patience() time.Duration { return c.Costs.JobWait(c.tables.Configuration.Weights) }

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
