// SPDX-License-Identifier: MIT

/*
Package maintenance decides about whole instances: which of them move between
pools, and which are taken out of service next during a wave of maintenance. It
also learns when pools have bursts of load, and sets the pace of filling
tasks. The package is pure: it has no I/O and no clock of its own.

	moves := maintenance.Moves(pools, instances)

A pool wants as many instances as its tasks need. Instances that no pool wants
move to a headroom pool, whose instances are switched off and cost nothing.
They can be moved back within the time of one move.
*/
package maintenance
