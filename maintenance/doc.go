// SPDX-License-Identifier: MIT

/*
Package upkeep decides about instances as a whole: which of them move between
pools, and which lasting tasks planned work may take away. It is pure: tables
in, orders out.

	moves := upkeep.Moves(pools, instances)

A pool wants as many instances as its tasks need. Instances that no pool wants
belong into a headroom pool, whose instances are off and cost nothing, and
come back from there within the time of one move.
*/
package upkeep
