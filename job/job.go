// SPDX-License-Identifier: MIT

package job

import (
	"strconv"
	"time"
)

// State is what is known of a whole job.
type State uint8

// States of a Job; the last three are final.
const (
	Queued State = iota
	Running
	Succeeded
	Failed
	Cancelled
)

// Ended says whether the state is final.
func (s State) Ended() bool { return s >= Succeeded }

// String returns the state's name.
func (s State) String() string {
	return [...]string{"queued", "running", "succeeded", "failed", "cancelled"}[s]
}

// Phase is where one task stands.
type Phase uint8

// Phases of a Task.
const (
	// Waiting tasks have no run.
	Waiting Phase = iota
	// Starting tasks have a run that was sent and not yet seen.
	Starting
	// Active tasks have a run that the worker confirmed.
	Active
	// Finished tasks are done for good.
	Finished
)

// Task is one piece of work of a job.
type Task struct {
	Job *Job
	// Step, Time and Index name it within the job.
	Step, Time, Index int
	Phase             Phase
	// Run is the number of the latest run, 0 before the first; Worker is where it is or was.
	Run    int64
	Worker string
	// Saved is the latest saved progress, empty for none.
	Saved string
	// FailedRuns are the runs that failed; each counts once.
	FailedRuns []int64
	// RunSince is when the run was ordered.
	RunSince time.Time
	// Percent is the progress that the worker last told.
	Percent int
	// Gauge is the worker's rough figure of the last half second: the tail in milliseconds, or the cores in use.
	Gauge float64
	// NotBefore is when the task may be started again, after a failure or a refusal; Held says that this time has not come.
	NotBefore time.Time
	BackingOff      bool
	// LateUntil is the time until which an unanswered start of the task may still be carried out by a later life of its worker; the task is not
	// started elsewhere before then. The zero time means that no such start is outstanding.
	LateUntil time.Time
	// Refused counts its starts that were refused in a row, Failures the runs in a row that ended soon: of a lasting task
	// those that failed, of any those that ended in a way that is not named.
	Refused, Failures int
	// Stopping says that the run was told to stop.
	Stopping bool
	// Lost are the runs whose worker's life ended under them, oldest first; Suspect says that the next run is to be tried apart.
	Lost    []LostRun
	Suspect bool
	// Avoid is the worker on which it failed last.
	Avoid string
	// DownSince is since when a lasting task is not at work; zero while it is.
	DownSince time.Time
	// AtWork says that a lasting task has been seen at work in this run.
	AtWork bool
}

// Ordinal returns the task's place among the job's tasks.
func (t *Task) Ordinal() int { return t.Job.ordinal(t.Time, t.Step, t.Index) }

// Spec returns the task's step.
func (t *Task) Spec() *Step { return &t.Job.Spec.Steps[t.Step] }

// Name returns ID.TIME.STEP.INDEX.
func (t *Task) Name() string {
	b := make([]byte, 0, 32)
	b = append(b, t.Job.Spec.ID...)
	for _, n := range [...]int{t.Time, t.Step, t.Index} {
		b = append(b, '.')
		b = strconv.AppendInt(b, int64(n), 10)
	}
	return string(b)
}

// Job is a Spec with what became of it.
type Job struct {
	Spec  *Spec
	State State
	// Tasks are in the order of time, step, index.
	Tasks []Task
	// Left counts the tasks that are not finished, by time and step.
	left []int
	// Unfinished counts all tasks that are not finished.
	Unfinished int
	// Began says that a task of it has begun.
	Began bool
	// Version rises with each change that must be kept; KeptVersion is the newest that is.
	Version, StoredVersion int64
	// Ended is when the job reached its final state.
	Ended time.Time
	// Cancelling says that a cancel was accepted.
	Cancelling bool
	// Received is when this process learned of the job; its aim counts from From, which is earlier for a job of before a takeover.
	Received, From time.Time
	// OverRate says that its organisation sent it beyond its rate: it runs in room that no other job wants.
	OverRate  bool
	perTime int
	starts  []int
}

// New returns the job that was handed in.
func New(s *Spec, now time.Time) *Job {
	j := &Job{Spec: s, Received: now, From: now, Version: 1}
	for i := range s.Steps {
		j.starts = append(j.starts, j.perTime)
		j.perTime += s.Steps[i].Count
	}
	times := max(s.Times, 1)
	j.Tasks = make([]Task, times*j.perTime)
	j.left = make([]int, times*len(s.Steps))
	j.Unfinished = len(j.Tasks)
	n := 0
	for k := range times {
		for i := range s.Steps {
			j.left[k*len(s.Steps)+i] = s.Steps[i].Count
			for x := range s.Steps[i].Count {
				j.Tasks[n] = Task{Job: j, Step: i, Time: k, Index: x}
				n++
			}
		}
	}
	return j
}

func (j *Job) ordinal(k, step, index int) int { return k*j.perTime + j.starts[step] + index }

// Task returns a task by name, or nil when the job has none such.
func (j *Job) Task(k, step, index int) *Task {
	if k < 0 || step < 0 || index < 0 || k >= max(j.Spec.Times, 1) || step >= len(j.Spec.Steps) || index >= j.Spec.Steps[step].Count {
		return nil
	}
	return &j.Tasks[j.ordinal(k, step, index)]
}

// StepTasks returns the tasks of the step of one time.
func (j *Job) StepTasks(k, step int) []Task {
	first := j.ordinal(k, step, 0)
	return j.Tasks[first : first+j.Spec.Steps[step].Count]
}

// Due returns when the time is due; jobs without times are due at once.
func (j *Job) Due(k int) time.Time {
	if j.Spec.Times == 0 {
		return time.Time{}
	}
	return j.Spec.First.Time().Add(time.Duration(k) * j.Spec.Every.Duration())
}

// StepOpen says whether all that the step waits for is done and its time has come.
func (j *Job) StepOpen(k, step int, now time.Time) bool {
	if j.State.Ended() || j.Cancelling {
		return false
	}
	for _, a := range j.Spec.Steps[step].After {
		if j.left[k*len(j.Spec.Steps)+a] > 0 {
			return false
		}
	}
	return j.Spec.Times == 0 || !now.Before(j.Due(k))
}

// StepUnfinished returns how many tasks of the step of one time are not finished.
func (j *Job) StepUnfinished(k, step int) int { return j.left[k*len(j.Spec.Steps)+step] }

// Done takes note of a run that ended with success; it says whether that was news.
func (j *Job) Done(t *Task, now time.Time) bool {
	if t.Phase == Finished || t.Spec().Lasting {
		return false
	}
	t.Phase = Finished
	t.Saved = ""
	j.left[t.Time*len(j.Spec.Steps)+t.Step]--
	j.Unfinished--
	j.Began = true
	j.Version++
	if j.Unfinished == 0 && !j.State.Ended() {
		j.end(Succeeded, now)
	}
	return true
}

// Fail takes note of a run that failed; once that many of a task have, the job has failed. It says whether that was news.
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

// Cancel ends the job unless it has ended; it says whether that was news.
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

// VisibleState is the state that clients may see: a final one only once it is kept.
func (j *Job) VisibleState() State {
	switch {
	case j.State.Ended() && j.StoredVersion >= j.Version:
		return j.State
	case j.Began:
		return Running
	}
	return Queued
}

// CriticalPath returns the longest chain of estimated work of one time.
func (j *Job) CriticalPath() time.Duration {
	var longest time.Duration
	ends := make([]time.Duration, len(j.Spec.Steps))
	for i := range j.Spec.Steps {
		var from time.Duration
		for _, a := range j.Spec.Steps[i].After {
			from = max(from, ends[a])
		}
		ends[i] = from + j.Spec.Steps[i].Estimate.Duration()
		longest = max(longest, ends[i])
	}
	return longest
}
