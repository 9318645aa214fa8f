// SPDX-License-Identifier: MIT

/*
Package pool schedules the tasks of jobs on the workers of their pools.

One entry leads at a time (package lead). Its Scheduler reads the jobs that
clients submit, stores its own state in the platform's store, and gives orders
to workers. A single control goroutine owns all tables. It receives messages
through an inbox and runs the systems over the tables after each batch of them:

	intake and reports -> job tables -> placement -> orders, records to store

A new leader starts with nothing but the store. It fences off the earlier
leader's writes with the epoch of its term, reads the jobs and the stored state,
and raises the fencing token of every worker by a hold, a long poll whose answer
lists what runs there. A run is stored before its order is sent, so the first
report of its worker settles every stored run: it runs, it has ended, or it will
never begin. A worker that does not answer may go on running tasks until its
lease has expired; until then nothing that may run there is started elsewhere.

The end of a run is acknowledged to its worker, and the end of a job is shown to
clients, only once it is stored. While the store is unavailable runs go on,
workers keep the ends of their runs, and orders are sent before they are stored.
The next leader knows that such orders may exist.
*/
package pool
