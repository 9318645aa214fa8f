// SPDX-License-Identifier: MIT

/*
Package work is what the product asks of one worker: to start, stop, pace and
hold tasks.

The calls are function fields that an adapter to a platform fills in:

	calls.Start(ctx, worker, work.Start{Task: name, Run: 7, Fence: f})

Every call names the life of the worker that it is meant for and carries a
fencing token; a worker does nothing for a lower token than it has seen. A
call without an answer may have been done, or may still be done: Answer tells
the two kinds of failure apart.

Lease follows how long a worker may at the most go on running what it runs,
without comparing clocks of different machines.
*/
package work
