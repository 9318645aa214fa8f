// SPDX-License-Identifier: MIT

package pool

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"rackstep.dev/event"
	"rackstep.dev/feed"
	"rackstep.dev/job"
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
	// minKnownTime is how long an incarnation must be known before the list of instances can declare it ended, because that list may lag behind the list of workers.
	minKnownTime = 2500 * time.Millisecond
	// silentListInterval is the interval between two listings of the instances while workers are silent.
	silentListInterval = 700 * time.Millisecond
	// listInterval is the usual interval between two listings of the instances.
	listInterval = 1500 * time.Millisecond
	// listPauseFactor times the duration of the last listing is the minimum interval, since the list grows with the fleet.
	listPauseFactor = 5
	// listTimeout bounds a listing of all instances. The list is paged, and the adapter bounds each page.
	listTimeout = 6 * time.Second
	// silentAfter is how long a worker must be silent before the list of instances is used to decide whether its incarnation has ended.
	silentAfter = 500 * time.Millisecond
)

// followWorkers tails the list of workers and posts its pages.
func (c *session) followWorkers() {
	from := c.workersOffset
	for c.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(c.ctx, intakeWait+storeTimeout)
		page, err := c.Workers.Read(ctx, from, intakeWait)
		cancel()
		complete := false
		var trimmed *feed.TrimmedError
		if errors.As(err, &trimmed) {
			ctx, cancel := context.WithTimeout(c.ctx, 3*storeTimeout)
			page, err = c.Workers.Newest(ctx)
			cancel()
			complete = true
		}
		if err != nil {
			sleep(c.ctx, storeRetryPause)
			continue
		}
		from = page.Next
		c.post(workersRead{page: page, complete: complete})
		sleep(c.ctx, workersPollInterval)
	}
}

// workersRead is a page of the list of workers. A complete page names every listed incarnation.
type workersRead struct {
	page     feed.KeyedPage
	complete bool
}

func (m workersRead) apply(c *session) {
	named := make(map[string]bool)
	slices.SortFunc(m.page.Records, func(a, b feed.KeyedRecord) int { return cmp.Compare(a.Offset, b.Offset) })
	for _, r := range m.page.Records {
		named[r.Key] = len(r.Value) > 0
		if w := c.applyWorkerRecord(r.Key, r.Value); w != nil {
			c.startHolds(w)
		}
	}
	if !m.complete {
		return
	}
	for _, w := range c.workers {
		if !named[w.ID] && w.listed {
			c.markUnlisted(w)
		}
	}
}

// applyWorkerRecord applies a record of the list of workers. It returns the worker if it is new.
//
// A record of another incarnation under the same ID does not end a listed incarnation; which of them is alive is known only from the answers to calls.
func (c *session) applyWorkerRecord(id string, value []byte) *worker {
	if len(value) == 0 {
		c.unusable.drop(id)
		for _, w := range c.incarnationsWithID(id) {
			if w.listed {
				c.markUnlisted(w)
			}
		}
		return nil
	}
	row, err := c.parseEntry(id, value)
	if err != nil {
		c.rejectEntry(id, value, err)
		return nil
	}
	c.acceptEntry(id)
	w := c.workers[row.Incarnation]
	if w == nil {
		if c.endedIncarnations[row.Incarnation] {
			return nil // the record is older than the proof that the incarnation has ended
		}
		w = newWorker(row, c.Clock, &c.ledger)
		c.addWorker(w)
		c.emit(event.WorkerSeen, event.Subject{Instance: row.Incarnation}, "machine=%s pool=%s room=%d leaving=%t", row.Machine, row.Pool, row.Capacity.MilliCPU, row.Leaving)
		return w
	}
	if w.Leaving != row.Leaving || !w.listed {
		c.emit(event.WorkerSeen, event.Subject{Instance: w.Incarnation}, "machine=%s pool=%s leaving=%t", row.Machine, row.Pool, row.Leaving)
	}
	c.updateWorker(w, row)
	return nil
}

// updateWorker applies a newer record of a known incarnation.
func (c *session) updateWorker(w *worker, row work.Worker) {
	if row.Capacity != w.Capacity {
		c.emit(event.WorkerSeen, event.Subject{Instance: w.Incarnation}, "machine=%s pool=%s room=%d before=%d", row.Machine, row.Pool, row.Capacity.MilliCPU, w.Capacity.MilliCPU)
	}
	w.candidate.Free = w.candidate.Free.Plus(row.Capacity.Minus(w.Capacity)) // negative if the capacity is now less than the running tasks need
	startsLeaving := row.Leaving && !w.Leaving
	if row.Machine != w.Machine {
		heard := w.answered
		c.removeWorker(w)
		w.Machine = row.Machine
		c.addWorker(w)
		if heard {
			c.answeredCount++
		}
	}
	w.updateCold(row.Cold, c.now())
	w.Worker = row
	w.drained = c.drains[w.DataCentre] != nil
	w.listed = true
	c.markPoolDirty(w.Pool)
	if startsLeaving {
		c.markLeaving(w)
	}
}

func (c *session) markUnlisted(w *worker) {
	w.listed = false
	c.emit(event.WorkerSeen, event.Subject{Instance: w.Incarnation}, "machine=%s no longer listed runs=%d", w.Machine, len(w.runs))
	c.markLeaving(w)
}

// endPreviousIncarnations ends the other incarnations of the instance of a worker that has just answered for the first time, because an instance has one incarnation at a time. The
// list of workers is no proof, since it may name ended incarnations. Neither is an answer to a call that was made before the other incarnation was known.
func (c *session) endPreviousIncarnations(w *worker) {
	for _, o := range slices.Clone(c.incarnationsByMachine[w.Machine]) {
		if o != w && o.Machine != "" && o.ID != w.ID && o.listedSince.Before(w.askedAt) {
			c.retireID(o)
			c.endIncarnation(o, "the instance has a new life "+w.Incarnation)
		}
	}
}

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

// checkLeases handles silent workers, whose runs are given up when the incarnation has ended or the lease has expired. It also lists the instances when that is due.
func (c *session) checkLeases(now time.Time) {
	c.updateQuorum(now)
	c.updateRaised(now)
	c.publishEarlier(now)
	silent := false
	workers, runs, pending := 0, 0, int32(0)
	for _, w := range c.workers {
		if w.lostReason != "" && c.confirmed(now) {
			c.endIncarnation(w, w.lostReason)
			continue
		}
		if w.silentSince.IsZero() {
			continue
		}
		silent = silent || now.Sub(w.silentSince) > silentAfter
		workers++
		runs += len(w.runs)
		if w.hasPendingStarts(now) {
			pending++
		}
		if c.confirmed(now) && c.leaseExpired(w, now) {
			c.expireLease(w, now)
		}
	}
	c.counts.unreadableEntries.Update(float64(len(c.unusable.entries)))
	c.silentPending.Store(pending)
	c.counts.silentWorkers.Update(float64(workers))
	c.counts.uncertainRuns.Update(float64(runs))
	c.expireUncertain(now)
	every := listInterval
	if silent || c.waveActive() {
		every = silentListInterval
	}
	if !c.machinesAsking && now.Sub(c.machinesAskedAt) > max(every, listPauseFactor*c.machinesListTime) {
		c.listMachines()
	}
}

// waveActive reports whether any maintenance wave is unfinished.
func (c *session) waveActive() bool {
	for _, row := range c.waveStates {
		if !row.finished {
			return true
		}
	}
	return false
}

// leaseExpired reports whether nothing can be running on the worker any more.
func (c *session) leaseExpired(w *worker, now time.Time) bool {
	if now.Before(w.leasedUntil()) {
		return false
	}
	return w.answered || c.earlierLeasesOverOn(w, now)
}

// expireUncertain removes the incarnations from uncertainIncarnations on which every lease has expired. The leases that this leader has given count too: while it goes on,
// a run that has ended can still be acknowledged.
func (c *session) expireUncertain(now time.Time) {
	ended := 0
	for incarnation, w := range c.uncertainIncarnations {
		if c.leaseExpired(w, now) {
			delete(c.uncertainIncarnations, incarnation)
			ended++
		}
	}
	if ended > 0 {
		c.emit(event.WorkerLost, event.Subject{}, "the last lease is over on %d workers that had not listed what the earlier leader started", ended)
		c.markAllDirty()
	}
}

// expireLease gives up the runs of a worker whose lease has expired. A worker that is not listed either is removed.
//
// Expiry does not settle an unanswered start: the next incarnation under the worker's ID may carry it out, and the start's deadline means nothing on that incarnation's clock.
func (c *session) expireLease(w *worker, now time.Time) {
	late := 0
	for t, r := range w.runs {
		if c.mayStartLate(w, t, r, now) {
			late++
		}
	}
	if !w.listed && late == 0 {
		c.removeIncarnation(w, "its lease is over and it is not listed") // the incarnation may go on and be listed again
		return
	}
	if over := len(w.runs) - late; over > 0 {
		c.emit(event.WorkerLost, event.Subject{Instance: w.Incarnation}, "its lease is over runs=%d late=%d", over, late)
		c.abandonRuns(w, func(t *job.Task, r *run) bool { return !c.mayStartLate(w, t, r, now) })
	}
}

// endIncarnation removes an incarnation that has ended from the tables.
//
// While the store does not confirm the lead, this is put off: the runs would be started elsewhere although another leader may have received their ends, or may
// have ended the incarnation itself.
func (c *session) endIncarnation(w *worker, why string) {
	if !c.confirmed(c.now()) {
		w.lostReason = why
		return
	}
	c.endedIncarnations[w.Incarnation] = true
	c.removeIncarnation(w, why)
}

// removeIncarnation removes an incarnation from the tables, whether it has ended or only its lease has expired.
func (c *session) removeIncarnation(w *worker, why string) {
	c.emit(event.WorkerLost, event.Subject{Instance: w.Incarnation}, "%s runs=%d", why, len(w.runs))
	c.counts.lost.Inc(1)
	if c.endedIncarnations[w.Incarnation] && (w.successor == nil || w.BootID != 0) { // a successor of an incarnation without a boot ID may be the same incarnation
		c.attributeLostRuns(w, c.now())
	}
	c.recordEnd(w, c.now())
	c.abandonRuns(w, func(*job.Task, *run) bool { return true })
	if w.cancel != nil {
		w.cancel()
	}
	c.removeWorker(w)
	c.markIncarnationDirty(w.Incarnation)
	delete(c.storedIncarnations, w.Incarnation)
	delete(c.aside, incarnationKey+w.Incarnation)
	c.markPoolDirty(w.Pool) // also for jobs of an earlier leader that waited for this worker
	delete(c.uncertainIncarnations, w.Incarnation)
	go c.Calls.Forget(&w.Worker)
}

// abandonRuns lets the tasks of the selected runs start elsewhere without counting an attempt. If the incarnation has ended, attributeLostRuns has recorded
// the lost runs before; the expiry of a lease is no evidence against them.
//
// A run that the incarnation never confirmed may be on the incarnation that now bears its ID, because the start was addressed to the ID and may be carried out late. Such a
// run is handed on to that incarnation.
func (c *session) abandonRuns(w *worker, which func(t *job.Task, r *run) bool) {
	heir, now := c.successorOf(w), c.now()
	for t, r := range w.runs {
		if !which(t, r) {
			continue
		}
		if w.idRetired {
			c.clearLate(t)
		}
		w.dropRun(t)
		switch {
		case t.Run != r.number:
		case heir != nil && (w.mayBeAtSuccessor(r) || t.MayComeLate(now)) && t.Phase != job.Finished && !t.Job.State.Ended():
			c.carryOver(heir, t, r)
		default:
			c.requeue(t)
		}
	}
	w.setSupersededRuns(nil)
}

// listMachines requests the list of instances and their incarnations from the machine interface.
func (c *session) listMachines() {
	c.machinesAsking = true
	c.machinesAskedAt = c.now()
	asked := c.machinesAskedAt
	c.background.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, listTimeout)
		defer cancel()
		list, err := c.Machines.List(ctx)
		c.post(machinesListed{list: list, asked: asked, err: err})
	})
}

// machinesListed is the result of listMachines.
type machinesListed struct {
	list  []Machine
	asked time.Time
	err   error
}

func (m machinesListed) apply(c *session) {
	c.machinesAsking = false
	if m.err != nil { // retried at the next interval
		c.emit(event.PlatformUnreachable, event.Subject{Entry: c.Entry}, "list of instances: %v", m.err)
		return
	}
	now := c.now()
	c.machinesListTime = now.Sub(m.asked) // a list that fails takes until its timeout, which tells nothing about the next one
	c.machinesListedAt = m.asked
	named := make(map[string]bool, len(m.list))
	for _, x := range m.list {
		named[x.Name] = true
		if now.After(c.listIgnoredUntil[x.Name]) {
			c.machines[x.Name] = x
		}
	}
	for name := range c.machines {
		if !named[name] {
			delete(c.machines, name)
		}
	}
	c.machineNames = nil // the set may differ even if its size does not
	for _, w := range c.workers {
		c.checkInstance(w, now)
	}
}

// checkInstance ends a silent incarnation if the list of instances names another incarnation for its instance, or does not name the instance.
func (c *session) checkInstance(w *worker, now time.Time) {
	if w.silentSince.IsZero() || now.Sub(w.listedSince) < minKnownTime || now.Sub(w.silentSince) < silentAfter || w.Machine == "" {
		w.missedLists = 0
		return
	}
	x, ok := c.machines[w.Machine]
	switch {
	case ok && (x.ID != w.ID || x.Pool != w.Pool):
		if x.ID != w.ID {
			c.retireID(w)
		}
		c.endIncarnation(w, "the machine interface knows its instance by another life")
	case ok:
		w.missedLists = 0
	case w.missedLists > 0: // the pages of a list are no consistent snapshot, so one omission is not enough
		c.endIncarnation(w, "the machine interface knows its instance no longer")
	default:
		w.missedLists++
	}
}
