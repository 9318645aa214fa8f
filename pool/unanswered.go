// SPDX-License-Identifier: MIT

package pool

// unansweredWorkers describes the workers of a pool that have not answered this leader yet and may have unstored runs of an earlier one.
type unansweredWorkers struct {
	pool string
	// inherited holds the jobs that an earlier leader may have started. Others have no such run.
	inherited map[string]bool
	// anywhere means that such a run may be of any job; otherwise it is of a job that the predecessor assigned to one of the centres.
	anywhere bool
	centres  map[string]bool
	assigned centresByPool
}

// unansweredIn returns the workers of the pool that may have unstored runs.
func (c *session) unansweredIn(pool string) unansweredWorkers {
	u := unansweredWorkers{pool: pool, inherited: c.inheritedJobs, assigned: c.assignment.predecessor}
	if !c.mayHaveUnstoredRuns() {
		return u
	}
	for _, w := range c.uncertainIncarnations {
		if w.Pool != pool {
			continue
		}
		centre := c.dataCentreOf(w)
		if centre == "" || len(u.assigned[pool]) == 0 {
			u.anywhere = true
			return u
		}
		if u.centres == nil {
			u.centres = make(map[string]bool)
		}
		u.centres[centre] = true
	}
	return u
}

// dataCentreOf returns the data centre of a worker, or an empty string if it is not known. A worker that is known only from the records of
// an earlier leader has that of its instance.
func (c *session) dataCentreOf(w *worker) string {
	if w.DataCentre != "" {
		return w.DataCentre
	}
	return c.machines[w.Machine].DataCentre
}

// mayRun reports whether one of the workers may have an unstored run of the job, so that none of its tasks may start.
func (u unansweredWorkers) mayRun(jobID string) bool {
	if !u.inherited[jobID] {
		return false
	}
	if u.anywhere {
		return true
	}
	centre, assigned := u.assigned.centreOf(u.pool, jobID)
	return assigned && u.centres[centre]
}
