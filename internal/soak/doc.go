// SPDX-License-Identifier: MIT

/*
Package soak is a randomized soak of the real programs: entries as processes on
loopback, the stand-in of the users' platform beside them, and faults from
outside. It holds tests only.

	go test ./internal/soak                                    # a short run with fixed seeds, as in CI
	go test ./internal/soak -seeds 50 -first 100 -lasts 20s    # by hand

Signals stop, pause, kill and restart the processes; a proxy before the store
delays, resets or silences what an entry says to it, one way or both; the
platform refuses calls, loses answers or carries orders out late, and its
workers crash, with odd seeds to come back under the IDs that they had; one job
in 64 holds a task that crashes whatever worker starts it. Clients keep their connections open. While it runs and at its end the
workers' own history must show no task run twice at a time or again after an
acknowledged success, and none started three times more after three workers
have crashed under it; once the faults are over every accepted job must succeed,
but for those with such a task, which must be shown as failed, and those under
which two workers have crashed, which may be; no refused one may be known.

A seed decides which faults come when. It does not decide how processes are
scheduled, so that a seed that failed is kept in regressions with its cause.
*/
package soak
