// SPDX-License-Identifier: MIT

package job

import (
	"strconv"
	"time"
)

// State is the state of a job.
type State uint8

// States of a Job. The last three are final.
const (
	Queued State = iota
	Running
	Succeeded
	Failed
	Cancelled
)

// Ended reports whether the state is final.
func (s State) Ended() bool { return s >= Succeeded }

// String returns the name of the state.
func (s State) String() string {
	return [...]string{"queued", "running", "succeeded", "failed", "cancelled"}[s]
}

// Phase is the execution phase of a task.
type Phase uint8

// Phases of a Task.
const (
	// Waiting tasks have no run.
	Waiting Phase = iota
	// Starting tasks have a run whose start was ordered and not confirmed yet.
	Starting
	// Active tasks have a run that the worker has confirmed.
	Active
	// Finished tasks have succeeded and are not started again.
	Finished
)

// Task is one unit of work of a job.
type Task struct {
	Job *Job
	// Step, Time and Index identify the task within the job. Time is the number of the repetition, for jobs that
	// repeat.
	Step, Time, Index int
	Phase             Phase
	// Run is the number of the latest run, or 0 before the first. Worker is the incarnation of the worker that it was
	// assigned to.
	Run    int64
	Worker string
	// Saved is the latest saved progress, or empty if there is none.
	Saved string
	// FailedRuns are the numbers of the failed runs. Each counts once.
	FailedRuns []int64
	// RunSince is when this leader ordered the run or learned of it.
	RunSince time.Time
	// Percent is the progress that the worker last reported.
	Percent int
	// Gauge is the worker's rough measurement over the last half second: the tail latency in milliseconds for a
	// task that serves requests, otherwise the CPU usage in thousandths of a core.
	Gauge float64
	// NotBefore is the earliest time of the next start after a failure or a refusal. BackingOff reports that this
	// time had not come when the task was last considered.
	NotBefore  time.Time
	BackingOff bool
	// LateUntil is the time until which a later incarnation of the worker may still carry out an unanswered start of the
	// task. The task is not started elsewhere before then. The zero time means that no such start is outstanding.
	LateUntil time.Time
	// ConfinedTo is the ID of the only worker on which the task may start, or empty if any may. With ReusesNumber it starts there under the
	// number that a start before it may have had. Both were set when the task was last considered.
	ConfinedTo   string
	ReusesNumber bool
	// EndedOn is the incarnation of the worker that has listed the end of a run of the task, or empty if there is none or a later run was planned elsewhere.
	EndedOn string
	// Refused counts the consecutive starts that were refused. Failures counts the consecutive runs that ended
	// soon: for a lasting task those that failed, for any task also those with an unspecified outcome.
	Refused, Failures int
	// Stopping reports that the run was told to stop.
	Stopping bool
	// Lost are the runs during which the incarnation of the worker ended, oldest first. Suspect reports that the next run
	// must be an isolated trial, because the task may have crashed its worker.
	Lost    []LostRun
	Suspect bool
	// Avoid is the worker on which the task failed last.
	Avoid string
	// DownSince is when a lasting task stopped being at work, or zero while it is at work.
	DownSince time.Time
	// AtWork reports that a lasting task has been seen at work in the current run.
	AtWork bool
	// Wait is about a task that waits although it could run.
	Wait WaitNote
}

// Ordinal returns the index of the task among the job's tasks.
func (t *Task) Ordinal() int { return t.Job.ordinal(t.Time, t.Step, t.Index) }

// Spec returns the step that the task belongs to.
func (t *Task) Spec() *Step { return &t.Job.Spec.Steps[t.Step] }

// Name returns the name of the task in the form ID.TIME.STEP.INDEX.
func (t *Task) Name() string {
	b := make([]byte, 0, 32)
	b = append(b, t.Job.Spec.ID...)
	for _, n := range [...]int{t.Time, t.Step, t.Index} {
		b = append(b, '.')
		b = strconv.AppendInt(b, int64(n), 10)
	}
	return string(b)
}

// Job is a Spec and the state of its execution.
type Job struct {
	Spec  *Spec
	State State
	// Tasks are ordered by time, step and index.
	Tasks []Task
	// unfinishedByStep counts the tasks that are not finished, by time and step.
	unfinishedByStep []int
	// Unfinished is the number of tasks that are not finished.
	Unfinished int
	// Began reports that one of its tasks has been started.
	Began bool
	// Version increases with each change that must be stored. StoredVersion is the latest version that is stored.
	Version, StoredVersion int64
	// Ended is when the job reached its final state.
	Ended time.Time
	// Cancelling reports that a request to cancel was accepted.
	Cancelling bool
	// Received is when this process learned of the job. From is when its target time starts, which is earlier for a
	// job that was accepted before a takeover.
	Received, From time.Time
	// OverRate reports that the organisation submitted the job beyond its rate, so that it only uses capacity that
	// no other job wants.
	OverRate     bool
	tasksPerTime int
	stepOffsets  []int
}

// New returns a job in its initial state.
func New(s *Spec, now time.Time) *Job {
	j := &Job{Spec: s, Received: now, From: now, Version: 1}
	for i := range s.Steps {
		j.stepOffsets = append(j.stepOffsets, j.tasksPerTime)
		j.tasksPerTime += s.Steps[i].Count
	}
	times := max(s.Times, 1)
	j.Tasks = make([]Task, times*j.tasksPerTime)
	j.unfinishedByStep = make([]int, times*len(s.Steps))
	j.Unfinished = len(j.Tasks)
	n := 0
	for repetition := range times {
		for i := range s.Steps {
			j.unfinishedByStep[repetition*len(s.Steps)+i] = s.Steps[i].Count
			for index := range s.Steps[i].Count {
				j.Tasks[n] = Task{Job: j, Step: i, Time: repetition, Index: index}
				n++
			}
		}
	}
	return j
}

func (j *Job) ordinal(repetition, step, index int) int {
	return repetition*j.tasksPerTime + j.stepOffsets[step] + index
}

// Task returns the task with the given time, step and index, or nil if the job has no such task.
func (j *Job) Task(repetition, step, index int) *Task {
	if repetition < 0 || step < 0 || index < 0 || repetition >= max(j.Spec.Times, 1) || step >= len(j.Spec.Steps) || index >= j.Spec.Steps[step].Count {
		return nil
	}
	return &j.Tasks[j.ordinal(repetition, step, index)]
}

// StepTasks returns the tasks of a step for one time.
func (j *Job) StepTasks(repetition, step int) []Task {
	first := j.ordinal(repetition, step, 0)
	return j.Tasks[first : first+j.Spec.Steps[step].Count]
}

// Due returns when the time is due. It returns the zero time for jobs without times, which are due at once.
func (j *Job) Due(repetition int) time.Time {
	if j.Spec.Times == 0 {
		return time.Time{}
	}
	return j.Spec.First.plus(repetition, j.Spec.Every).Time()
}

// StepOpen reports whether all steps that the step depends on are done and its time is due.
func (j *Job) StepOpen(repetition, step int, now time.Time) bool {
	if j.State.Ended() || j.Cancelling {
		return false
	}
	for _, a := range j.Spec.Steps[step].After {
		if j.unfinishedByStep[repetition*len(j.Spec.Steps)+a] > 0 {
			return false
		}
	}
	return j.Spec.Times == 0 || !now.Before(j.Due(repetition))
}

// StepUnfinished returns how many tasks of a step are not finished for one time.
func (j *Job) StepUnfinished(repetition, step int) int {
	return j.unfinishedByStep[repetition*len(j.Spec.Steps)+step]
}

// Done records a run that succeeded. It reports whether this was new.
func (j *Job) Done(t *Task, now time.Time) bool {
	if t.Phase == Finished || t.Spec().Lasting {
		return false
	}
	t.Phase = Finished
	t.Saved = ""
	j.unfinishedByStep[t.Time*len(j.Spec.Steps)+t.Step]--
	j.Unfinished--
	j.Began = true
	j.Version++
	if j.Unfinished == 0 && !j.State.Ended() {
		j.end(Succeeded, now)
	}
	return true
}

// Fail records a failed run. The job fails once the given number of runs of one task have failed. It reports whether
// this was new.
func (j *Job) Fail(t *Task, run int64, attempts int, now time.Time) bool {
	for _, r := range t.FailedRuns {
		if r == run {
			return false
		}
	}
	j.Began = true
	if t.Spec().Lasting || t.Phase == Finished {
		return false
	}
	t.FailedRuns = append(t.FailedRuns, run)
	j.Version++
	if attempts > 0 && len(t.FailedRuns) >= attempts && !j.State.Ended() {
		j.end(Failed, now)
	}
	return true
}

// Cancel ends the job unless it has already ended. It reports whether this was new.
func (j *Job) Cancel(now time.Time) bool {
	j.Cancelling = true
	if j.State.Ended() {
		return false
	}
	j.end(Cancelled, now)
	return true
}

func (j *Job) end(s State, now time.Time) {
	j.State = s
	j.Ended = now
	j.Version++
}

// VisibleState returns the state that clients may see. A final state is shown only once it is stored.
func (j *Job) VisibleState() State {
	switch {
	case j.State.Ended() && j.StoredVersion >= j.Version:
		return j.State
	case j.Began:
		return Running
	}
	return Queued
}

// CriticalPath returns the estimated duration of the longest chain of dependent steps for one time.
func (j *Job) CriticalPath() time.Duration {
	var longest time.Duration
	ends := make([]time.Duration, len(j.Spec.Steps))
	for i := range j.Spec.Steps {
		var ready time.Duration
		for _, a := range j.Spec.Steps[i].After {
			ready = max(ready, ends[a])
		}
		ends[i] = ready + j.Spec.Steps[i].Estimate.Duration()
		longest = max(longest, ends[i])
	}
	return longest
}
