// SPDX-License-Identifier: MIT

package pool

import (
	"slices"

	"rackstep.dev/job"
)

// A leader starts the tasks of a step only after it has taken all tasks of the steps before for finished. It does so for a start that leaves unstored only by runs that
// its tables have: noteUnexpected excludes all others. Each such run is in the store, or is the task's only unstored start. So no earlier leader has sent a start of a
// later step that is not stored if it can't have learned of the end of such a run, of any task of a step before.
//
// This holds for the previous leader. What was finished for a leader before that one may be unfinished in the records of the previous one, so nothing follows while orders
// of several leaders may be unsettled.

// settleUnreached settles the starts of the steps that no earlier leader can have reached, because a task of a step before had no run when the tables were read and
// can't start unstored.
func (c *session) settleUnreached(j *job.Job) {
	if c.term.SeveralUnsettled || !c.assignment.atTakeover[j.Spec.Pool] {
		return
	}
	for k := range max(j.Spec.Times, 1) {
		c.settleLaterSteps(j, k, func(step int) bool { return c.cannotBeFinished(j, k, step) })
	}
}

// cannotBeFinished reports whether no earlier leader can have taken all tasks of the step for finished. A gang is finished with any of its members.
func (c *session) cannotBeFinished(j *job.Job, repetition, step int) bool {
	s := &j.Spec.Steps[step]
	if !isConditional(s) && c.assignment.stored[j.Spec.Pool].covers(s, j.Spec.Queue) {
		return false
	}
	tasks := j.StepTasks(repetition, step)
	without := 0
	for i := range tasks {
		if t := &tasks[i]; t.Phase == job.Waiting && len(t.Lost) == 0 && !c.startsSettled[t] {
			without++
		}
	}
	return without == len(tasks) || (without > 0 && !s.Gang)
}

// settleStepsAfter settles the starts of the steps after that of a task whose inherited run is still going on once earlier leaders give no orders any more.
func (c *session) settleStepsAfter(w *worker, t *job.Task, r *run) {
	stopped, known := c.earlierStoppedBy()
	if c.term.SeveralUnsettled || t.Spec().Gang || len(t.Lost) > 0 || !known || !w.reportedAt.After(stopped) {
		return
	}
	r.inherited = false
	c.settleLaterSteps(t.Job, t.Time, func(step int) bool { return step == t.Step })
}

// settleLaterSteps settles the starts of all steps that depend, directly or not, on one that was unfinished for all earlier leaders.
func (c *session) settleLaterSteps(j *job.Job, repetition int, unfinished func(step int) bool) {
	settled := make([]bool, len(j.Spec.Steps))
	for step := range j.Spec.Steps {
		settled[step] = slices.ContainsFunc(j.Spec.Steps[step].After, func(a int) bool { return settled[a] || unfinished(a) })
		if !settled[step] {
			continue
		}
		tasks := j.StepTasks(repetition, step)
		for i := range tasks {
			c.settleStart(&tasks[i])
		}
	}
}
