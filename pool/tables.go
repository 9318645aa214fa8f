// SPDX-License-Identifier: MIT

package pool

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"rackstep.dev/internal/clock"
	"rackstep.dev/job"
	"rackstep.dev/org"
	"rackstep.dev/place"
	"rackstep.dev/upkeep"
	"rackstep.dev/work"
)

// worker is a row of the table of workers: one life.
type worker struct {
	work.Worker
	clock *clock.Clock
	// room is what the worker has free by this table.
	room place.Candidate
	// runs are the tasks whose latest run is or may be here.
	runs map[*job.Task]*run
	// ledger counts what organisations have running; what is added to and dropped from this row is counted there.
	ledger *org.Ledger
	// besides are the steps of the runs there that are no task's latest, by its latest report; unknown counts the runs of jobs that nobody knows.
	besides []beside
	unknown int
	// strays are the runs that belong to no task, and when they were told to stop.
	strays map[int64]time.Time
	// listed says that the platform lists the life; one that is no longer listed gets no starts.
	listed bool
	// before says that it was known when the tables were read, so that the earlier leader may have counted and leased it.
	before bool
	// misread says that its entry in the list can't be read: it gets no starts, and what runs there goes on.
	misread bool
	// sure says that it was listed when the store last confirmed the lead.
	sure bool
	// heard says that it answered this leader, so that no order of an earlier one can land there.
	heard bool
	// since is when the life was first listed here; asked is when it was asked what it answered last, told the time that
	// its latest report is at the least as new as.
	since, asked, told time.Time
	// silentSince is when it stopped answering; zero while it answers.
	silentSince time.Time
	// brokeAt is when the call failed that made it silent.
	brokeAt time.Time
	// restUntil is until when it gets no starts, and rests how often in a row that was so.
	restUntil time.Time
	rests     int
	// unknownJob is the job of the latest start that the worker took for a mistake, since it last took one.
	unknownJob *job.Job
	// processed is the newest end that the tables have taken in.
	processed int64
	// ends are those up to processed that it must not forget yet, oldest first.
	ends []unkeptEnd
	// leftAt is when it began to leave, or was no longer listed; zero otherwise.
	leftAt time.Time
	// coldUntil is until when it is slow since its start, by what it last said of it.
	coldUntil time.Time
	// out says that it is to be emptied for its upkeep or a move.
	out bool
	// drained says that its data centre is drained.
	drained bool
	// trial is the suspect that is tried here, nil for none, and trialRun its run: nothing else starts meanwhile. newestAt is when a run was
	// last planned or ordered here.
	trial    *job.Task
	trialRun int64
	newestAt time.Time
	// unnamed counts the lists of instances in a row that did not name its own.
	unnamed int
	// lost says why its life has ended, until the store confirms the lead; empty while it lives.
	lost string
	// token is the fencing token of all calls under the ID; it is shared by the lives that bear it. needs is the one that an answer must have been
	// asked under to count.
	token *atomic.Int64
	needs atomic.Int64
	// idRetired says that no later life will use its ID.
	idRetired bool
	// heir is the life that has followed under its ID, nil while it is not known to be over.
	heir *worker
	// unread counts the runs it lists whose jobs may still be read.
	unread int
	// failures counts failed runs in a row.
	failures int
	cancel   context.CancelFunc

	// acked is the newest end that is kept; the hold loop waits for signal after it has seen ends.
	acked  atomic.Int64
	signal chan struct{}
	// held counts all runs there; wake ends the rest of its hold loop.
	held atomic.Int32
	wake chan struct{}
	// brief counts the runs there that do not last: their ends are waited for.
	brief atomic.Int32
	// mixed says that filling tasks run beside serving ones, whose figures must be read often.
	mixed atomic.Bool

	// ackDelayed says that the acknowledgement of an end is delayed until no start of its task can be carried out late.
	ackDelayed atomic.Bool

	mu    sync.Mutex
	lease work.Lease
	// pendingAt is the send time of the latest unanswered start.
	pendingAt time.Time
}

// run is what the tables know of a task's run on a worker.
type run struct {
	number int64
	// confirmed is the worker's clock when it confirmed the run, 0 before.
	confirmed work.Clock
	// deadline is the start's; a start that is carried out later does nothing.
	deadline work.Clock
	// sent says that the order has left; earlier that an earlier leader ordered the run, or meant to.
	sent, earlier bool
	// handedOn says that it was ordered under the life before, which has ended; the next report of this one tells whether it has the run.
	handedOn bool
	// confirmedBefore says of a run that was handed on that an earlier life had confirmed it.
	confirmedBefore bool
	ticket          string
	// slack is what the job had left to be on time when the run was planned; it is for the log.
	slack time.Duration
	// unanswered says that the start got no answer; pending holds its unanswered attempts, and rounds counts its orders, including the first.
	unanswered bool
	pending    pendingStarts
	rounds     int
	// stopSent says that a stop is on its way or was answered; stopped is the worker's clock of that answer.
	stopSent bool
	// began is when the order left, zero for a run of an earlier leader.
	began   time.Time
	stopped work.Clock
	sentAt  time.Time
	pace    int
}

// beside is the step of a run that is no task's latest, and whose it is.
type beside struct {
	organisation string
	step         *job.Step
}

func newWorker(w work.Worker, clock *clock.Clock, ledger *org.Ledger) *worker {
	row := &worker{Worker: w, clock: clock, ledger: ledger, since: clock.Sure(), strays: make(map[int64]time.Time), runs: make(map[*job.Task]*run), listed: true, signal: make(chan struct{}, 1), wake: make(chan struct{}, 1)}
	row.room = place.Candidate{Worker: &row.Worker, Free: w.Capacity}
	row.coldUntil = row.since.Add(w.Cold)
	return row
}

// deadline returns a lease's end by the worker's clock, and takes note of it.
func (w *worker) deadline(d time.Duration, now time.Time) work.Clock {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.lease.Deadline(d, now)
	w.lease.Sent(c)
	return c
}

func (w *worker) read(c work.Clock) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lease.Observe(c, w.clock.Sure()) // one that is too early would have the next deadline too late
}

// bound takes note that an earlier leader may have leased something there until the time.
func (w *worker) bound(until time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lease.ExtendTo(until)
}

func (w *worker) leasedUntil() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lease.Until()
}

// leasedFor returns for how long something may still be leased there; 0 once nothing can be.
func (w *worker) leasedFor(now time.Time) time.Duration {
	return max(w.leasedUntil().Sub(now), 0).Round(time.Millisecond)
}

// ack lets the worker forget ends up to n.
func (w *worker) ack(n int64) {
	if n <= w.acked.Load() {
		return
	}
	w.acked.Store(n)
	select {
	case w.signal <- struct{}{}:
	default:
	}
}

// usable says whether the worker may get starts.
func (w *worker) usable(now time.Time) bool {
	return w.listed && !w.misread && w.lost == "" && w.heard && !w.Leaving && !w.out && !w.drained && w.silentSince.IsZero() && !now.Before(w.restUntil)
}

// empty says whether nothing runs there by its own word.
func (w *worker) empty() bool {
	return len(w.runs) == 0 && w.unread == 0 && w.heard && w.silentSince.IsZero()
}

// coldFor takes note of how much longer the worker says that it is slow: a time that is no longer than the one before goes on running out.
func (w *worker) coldFor(d time.Duration, now time.Time) {
	if until := now.Add(d); d > w.Cold || until.Before(w.coldUntil) {
		w.coldUntil = until
	}
}

// rest keeps starts from the worker for a while, longer each time in a row.
func (w *worker) rest(now time.Time) {
	w.rests = min(w.rests+1, 5)
	w.restUntil = now.Add(restFirst << (w.rests - 1))
}

// restFirst is the first pause after a worker refused to start anything; it doubles up to 16 times that.
const restFirst = 100 * time.Millisecond

// add counts a run in; drop counts it out.
func (w *worker) add(t *job.Task, r *run) {
	w.runs[t] = r
	w.count(t, -1)
	w.held.Add(1)
	w.endRest()
}

// endRest has the worker asked at once if its hold loop rests.
func (w *worker) endRest() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *worker) drop(t *job.Task) {
	if w.runs[t] == nil {
		return
	}
	delete(w.runs, t)
	w.count(t, 1)
	w.held.Add(-1)
}

// setBesides takes over what runs hold that are no task's latest: it counts until they have ended.
func (w *worker) setBesides(now []beside) {
	for _, b := range w.besides {
		w.room.Free = w.room.Free.Plus(place.Charge(b.step))
		w.ledger.Release(b.organisation, b.step.Need)
	}
	for _, b := range now {
		w.room.Free = w.room.Free.Minus(place.Charge(b.step))
		w.ledger.Acquire(b.organisation, b.step.Need)
	}
	w.besides = now
}

func (w *worker) count(t *job.Task, sign int) {
	s := t.Spec()
	n := place.Charge(s)
	if sign < 0 {
		w.ledger.Acquire(t.Job.Spec.Organisation, s.Need)
	} else {
		w.ledger.Release(t.Job.Spec.Organisation, s.Need)
	}
	w.room.Free.MilliCPU += sign * n.MilliCPU
	w.room.Free.MemoryMB += sign * n.MemoryMB
	w.room.Free.GPU += sign * n.GPU
	switch {
	case s.Lasting && s.Fills:
		w.room.Filling -= sign
	case s.Lasting:
		w.room.Serving -= sign
	default:
		w.brief.Add(int32(-sign))
	}
}

// addWorker adds a life to the tables and marks its record to be stored: a life gets no work until its record is stored, whether the list, an
// answer to a call or the records of an earlier leader introduced it.
func (c *session) addWorker(w *worker) {
	c.workers[w.Life] = w
	c.lifeChanged(w.Life)
	w.drained = c.drains[w.DataCentre] != nil
	c.giveToken(w)
	c.lives[w.Machine] = append(c.lives[w.Machine], w)
	c.bearers[w.ID] = append(c.bearers[w.ID], w)
}

// removeWorker takes a life out of the tables.
func (c *session) removeWorker(w *worker) {
	delete(c.workers, w.Life)
	if w.heard {
		c.heard--
	}
	dropRow(c.lives, w.Machine, w)
	dropRow(c.bearers, w.ID, w)
}

// dropRow takes a row out of those under a key.
func dropRow(rows map[string][]*worker, key string, w *worker) {
	rest := slices.DeleteFunc(rows[key], func(o *worker) bool { return o == w })
	if len(rest) == 0 {
		delete(rows, key)
		return
	}
	rows[key] = rest
}

// groupKey names the tasks of one step of one time.
type groupKey struct {
	job        string
	time, step int
}

// poolRow is a row of the table of pools.
type poolRow struct {
	name string
	// open are the groups with waiting tasks whose turn has come.
	open map[groupKey]*place.Group
	// dirty says that something changed that may let tasks start.
	dirty bool
	// next is when it is looked at again at the earliest.
	next time.Time
	// load is what its workers do and what waits, ran the mean time of a run in seconds.
	load load
	ran  float64
	// needs are what it lately needed, oldest first.
	needs []need
	// told is its size as the log last had it, at toldAt.
	told   upkeep.Pool
	toldAt time.Time
	// handed is the work handed in of late, oldest first.
	handed []handed
}
