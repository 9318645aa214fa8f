// SPDX-License-Identifier: MIT

/*
Package intake accepts jobs and cancellations from clients and writes them to
the platform's store, from which the scheduling entry reads them. Every entry
accepts them, even while no entry is scheduling.

A job is reported as accepted once the store has acknowledged it, and as
refused only if it is certain that the store does not have it and never will.
If the store did not reply, the outcome is reported as in doubt. The record's
key is derived from the job's ID, so submitting a job again does not create a
second one.
*/
package intake
