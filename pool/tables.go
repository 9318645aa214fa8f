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
	"rackstep.dev/maintenance"
	"rackstep.dev/org"
	"rackstep.dev/place"
	"rackstep.dev/work"
)

// worker is a row of the workers table. It represents one incarnation of a worker.
type worker struct {
	work.Worker
	clock *clock.Clock
	// candidate is the worker with its free capacity, according to this table.
	candidate place.Candidate
	// runs are the tasks whose latest run is, or may be, on this worker.
	runs map[*job.Task]*run
	// ledger counts the resources that each organisation uses. Runs added to and dropped from this row are counted
	// there.
	ledger *org.Ledger
	// supersededRuns are the runs in its latest report that are no longer the latest run of their task. unknownRuns
	// counts the reported runs of unknown jobs.
	supersededRuns []supersededRun
	unknownRuns    int
	// strayRuns maps the runs that belong to no task to the time at which they were told to stop.
	strayRuns map[strayRun]time.Time
	// listed is set while the platform lists the incarnation. An incarnation that is not listed gets no starts.
	listed bool
	// knownAtTakeover is set if the incarnation was known when the tables were read, so that the earlier leader may have
	// counted it and leased work on it.
	knownAtTakeover bool
	// unreadable is set while its entry in the list can't be parsed. It gets no starts then, and its runs go on.
	unreadable bool
	// listedAtConfirmation is set if the incarnation was listed when the store last confirmed the lead.
	listedAtConfirmation bool
	// answered is set once the incarnation has answered this leader. No order of an earlier leader is accepted there from
	// then on. fullyListed is set once it has also listed all that had come of such orders, see listing.go.
	answered, fullyListed bool
	// answeredAt is when its first answer was processed, or zero before that.
	answeredAt time.Time
	// partlyListedSince is when its first report that was not complete arrived, or zero if the first one was complete.
	partlyListedSince time.Time
	// listedSince is when the incarnation was first listed here. askedAt is when the call that it answered last was sent.
	// reportedAt is a lower bound of the time at which its latest report was made.
	listedSince, askedAt, reportedAt time.Time
	// silentSince is when it stopped answering, or zero while it answers.
	silentSince time.Time
	// callFailedAt is when the call failed that made it silent.
	callFailedAt time.Time
	// startsPausedUntil is the time until which it gets no starts; startPauses counts such pauses in a row.
	startsPausedUntil time.Time
	startPauses       int
	// lastUnknownJob is the job of the latest start that the worker refused as unknown, or nil if it has accepted a
	// start since.
	lastUnknownJob *job.Job
	// lastProcessedEnd is the number of the latest end that the tables reflect.
	lastProcessedEnd int64
	// unackedEnds are the ends up to lastProcessedEnd that the worker must still remember, oldest first.
	unackedEnds []unstoredEnd
	// leftAt is when it began to leave or was no longer listed, or zero.
	leftAt time.Time
	// coldUntil is until when it is slow after its start, according to its latest statement.
	coldUntil time.Time
	// beingEmptied is set while its runs are to end for a maintenance or a move of the instance.
	beingEmptied bool
	// drained is set while its data centre is drained.
	drained bool
	// trial is the suspect task that is tried here, or nil, and trialRun is its run. Nothing else starts here
	// meanwhile. lastStartAt is when a run was last planned or ordered here.
	trial    *job.Task
	trialRun int64
	// trialGroup holds the runs of suspects that are tried here together. Nothing else starts here meanwhile.
	trialGroup  map[*job.Task]int64
	lastStartAt time.Time
	// missedLists counts the consecutive lists of instances that did not contain its instance.
	missedLists int
	// lostReason is why its incarnation has ended. It is set while the end waits for the store to confirm the lead, and
	// hasNoRuns while the incarnation goes on.
	lostReason string
	// token is the fencing token of all calls to its ID, shared by the incarnations with that ID. Only answers to calls with
	// requiredToken or a higher token count.
	token         *atomic.Int64
	requiredToken atomic.Int64
	// endedLate are tasks whose runs have ended here although a start of theirs may still be carried out under the ID, see noteLateEnd.
	endedLate []*job.Task
	// idRetired is set if no later incarnation will use its ID.
	idRetired bool
	// successor is the incarnation that has replaced it under its ID, or nil as long as it is not known to have ended.
	successor *worker
	// unreadRuns counts the runs in its report whose jobs may not have been read yet.
	unreadRuns int
	// failures counts consecutive failed runs.
	failures int
	cancel   context.CancelFunc

	// acked is the number of the latest end that is stored. The hold loop waits for ackSignal after it has received
	// unackedEnds.
	acked     atomic.Int64
	ackSignal chan struct{}
	// runCount counts all runs on the worker; wake ends the pause of its hold loop.
	runCount atomic.Int32
	wake     chan struct{}
	// finiteRuns counts the runs of tasks that are not lasting. Holds wait for their ends.
	finiteRuns atomic.Int32
	// mixedLoad is set while filling tasks run next to serving tasks, whose latency must be read often then.
	mixedLoad atomic.Bool

	// ackDelayed is set while the acknowledgement of an end is delayed until no start of its task can be carried out
	// late.
	ackDelayed atomic.Bool

	mu    sync.Mutex
	lease work.Lease
	// pendingAt is the send time of the latest unanswered start.
	pendingAt time.Time
}

// run is the state of a task's run on a worker.
type run struct {
	number int64
	// confirmed is the worker's clock when it confirmed the run, or 0.
	confirmed work.Clock
	// confirmedAt is when this leader first learned that the worker has the run.
	confirmedAt time.Time
	// deadline is the deadline of the start. A start that arrives later has no effect.
	deadline work.Clock
	// previous is the number of the task's run before.
	previous int64
	// sent is set once the order has been sent. fromEarlierLeader is set if an earlier leader ordered the run or
	// planned to.
	sent, fromEarlierLeader bool
	// carriedOver is set if the run was ordered under the previous incarnation, which has ended. The next report of this
	// incarnation tells whether it has the run.
	carriedOver bool
	// confirmedEarlier is set if the run was carried over and an earlier incarnation had confirmed it.
	confirmedEarlier bool
	ticket           string
	// slack is how much time the job had left to be on time when the run was planned. It is logged, and counts for the
	// size of the pool.
	slack time.Duration
	// unanswered is set if the start got no answer and the run is not confirmed. pending holds the unanswered attempts;
	// orderCount counts all attempts on this incarnation. inFlight is set during one, resendPlanned before the next one.
	unanswered              bool
	pending                 pendingStarts
	orderCount              int
	inFlight, resendPlanned bool
	// restatesSettled is set if the store may say that an earlier run of the task with the same number was settled. The next record of
	// the job's settled runs replaces that.
	restatesSettled bool
	// settledStored is set once the next leader would know that no start of the run can be carried out any more.
	settledStored bool
	// handedOnInFlight is set if the run was carried over during an attempt, which pending counts.
	handedOnInFlight bool
	// startUnknown is set if it is not known when the run began: an earlier leader ordered it, or it was carried over. Its task's RunSince is no start time then.
	startUnknown bool
	// inherited is set if an earlier leader ordered the run on this incarnation and can have completed its task by no other run, until it is known that it has
	// not done so.
	inherited bool
	// stopSent is set once a stop has been sent. stopped is the worker's clock in the answer to it.
	stopSent bool
	// orderedAt is when the order was sent, or zero for a run of an earlier leader.
	orderedAt time.Time
	stopped   work.Clock
	sentAt    time.Time
	pace      int
}

// strayRun is a run that belongs to no task. Runs of different tasks may have the same number.
type strayRun struct {
	task   string
	number int64
}

// supersededRun is the step and the organisation of a run that is no longer the latest of its task.
type supersededRun struct {
	task         *job.Task
	organisation string
	step         *job.Step
}

func newWorker(w work.Worker, clock *clock.Clock, ledger *org.Ledger) *worker {
	row := &worker{Worker: w, clock: clock, ledger: ledger, listedSince: clock.ExactNow(), strayRuns: make(map[strayRun]time.Time), runs: make(map[*job.Task]*run), listed: true, ackSignal: make(chan struct{}, 1), wake: make(chan struct{}, 1)}
	row.candidate = place.Candidate{Worker: &row.Worker, Free: w.Capacity}
	row.coldUntil = row.listedSince.Add(w.Cold)
	return row
}

// deadline returns the end of a lease by the worker's clock and records the lease as sent.
func (w *worker) deadline(d time.Duration, now time.Time) work.Clock {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.lease.Deadline(d, now)
	w.lease.Sent(c)
	return c
}

func (w *worker) readClock(c work.Clock) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lease.Observe(c, w.clock.ExactNow()) // a time that is too early would make the next deadline too late
}

// boundLease records that an earlier leader may have leased work there until the given time.
func (w *worker) boundLease(until time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lease.ExtendTo(until)
}

func (w *worker) leasedUntil() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lease.Until()
}

// remainingLease returns for how long work may still be leased there, or 0 if no lease is left.
func (w *worker) remainingLease(now time.Time) time.Duration {
	return max(w.leasedUntil().Sub(now), 0).Round(time.Millisecond)
}

// ack lets the worker forget its ends up to n.
func (w *worker) ack(n int64) {
	if n <= w.acked.Load() {
		return
	}
	w.acked.Store(n)
	select {
	case w.ackSignal <- struct{}{}:
	default:
	}
}

// usable reports whether the worker may get starts.
func (w *worker) usable(now time.Time) bool {
	return w.listed && !w.unreadable && w.lostReason == "" && w.answered && !w.Leaving && !w.beingEmptied && !w.drained && w.silentSince.IsZero() && !now.Before(w.startsPausedUntil)
}

// fits reports whether the worker has free capacity for a task of the step.
func (w *worker) fits(step *job.Step) bool {
	need, free := place.Charge(step), w.candidate.Free
	return !free.Minus(need).AnyNegative()
}

// hasNoRuns reports whether the worker runs nothing and has listed all ends, according to its own report.
func (w *worker) hasNoRuns() bool {
	return len(w.runs) == 0 && w.unreadRuns == 0 && w.fullyListed && w.silentSince.IsZero()
}

// hasLasting reports whether lasting tasks run on the worker.
func (w *worker) hasLasting() bool { return w.candidate.Serving+w.candidate.Filling > 0 }

// updateCold records for how much longer the worker says that it is slow. A duration that is not longer than the
// previous one does not extend the period.
func (w *worker) updateCold(d time.Duration, now time.Time) {
	if until := now.Add(d); d > w.Cold || until.Before(w.coldUntil) {
		w.coldUntil = until
	}
}

// pauseStarts stops starts on the worker for a while, twice as long for each consecutive pause.
func (w *worker) pauseStarts(now time.Time) {
	w.startPauses = min(w.startPauses+1, 5)
	w.startsPausedUntil = now.Add(firstStartPause << (w.startPauses - 1))
}

// firstStartPause is the first pause after a worker could not take a start. It doubles up to 16 times this value.
const firstStartPause = 100 * time.Millisecond

// addRun adds a run and its resource usage to the row; dropRun removes them.
func (w *worker) addRun(t *job.Task, r *run) {
	w.runs[t] = r
	w.charge(t, -1)
	w.runCount.Add(1)
	w.wakeHold()
}

// wakeHold makes a pausing hold loop poll the worker immediately.
func (w *worker) wakeHold() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *worker) dropRun(t *job.Task) {
	if w.runs[t] == nil {
		return
	}
	delete(w.runs, t)
	w.charge(t, 1)
	w.runCount.Add(-1)
}

// setSupersededRuns replaces the runs that are no longer the latest of their task. They use resources until they have
// ended.
func (w *worker) setSupersededRuns(now []supersededRun) {
	for _, b := range w.supersededRuns {
		w.candidate.Free = w.candidate.Free.Plus(place.Charge(b.step))
		w.ledger.Release(b.organisation, b.step.Need)
	}
	for _, b := range now {
		w.candidate.Free = w.candidate.Free.Minus(place.Charge(b.step))
		w.ledger.Acquire(b.organisation, b.step.Need)
	}
	w.supersededRuns = now
}

// listsSuperseded reports whether the worker's latest report lists a run of the task that is not the latest one.
func (w *worker) listsSuperseded(t *job.Task) bool {
	return slices.ContainsFunc(w.supersededRuns, func(b supersededRun) bool { return b.task == t })
}

func (w *worker) charge(t *job.Task, sign int) {
	s := t.Spec()
	n := place.Charge(s)
	if sign < 0 {
		w.ledger.Acquire(t.Job.Spec.Organisation, s.Need)
	} else {
		w.ledger.Release(t.Job.Spec.Organisation, s.Need)
	}
	w.candidate.Free = w.candidate.Free.Plus(n.Times(sign))
	if !s.Lasting {
		w.finiteRuns.Add(int32(-sign))
		return
	}
	w.candidate.HeldByLasting = w.candidate.HeldByLasting.Minus(n.Times(sign))
	if s.Fills {
		w.candidate.Filling -= sign
	} else {
		w.candidate.Serving -= sign
	}
}

// addWorker adds an incarnation to the tables and marks its record to be stored. An incarnation gets no work until its record is
// stored, whether it became known through the list, through an answer to a call or through the records of an earlier
// leader.
func (c *session) addWorker(w *worker) {
	c.workers[w.Incarnation] = w
	delete(c.retiredIDs, w.ID) // the ID is in use again
	delete(c.offIDs, w.ID)
	c.bootIDsKnown = c.bootIDsKnown || w.BootID != 0
	c.markIncarnationDirty(w.Incarnation)
	w.drained = c.drains[w.DataCentre] != nil
	c.assignToken(w)
	c.incarnationsByMachine[w.Machine] = append(c.incarnationsByMachine[w.Machine], w)
	c.incarnationsByID[w.ID] = append(c.incarnationsByID[w.ID], w)
}

// removeWorker removes an incarnation from the tables.
func (c *session) removeWorker(w *worker) {
	delete(c.workers, w.Incarnation)
	if w.answered {
		c.answeredCount--
	}
	dropRow(c.incarnationsByMachine, w.Machine, w)
	dropRow(c.incarnationsByID, w.ID, w)
}

// dropRow removes a row from the index entry of a key.
func dropRow(rows map[string][]*worker, key string, w *worker) {
	rest := slices.DeleteFunc(rows[key], func(o *worker) bool { return o == w })
	if len(rest) == 0 {
		delete(rows, key)
		return
	}
	rows[key] = rest
}

// groupKey identifies the tasks of one step at one start time of a job.
type groupKey struct {
	job        string
	time, step int
}

// poolRow is a row of the pools table.
type poolRow struct {
	name string
	// open holds the groups with waiting tasks that are due.
	open map[groupKey]*place.Group
	// dirty is set if something changed that may let tasks start.
	dirty bool
	// nextLookAt is the earliest time of the next placement pass, and lookedAt the time of the latest one.
	nextLookAt, lookedAt time.Time
	// load is the work that runs and waits in the pool. meanRunSeconds is the mean duration of a run.
	load           load
	meanRunSeconds float64
	// recentNeeds are recent values of its demand, oldest first.
	recentNeeds []needSample
	// suspectsSince is, by lost incarnation, since when suspects wait for their trials.
	suspectsSince map[string]time.Time
	// loggedSize is the size that was last logged, at loggedAt.
	loggedSize maintenance.Pool
	loggedAt   time.Time
	// recentWork is the work submitted recently, oldest first.
	recentWork []submission
}
