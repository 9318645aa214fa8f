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

// maxStartsPerTick is the maximum number of job starts that one tick decides.
const maxStartsPerTick = 128

// runJobs decides which jobs start or yield and follows the running ones. The successor of the duty's owner writes only overdue
// decisions.
func (c *Controller) runJobs() {
	c.jobs.refresh(c.tables)
	switch {
	case c.ownsDuty("place", ""):
		c.writeDecisions(c.placementDecisions())
		c.writeRelief(c.jobs.cachedRelief())
	case c.jobs.pending && c.successor("place") == c.Self.ID:
		c.writeDecisions(c.tasks.overdue.filter(c.placementDecisions(), time.Now()))
	default:
		c.tasks.overdue = overdue{}
	}
	c.followTasks()
}

func (c *Controller) placementDecisions() place.Decisions {
	if !c.jobs.pending {
		return place.Decisions{}
	}
	return place.Decide(c.tables, place.Options{MaxStarts: maxStartsPerTick, UntilDrain: plan.TimeToTakeOut(c.tables, c.Costs)})
}

// writeDecisions writes the decisions about pending jobs to the log.
func (c *Controller) writeDecisions(d place.Decisions) {
	for _, s := range d.Starts {
		c.write(fmt.Sprintf("start/%s/%d", s.Job, s.Attempt), fleet.Record{Start: &s})
	}
	for _, p := range d.Parks {
		c.write("park/"+p.Job, fleet.Record{Park: &p})
	}
	c.writeYields(d.Yields)
}

// writeRelief writes the measures against overload of instances to the log.
func (c *Controller) writeRelief(r place.Relief) {
	c.writeYields(r.Yields)
	for _, t := range r.Throttles {
		c.write(fmt.Sprintf("throttle/%s/%d", t.Job, t.Attempt), fleet.Record{Throttle: &t})
	}
}

func (c *Controller) writeYields(yields []fleet.Yield) {
	for _, y := range yields {
		c.write(fmt.Sprintf("yield/%s/%d", y.Job, y.Attempt), fleet.Record{Yield: &y})
	}
}

// maxJobWait returns how long a plan waits for a job to end before the job is moved, by the weights of the configuration.
func (c *Controller) maxJobWait() time.Duration {
	return c.Costs.JobWait(c.tables.Configuration.Weights)
}

// SubmitJob implements the Submit function of serve.Jobs.
func (c *Controller) SubmitJob(ctx context.Context, team string, spec fleet.JobSpec) error {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	_, err := c.Publish(ctx, team, fleet.Record{Submit: &fleet.Submit{Team: team, Spec: spec}})
	return err
}

// CancelJob implements the Cancel function of serve.Jobs.
func (c *Controller) CancelJob(ctx context.Context, team, id string) error {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	_, err := c.Publish(ctx, team, fleet.Record{Cancel: &fleet.Cancel{Job: id, Team: team}})
	return err
}

// GetJob implements the Get function of serve.Jobs.
func (c *Controller) GetJob(team, id string) (job fleet.Job, ok bool) {
	_ = c.do(c.ctx, func() { // do fails only when the entry stops
		if c.tables == nil {
			return
		}
		if j := c.tables.Jobs.Get(id); j != nil && j.Team == team {
			job, ok = *j, true
		}
	})
	return job, ok
}

// publishTimeout is how long SubmitJob and CancelJob wait for the result of their record.
const publishTimeout = 10 * time.Second
