// SPDX-License-Identifier: MIT

/*
Package clock provides a clock that counts the time for which the machine was
suspended, for leases, timeouts and proofs that expire.

A machine may be suspended for seconds. The monotonic clock, by which Go
compares times, doesn't advance meanwhile, while other machines go on. A leader
that resumes would take its proof of leadership for recent and issue orders
although another leader has taken over. Everything that proves or limits
something therefore uses a Clock, which adds the time suspended to the
monotonic clock. To the process a suspension then looks like a pause in which
it did not run.

Now is as cheap as time.Now, but may not include a suspension that has just
ended. ExactNow checks for one first; call it before acting on a proof.
*/
package clock
