// SPDX-License-Identifier: MIT

/*
Package job holds the tables of jobs and what may happen to them.

A Spec is what a client hands in: steps of tasks, with what each task needs.
A Job is a Spec with what became of it. Its tasks are rows in one slice, in
the order of (time, step, index), so that a task's place in that slice, its
ordinal, names it in what is kept.

The package is pure: it does no I/O and takes the time as a value. Package
pool calls it from its one control goroutine.

	j := job.New(spec, now)
	j.Ready(now, func(t *job.Task) { ... })  // tasks whose turn has come
	j.Done(t)                                // a run ended with success
	if j.State.Ended() { ... }

Kept is the part of a Job that must outlive every process: which tasks are
done and which runs have failed. What runs where is not kept; the workers are
asked for it.
*/
package job
