// SPDX-License-Identifier: MIT

/*
Package drive simulates maintenance waves. It advances fake time in ticks and
applies the real control decisions (the fold of records into the tables,
plan.Next and place.Decide) to real tables.

Machines are not modelled in detail: a reboot takes a fixed time, a job ends
when its true run time has passed, and every entry acknowledges at once:

	r := drive.SimulateWave(drive.Muscat(), drive.Policy{})

The result includes bounds that no policy can beat. The baseline to compare it
with maintains one rack at a time and places each job on the first worker with
room.
*/
package drive
