// SPDX-License-Identifier: MIT

/*
Package place decides which work starts now, and where.

Decide does so for the pending jobs in the tables of package fleet:

	decisions := place.Decide(tables, place.Options{MaxStarts: 64})

Urgent jobs go first, then those of the team that uses the least relative to
its quota. A job preferably goes to an instance that no plan will take out
before the job ends, so that planned work moves it at most once; among those it
goes to the one that it fills best. Measured and Relieve adjust the charges of
running jobs to their usage, and relieve overloaded instances.

Tasks and PlaceSuspects choose workers for the waiting tasks of a pool, in the
order that Order or OrderShared gives them.

The package keeps no state. Two entries may decide at the same time; the tables
accept only the first start of each job.
*/
package place
