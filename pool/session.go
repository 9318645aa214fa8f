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

// Times of a session.
const (
	// tickEvery is the pause between two looks at what only time changes: leases, due times, waves, paces.
	tickEvery = 100 * time.Millisecond
	// gather is how long messages are gathered before the systems run, so that one pass serves several.
	gather = 2 * time.Millisecond
)

// session is one lead: its tables and the goroutine that owns them.
type session struct {
	*Scheduler
	term  lead.Term
	inbox *inbox
	ended chan struct{}
	ctx   context.Context
	work  sync.WaitGroup

	config *job.Catalog
	// ledger counts what organisations have running, by the tables of workers; rate tells what they send beyond their rates.
	ledger org.Ledger
	rate   org.Rate
	organisationMetrics
	jobs    map[string]*job.Job
	pools   map[string]*poolRow
	workers map[string]*worker
	// lives are the same by instance; heard counts those that have answered this leader.
	lives map[string][]*worker
	heard int
	// bearers are the same by the ID that they bear.
	bearers map[string][]*worker
	// tokens are the fencing tokens by the ID that they are for, also of IDs that nobody bears any more.
	tokens map[string]*atomic.Int64
	// foreign are the entries of the list of workers that name no worker to use.
	foreign foreign
	// over are the lives that have ended.
	over map[string]bool
	// dirty are the jobs with changes that are not kept, livesDirty the lives; oneRecord says that an earlier version's record of all lives is still there.
	dirty      keep.DirtyRows[*job.Job]
	livesDirty keep.DirtyRows[struct{}]
	oneRecord  bool
	// writer appends what is to be kept; it belongs to the call that is on its way.
	writer *keep.Writer
	// aside are the records that the store never takes.
	aside asideRecords
	// unkept are jobs of which runs were ordered that are not kept, with the version that holds them; unacked are the workers
	// with ends that are not kept.
	unkept  map[*job.Job]int64
	unacked map[*worker]bool
	// batchMost bounds the bytes of a batch.
	batchMost int
	// modeSince is when each degraded mode began; zero while the leader is not in it.
	modeSince [modes]time.Time
	// planned are the runs that are to be ordered once they are kept, held those that are kept and wait for proof.
	planned, held []plannedStart
	// later are jobs with times that are not due yet.
	later map[string]*job.Job
	// coarse says that an earlier leader may have started what is not kept: its store had failed for long.
	coarse bool
	// readUnsure are the jobs that were read while the store did not confirm the lead: what comes when a cut ends may have
	// been started by another leader.
	readUnsure map[string]bool
	// unread are tasks of which no job is known, and since when a worker names them.
	unread map[string]time.Time
	// restored are the jobs that an earlier leader may have started.
	restored map[string]bool
	// unheard are the lives that may still run what an earlier leader started, until doubtOver.
	unheard map[string]*worker
	// steps are the steps of taking over that were reached.
	steps map[string]bool
	// aloneFrom is when the earlier leader has surely stopped calling the machine interface, which takes the store's word.
	aloneFrom time.Time
	// readAt is when the tables were read, raised when half of the workers had this leader's token.
	readAt, raised time.Time
	// mostAsked is the time since which most listed workers were asked something that they have answered; asked is room
	// to work it out in.
	mostAsked atomic.Pointer[time.Time]
	asked     []time.Time
	// sure counts the instances that there were when the store last confirmed the lead.
	sure int
	// keptInstances is what the leader before counted as instances.
	keptInstances int

	starts int64
	// startsUnderWay are the starts that have left and are not answered.
	startsUnderWay int
	committing     bool
	// inFlight is the batch on its way, commitSince when it left.
	inFlight    *commitEnded
	commitSince time.Time
	usualBatch  time.Duration // what the store lately took for one
	workersKept map[string]bool
	// fresh is, by partition of the intake, the time before which all that was handed in has been read.
	fresh      []time.Time
	intakeEnd  []int64
	serversEnd int64
	// keepsOf has a bit for each partition of the intake that keeps something of a job; cancelled are the jobs that
	// clients want cancelled.
	keepsOf   map[job.QualifiedID]uint64
	cancelled map[job.QualifiedID]bool
	// taken are the jobs whose IDs other organisations' jobs had; takenDirty says that some are not kept as such, takenGone are those
	// to be dropped from the store.
	taken        map[job.QualifiedID]*takenID
	takenDirty   bool
	takenGone    []job.QualifiedID
	waveRows     map[int64]*waveRow
	drains       drains
	gone         []string  // jobs whose state is to be dropped from the store
	machinesAt   time.Time // when the machine interface was last asked
	machinesRead time.Time // when it was asked for the list that is in the table
	machinesAsk  bool
	machinesTook time.Duration // what the last list took
	firstHolds   gate          // of workers that have not answered yet
	idleRest     atomic.Int64  // how long workers without work rest, see watchIdle
	alarm        alarm         // ends their rest
	machines     map[string]Machine
	names        []string // of the machines, see instanceNames
	tickets      map[string]*stepTickets
	advising     bool // a question to the advice service is on its way; it answers one at a time
	moves        map[string]*moveStep
	desk         desk
	strain       strain
	fleetWalk    walk           // of what looks at all instances: waves and the sizes of pools
	surplus      map[string]int // how many instances each pool could spare with the last look at its size
	turns        upkeep.Bursts
	whole        job.Need // the mean room of an instance
	began        time.Time
	lessons      map[string]*lesson
	lessonsAt    time.Time // when what is learned was last kept
	// sideKeys is the set of keys of the stored side records of jobs.
	sideKeys map[string]bool
	// silentPending counts the silent workers whose next lives may begin a run because of an unanswered start.
	silentPending atomic.Int32
	// trials are the workers on which a suspect is tried.
	trials map[*worker]bool
	// fenced are the instances for which this leader has called, so that no call of an earlier one can be carried out there any
	// more; fencing are those for which it is asking.
	fenced, fencing map[string]bool
	// unmovable are instances that could not be moved, and until when; ownWord is when this leader moved one.
	unmovable, ownWord map[string]time.Time
}

func newSession(s *Scheduler, t lead.Term) *session {
	c := &session{
		Scheduler: s, term: t, began: s.now(), inbox: newInbox(), ended: make(chan struct{}), config: s.catalog.Load(),
		jobs: make(map[string]*job.Job), pools: make(map[string]*poolRow), workers: make(map[string]*worker), lives: make(map[string][]*worker), bearers: make(map[string][]*worker), tokens: make(map[string]*atomic.Int64), over: make(map[string]bool),
		unkept: make(map[*job.Job]int64), unacked: make(map[*worker]bool), batchMost: cmp.Or(s.MaxBatchBytes, batchMost), later: make(map[string]*job.Job), restored: make(map[string]bool), unread: make(map[string]time.Time), readUnsure: make(map[string]bool),
		fresh: make([]time.Time, len(s.Intake)), intakeEnd: make([]int64, len(s.Intake)),
		keepsOf: make(map[job.QualifiedID]uint64), cancelled: make(map[job.QualifiedID]bool), taken: make(map[job.QualifiedID]*takenID),
		unheard: make(map[string]*worker), steps: make(map[string]bool), workersKept: make(map[string]bool), waveRows: make(map[int64]*waveRow), drains: make(drains), firstHolds: newGate(),
		machines: make(map[string]Machine), tickets: make(map[string]*stepTickets),
		moves: make(map[string]*moveStep), sideKeys: make(map[string]bool), trials: make(map[*worker]bool), fenced: make(map[string]bool), fencing: make(map[string]bool), lessons: make(map[string]*lesson), unmovable: make(map[string]time.Time), ownWord: make(map[string]time.Time),
	}
	c.aside = make(asideRecords)
	c.writer = c.newWriter()
	c.ledger.SetDirectory(s.organisations.Load())
	s.mu.Lock()
	drainsChanged{s.drained}.apply(c) // before the first start
	s.mu.Unlock()
	return c
}

func (c *session) post(m message) { c.inbox.post(m) }

// run owns the tables until the context ends.
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
			time.Sleep(gather)
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

// passTime runs the systems that time alone drives.
func (c *session) passTime(now time.Time) {
	c.openDue(now)
	c.watchLeases(now)
	c.sendHeld(now)
	c.settleUnanswered(now)
	c.endTrials(now)
	c.loosen(now)
	c.watchModes(now)
	c.watchIdle(now)
	c.handOverIfStrained(now)
	c.emptyLeaving(now)
	c.emptyDrained(now)
	if began := c.now(); c.fleetWalk.due(began) {
		c.runWaves(now)
		c.sizePools(now)
		c.fleetWalk.end(began, c.now())
	}
	c.forget(now)
	c.tellOrganisations(now)
}

// queue returns what the configuration says of the job's queue; a queue that was taken away keeps what the job knew.
func (c *session) queue(j *job.Job) job.Queue {
	if c.config != nil {
		if q, ok := c.config.Queues[j.Spec.Queue]; ok {
			return q
		}
	}
	return job.Queue{Name: j.Spec.Queue, Pool: j.Spec.Pool, Attempts: defaultAttempts, Stretch: 2, Target: time.Second}
}

// defaultAttempts is for jobs whose queue was taken away before its figures were read.
const defaultAttempts = 3

func (c *session) pool(name string) *poolRow {
	p := c.pools[name]
	if p == nil {
		p = &poolRow{name: name, open: make(map[groupKey]*place.Group)}
		c.pools[name] = p
	}
	return p
}

// catalogChanged puts a version of the configuration in force.
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

// isFresh says whether a job that is not in the tables was surely not accepted some time ago.
func (c *session) isFresh() bool {
	for _, at := range c.fresh {
		if c.exactNow().Sub(at) >= freshFor {
			return false
		}
	}
	return true
}

func (c *session) pending(queue string) int {
	n := 0
	for _, j := range c.jobs {
		if j.Spec.Queue == queue && !j.Began && !j.State.Ended() && j.Spec.Times == 0 {
			n++
		}
	}
	return n
}

// forgetAfter is how long beyond the owed time the state of an ended job is kept.
const forgetAfter = 30 * time.Second

// forget drops jobs whose state is owed to nobody any more.
func (c *session) forget(now time.Time) {
	for name, since := range c.unread {
		if now.Sub(since) > forgetAfter {
			delete(c.unread, name)
		}
	}
	for id, j := range c.jobs {
		if j.State.Ended() && j.StoredVersion >= j.Version && now.Sub(j.Ended) > c.Bounds().Status+forgetAfter {
			delete(c.jobs, id)
			delete(c.restored, id)
			delete(c.aside, stateKey+id)
			for _, prefix := range sidePrefixes {
				delete(c.aside, prefix+id)
			}
			c.gone = append(c.gone, id)
			c.forgetTickets(j)
			name := j.Spec.QualifiedID()
			c.dropRecords(name, c.keepsOf[name])
			delete(c.keepsOf, name)
			delete(c.cancelled, name)
		}
	}
	c.forgetTaken(now)
}

func (c *session) emit(n event.Number, s event.Subject, format string, args ...any) {
	c.Events.Emit(n, s, fmt.Sprintf(format, args...))
}
