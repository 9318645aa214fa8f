// SPDX-License-Identifier: MIT

package place

import (
	"cmp"
	"math"
	"slices"
	"time"

	"rackstep.dev/job"
	"rackstep.dev/org"
	"rackstep.dev/work"
)

// Candidate is what one worker has free for tasks.
type Candidate struct {
	Worker *work.Worker
	Free   job.Need
	// Serving and Filling count its lasting tasks that serve users and those that fill beside them.
	Serving, Filling int
	// UpkeepDue says that the instance is to be emptied for its upkeep before long.
	UpkeepDue bool
	// Cold says that the worker is slow since its start: it gets what no other has room for.
	Cold bool
	// RecentStart says that a run began there so lately that it may still end the worker's life by starting.
	RecentStart bool
}

// Group is the waiting tasks of one step of one time of a job.
type Group struct {
	Job        *job.Job
	Time, Step int
	Priority   int
	// Lasting groups come first: they serve users all the time.
	Lasting bool
	// OverRate says that its job is beyond its organisation's rate: it takes room that nobody else wants, and keeps none.
	OverRate bool
	// Capped says that at the last look the organisation's cap kept some of it from starting, ToldCapped that this is in the log.
	Capped, CappedLogged bool
	// Outlook is as of Ranked.
	Outlook
	RankedAt time.Time
	// Since is when the job was handed in.
	Since time.Time
	// ReadySince is when the tasks began to wait for a worker.
	ReadySince time.Time
	// Tasks wait for a worker.
	Tasks []*job.Task
	// OnWorker counts the step's tasks on each worker's life; it is filled only where the step limits them.
	OnWorker map[string]int
	// Tickets are, by life, for the only workers that may run the step; any worker may when it is nil.
	Tickets map[string]string
	// Racks counts the step's tasks in each rack, for lasting steps, so that they are spread.
	Racks map[string]int
	// shared is what it is taken to earn among those of other organisations.
	shared float64
}

// organisation returns the name of who handed the job in, empty for nobody in particular.
func (g *Group) organisation() string { return g.Job.Spec.Organisation }

// Choice puts one task on one worker.
type Choice struct {
	Task *job.Task
	Candidate *Candidate
	// Ticket lets the worker run the step, where one is needed.
	Ticket string
	// Slack is what its job had left to be on time, as far as estimates tell.
	Slack time.Duration
	// Isolated says that nothing else is to start there until the task has ended or gone on for long enough.
	Isolated bool
}

// Order sorts groups by what comes first.
//
// What is beyond its organisation's rate comes last: nothing is owed for it. Lasting tasks serve users all the time. Then comes priority, and
// within it what is expected to earn most for the work it still needs.
func Order(groups []*Group) {
	slices.SortFunc(groups, func(a, b *Group) int {
		return cmp.Or(compareClass(a, b), cmp.Compare(b.Expected, a.Expected), a.Since.Compare(b.Since), cmp.Compare(a.Job.Spec.ID, b.Job.Spec.ID), cmp.Compare(a.Step, b.Step))
	})
}

// compareClass compares what goes before all that is expected to be earned.
func compareClass(a, b *Group) int {
	switch {
	case a.OverRate != b.OverRate:
		return first(b.OverRate)
	case a.Lasting != b.Lasting:
		return first(a.Lasting)
	}
	return cmp.Compare(a.Priority, b.Priority)
}

func first(yes bool) int {
	if yes {
		return -1
	}
	return 1
}

// reserveMost is how many rooms at the most are kept free for short tasks that fit nowhere yet.
const reserveMost = 2

// Tasks chooses workers for the tasks of the groups, in the order given, and takes what they need from the rooms.
//
// A task that fits nowhere keeps the emptiest room from those behind it, so that small tasks do not take for ever what
// a large one waits for. One that waits for its organisation's cap keeps none: no room would help it.
func Tasks(groups []*Group, rooms []*Candidate, draft *org.Draft) []Choice {
	var out []Choice
	var full []job.Need // needs for which no room was found, without conditions
	reserved := 0
	free := newShelves(rooms)
	for _, g := range groups {
		if len(rooms) == 0 {
			break
		}
		step := &g.Job.Spec.Steps[g.Step]
		g.Capped = step.Gang && !draft.Admits(g.organisation(), step.Need, len(g.Tasks))
		if g.Capped {
			continue
		}
		plain := step.Label == "" && step.PerWorker == 0 && g.Tickets == nil
		if plain && slices.ContainsFunc(full, func(n job.Need) bool { return atLeast(charge(step), n) }) {
			continue
		}
		before := len(out)
		for _, t := range g.Tasks {
			if t.BackingOff || (t.Suspect && !step.Gang) {
				continue // not yet, or apart
			}
			if !draft.Admits(g.organisation(), step.Need, 1) {
				g.Capped = true
				break
			}
			var r *Candidate
			if plain && !step.Lasting && step.Rack == "" {
				r = free.fullest(charge(step), t.Avoid)
			} else {
				r = choose(g, t, rooms)
			}
			if r == nil {
				if plain {
					full = append(full, charge(step))
				}
				if !g.OverRate && (step.Lasting || reserved < reserveMost) {
					if kept := emptiest(g, step, rooms); kept != nil {
						rooms = slices.DeleteFunc(slices.Clone(rooms), func(o *Candidate) bool { return o == kept })
						free.drop(kept)
					}
					reserved++
				}
				break
			}
			free.drop(r)
			take(g, r)
			free.put(r)
			draft.Acquire(g.organisation(), step.Need)
			out = append(out, Choice{Task: t, Candidate: r, Ticket: g.Tickets[r.Worker.Life], Slack: g.Slack})
		}
		if step.Gang && len(out)-before < len(g.Tasks) {
			for _, c := range out[before:] {
				shelved := free.drop(c.Candidate) // it may be reserved by now
				giveBack(g, c.Candidate)
				draft.Release(g.organisation(), step.Need)
				if shelved {
					free.put(c.Candidate)
				}
			}
			out = out[:before]
		}
	}
	return out
}

// emptiest returns the emptiest room that the step may use once it has space, or nil.
func emptiest(g *Group, step *job.Step, rooms []*Candidate) *Candidate {
	var best *Candidate
	for _, r := range rooms {
		if !atLeast(r.Worker.Capacity, charge(step)) || !allowed(g, step, r) {
			continue
		}
		if best == nil || r.Free.MilliCPU > best.Free.MilliCPU {
			best = r
		}
	}
	return best
}

// charge is what a task of the step is counted with.
func charge(s *job.Step) job.Need {
	n := s.Need
	if s.Fills {
		n.MilliCPU = 0
	}
	return n
}

// Charge returns what a task of the step is counted with on its worker.
func Charge(s *job.Step) job.Need { return charge(s) }

func atLeast(a, b job.Need) bool {
	return a.MilliCPU >= b.MilliCPU && a.MemoryMB >= b.MemoryMB && a.GPU >= b.GPU
}

func take(g *Group, r *Candidate) {
	change(g, r, -1)
}

func giveBack(g *Group, r *Candidate) {
	change(g, r, 1)
}

func change(g *Group, r *Candidate, sign int) {
	step := &g.Job.Spec.Steps[g.Step]
	n := charge(step)
	r.Free.MilliCPU += sign * n.MilliCPU
	r.Free.MemoryMB += sign * n.MemoryMB
	r.Free.GPU += sign * n.GPU
	if g.OnWorker != nil {
		g.OnWorker[r.Worker.Life] -= sign
	}
	if g.Racks != nil {
		g.Racks[r.Worker.Rack] -= sign
	}
	if step.Lasting && step.Fills {
		r.Filling -= sign
	} else if step.Lasting {
		r.Serving -= sign
	}
}

// choose returns the best room for the task, or nil.
func choose(g *Group, t *job.Task, rooms []*Candidate) *Candidate {
	step := &g.Job.Spec.Steps[g.Step]
	need := charge(step)
	var best *Candidate
	var bestScore float64
	for _, r := range rooms {
		if !atLeast(r.Free, need) || !allowed(g, step, r) {
			continue
		}
		s := score(g, t, step, r)
		if best == nil || s > bestScore {
			best, bestScore = r, s
		}
	}
	return best
}

func allowed(g *Group, step *job.Step, r *Candidate) bool {
	if step.Label != "" && !slices.Contains(r.Worker.Labels, step.Label) {
		return false
	}
	if g.Tickets != nil && g.Tickets[r.Worker.Life] == "" {
		return false
	}
	if step.PerWorker > 0 && g.OnWorker[r.Worker.Life] >= step.PerWorker {
		return false
	}
	return true
}

// Fits returns how many of the step's tasks the room can take now.
func (g *Group) Fits(r *Candidate) int {
	step := &g.Job.Spec.Steps[g.Step]
	if !allowed(g, step, r) {
		return 0
	}
	n := fit(charge(step), r.Free)
	if step.PerWorker > 0 {
		n = min(n, step.PerWorker-g.OnWorker[r.Worker.Life])
	}
	return max(n, 0)
}

// Instances returns how many empty instances, of the room given, that many of the step's tasks need.
func (g *Group) Instances(tasks int, whole job.Need) int {
	step := &g.Job.Spec.Steps[g.Step]
	each := max(fit(charge(step), whole), 1)
	if step.PerWorker > 0 {
		each = min(each, step.PerWorker)
	}
	return (tasks + each - 1) / each
}

// fit returns how often a need fits into what is free.
func fit(n, free job.Need) int {
	times := math.MaxInt32
	for _, x := range [...]struct{ need, free int }{{n.MilliCPU, free.MilliCPU}, {n.MemoryMB, free.MemoryMB}, {n.GPU, free.GPU}} {
		if x.need > 0 {
			times = min(times, x.free/x.need)
		}
	}
	return times
}

// Weights of a room's score; each outweighs those below it in most cases.
const (
	// nearWeight: away from its data a task takes at least twice as long.
	nearWeight = 4
	// coldWeight keeps tasks off workers that are slow since their start.
	coldWeight = 2.5
	// avoidWeight keeps a task from the worker on which it failed last.
	avoidWeight = 3
	// besideWeight keeps fills away from what serves.
	besideWeight = 2
	// togetherWeight keeps lasting tasks on few workers, so that the others are free to move; sameWeight spreads those
	// of one step over them, and rackWeight over racks.
	togetherWeight = 1
	// dueWeight keeps lasting tasks off instances that are still to be emptied for their upkeep: they would leave twice.
	dueWeight  = 1.5
	sameWeight = 0.8
	rackWeight = 0.2
)

// score is higher for better rooms. The fullest room with space is best, so that others empty and can be used elsewhere.
func score(g *Group, t *job.Task, step *job.Step, r *Candidate) float64 {
	s := -r.freePart()
	if step.Rack != "" && slices.Contains(r.Worker.Labels, step.Rack) {
		s += nearWeight
	}
	if t.Avoid == r.Worker.Life {
		s -= avoidWeight
	}
	if r.Cold {
		s -= coldWeight
	}
	if !step.Lasting {
		return s
	}
	s -= sameWeight*float64(g.OnWorker[r.Worker.Life]) + rackWeight*float64(g.Racks[r.Worker.Rack])
	if r.Serving+r.Filling > 0 {
		s += togetherWeight
	}
	if r.UpkeepDue {
		s -= dueWeight
	}
	if step.Fills {
		return s - besideWeight*float64(r.Serving)
	}
	return s - besideWeight*float64(r.Filling)
}
