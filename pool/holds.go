// SPDX-License-Identifier: MIT

package pool

import (
	"context"
	"errors"
	"time"

	"rackstep.dev/work"
)

// Timing of holds, the long-polling calls that renew a worker's leases and return its report.
const (
	// holdWait is how long a hold waits for a run to end. It is the maximum that workers allow.
	holdWait = 2 * time.Second
	// shortHoldWait and shortHoldTimeout replace holdWait and holdTimeout on workers with tasks that end by themselves: until an unanswered hold times out, no
	// end on its worker becomes known. An answer takes 2 to 8 ms.
	shortHoldWait    = 300 * time.Millisecond
	shortHoldTimeout = 350 * time.Millisecond
	// holdTimeout is how long a hold may take beyond its wait.
	holdTimeout = 700 * time.Millisecond
	// firstHoldTimeout bounds the first hold on a worker. A new leader sends one to every worker at the same time, and each that times out costs another
	// connection.
	firstHoldTimeout = 2 * time.Second
	// ackWait is the maximum delay of the next hold while the ends in the last report are being stored. While the store is unavailable it sets the pace of holds,
	// because a worker answers at once as long as it lists ends.
	ackWait = 600 * time.Millisecond
	// ackDelayedWait replaces ackWait while the acknowledgement of an end is delayed, so that other ends are received in time.
	ackDelayedWait = 100 * time.Millisecond
	// retryFirst and retryMax bound the pause after a failed hold.
	retryFirst = 100 * time.Millisecond
	retryMax   = time.Second
	// restartWindow is how long after its last answer a worker that may restart under the same ID is called every retryFirst.
	restartWindow = 3 * time.Second
	// unconfirmedHoldWait replaces holdWait once the store has not confirmed the lead for unconfirmedAfter, which is two renewals. From then on the
	// workers' answers have to prove the lead, and such a proof is as old as the hold's wait.
	unconfirmedHoldWait = 500 * time.Millisecond
	unconfirmedAfter    = 700 * time.Millisecond
	// reportMaxAge is the maximum age of a worker's latest report for its statements about a lasting task to be used: one hold and the pause
	// after it.
	reportMaxAge = 2500 * time.Millisecond
)

// startHolds starts the goroutine that holds the worker's runs.
func (c *session) startHolds(w *worker) {
	if c.ctx == nil || w.cancel != nil {
		return
	}
	ctx, cancel := context.WithCancel(c.ctx)
	w.cancel = cancel
	row := w.Worker // a copy, because the table's row may change
	c.background.Go(func() { c.hold(ctx, w, &row) })
}

// holdResult is the outcome of a hold.
type holdResult struct {
	worker *worker
	// token is the fencing token that the hold carried.
	token int64
	// asked is when the hold was sent, and wait how long the worker could wait for an end.
	asked  time.Time
	wait   time.Duration
	report work.Report
	err    error
	// failedAt is when the call failed. The calling goroutine sets it, since a busy control goroutine may process the result late.
	failedAt time.Time
}

// asOf returns the earliest time that the report can date from. A report without ends was delayed by the hold's full wait.
func (m holdResult) asOf(now time.Time) time.Time {
	if waited := m.asked.Add(m.wait); len(m.report.Ended) == 0 && waited.Before(now) {
		return waited
	}
	return m.asked
}

// hold repeatedly extends the leases on one worker and posts its reports, until the context ends.
func (c *session) hold(ctx context.Context, w *worker, row *work.Worker) {
	pause := retryFirst
	first, silent, heard := true, false, c.exactNow()
	for ctx.Err() == nil {
		now := c.exactNow()
		o := c.nextHold(w, first, silent, now)
		rep, err := c.callHold(ctx, row, o, first)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, work.ErrTooManyConnections) {
			sleep(ctx, crowdedPause) // the worker was not called, so it does not count as silent
			continue
		}
		if err == nil {
			w.readClock(rep.Clock)
		}
		c.post(holdResult{worker: w, token: o.Fence, asked: now, wait: o.Wait, report: rep, err: err, failedAt: c.now()})
		silent = err != nil
		if err != nil || rep.Refusal != work.Accepted {
			sleep(ctx, c.retryPause(w, row.BootID, pause, heard))
			pause = min(2*pause, retryMax)
			continue
		}
		heard = now
		pause = retryFirst
		if first = o.Fence < w.requiredToken.Load(); first {
			continue // the token has been raised since this hold was sent
		}
		w.awaitStoredEnds(ctx, rep.Ended)
		c.pauseIdle(ctx, w, row)
	}
}

// nextHold returns the next hold on a worker. first is set until the worker has answered under the token that it must have, and silent if it did not answer the
// latest hold.
func (c *session) nextHold(w *worker, first, silent bool, now time.Time) work.Hold {
	o := work.Hold{Fence: w.token.Load(), Acked: w.acked.Load(), Wait: holdWait}
	// An unanswered hold may have been carried out or may still be, so its deadline counts as an extended lease. A silent worker is
	// therefore called without a deadline until it answers; otherwise its lease would never expire while it is silent.
	if !silent && c.mayOrder(now) {
		o.Deadline = w.deadline(c.leaseOf(w), now)
	}
	switch {
	case first || silent:
		o.Wait = 0
	case c.unconfirmed(now):
		o.Wait = unconfirmedHoldWait
	case w.mixedLoad.Load():
		o.Wait = pacedWait
	case w.finiteRuns.Load() > 0:
		o.Wait = shortHoldWait
	}
	if o.Idle = w.runCount.Load() == 0; o.Idle && c.crowded() {
		o.Wait = 0 // frees the connection for other workers
	}
	return o
}

// callHold makes the call of a hold. A new leader sends the first one to all workers at the same time, so that their number is limited.
func (c *session) callHold(ctx context.Context, row *work.Worker, o work.Hold, first bool) (work.Report, error) {
	timeout := o.Wait + holdTimeout
	if o.Wait == shortHoldWait {
		timeout = o.Wait + shortHoldTimeout
	}
	if first {
		timeout = firstHoldTimeout
		release := c.firstHoldSemaphore.acquire(ctx)
		defer release()
	}
	call, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return c.Calls.Hold(call, row, o)
}

// awaitStoredEnds waits up to ackWait until the ends are stored, so that the next hold can acknowledge them.
func (w *worker) awaitStoredEnds(ctx context.Context, ends []work.EndedRun) {
	newest := int64(0)
	for _, e := range ends {
		newest = max(newest, e.Seq)
	}
	wait := ackWait
	if w.ackDelayed.Load() {
		wait = ackDelayedWait
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	for w.acked.Load() < newest {
		select {
		case <-w.ackSignal:
		case <-t.C:
			return
		case <-ctx.Done():
			return
		}
	}
}
