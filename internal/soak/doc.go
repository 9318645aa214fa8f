// SPDX-License-Identifier: MIT

/*
Package soak is a randomized soak test of the real programs: entries as
processes on loopback, a fake of the users' platform beside them, and injected
faults. It holds tests only.

	go test ./internal/soak                                    # a short run with fixed seeds, as in CI
	go test ./internal/soak -seeds 50 -first 100 -lasts 20s    # a longer run by hand

Signals stop, pause, kill and restart the processes. A proxy before the store
delays or resets an entry's connections, or drops their data in one or both
directions. The platform refuses calls, drops replies or executes orders late.
Its workers crash; with odd seeds they come back under the same IDs. One job in
64 has a task that crashes every worker that starts it. Clients keep their
connections open.

During the run and at its end, the workers' own history must show no task that
ran twice at a time or again after an acknowledged success, and no task that was
started three more times after three workers have crashed under it. Once the
faults are over, every accepted job must succeed, with two exceptions: a job
with a crashing task must be shown as failed, and a job under which two workers
have crashed may be. No rejected job may be known.

TestFleet runs many entries, each with one thread for Go code, beside workers in
five pools. The demand for each pool rises to five times its mean by turns.
Series of faults are followed by calm times, in which idleHistory judges the
workers' own history: no accepted job may have nothing running for three seconds
while a task's turn has come and there is room for it. It is run by hand:

	go test ./internal/soak -run TestFleet -fleet-seeds 5 -fleet-logs DIR -timeout 1h

With -fleet-program it runs a program that was built from another commit. Logs
and the workers' history of a seed that failed are kept.

A seed determines the faults and their times. It doesn't determine how processes
are scheduled, so a seed that failed is kept in regressions with its cause.
*/
package soak
