// SPDX-License-Identifier: MIT

/*
Package job defines jobs, their tasks and the transitions between their states.

A Spec is what a client submits: steps of tasks, with the resources that each
task needs. A Job is a Spec and the state of its execution. Its tasks are
stored in one slice, ordered by time, step and index. The index into that
slice, the ordinal, identifies a task in stored records.

The package is pure: it does no I/O and takes the time as an argument. Package
pool calls it from a single control goroutine.

	j := job.New(spec, now)
	if j.StepOpen(time, step, now) { ... }  // its tasks may start
	j.Done(task, now)                       // a run has succeeded
	if j.State.Ended() { ... }

Stored is the part of a Job that must survive the loss of every process: which
tasks are done, which runs have failed and which runs were ordered. What is
actually running is not stored; the workers report it.
*/
package job
