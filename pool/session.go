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
	"rackstep.dev/maintenance"
	"rackstep.dev/org"
	"rackstep.dev/place"
)

// Timing of the control loop.
const (
	// tickInterval is the period of the systems that are driven by time alone: leases, due times, waves and paces.
	tickInterval = 100 * time.Millisecond
	// batchDelay is how long messages are collected before the systems run, so that one pass serves several messages.
	batchDelay = 2 * time.Millisecond
)

// session is one term as leader: its tables and the control goroutine that owns them.
type session struct {
	*Scheduler
	term       lead.Term
	inbox      *inbox
	ended      chan struct{}
	ctx        context.Context
	background sync.WaitGroup

	config *job.Catalog
	// ledger counts the resources that each organisation uses, according to the workers table; rate tracks the work
	// that organisations submit beyond their rates.
	ledger org.Ledger
	rate   org.Rate
	organisationMetrics
	jobs    map[string]*job.Job
	pools   map[string]*poolRow
	workers map[string]*worker
	// incarnationsByMachine indexes workers by instance. answeredCount counts the incarnations that have answered this leader.
	incarnationsByMachine map[string][]*worker
	answeredCount         int
	// incarnationsByID indexes workers by worker ID.
	incarnationsByID map[string][]*worker
	// tokens holds the fencing token of each worker ID, including IDs that no incarnation has any more.
	tokens map[string]*atomic.Int64
	// unusable holds the entries in the list of workers that do not describe a usable worker.
	unusable unusableEntries
	// endedIncarnations holds the incarnations that have ended. recentEnds holds the unplanned ends of those that have left the tables, oldest
	// first, and commonCauseAt is when workers last ended for a common cause.
	endedIncarnations map[string]bool
	recentEnds        []workerEnd
	commonCauseAt     time.Time
	// dirtyJobs and dirtyIncarnations hold the jobs and incarnations with unstored changes. legacyWorkersRecord is set while the
	// store still holds the single record of all incarnations that earlier versions wrote.
	dirtyJobs           keep.DirtyRows[*job.Job]
	dirtyIncarnations   keep.DirtyRows[struct{}]
	legacyWorkersRecord bool
	// writer appends to the state topic. It is used only by the append in progress.
	writer *keep.Writer
	// aside holds the records that the store always rejects. unreadableStates holds the jobs whose stored state can't be decoded.
	aside            asideRecords
	unreadableStates map[string]bool
	// unstoredJobs maps each job with ordered but unstored runs to the job version that contains them. unacked holds
	// the workers with ends that are not stored yet.
	unstoredJobs map[*job.Job]int64
	// adoptedUnstored is the same for runs that an earlier leader had not stored.
	adoptedUnstored map[*job.Job]int64
	// unexpectedRuns is the same for runs that a worker listed, or whose success it listed, without the tables having them.
	unexpectedRuns map[*job.Job]int64
	unacked        map[*worker]bool
	// maxBatchBytes is the maximum size of a batch.
	maxBatchBytes int
	// modeSince is the start time of each degraded mode, or zero while the mode is off.
	modeSince [modeCount]time.Time
	// plannedStarts are the runs to order once they are stored. storedStarts are stored and wait until the leader may
	// give orders.
	plannedStarts, storedStarts []plannedStart
	// resends are the further attempts to start unanswered runs that wait until the next leader would know of them.
	resends []plannedResend
	// notDue holds the jobs with start times in the future.
	notDue map[string]*job.Job
	// earlierUnstored is set if an earlier leader may have started runs without storing them, because its store
	// was unavailable for a long time.
	earlierUnstored bool
	// readUnconfirmed holds the jobs that were read while the store did not confirm the lead. When a network
	// partition ends, another leader may already have started what is read then.
	readUnconfirmed map[string]bool
	// unknownTasks maps each task that a worker lists without a known job to the time it was first listed.
	unknownTasks map[string]time.Time
	// inheritedJobs holds the jobs that an earlier leader may have started.
	inheritedJobs map[string]bool
	// uncertainIncarnations holds the incarnations that may have runs of an earlier leader that this one does not know, whether they go on or
	// have ended.
	uncertainIncarnations map[string]*worker
	assignment            assignment
	// startsSettled holds the inherited tasks of which no unstored start of an earlier leader is left. retiredIDs holds the worker IDs that no
	// incarnation will have any more, and orderableIDs those to which an earlier leader may have sent starts.
	// keptIncarnations holds the ended incarnations whose records stay in the store until no unstored start can be carried out any more.
	startsSettled            map[*job.Task]bool
	retiredIDs, orderableIDs map[string]bool
	// offIDs holds the IDs whose last workers were on instances that are switched off now, see freeSwitchedOff.
	offIDs map[string]bool
	// neededUntil maps the IDs of workers on which tasks wait that can start nowhere else to the time until which they are not emptied.
	neededUntil      map[string]time.Time
	keptIncarnations map[string]bool
	// departed holds, by instance, the ended incarnations whose IDs may be used again as far as is known.
	departed map[string][]departedWorker
	// bootIDsKnown is set once a worker has told its boot ID, so that a later incarnation may have the ID of an earlier one.
	bootIDsKnown bool
	// takeoverSteps holds the steps of the takeover that have been reached.
	takeoverSteps map[string]bool
	// soleLeaderFrom is the time from which the earlier leader certainly makes no more calls to the machine
	// interface, which accepts calls only from a leader that the store confirms.
	soleLeaderFrom time.Time
	// tablesReadAt is when the tables were read; majorityFencedAt is when half of the workers had this leader's
	// token.
	tablesReadAt, majorityFencedAt time.Time
	// majorityAskedAt is the latest time since which a majority of the listed workers have been sent a call that they
	// answered. askTimes is a scratch buffer for computing it.
	majorityAskedAt atomic.Pointer[time.Time]
	askTimes        []time.Time
	// confirmedInstances is the number of instances when the store last confirmed the lead.
	confirmedInstances int
	// previousInstances is the number of instances that the previous leader counted.
	previousInstances int

	startCount int64
	startSlots startSlots // the starts in flight
	committing bool
	// inFlight is the batch being appended; commitStartedAt is when its append began.
	inFlight           *commitBatch
	commitStartedAt    time.Time
	typicalBatchTime   time.Duration // running average of the time that the store takes for a batch
	storedIncarnations map[string]bool
	// intakeReadUntil is, for each partition of the intake, the time before which everything submitted has been read.
	// intakeOffsets is, for each partition, the offset up to which its records are in the tables. absenceCheckedAt is when the intake was last
	// checked for further ones.
	intakeReadUntil  []time.Time
	intakeOffsets    []int64
	absenceCheckedAt time.Time
	workersOffset    int64
	// intakePartitions has, for each key of the intake, one bit for each partition that holds a record under it. cancelled
	// holds the jobs that clients asked to cancel, and when that was read. removals holds the jobs whose records are being
	// deleted from the intake, and intakeDeletions the deletions in each partition.
	intakePartitions map[string]uint64
	removals         map[job.QualifiedID]*removal
	intakeDeletions  []partitionDeletion
	cancelled        map[job.QualifiedID]time.Time
	// idConflicts holds the jobs whose ID is already in use by another organisation's job. idConflictsDirty is set
	// while some of them are not stored; idConflictsDropped are those to delete from the store.
	idConflicts        map[job.QualifiedID]*idConflict
	idConflictsDirty   bool
	idConflictsDropped []job.QualifiedID
	waveStates         map[int64]*waveState
	drains             drains
	forgottenJobs      []string  // jobs whose state is to be deleted from the store
	machinesAskedAt    time.Time // when the machine interface was last asked for the list of instances
	machinesListedAt   time.Time // when the list in the machines table was requested
	machinesAsking     bool
	machinesListTime   time.Duration // how long the last list took
	firstHoldSemaphore callSemaphore // limits first holds, to workers that have not answered yet
	idlePause          atomic.Int64  // pause between holds to a worker without work, see updateIdlePolling
	pollNow            latch         // ends those pauses
	machines           map[string]Machine
	machineNames       []string // names of the machines, see instanceNames
	tickets            map[string]*stepTickets
	advising           bool // a request to the advice service is in flight; it serves one at a time
	moves              map[string]*pendingMove
	machineCalls       machineCallLimiter
	cpuShortage        cpuShortage
	handedOver         bool      // the lead has been given up for want of processor time
	handoverAt         time.Time // when this leader last asked for its term to end in favour of another entry, or zero
	requirement        requirementMeter
	fleetScan          scanPacer                       // paces the scans over all instances: waves and the sizes of pools
	waveLoads          map[string]maintenance.PoolLoad // what waves have to know of each pool, according to the latest sizing
	shortage           shortage
	poolGaugesAt       time.Time // time of the latest update of the gauges by pool
	waits              waitTable
	bursts             maintenance.Bursts
	meanCapacity       job.Need // mean capacity of an instance
	startedAt          time.Time
	statsByQueue       map[string]*queueStats
	statsStoredAt      time.Time // when the statistics were last stored
	// storedQueues holds the settings of queues that are stored with the jobs accepted under them, the latest version of each.
	storedQueues map[string]job.QueueVersion
	// removedQueues are the queues that config does not have any more, as this entry has read them.
	removedQueues job.RemovedQueues
	// sideKeys is the set of keys of the stored side records of jobs.
	sideKeys map[string]bool
	// silentPending counts the silent workers whose next incarnation may carry out an unanswered start.
	silentPending atomic.Int32
	// trials holds the workers on which a suspect task is being tried.
	trials map[*worker]bool
	// lossesInFlight holds the lost runs of each task about which the results of starts decide.
	lossesInFlight map[*job.Task][]lossInFlight
	// groupTrials holds the workers on which several suspects are being tried together.
	groupTrials map[*worker]bool
	// fenced holds the instances for which this leader has made a call to the machine interface, so that a delayed
	// call of an earlier leader is rejected there. fencing holds those with such a call in flight.
	fenced, fencing map[string]bool
	// unmovable maps instances that could not be moved to the time until which no move is retried. movedAt is when
	// this leader moved an instance, and listIgnoredUntil until when the machine interface's list, which lags, does not apply to it.
	unmovable, movedAt, listIgnoredUntil map[string]time.Time
}

func newSession(s *Scheduler, t lead.Term) *session {
	c := &session{
		Scheduler:             s,
		term:                  t,
		startedAt:             s.now(),
		inbox:                 newInbox(),
		ended:                 make(chan struct{}),
		config:                s.catalog.Load(),
		jobs:                  make(map[string]*job.Job),
		pools:                 make(map[string]*poolRow),
		workers:               make(map[string]*worker),
		incarnationsByMachine: make(map[string][]*worker),
		incarnationsByID:      make(map[string][]*worker),
		tokens:                make(map[string]*atomic.Int64),
		storedQueues:          make(map[string]job.QueueVersion),
		endedIncarnations:     make(map[string]bool),
		unstoredJobs:          make(map[*job.Job]int64),
		adoptedUnstored:       make(map[*job.Job]int64),
		unexpectedRuns:        make(map[*job.Job]int64),
		unacked:               make(map[*worker]bool),
		maxBatchBytes:         cmp.Or(s.MaxBatchBytes, batchMax),
		notDue:                make(map[string]*job.Job),
		inheritedJobs:         make(map[string]bool),
		unknownTasks:          make(map[string]time.Time),
		readUnconfirmed:       make(map[string]bool),
		intakeReadUntil:       make([]time.Time, len(s.Intake)),
		intakeOffsets:         make([]int64, len(s.Intake)),
		removals:              make(map[job.QualifiedID]*removal),
		intakeDeletions:       make([]partitionDeletion, len(s.Intake)),
		intakePartitions:      make(map[string]uint64),
		cancelled:             make(map[job.QualifiedID]time.Time),
		idConflicts:           make(map[job.QualifiedID]*idConflict),
		uncertainIncarnations: make(map[string]*worker),
		startsSettled:         make(map[*job.Task]bool),
		retiredIDs:            make(map[string]bool),
		offIDs:                make(map[string]bool),
		neededUntil:           make(map[string]time.Time),
		orderableIDs:          make(map[string]bool),
		keptIncarnations:      make(map[string]bool),
		departed:              make(map[string][]departedWorker),
		takeoverSteps:         make(map[string]bool),
		storedIncarnations:    make(map[string]bool),
		waveStates:            make(map[int64]*waveState),
		drains:                make(drains),
		firstHoldSemaphore:    newCallSemaphore(),
		machines:              make(map[string]Machine),
		tickets:               make(map[string]*stepTickets),
		moves:                 make(map[string]*pendingMove),
		sideKeys:              make(map[string]bool),
		trials:                make(map[*worker]bool),
		lossesInFlight:        make(map[*job.Task][]lossInFlight),
		groupTrials:           make(map[*worker]bool),
		fenced:                make(map[string]bool),
		fencing:               make(map[string]bool),
		statsByQueue:          make(map[string]*queueStats),
		unmovable:             make(map[string]time.Time),
		movedAt:               make(map[string]time.Time),
		listIgnoredUntil:      make(map[string]time.Time),
	}
	c.aside, c.unreadableStates = make(asideRecords), make(map[string]bool)
	c.assignment.stored, c.assignment.atTakeover = make(map[string]poolAssignment), make(map[string]bool)
	c.writer = c.newWriter()
	c.ledger.SetDirectory(s.organisations.Load())
	s.mu.Lock()
	drainsChanged{s.drained}.apply(c) // takes effect before the first start
	c.removedQueues = s.removedQueues
	s.mu.Unlock()
	return c
}

func (c *session) post(m message) { c.inbox.post(m) }

// run is the control goroutine, which owns the tables until the context ends.
func (c *session) run(ctx context.Context) {
	for part := range c.Intake {
		c.background.Go(func() { c.followIntake(part) })
	}
	c.background.Go(c.followWorkers)
	for _, w := range c.workers {
		c.startHolds(w)
	}
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	defer func() {
		c.endModes(c.now())
		c.counts.heldInWaves.Update(0) // only the leader's waves wait
		c.counts.waits.update([waitReasonCount]int{}, 0)
	}()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.inbox.signal:
			time.Sleep(batchDelay)
			for _, m := range c.inbox.takeAll() {
				if ctx.Err() != nil {
					return
				}
				m.apply(c)
			}
		case <-tick.C:
			c.runTimers(c.exactNow())
		}
		if ctx.Err() != nil {
			return // another leader gives the orders now
		}
		c.placeAll(c.now())
		c.commit()
	}
}

// runTimers runs the systems that are driven by time alone.
func (c *session) runTimers(now time.Time) {
	c.openDue(now)
	c.checkLeases(now)
	c.sendStored(now)
	c.resolveUnanswered(now)
	c.endTrials(now)
	c.endGroupTrials(now)
	c.endStartLimits(now)
	c.dropKeptIncarnations(now)
	c.updateAssignment(now)
	c.allowUnstored(now)
	c.updateModes(now)
	c.updateIdlePolling(now)
	c.handOverIfShortOfCPU(now)
	c.measureRequirement(now)
	c.handOverToFitter(now)
	c.evacuateLeaving(now)
	c.evacuateDrained(now)
	if began := c.now(); c.fleetScan.due(began) {
		c.runWaves(now)
		c.sizePools(now)
		c.fleetScan.end(began, c.now())
	}
	c.forget(now)
	c.updateOrganisationGauges(now)
	c.checkWaits(now)
}

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
	c.updateRemovedQueues()
	c.retryUnusable()
	for _, p := range c.pools {
		clear(p.open)
	}
	for _, j := range c.jobs {
		c.openJob(j, c.now())
	}
}

// intakeIsCurrent reports whether every partition of the intake has been read recently enough that a job which is not
// in the tables was certainly not accepted more than maxIntakeAge ago.
func (c *session) intakeIsCurrent() bool {
	for _, at := range c.intakeReadUntil {
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

func (c *session) emit(n event.Number, s event.Subject, format string, args ...any) {
	c.Events.Emit(n, s, fmt.Sprintf(format, args...))
}
