// SPDX-License-Identifier: MIT

package pool

import (
	"cmp"
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"rackstep.dev/event"
	"rackstep.dev/job"
	"rackstep.dev/keep"
	"rackstep.dev/lead"
	"rackstep.dev/org"
	"rackstep.dev/place"
	"rackstep.dev/upkeep"
)

// Timing of the control loop.
const (
	// tickInterval is the period of the systems that are driven by time alone: leases, due times, waves and paces.
	tickEvery = 100 * time.Millisecond
	// batchDelay is how long messages are collected before the systems run, so that one pass serves several messages.
	batchDelay = 2 * time.Millisecond
)

// session is one term as leader: its tables and the control goroutine that owns them.
type session struct {
	*Scheduler
	term  lead.Term
	inbox *inbox
	ended chan struct{}
	ctx   context.Context
	work  sync.WaitGroup

	config *job.Catalog
	// ledger counts the resources that each organisation uses, according to the workers table; rate tracks the work
	// that organisations submit beyond their rates.
	ledger org.Ledger
	rate   org.Rate
	organisationMetrics
	jobs    map[string]*job.Job
	pools   map[string]*poolRow
	workers map[string]*worker
	// livesByMachine indexes workers by instance. answeredCount counts the lives that have answered this leader.
	lives map[string][]*worker
	heard int
	// livesByID indexes workers by worker ID.
	livesByID map[string][]*worker
	// tokens holds the fencing token of each worker ID, including IDs that no life has any more.
	tokens map[string]*atomic.Int64
	// foreign holds the entries in the list of workers that do not describe a usable worker.
	foreign foreign
	// endedLives holds the lives that have ended.
	over map[string]bool
	// dirtyJobs and dirtyLives hold the jobs and lives with unstored changes. legacyWorkersRecord is set while the
	// store still holds the single record of all lives that earlier versions wrote.
	dirty               keep.Rows[*job.Job]
	livesDirty          keep.Rows[struct{}]
	legacyWorkersRecord bool
	// writer appends to the state topic. It is used only by the append in progress.
	writer *keep.Writer
	// aside holds the records that the store always rejects.
	aside asideRecords
	// unstoredJobs maps each job with ordered but unstored runs to the job version that contains them. unacked holds
	// the workers with ends that are not stored yet.
	unkept  map[*job.Job]int64
	unacked map[*worker]bool
	// maxBatchBytes is the maximum size of a batch.
	batchMost int
	// modeSince is the start time of each degraded mode, or zero while the mode is off.
	modeSince [modeCount]time.Time
	// plannedStarts are the runs to order once they are stored. storedStarts are stored and wait until the leader may
	// give orders.
	planned, held []plannedStart
	// notDue holds the jobs with start times in the future.
	later map[string]*job.Job
	// mayHaveUnstoredRuns is set if an earlier leader may have started runs without storing them, because its store
	// was unavailable for a long time.
	coarse bool
	// readUnconfirmed holds the jobs that were read while the store did not confirm the lead. When a network
	// partition ends, another leader may already have started what is read then.
	readUnsure map[string]bool
	// unknownTasks maps each task that a worker lists without a known job to the time it was first listed.
	unread map[string]time.Time
	// inheritedJobs holds the jobs that an earlier leader may have started.
	restored map[string]bool
	// uncertainLives holds the lives that may still run what an earlier leader started. It is relevant until
	// doubtOver.
	unheard map[string]*worker
	// takeoverSteps holds the steps of the takeover that have been reached.
	takeoverSteps map[string]bool
	// soleLeaderFrom is the time from which the earlier leader certainly makes no more calls to the machine
	// interface, which accepts calls only from a leader that the store confirms.
	aloneFrom time.Time
	// tablesReadAt is when the tables were read; majorityFencedAt is when half of the workers had this leader's
	// token.
	readAt, raised time.Time
	// majorityAskedAt is the latest time since which a majority of the listed workers have been sent a call that they
	// answered. askTimes is a scratch buffer for computing it.
	mostAsked atomic.Pointer[time.Time]
	asked     []time.Time
	// confirmedInstances is the number of instances when the store last confirmed the lead.
	sure int
	// previousInstances is the number of instances that the previous leader counted.
	keptInstances int

	starts int64
	// startsInFlight counts the starts that have been sent and not answered.
	startsUnderWay int
	committing     bool
	// inFlight is the batch being appended; commitStartedAt is when its append began.
	inFlight    *commitEnded
	commitSince time.Time
	usualBatch  time.Duration // running average of the time that the store takes for a batch
	workersKept map[string]bool
	// intakeReadUntil is, for each partition of the intake, the time before which everything submitted has been read.
	fresh      []time.Time
	intakeEnd  []int64
	serversEnd int64
	// intakePartitions has one bit for each partition of the intake that holds records of a job. cancelled holds the
	// jobs that clients asked to cancel.
	intakePartitions map[job.Owned]uint64
	cancelled        map[job.Owned]bool
	// idConflicts holds the jobs whose ID is already in use by another organisation's job. idConflictsDirty is set
	// while some of them are not stored; idConflictsDropped are those to delete from the store.
	idConflicts  map[job.Owned]*idConflict
	takenDirty   bool
	takenGone    []job.Owned
	waveRows     map[int64]*waveRow
	drains       drains
	gone         []string  // jobs whose state is to be deleted from the store
	machinesAt   time.Time // when the machine interface was last asked for the list of instances
	machinesRead time.Time // when the list in the machines table was requested
	machinesAsk  bool
	machinesTook time.Duration // how long the last list took
	firstHolds   callLimiter   // limits first holds, to workers that have not answered yet
	idleRest     atomic.Int64  // pause between holds to a worker without work, see watchIdle
	alarm        alarm         // ends those pauses
	machines     map[string]Machine
	names        []string // names of the machines, see instanceNames
	tickets      map[string]*stepTickets
	advising     bool // a request to the advice service is in flight; it serves one at a time
	moves        map[string]*moveStep
	desk         desk
	cpuShortage  cpuShortage
	fleetScan    walk           // paces the scans over all instances: waves and the sizes of pools
	surplus      map[string]int // number of instances that each pool could give up, according to the latest sizing
	turns        upkeep.Turns
	whole        job.Need // mean capacity of an instance
	began        time.Time
	lessons      map[string]*lesson
	lessonsAt    time.Time // when the lessons were last stored
	// sideKeys is the set of keys of the stored side records of jobs.
	sideKeys map[string]bool
	// silentPending counts the silent workers whose next life may carry out an unanswered start.
	silentPending atomic.Int32
	// trials holds the workers on which a suspect task is being tried.
	trials map[*worker]bool
	// fenced holds the instances for which this leader has made a call to the machine interface, so that a delayed
	// call of an earlier leader is rejected there. fencing holds those with such a call in flight.
	fenced, fencing map[string]bool
	// unmovable maps instances that could not be moved to the time until which no move is retried. movedAt is when
	// this leader moved an instance.
	unmovable, ownWord map[string]time.Time
}

func newSession(s *Scheduler, t lead.Term) *session {
	c := &session{
		Scheduler: s, term: t, began: s.now(), inbox: newInbox(), ended: make(chan struct{}), config: s.catalog.Load(),
		jobs: make(map[string]*job.Job), pools: make(map[string]*poolRow), workers: make(map[string]*worker), lives: make(map[string][]*worker), livesByID: make(map[string][]*worker), tokens: make(map[string]*atomic.Int64), over: make(map[string]bool),
		unkept: make(map[*job.Job]int64), unacked: make(map[*worker]bool), batchMost: cmp.Or(s.BatchMost, batchMost), later: make(map[string]*job.Job), restored: make(map[string]bool), unread: make(map[string]time.Time), readUnsure: make(map[string]bool),
		fresh: make([]time.Time, len(s.Intake)), intakeEnd: make([]int64, len(s.Intake)),
		intakePartitions: make(map[job.Owned]uint64), cancelled: make(map[job.Owned]bool), idConflicts: make(map[job.Owned]*idConflict),
		unheard: make(map[string]*worker), takeoverSteps: make(map[string]bool), workersKept: make(map[string]bool), waveRows: make(map[int64]*waveRow), drains: make(drains), firstHolds: newCallLimiter(),
		machines: make(map[string]Machine), tickets: make(map[string]*stepTickets),
		moves: make(map[string]*moveStep), sideKeys: make(map[string]bool), trials: make(map[*worker]bool), fenced: make(map[string]bool), fencing: make(map[string]bool), lessons: make(map[string]*lesson), unmovable: make(map[string]time.Time), ownWord: make(map[string]time.Time),
	}
	c.aside = make(asideRecords)
	c.writer = c.newWriter()
	c.ledger.SetDirectory(s.organisations.Load())
	s.mu.Lock()
	drainsChanged{s.drained}.apply(c) // takes effect before the first start
	s.mu.Unlock()
	return c
}

func (c *session) post(m message) { c.inbox.post(m) }

// run is the control goroutine, which owns the tables until the context ends.
func (c *session) run(ctx context.Context) {
	for part := range c.Intake {
		c.work.Go(func() { c.followIntake(part) })
	}
	c.work.Go(c.followWorkers)
	for _, w := range c.workers {
		c.startHolds(w)
	}
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	defer func() { c.endModes(c.now()) }()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.inbox.signal:
			time.Sleep(batchDelay)
			for _, m := range c.inbox.take() {
				if ctx.Err() != nil {
					return
				}
				m.apply(c)
			}
		case <-tick.C:
			c.passTime(c.exactNow())
		}
		if ctx.Err() != nil {
			return // another leader gives the orders now
		}
		c.placeAll(c.now())
		c.commit()
	}
}

// runTimers runs the systems that are driven by time alone.
func (c *session) passTime(now time.Time) {
	c.openDue(now)
	c.watchLeases(now)
	c.sendHeld(now)
	c.settleUnanswered(now)
	c.endTrials(now)
	c.loosen(now)
	c.watchModes(now)
	c.watchIdle(now)
	c.handOverIfShortOfCPU(now)
	c.evacuateLeaving(now)
	c.emptyDrained(now)
	if began := c.now(); c.fleetScan.due(began) {
		c.runWaves(now)
		c.sizePools(now)
		c.fleetScan.end(began, c.now())
	}
	c.forget(now)
	c.tellOrganisations(now)
}

// queue returns the configuration of the job's queue. For a queue that has been removed it returns defaults based on
// the job itself.
func (c *session) queue(j *job.Job) job.Queue {
	if c.config != nil {
		if q, ok := c.config.Queues[j.Spec.Queue]; ok {
			return q
		}
	}
	return job.Queue{Name: j.Spec.Queue, Pool: j.Spec.Pool, Attempts: defaultAttempts, Stretch: 2, Target: time.Second}
}

// defaultAttempts applies to jobs whose queue was removed before its settings were read.
const defaultAttempts = 3

func (c *session) pool(name string) *poolRow {
	p := c.pools[name]
	if p == nil {
		p = &poolRow{name: name, open: make(map[groupKey]*place.Group)}
		c.pools[name] = p
	}
	return p
}

// catalogChanged puts a new version of the configuration in force.
type catalogChanged struct{ catalog *job.Catalog }

func (m catalogChanged) apply(c *session) {
	c.config = m.catalog
	c.readForeign()
	for _, p := range c.pools {
		clear(p.open)
	}
	for _, j := range c.jobs {
		c.openJob(j, c.now())
	}
}

// intakeIsCurrent reports whether every partition of the intake has been read recently enough that a job which is not
// in the tables was certainly not accepted more than maxIntakeAge ago.
func (c *session) isFresh() bool {
	for _, at := range c.fresh {
		if c.exactNow().Sub(at) >= maxIntakeAge {
			return false
		}
	}
	return true
}

func (c *session) pendingJobs(queue string) int {
	n := 0
	for _, j := range c.jobs {
		if j.Spec.Queue == queue && !j.Began && !j.State.Ended() && j.Spec.Times == 0 {
			n++
		}
	}
	return n
}

// forgetAfter is how long the state of an ended job stays in the tables beyond Bounds.Status. Unknown tasks are
// forgotten after the same time.
const forgetAfter = 30 * time.Second

// forget drops the jobs whose state clients can no longer ask for.
func (c *session) forget(now time.Time) {
	for name, since := range c.unread {
		if now.Sub(since) > forgetAfter {
			delete(c.unread, name)
		}
	}
	for id, j := range c.jobs {
		if j.State.Ended() && j.KeptVersion >= j.Version && now.Sub(j.Ended) > c.Bounds().Status+forgetAfter {
			delete(c.jobs, id)
			delete(c.restored, id)
			delete(c.aside, stateKey+id)
			for _, prefix := range sidePrefixes {
				delete(c.aside, prefix+id)
			}
			c.gone = append(c.gone, id)
			c.forgetTickets(j)
			name := j.Spec.Owner()
			c.dropRecords(name, c.intakePartitions[name])
			delete(c.intakePartitions, name)
			delete(c.cancelled, name)
		}
	}
	c.forgetIDConflicts(now)
}

func (c *session) emit(n event.Number, s event.Subject, format string, args ...any) {
	c.Events.Emit(n, s, fmt.Sprintf(format, args...))
}
