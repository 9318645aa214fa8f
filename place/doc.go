// SPDX-License-Identifier: MIT

/*
Package place decides which pending jobs start now, and where.

	starts := place.Decide(tables, place.Options{Most: 64})

Urgent jobs go first. Among teams the one that holds the least for its quota
goes first. A job goes to a worker that no plan is about to empty, if there is
one, so that planned work moves it at most once; among those to the one that
it fills best.

Decide keeps no state. Two entries may decide at once; the fold admits the
first start of each job.
*/
package place
