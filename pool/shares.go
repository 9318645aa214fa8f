// SPDX-License-Identifier: MIT

package pool

import (
	"cmp"
	"slices"

	"rackstep.dev/event"
	"rackstep.dev/job"
	"rackstep.dev/org"
	"rackstep.dev/place"
)

// organisationsChanged applies the organisations of a new configuration version.
type organisationsChanged struct{ directory *org.Directory }

func (m organisationsChanged) apply(c *session) {
	c.ledger.SetDirectory(m.directory)
	c.rate.Forget(m.directory)
	c.markAllDirty() // a cap may have been raised
}

// checkRate records whether a job exceeds the rate limit of its organisation, based on the time at which it was accepted.
func (c *session) checkRate(j *job.Job) {
	j.OverRate = c.rate.Exceeded(c.ledger.Organisation(j.Spec.Organisation), j.Spec.Taken.Time())
}

// recheckRates repeats the rate check for all jobs that a new leader has loaded, in the order in which they were accepted.
func (c *session) recheckRates() {
	jobs := make([]*job.Job, 0, len(c.jobs))
	for _, j := range c.jobs {
		if j.Spec.Organisation != "" {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b *job.Job) int {
		return cmp.Or(cmp.Compare(a.Spec.Taken, b.Spec.Taken), cmp.Compare(a.Spec.ID, b.Spec.ID))
	})
	for _, j := range jobs {
		c.checkRate(j)
	}
}

// draft returns a copy of the ledger for a placement decision. Capacity that organisations may be using without being counted is charged to them.
func (c *session) draft() *org.Draft {
	if !c.ledger.HasCaps() {
		return c.ledger.Draft(nil)
	}
	ofUnknownJobs, unstored := c.uncountedNeed()
	if unstored == (job.Need{}) {
		return c.ledger.Draft(func(string) job.Need { return ofUnknownJobs })
	}
	possible := c.possiblyStarted()
	return c.ledger.Draft(func(name string) job.Need { return ofUnknownJobs.Plus(unstored.Min(possible[name])) })
}

// possiblyStarted returns, by organisation, the total need of the waiting tasks of jobs that an earlier leader knew. Unstored runs of an organisation
// can't use more than that.
func (c *session) possiblyStarted() map[string]job.Need {
	possible := make(map[string]job.Need)
	for id := range c.inheritedJobs {
		j := c.jobs[id]
		if j == nil || j.Spec.Organisation == "" || j.State.Ended() {
			continue
		}
		sum := possible[j.Spec.Organisation]
		for i := range j.Tasks {
			if j.Tasks[i].Phase == job.Waiting {
				sum = sum.Plus(j.Tasks[i].Spec().Need)
			}
		}
		possible[j.Spec.Organisation] = sum
	}
	return possible
}

// logCapped logs each step that starts or stops waiting for the cap of its organisation, one line per change.
func (c *session) logCapped(groups []*place.Group) {
	for _, g := range groups {
		if g.Capped == g.CappedLogged || len(g.Tasks) == 0 {
			continue
		}
		g.CappedLogged = g.Capped
		why := "room"
		if g.Capped {
			why = "cap"
			c.counts.capped.Inc(1)
		}
		name := g.Job.Spec.Organisation
		held, runs := c.ledger.Held(name)
		limit := job.Need{}
		if o := c.ledger.Organisation(name); o != nil {
			limit = o.Cap
		}
		c.emit(event.JobWaits, event.Subject{Job: g.Job.Spec.ID}, "why=%s organisation=%q step=%d tasks=%d running=%d held=%dm/%dMB cap=%dm/%dMB", why, name, g.Step, len(g.Tasks), runs, held.MilliCPU, held.MemoryMB, limit.MilliCPU, limit.MemoryMB)
	}
}

// totalCapacity returns the total capacity of all workers, or zero if no organisations are configured.
func (c *session) totalCapacity() job.Need {
	var sum job.Need
	if c.ledger.Directory().Len() == 0 {
		return sum
	}
	for _, w := range c.workers {
		sum = sum.Plus(w.Capacity)
	}
	return sum
}

// uncountedNeed returns the maximum capacity used by runs that are not in the tables.
//
// ofUnknownJobs is the free capacity of workers that list runs of unknown jobs, whose organisations are therefore unknown. unstored is the free
// capacity of workers that have not answered yet and may have runs that an earlier leader started without storing them.
func (c *session) uncountedNeed() (ofUnknownJobs, unstored job.Need) {
	var largest job.Need
	unknownCapacity, mayHaveUnstored := 0, c.mayHaveUnstoredRuns()
	for _, w := range c.workers {
		largest = largest.Max(w.Capacity)
		switch {
		case w.unreadRuns > 0 || w.unknownRuns > 0:
			ofUnknownJobs = ofUnknownJobs.Plus(w.candidate.Free.Max(job.Need{}))
		case !mayHaveUnstored || w.answered || c.uncertainIncarnations[w.Incarnation] == nil:
		case w.Capacity == (job.Need{}):
			unknownCapacity++
		default:
			unstored = unstored.Plus(w.candidate.Free.Max(job.Need{}))
		}
	}
	// The capacity of a stored incarnation that is no longer listed is not known. It is taken to be that of the largest worker.
	return ofUnknownJobs, unstored.Plus(largest.Times(unknownCapacity))
}
