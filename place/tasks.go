// SPDX-License-Identifier: MIT

package place

import (
	"cmp"
	"math"
	"slices"
	"time"

	"rackstep.dev/job"
	"rackstep.dev/work"
)

// Candidate is a worker with its free capacity.
type Candidate struct {
	Worker *work.Worker
	Free   job.Need
	// Serving and Filling are the numbers of its lasting tasks that serve users and of those that fill spare
	// capacity.
	Serving, Filling int
	// HeldByLasting is the capacity that its lasting tasks are charged for. It does not become free by waiting.
	HeldByLasting job.Need
	// MaintenanceDue reports that the instance must be emptied soon for its maintenance.
	MaintenanceDue bool
	// Cold reports that the worker is slow since its start. It only gets tasks that no other worker has capacity
	// for.
	Cold bool
	// RecentStart reports that a run began there so recently that it may still crash the worker.
	RecentStart bool
}

// Group is the waiting tasks of one step of a job, for one time.
type Group struct {
	Job        *job.Job
	Time, Step int
	Priority   int
	// Lasting groups come first because they serve users continuously.
	Lasting bool
	// OverRate reports that the job exceeds the rate of its organisation. It only gets capacity that no other group
	// wants, and reserves none.
	OverRate bool
	// Capped reports that the organisation's cap kept some of the tasks from starting when they were last
	// considered. CappedLogged reports that this has been logged.
	Capped, CappedLogged bool
	// Outlook was computed at RankedAt.
	Outlook
	RankedAt time.Time
	// Since is when the job was submitted.
	Since time.Time
	// ReadySince is when the tasks began to wait for a worker.
	ReadySince time.Time
	// Tasks are the tasks that wait for a worker.
	Tasks []*job.Task
	// OnWorker counts the step's tasks by the incarnation of their worker. It is only set if the step limits them.
	OnWorker map[string]int
	// Tickets holds the tickets of the only workers that may run the step, by incarnation. If it is nil, any worker may.
	Tickets map[string]string
	// Racks counts the step's tasks by rack. It is only set for lasting steps, which are spread over racks.
	Racks map[string]int
	// sharedValue is the expected value after OrderShared has lowered it.
	sharedValue float64
}

// organisation returns the name of the organisation that submitted the job, or an empty string if there is none.
func (g *Group) organisation() string { return g.Job.Spec.Organisation }

// step returns the step that the tasks belong to.
func (g *Group) step() *job.Step { return &g.Job.Spec.Steps[g.Step] }

// Choice assigns a task to a worker.
type Choice struct {
	Task      *job.Task
	Candidate *Candidate
	// Ticket allows the worker to run the step, where one is required.
	Ticket string
	// Slack is the estimated time until the job can no longer finish in time.
	Slack time.Duration
	// Isolated reports that nothing else may start on the worker until the task has ended or has run for long
	// enough. Grouped reports the same of a task that starts together with other suspects.
	Isolated, Grouped bool
}

// Order sorts groups by precedence.
//
// Groups over their organisation's rate come last because no capacity is owed to them. Lasting groups precede others.
// Then groups are ordered by priority, and within it by the expected value for the work that they still need.
func Order(groups []*Group) {
	slices.SortFunc(groups, func(a, b *Group) int {
		return cmp.Or(compareClass(a, b), cmp.Compare(b.Expected, a.Expected), a.Since.Compare(b.Since), cmp.Compare(a.Job.Spec.ID, b.Job.Spec.ID), cmp.Compare(a.Step, b.Step))
	})
}

// compareClass compares the criteria that precede the expected value.
func compareClass(a, b *Group) int {
	switch {
	case a.OverRate != b.OverRate:
		return firstIf(b.OverRate)
	case a.Lasting != b.Lasting:
		return firstIf(a.Lasting)
	}
	return cmp.Compare(a.Priority, b.Priority)
}

func firstIf(yes bool) int {
	if yes {
		return -1
	}
	return 1
}

// charge returns the resources that a task of the step is charged for. Filling tasks are not charged for CPU.
func charge(s *job.Step) job.Need {
	n := s.Need
	if s.Fills {
		n.MilliCPU = 0
	}
	return n
}

// Charge returns the resources that a task of the step is charged for on its worker.
func Charge(s *job.Step) job.Need { return charge(s) }

func atLeast(a, b job.Need) bool {
	return a.MilliCPU >= b.MilliCPU && a.MemoryMB >= b.MemoryMB && a.GPU >= b.GPU
}

// acquire charges the candidate for a task of the group.
func acquire(g *Group, r *Candidate) {
	step := g.step()
	r.Free = r.Free.Minus(charge(step))
	if g.OnWorker != nil {
		g.OnWorker[r.Worker.Incarnation]++
	}
	if g.Racks != nil {
		g.Racks[r.Worker.Rack]++
	}
	if !step.Lasting {
		return
	}
	r.HeldByLasting = r.HeldByLasting.Plus(charge(step))
	if step.Fills {
		r.Filling++
	} else {
		r.Serving++
	}
}

// bestCandidate returns the best candidate for the task, or nil if none has enough free capacity.
func bestCandidate(g *Group, t *job.Task, candidates []*Candidate) *Candidate {
	step := g.step()
	need := charge(step)
	var best *Candidate
	var bestScore float64
	for _, r := range candidates {
		if !atLeast(r.Free, need) || !mayRun(g, step, r) {
			continue
		}
		s := score(g, t, step, r)
		if best == nil || s > bestScore {
			best, bestScore = r, s
		}
	}
	return best
}

// mayRun reports whether the step's conditions, other than its need, allow another task on the worker.
func mayRun(g *Group, step *job.Step, r *Candidate) bool {
	if step.Label != "" && !slices.Contains(r.Worker.Labels, step.Label) {
		return false
	}
	if g.Tickets != nil && g.Tickets[r.Worker.Incarnation] == "" {
		return false
	}
	if step.PerWorker > 0 && g.OnWorker[r.Worker.Incarnation] >= step.PerWorker {
		return false
	}
	return true
}

// Fits returns how many of the step's tasks the candidate can take now.
func (g *Group) Fits(r *Candidate) int {
	step := g.step()
	if !mayRun(g, step, r) {
		return 0
	}
	n := fitCount(charge(step), r.Free)
	if step.PerWorker > 0 {
		n = min(n, step.PerWorker-g.OnWorker[r.Worker.Incarnation])
	}
	return max(n, 0)
}

// Instances returns how many empty instances of capacity whole the given number of tasks need.
func (g *Group) Instances(tasks int, whole job.Need) int {
	step := g.step()
	each := max(fitCount(charge(step), whole), 1)
	if step.PerWorker > 0 {
		each = min(each, step.PerWorker)
	}
	return (tasks + each - 1) / each
}

// fitCount returns how many times the need fits into what is free.
func fitCount(n, free job.Need) int {
	if !atLeast(free, n) {
		return 0
	}
	times := math.MaxInt32
	for _, x := range [...]struct{ need, free int }{{n.MilliCPU, free.MilliCPU}, {n.MemoryMB, free.MemoryMB}, {n.GPU, free.GPU}} {
		if x.need > 0 {
			times = min(times, x.free/x.need)
		}
	}
	return times
}

// Weights in the score of a candidate. In most cases each one outweighs those below it.
const (
	// nearWeight favours workers near the input data: elsewhere a task takes at least twice as long.
	nearWeight = 4
	// coldWeight keeps tasks off workers that are slow since their start.
	coldWeight = 2.5
	// avoidWeight keeps a task off the worker on which it failed last.
	avoidWeight = 3
	// besideWeight keeps filling tasks off workers with serving tasks and vice versa.
	besideWeight = 2
	// togetherWeight concentrates lasting tasks on few workers, so that the other instances are free to move.
	// sameWeight spreads the tasks of one step over workers, and rackWeight over racks.
	togetherWeight = 1
	// dueWeight keeps lasting tasks off instances that are due for maintenance, where they would have to move again.
	dueWeight  = 1.5
	sameWeight = 0.8
	rackWeight = 0.2
)

// score returns the score of a candidate; higher is better. The fullest candidate with enough free capacity is best,
// so that other workers become empty and can be used elsewhere.
func score(g *Group, t *job.Task, step *job.Step, r *Candidate) float64 {
	s := -r.freePart()
	if step.Rack != "" && slices.Contains(r.Worker.Labels, step.Rack) {
		s += nearWeight
	}
	if t.Avoid == r.Worker.Incarnation {
		s -= avoidWeight
	}
	if r.Cold {
		s -= coldWeight
	}
	if !step.Lasting {
		return s
	}
	s -= sameWeight*float64(g.OnWorker[r.Worker.Incarnation]) + rackWeight*float64(g.Racks[r.Worker.Rack])
	if r.Serving+r.Filling > 0 {
		s += togetherWeight
	}
	if r.MaintenanceDue {
		s -= dueWeight
	}
	if step.Fills {
		return s - besideWeight*float64(r.Serving)
	}
	return s - besideWeight*float64(r.Filling)
}
