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

// organisationsChanged puts the organisations of a version of the configuration in force.
type organisationsChanged struct{ directory *org.Directory }

func (m organisationsChanged) apply(c *session) {
	c.ledger.SetDirectory(m.directory)
	c.rate.Forget(m.directory)
	c.dirtyAll() // a cap may have risen
}

// judgeRate notes whether a job that was handed in just now is beyond its organisation's rate, by the time at which it was taken.
func (c *session) judgeRate(j *job.Job) {
	j.OverRate = c.rate.Exceeded(c.ledger.Organisation(j.Spec.Organisation), j.Spec.Taken.Time())
}

// restoreRates judges all jobs that were read at once, in the order in which they were taken.
func (c *session) restoreRates() {
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
		c.judgeRate(j)
	}
}

// draft returns the ledger to decide on.
func (c *session) draft() *org.Draft {
	if !c.ledger.HasCaps() {
		return c.ledger.Draft(nil)
	}
	unread, unkept := c.uncounted()
	if unkept == (job.Need{}) {
		return c.ledger.Draft(func(string) job.Need { return unread })
	}
	may := c.mayHaveStarted()
	return c.ledger.Draft(func(name string) job.Need { return unread.Plus(unkept.Min(may[name])) })
}

// mayHaveStarted returns, by organisation, what waits of the jobs that an earlier leader knew: no more can run without having been kept.
func (c *session) mayHaveStarted() map[string]job.Need {
	may := make(map[string]job.Need)
	for id := range c.restored {
		j := c.jobs[id]
		if j == nil || j.Spec.Organisation == "" || j.State.Ended() {
			continue
		}
		sum := may[j.Spec.Organisation]
		for i := range j.Tasks {
			if j.Tasks[i].Phase == job.Waiting {
				sum = sum.Plus(j.Tasks[i].Spec().Need)
			}
		}
		may[j.Spec.Organisation] = sum
	}
	return may
}

// tellCapped writes which steps begin to wait for their organisation's cap, and which no longer do: a line for each change.
func (c *session) tellCapped(groups []*place.Group) {
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

// room returns the room of all workers together, nothing where no organisation shares it.
func (c *session) room() job.Need {
	var sum job.Need
	if c.ledger.Directory().Len() == 0 {
		return sum
	}
	for _, w := range c.workers {
		sum = sum.Plus(w.Capacity)
	}
	return sum
}

// uncounted returns the most that may run in workers without being in the tables: where a worker lists runs of jobs that nobody has read, so that
// nobody knows whose they are; and where an earlier leader may have started what it did not keep and the worker has not answered yet.
func (c *session) uncounted() (unread, unkept job.Need) {
	var largest job.Need
	unlisted, mayBe := 0, c.mayBeUnkept()
	for _, w := range c.workers {
		largest = largest.Max(w.Capacity)
		switch {
		case w.unread > 0 || w.unknown > 0:
			unread = unread.Plus(w.room.Free.Max(job.Need{}))
		case !mayBe || c.unheard[w.Life] == nil:
		case w.Capacity == (job.Need{}):
			unlisted++
		default:
			unkept = unkept.Plus(w.room.Free.Max(job.Need{}))
		}
	}
	// A life that is kept and has left the list has a room that this leader does not know: as large as the largest.
	return unread, unkept.Plus(largest.Times(unlisted))
}
