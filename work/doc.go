// SPDX-License-Identifier: MIT

/*
Package work defines the orders that the scheduler sends to a worker: start,
stop, pace and hold.

The calls are function fields that a platform adapter sets:

	calls.Start(ctx, worker, work.Start{Task: name, Run: 7, Fence: f})

Every call names the incarnation of the worker that it is meant for and carries a
fencing token; a worker rejects tokens that are lower than the highest one it
has seen. The errors tell a call that had no effect (ErrNotSent) from one that
may have taken effect or may still do so (ErrNoAnswer).

Lease computes an upper bound on how long a worker may continue its runs,
without requiring synchronized clocks.
*/
package work
