// SPDX-License-Identifier: MIT

/*
Package pool schedules the tasks of jobs on the workers of their pools.

One entry leads at a time (package lead). Its Scheduler reads what clients
have handed in, keeps what must last in the platform's store, and gives
workers their orders. All tables belong to one goroutine; it takes messages
from an inbox and runs the systems over the tables after each batch of them:

	intake and reports -> job tables -> placement -> orders, what is to be kept

A lead begins with nothing but the store: the scheduler shuts out the earlier
leader's writes by the epoch of its term, reads the jobs and what was kept of
them, and raises the fencing token of every worker by a hold, whose answer
says what runs there. A run is kept before its order leaves, so that each is
settled by its worker's first report: it runs, it has ended, or it never will
begin. A worker that does not answer may go on running for as long as its
lease can last, and until then nothing that may run there is started elsewhere.

What a worker lists as ended is acknowledged to it once it is kept. A job is
shown as ended once that is kept. While the store is away runs go on and ends
stay with their workers; orders leave unkept, which the next leader knows.
*/
package pool
