// SPDX-License-Identifier: MIT

/*
Package drive runs the decisions of control tick by tick on fake time over real
tables: the fold, plan.Next and place.Decide.

It is a driver of decisions and not a model of machines. A reboot takes a given
time, a job ends when its true run time has passed, and every entry
acknowledges at once:

	r := drive.Wave(drive.Muscat(), drive.Policy{})

The result stands beside bounds that no policy can beat and beside the baseline
that maintains one rack at a time and places on the first worker with room.
*/
package drive
