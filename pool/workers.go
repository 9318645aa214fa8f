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

// Times of the holds.
const (
	// holdWait is how long a hold waits for an end; the longest that workers allow.
	holdWait = 2 * time.Second
	// briefWait is the same where tasks run that end, and briefTimeout bounds such a hold beyond it: until a hold without an answer is given up
	// nothing is heard of what ends there. With one call in twenty-five unanswered for some seconds days were worth 0.05 more than with the
	// longer ones (7 pairs, 0.45 to 0.54 on the hardest), 0.013 more with half a second and 0.7 s; an answer takes 2 to 8 ms.
	briefWait    = 300 * time.Millisecond
	briefTimeout = 350 * time.Millisecond
	// holdTimeout bounds a hold beyond its wait.
	holdTimeout = 700 * time.Millisecond
	// firstTimeout bounds a worker's first hold: a new leader sends as many at once as there are workers, and one that it has
	// given up on costs a connection more.
	firstTimeout = 2 * time.Second
	// ackWait is how long the next hold waits for the ends of the last one to be kept; without the store holds go on
	// at this pace, since a worker answers at once while it lists ends.
	ackWait = 600 * time.Millisecond
	// ackDelayedWait replaces ackWait while the acknowledgement of an end is delayed, so that other ends are received in time.
	ackDelayedWait = 100 * time.Millisecond
	// retryFirst and retryMost bound the pause after a hold that failed.
	retryFirst = 100 * time.Millisecond
	retryMost  = time.Second
	// bornWithin is how long after its last answer a worker that may begin anew under its ID is asked each retryFirst.
	bornWithin = 3 * time.Second
	// unsureWait is how long a hold waits while the store has confirmed nothing for unsureAfter, two renewals: the proof
	// that the workers' answers give is then needed, and is as old as the wait.
	unsureWait  = 500 * time.Millisecond
	unsureAfter = 700 * time.Millisecond
	// toldWithin is how new a worker's latest report must be for what it said of a lasting task to count: a whole hold and
	// the pause after it.
	toldWithin = 2500 * time.Millisecond
	// settledAfter is how long a life must be known before the machine interface may declare it ended: its answers
	// may lag behind the list of workers.
	settledAfter = 2500 * time.Millisecond
	// askMachinesEvery is the pause between two looks at the machine interface while workers are silent.
	askMachinesEvery = 700 * time.Millisecond
	// lookEvery is the pause between two looks at all instances.
	lookEvery = 1500 * time.Millisecond
	// lookRest is how many times as long as the last look took the next one is put off: the list goes with the fleet.
	lookRest = 5
	// listTimeout bounds a list of all instances, which comes in pages; the adapter bounds each of them.
	listTimeout = 6 * time.Second
	// silentAfter is how long a worker is silent before the machine interface is asked about it.
	silentAfter = 500 * time.Millisecond
)

// followWorkers hands on what the list of workers says.
func (c *session) followWorkers() {
	from := c.serversEnd
	for c.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(c.ctx, intakeWait+storeTimeout)
		page, err := c.Workers.Read(ctx, from, intakeWait)
		cancel()
		whole := false
		var trimmed *feed.TrimmedError
		if errors.As(err, &trimmed) {
			ctx, cancel := context.WithTimeout(c.ctx, 3*storeTimeout)
			page, err = c.Workers.Newest(ctx)
			cancel()
			whole = true
		}
		if err != nil {
			sleep(c.ctx, storePause)
			continue
		}
		from = page.Next
		c.post(workersRead{page: page, whole: whole})
		sleep(c.ctx, workersEvery)
	}
}

// workersRead is a page of the list of workers; whole ones name every life that is listed.
type workersRead struct {
	page  feed.KeyedPage
	whole bool
}

func (m workersRead) apply(c *session) {
	named := make(map[string]bool)
	slices.SortFunc(m.page.Records, func(a, b feed.KeyedRecord) int { return cmp.Compare(a.Offset, b.Offset) })
	for _, r := range m.page.Records {
		named[r.Key] = len(r.Value) > 0
		if w := c.listWorker(r.Key, r.Value); w != nil {
			c.startHolds(w)
		}
	}
	if !m.whole {
		return
	}
	for _, w := range c.workers {
		if !named[w.ID] && w.listed {
			c.unlist(w)
		}
	}
}

// listWorker takes in a record of the list and returns the worker if it is new.
//
// An entry of another life under the ID ends none that is listed: which of them lives is told by who answers.
func (c *session) listWorker(id string, value []byte) *worker {
	if len(value) == 0 {
		c.foreign.drop(id)
		for _, w := range c.bearing(id) {
			if w.listed {
				c.unlist(w)
			}
		}
		return nil
	}
	row, err := c.readEntry(id, value)
	if err != nil {
		c.misread(id, value, err)
		return nil
	}
	c.readAgain(id)
	w := c.workers[row.Life]
	if w == nil {
		if c.over[row.Life] {
			return nil // its record is older than the proof that it has ended
		}
		w = newWorker(row, c.Clock, &c.ledger)
		c.addWorker(w)
		c.emit(event.WorkerSeen, event.Subject{Instance: row.Life}, "machine=%s pool=%s room=%d leaving=%t", row.Machine, row.Pool, row.Capacity.MilliCPU, row.Leaving)
		return w
	}
	if w.Leaving != row.Leaving || !w.listed {
		c.emit(event.WorkerSeen, event.Subject{Instance: w.Life}, "machine=%s pool=%s leaving=%t", row.Machine, row.Pool, row.Leaving)
	}
	c.updateWorker(w, row)
	return nil
}

// updateWorker takes over what a known life says anew.
func (c *session) updateWorker(w *worker, row work.Worker) {
	if row.Capacity != w.Capacity {
		c.emit(event.WorkerSeen, event.Subject{Instance: w.Life}, "machine=%s pool=%s room=%d before=%d", row.Machine, row.Pool, row.Capacity.MilliCPU, w.Capacity.MilliCPU)
	}
	w.room.Free = w.room.Free.Plus(row.Capacity.Minus(w.Capacity)) // less than nothing where it has shrunk below what runs there
	left := row.Leaving && !w.Leaving
	if row.Machine != w.Machine {
		heard := w.heard
		c.removeWorker(w)
		w.Machine = row.Machine
		c.addWorker(w)
		if heard {
			c.heard++
		}
	}
	w.coldFor(row.Cold, c.now())
	w.Worker = row
	w.drained = c.drains[w.DataCentre] != nil
	w.listed = true
	c.dirtyPool(w.Pool)
	if left {
		c.leave(w)
	}
}

func (c *session) unlist(w *worker) {
	w.listed = false
	c.emit(event.WorkerSeen, event.Subject{Instance: w.Life}, "machine=%s no longer listed runs=%d", w.Machine, len(w.runs))
	c.leave(w)
}

// endOtherLives ends the earlier lives of the instance of a worker that has just answered for the first time: an
// instance has one life at a time. A list alone proves nothing, since it may name lives that have ended; neither does an answer to a call that
// was made before the other life was known.
func (c *session) endOtherLives(w *worker) {
	for _, o := range slices.Clone(c.lives[w.Machine]) {
		if o != w && o.Machine != "" && o.ID != w.ID && o.since.Before(w.asked) {
			o.idRetired = true
			c.lose(o, "the instance has a new life "+w.Life)
		}
	}
}

// startHolds begins to hold what runs on the worker.
func (c *session) startHolds(w *worker) {
	if c.ctx == nil || w.cancel != nil {
		return
	}
	ctx, cancel := context.WithCancel(c.ctx)
	w.cancel = cancel
	row := w.Worker // the goroutine's own copy: the table's may change
	c.work.Go(func() { c.hold(ctx, w, &row) })
}

// holdEnded is an answer to a hold, or the lack of one.
type holdEnded struct {
	worker *worker
	// token is what it was asked under.
	token int64
	// asked is when the hold was sent, wait how long its answer might wait for an end.
	asked  time.Time
	wait   time.Duration
	report work.Report
	err    error
	// failedAt is when the call failed, read at the call: a busy control goroutine looks at it late.
	failedAt time.Time
}

// told returns the time that the report is at the least as new as: without an end it has waited.
func (m holdEnded) told(now time.Time) time.Time {
	if waited := m.asked.Add(m.wait); len(m.report.Ended) == 0 && waited.Before(now) {
		return waited
	}
	return m.asked
}

// hold extends the leases on one worker and brings what it reports, until the context ends.
func (c *session) hold(ctx context.Context, w *worker, row *work.Worker) {
	pause := retryFirst
	first, silent, heard := true, false, c.exactNow()
	for ctx.Err() == nil {
		now := c.exactNow()
		o := work.Hold{Fence: w.token.Load(), Acked: w.acked.Load(), Wait: holdWait}
		// A hold without an answer may have been carried out, or may still be: its deadline counts as a lease that goes on.
		// So a worker that was silent is asked without one until it answers, or its lease would last as long as its silence.
		if !silent && c.mayOrder(now) {
			o.Deadline = w.deadline(c.leaseOf(w), now)
		}
		switch {
		case first || silent:
			o.Wait = 0
		case c.unsure(now):
			o.Wait = unsureWait
		case w.mixed.Load():
			o.Wait = pacedWait
		case w.brief.Load() > 0:
			o.Wait = briefWait
		}
		if o.Idle = w.held.Load() == 0; o.Idle && c.crowded() {
			o.Wait = 0 // its connection is for others
		}
		timeout := o.Wait + holdTimeout
		if o.Wait == briefWait {
			timeout = o.Wait + briefTimeout
		}
		if first {
			timeout = firstTimeout
		}
		leave := func() {}
		if first {
			leave = c.firstHolds.enter(ctx)
		}
		call, cancel := context.WithTimeout(ctx, timeout)
		rep, err := c.Calls.Hold(call, row, o)
		cancel()
		leave()
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, work.ErrTooManyConnections) {
			sleep(ctx, crowdedPause) // it was not asked, so it is not silent
			continue
		}
		if err == nil {
			w.read(rep.Clock)
		}
		c.post(holdEnded{worker: w, token: o.Fence, asked: now, wait: o.Wait, report: rep, err: err, failedAt: c.now()})
		silent = err != nil
		if err != nil || rep.Refusal != work.Accepted {
			sleep(ctx, c.retryPause(w, row.Birth, pause, heard))
			pause = min(2*pause, retryMost)
			continue
		}
		heard = now
		pause = retryFirst
		if first = o.Fence < w.needs.Load(); first {
			continue // this answer was asked under a token that has been raised since
		}
		w.awaitAck(ctx, rep.Ended)
		c.restIdle(ctx, w, row)
	}
}

// awaitAck waits until the ends are kept, so that the next hold may acknowledge them, but not for long.
func (w *worker) awaitAck(ctx context.Context, ends []work.EndedRun) {
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
		case <-w.signal:
		case <-t.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// watchLeases looks after workers that are silent: their runs are over when their life or their lease is.
func (c *session) watchLeases(now time.Time) {
	c.countProofs(now)
	c.countRaised(now)
	c.tellOfEarlier(now)
	silent := false
	workers, runs, pending := 0, 0, int32(0)
	for _, w := range c.workers {
		if w.lost != "" && c.confirmed(now) {
			c.lose(w, w.lost)
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
		if c.confirmed(now) && c.leaseOver(w, now) {
			c.endLease(w, now)
		}
	}
	c.counts.misread.Update(float64(len(c.foreign.entries)))
	c.silentPending.Store(pending)
	c.counts.silent.Update(float64(workers))
	c.counts.doubted.Update(float64(runs))
	c.endDoubts(now)
	every := lookEvery
	if silent || c.waving() {
		every = askMachinesEvery
	}
	if !c.machinesAsk && now.Sub(c.machinesAt) > max(every, lookRest*c.machinesTook) {
		c.askMachines()
	}
}

// waving says whether a wave of upkeep goes on.
func (c *session) waving() bool {
	for _, row := range c.waveRows {
		if !row.finished {
			return true
		}
	}
	return false
}

// leaseOver says whether nothing can run on the worker any more.
func (c *session) leaseOver(w *worker, now time.Time) bool {
	if now.Before(w.leasedUntil()) {
		return false
	}
	return w.heard || c.doubtOverOn(w, now)
}

// endDoubts lets those workers go that have not answered and on which the last lease of the earlier leader is over.
func (c *session) endDoubts(now time.Time) {
	ended := 0
	for life, w := range c.unheard {
		if c.doubtOverOn(w, now) {
			delete(c.unheard, life)
			ended++
		}
	}
	if ended > 0 {
		c.emit(event.WorkerLost, event.Subject{}, "the last lease of the earlier leader is over on %d workers", ended)
		c.dirtyAll()
	}
}

// endLease gives up the runs of a worker whose lease is over; one that is not listed either is forgotten.
//
// An order without an answer is not settled by that: a life that begins anew may carry it out, and its clock knows nothing of the order's deadline.
func (c *session) endLease(w *worker, now time.Time) {
	late := 0
	for t, r := range w.runs {
		if w.mayComeLate(t, r, now) {
			late++
		}
	}
	if !w.listed && late == 0 {
		c.leaveOut(w, "its lease is over and it is not listed") // it may live, and come back to the list
		return
	}
	if over := len(w.runs) - late; over > 0 {
		c.emit(event.WorkerLost, event.Subject{Instance: w.Life}, "its lease is over runs=%d late=%d", over, late)
		c.giveUpRuns(w, func(t *job.Task, r *run) bool { return !w.mayComeLate(t, r, now) })
	}
}

// lose takes a life that has ended out of the tables.
//
// That waits while the store does not confirm the lead: its runs would start elsewhere, but another
// leader may have heard their ends, and may have ended the life itself.
func (c *session) lose(w *worker, why string) {
	if !c.confirmed(c.now()) {
		w.lost = why
		return
	}
	c.over[w.Life] = true
	c.leaveOut(w, why)
}

// leaveOut takes a life out of the tables.
func (c *session) leaveOut(w *worker, why string) {
	c.emit(event.WorkerLost, event.Subject{Instance: w.Life}, "%s runs=%d", why, len(w.runs))
	c.counts.lost.Inc(1)
	if c.over[w.Life] && (w.heir == nil || w.Birth != 0) { // else it may be the very life that goes on
		c.endedUnder(w, c.now())
	}
	c.giveUpRuns(w, func(*job.Task, *run) bool { return true })
	if w.cancel != nil {
		w.cancel()
	}
	c.removeWorker(w)
	c.lifeChanged(w.Life)
	delete(c.workersKept, w.Life)
	delete(c.aside, lifeKey+w.Life)
	c.dirtyPool(w.Pool) // also for earlier jobs that waited for it
	delete(c.unheard, w.Life)
	go c.Calls.Forget(&w.Worker)
}

// giveUpRuns lets the tasks of a worker start elsewhere; nothing of them counts as an attempt. What a life that ended tells of them is taken
// note of before, by endedUnder: a lease that is over tells nothing.
//
// What the life never said that it had may be at the one that bears its ID now: the order named that ID, and may be carried out late.
func (c *session) giveUpRuns(w *worker, which func(t *job.Task, r *run) bool) {
	heir, now := c.heirOf(w), c.now()
	for t, r := range w.runs {
		if !which(t, r) {
			continue
		}
		if w.idRetired {
			c.clearLate(t)
		}
		w.drop(t)
		switch {
		case t.Run != r.number:
		case heir != nil && (w.unsettled(r) || t.MayComeLate(now)) && t.Phase != job.Finished && !t.Job.State.Ended():
			c.handOn(heir, t, r)
		default:
			c.requeue(t)
		}
	}
	w.setBesides(nil)
}

// askMachines asks the machine interface which lives there are.
func (c *session) askMachines() {
	c.machinesAsk = true
	c.machinesAt = c.now()
	asked := c.machinesAt
	c.work.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, listTimeout)
		defer cancel()
		list, err := c.Machines.List(ctx)
		c.post(machinesRead{list: list, asked: asked, err: err})
	})
}

// machinesRead is the machine interface's list.
type machinesRead struct {
	list  []Machine
	asked time.Time
	err   error
}

func (m machinesRead) apply(c *session) {
	c.machinesAsk = false
	c.machinesTook = c.now().Sub(m.asked)
	if m.err != nil { // asked again with the next look
		c.emit(event.PlatformUnreachable, event.Subject{Entry: c.Entry}, "list of instances: %v", m.err)
		return
	}
	now := c.now()
	c.machinesRead = m.asked
	named := make(map[string]bool, len(m.list))
	for _, x := range m.list {
		named[x.Name] = true
		if now.Sub(c.ownWord[x.Name]) > ownWord {
			c.machines[x.Name] = x
		}
	}
	for name := range c.machines {
		if !named[name] {
			delete(c.machines, name)
		}
	}
	c.names = nil // one may have come for each that has gone
	for _, w := range c.workers {
		c.judge(w, now)
	}
}

// judge ends a silent life when the machine interface knows its instance by another one, or not at all.
func (c *session) judge(w *worker, now time.Time) {
	if w.silentSince.IsZero() || now.Sub(w.since) < settledAfter || now.Sub(w.silentSince) < silentAfter || w.Machine == "" {
		w.unnamed = 0
		return
	}
	x, ok := c.machines[w.Machine]
	switch {
	case ok && (x.ID != w.ID || x.Pool != w.Pool):
		w.idRetired = x.ID != w.ID
		c.lose(w, "the machine interface knows its instance by another life")
	case ok:
		w.unnamed = 0
	case w.unnamed > 0: // pages are no snapshot: once may be a mistake
		c.lose(w, "the machine interface knows its instance no longer")
	default:
		w.unnamed++
	}
}
