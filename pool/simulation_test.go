// SPDX-License-Identifier: MIT

//go:build !race

package pool_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-kit/log"

	"rackstep.dev/event"
	"rackstep.dev/feed"
	"rackstep.dev/job"
	"rackstep.dev/lead"
	"rackstep.dev/pool"
	"rackstep.dev/work"
)

// Parameters of the simulated platform. Those that the users' interface bounds have the values of the tightest deployment.
const (
	simLease = 6 * time.Second
	// simStopTime bounds how long a worker takes to carry out a stop.
	simStopTime = 900 * time.Millisecond
	// simNotice is how long a lasting task may be absent before it counts as away.
	simNotice = 4500 * time.Millisecond
	// simMoveTime is how long a move or a maintenance takes an instance down.
	simMoveTime = 1500 * time.Millisecond
	// simHeartbeat is the interval at which workers renew their entries in the list.
	simHeartbeat = 1500 * time.Millisecond
	// simCapacity is the CPU of an instance, simTaskCPU that of a task, in thousandths of a core.
	simCapacity    = 4000
	simTaskCPU     = 1000
	simMaxAttempts = 3
	// simMaxListedEnds is how many ends a worker lists at once. Histories of full lists lower it, since workers have few runs here.
	simMaxListedEnds = 500
	// simStatus is how long clients can ask for the state of an ended job. Histories of dropped jobs shorten it.
	simStatus = 10 * time.Minute
	// simWarmUp is how long a lasting task runs before it is at work.
	simWarmUp = 300 * time.Millisecond
	// Orders that take longer than simDelayThreshold to arrive are exempt from the check of planned ends.
	simDelayThreshold = 500 * time.Millisecond
	// simContactGrace is how long after a disruption time-bounded rules do not apply to an entry.
	simContactGrace = 5 * time.Second
	// simCancelTime is how long after the cancel of a job its tasks may run without having been told to stop.
	simCancelTime = 5 * time.Second
	// simRestartDelay is the time from a crash of an instance to its restart.
	simRestartDelay = 3 * time.Second
	// simCrashBudget is how many worker incarnations a task may crash. The simExcessStarts-th start after that exceeds the budget.
	simCrashBudget  = 3
	simExcessStarts = 3
	// simSlowestClock is the lowest rate of a worker's clock.
	simSlowestClock = 0.98
	// The parties on the links besides entries and workers.
	simStore      = "store"
	simMachineAPI = "machines"
)

// The two sizes of entries. Those in simSmallZone are small: they have fewer connections than there are workers, so that they
// are unfit to lead and hand over to large ones.
var (
	simLarge = lead.Capacity{Processor: 0.8, Descriptors: 1000}
	simSmall = lead.Capacity{Processor: 0.192, Descriptors: 3}
)

const simSmallZone = "z2"

// simulation is everything around the leaders: links, the store, workers and the machine interface. Its oracle judges by
// what workers ran alone.
type simulation struct {
	mu           sync.Mutex
	r            *rand.Rand
	ctx          context.Context
	topics       map[string]*topic
	zones        map[string]string
	partitions   []partition
	frozen       map[string]time.Time
	suspensions  map[string]*suspensions
	startedAt    time.Time // when the simulation began
	killed       map[string]bool
	electors     map[string]*lead.Elector // by the entry's name
	incarnations map[string]*incarnation
	machines     map[string]*machine
	specs        map[string]*job.Spec
	runsByTask   map[string][]*taskRun
	waveLimits   map[int64]int
	cancelledAt  map[string]time.Time
	violations   []string
	callCount    int
	created      int
	// repeatsBeforeFencing makes the store repeat its answer to a batch that it has already appended before it checks the
	// writer's epoch.
	repeatsBeforeFencing bool
	// storeDownUntil is when the store's outage ends; storeLossRate is the share of its answers that are lost.
	// Calls in an outage are rejected at once if storeRejects is set, else half of them get no answer.
	storeDownUntil time.Time
	storeRejects   bool
	storeLossRate  float64
	// corrupts reports whether the next list entry of a worker is truncated. No entry is when corrupts is nil.
	corrupts func(l *incarnation) bool
	// crashDelays holds the tasks that crash their worker, and how long after their start they do. The instance is back
	// after restartDelay, or after simRestartDelay if that is 0.
	crashDelays  map[string]time.Duration
	restartDelay time.Duration
	// lastDisrupted is when an entry last started, was frozen, or got no answer from the store. Time-bounded rules do not
	// apply to it until simContactGrace has passed.
	lastDisrupted map[string]time.Time
	// moves counts the moves of instances. One takes up to moveSpread longer than another.
	moves      int
	moveSpread time.Duration
	// capacity is the CPU and the memory of an instance. With acceptsOverload, workers start tasks beyond it.
	capacity        int
	acceptsOverload bool
	// maxListedEnds is how many ends a worker lists at once.
	maxListedEnds int
	// status is how long clients can ask for the state of an ended job.
	status time.Duration
	// maxExtraTime is the most that a task takes beyond 200 ms.
	maxExtraTime time.Duration
	// storedFirst is set if each third job's first step has a condition that keeps it from starting before it is stored.
	storedFirst bool
	// idReuseRate is the share of restarted workers that keep the ID of the incarnation before. When it is above 0, workers
	// report their boot IDs; since clocks jump, a boot ID may be earlier than that of the incarnation before.
	idReuseRate float64
	// lateOrderRate is the share of orders that workers carry out late and do not answer.
	lateOrderRate float64
	// machineLossRate is the share of calls to the machine interface that are carried out and not answered, lateChangeRate that of changes of
	// instances that are carried out late and not answered.
	machineLossRate, lateChangeRate float64
	events                          *event.Ring
	// caps holds the organisations' caps in each configuration so far, in tasks. While it is empty, jobs belong to no
	// organisation.
	caps []capsVersion
	// drainedSince maps each drained data centre to when it was drained; drained holds their names, as entries are told.
	drainedSince map[string]time.Time
	drained      []string
	// drainsVersion counts the changes of drained.
	drainsVersion int
	// attempts is how often a task of a queue may fail, and failRate the share of all runs that fail. While it is 0, an eighth of all first runs does.
	attempts int
	failRate float64
	// removedQueues are the queues that the configuration does not have now. catalogVersion counts the changes.
	removedQueues  map[string]bool
	catalogVersion int
	// tracef writes a line of the trace. It is nil when tracing is off.
	tracef func(text string, args ...any)
	// waveRequests holds the maintenance waves that the operator has requested.
	waveRequests []pool.Wave
	slow         slowness
	// quietHeartbeats says that a renewed entry of the list is no new record unless more than its sequence number has changed.
	quietHeartbeats bool
}

// partition separates two sets of parties until it ends.
type partition struct {
	inside func(party string) bool
	until  time.Time
	// in and out say which directions are closed. With resets, messages on their way are lost and new calls fail at once;
	// without, they are held up until the partition ends.
	in, out, resets bool
}

// machine is an instance. It has at most one worker incarnation at a time.
type machine struct {
	name, pool, zone string
	incarnation      *incarnation
	fence            int64
	busy             bool
	// lastID is the worker ID of the latest incarnation. The next one may reuse it if that one crashes.
	lastID          string
	maintenanceDone map[int64]bool
	maintenanceWave int64
}

// incarnation is one process of a worker, from its start to its end, with its own clock.
type incarnation struct {
	name          string
	machine       *machine
	pool          string
	sim           *simulation
	bootID        work.BootID
	startedAt     time.Time
	clockRate     float64
	dead          bool
	fence         int64
	leaseDeadline int64
	leaseTimer    *time.Timer
	runs          []*taskRun
	lastEnd       int64
	acked         int64
	runEnded      chan struct{}
	stoppedRuns   map[string]int64
	heartbeatAt   time.Time
	listed        bool
	// corrupted says that its entry in the list is truncated.
	corrupted bool
	// staleEntry says that the list still has the entry of the incarnation before.
	staleEntry bool
	// capacityLoss is by how much the capacity has shrunk. listedLoss is what the list has shown of that since listedLossAt,
	// and previousLoss what it showed until then.
	capacityLoss, listedLoss, previousLoss int
	listedLossAt                           time.Time
}

// taskRun is one run of a task.
type taskRun struct {
	task               string
	number             int64
	incarnation        *incarnation
	startedAt, endedAt time.Time
	outcome            string
	endNumber          int64
	acked              bool
	// voided says that the worker's lease expired after the run had ended and before that was acknowledged. The end then
	// never counts.
	voided bool
	// plannedEnd says that an order ends the run, stopping that the worker is carrying out a stop.
	plannedEnd, stopping bool
	// crashedWorker says that the run has crashed its worker, starterInContact that the entry which started it was in contact
	// with the store.
	crashedWorker, starterInContact bool
	timer                           *time.Timer
}

func newSimulation(ctx context.Context, r *rand.Rand, zones, workers int, idReuseRate float64) *simulation {
	sim := &simulation{
		r: r, ctx: ctx, startedAt: time.Now(), events: new(event.Ring),
		quietHeartbeats: *quiet, attempts: simMaxAttempts, removedQueues: make(map[string]bool),
		capacity: simCapacity, idReuseRate: idReuseRate, maxListedEnds: simMaxListedEnds, status: simStatus, maxExtraTime: 2500 * time.Millisecond,
		topics: make(map[string]*topic), zones: make(map[string]string),
		electors: make(map[string]*lead.Elector), frozen: make(map[string]time.Time), suspensions: make(map[string]*suspensions),
		lastDisrupted: make(map[string]time.Time), killed: make(map[string]bool),
		incarnations: make(map[string]*incarnation), machines: make(map[string]*machine),
		specs: make(map[string]*job.Spec), runsByTask: make(map[string][]*taskRun),
		waveLimits: make(map[int64]int), crashDelays: make(map[string]time.Duration),
		cancelledAt: make(map[string]time.Time), drainedSince: make(map[string]time.Time),
	}
	sim.events.Logger = log.LoggerFunc(sim.checkWait)
	for i := range zones * workers {
		m := &machine{name: fmt.Sprintf("m%02d", i), pool: fmt.Sprint("p", i%2), zone: fmt.Sprint("z", i%zones), maintenanceDone: make(map[int64]bool)}
		sim.machines[m.name] = m
		sim.startIncarnation(m)
	}
	for i := range zones {
		m := &machine{name: fmt.Sprintf("off%d", i), pool: "off", zone: fmt.Sprint("z", i), maintenanceDone: make(map[int64]bool)}
		sim.machines[m.name] = m
	}
	go sim.runHeartbeats()
	return sim
}

func (sim *simulation) chance(p float64) bool { return p > 0 && sim.r.Float64() < p }

// report records a violation. The lock must be held.
func (sim *simulation) report(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf("%8s ", time.Duration(time.Now().UnixMilli()%1e6)*time.Millisecond)+fmt.Sprintf(format, args...))
}

// startIncarnation starts a worker on an instance. The lock must be held.
func (sim *simulation) startIncarnation(m *machine) {
	if m.pool == "off" {
		m.incarnation = nil
		return
	}
	sim.created++
	name := fmt.Sprintf("i-%04d", sim.created)
	before := sim.incarnations[m.lastID]
	if before != nil && sim.chance(sim.idReuseRate) {
		name = m.lastID
	}
	l := &incarnation{
		name: name, machine: m, pool: m.pool, sim: sim, startedAt: time.Now(), clockRate: simSlowestClock + 0.025*sim.r.Float64(),
		runEnded: make(chan struct{}), stoppedRuns: make(map[string]int64),
	}
	if sim.idReuseRate > 0 {
		l.bootID = sim.newBootID()
	}
	if before != nil && before.name == name {
		l.staleEntry, l.heartbeatAt = before.listed || before.staleEntry, before.heartbeatAt
	}
	m.incarnation, m.lastID = l, name
	sim.incarnations[l.name] = l
	sim.zones[l.name] = m.zone
}

// newBootID returns a boot ID that no incarnation has had. The time of day jumps by up to an hour either way.
func (sim *simulation) newBootID() work.BootID {
	jump := time.Duration(sim.r.Int64N(int64(2*time.Hour))) - time.Hour
	return work.BootID(time.Now().Add(jump).UnixMilli()/1000*1000 + int64(sim.created))
}

// runHeartbeats lists every worker that reaches the store, and removes the entries of those that are silent.
func (sim *simulation) runHeartbeats() {
	for sim.ctx.Err() == nil {
		sim.mu.Lock()
		now := time.Now()
		for _, l := range sim.incarnations {
			_, closed := sim.closed(l.name, simStore)
			switch {
			case now.Before(sim.storeDownUntil):
			case !l.dead && !closed && (!l.listed || now.Sub(l.heartbeatAt) >= simHeartbeat):
				b, _ := json.Marshal(map[string]string{
					"machine": l.machine.name, "pool": l.pool, "zone": l.machine.zone,
					"room": strconv.Itoa(sim.capacity - l.capacityLoss), "birth": strconv.FormatInt(int64(l.bootID), 10),
				})
				if sim.quietHeartbeats && l.listed && sim.corrupts == nil && !l.corrupted {
					l.heartbeatAt = now
					continue
				}
				if l.corrupted = sim.corrupts != nil && sim.corrupts(l); l.corrupted {
					b = b[:len(b)/2]
				}
				l.listed, l.staleEntry, l.heartbeatAt = true, false, now
				l.recordListedLoss(now)
				sim.topic("servers").add(feed.KeyedRecord{Key: l.name, Value: b})
			case (l.listed || l.staleEntry) && now.Sub(l.heartbeatAt) > 3*simHeartbeat:
				l.listed, l.staleEntry = false, false
				sim.topic("servers").add(feed.KeyedRecord{Key: l.name})
			}
		}
		sim.mu.Unlock()
		time.Sleep(250 * time.Millisecond)
	}
}

func parseWorker(name string, value []byte) (work.Worker, error) {
	var x map[string]string
	if err := json.Unmarshal(value, &x); err != nil {
		return work.Worker{}, err
	}
	room, err := strconv.Atoi(x["room"])
	if err != nil {
		return work.Worker{}, err
	}
	born, err := strconv.ParseInt(x["birth"], 10, 64)
	if err != nil {
		return work.Worker{}, err
	}
	return work.Worker{
		Incarnation: name, ID: name, BootID: work.BootID(born), Machine: x["machine"], Pool: x["pool"], DataCentre: x["zone"], Address: name,
		Capacity: job.Need{MilliCPU: room, MemoryMB: room},
	}, nil
}

// Errors of the simulated links.
var (
	errLost   = errors.New("no answer")
	errUnsent = errors.New("not sent")
)

// closed returns the partition that closes the link between two parties, and whether there is one. The lock must be held.
func (sim *simulation) closed(from, to string) (partition, bool) {
	now := time.Now()
	for _, c := range sim.partitions {
		a, b := c.inside(from), c.inside(to)
		if now.Before(c.until) && a != b && ((a && c.out) || (b && c.in)) {
			return c, true
		}
	}
	return partition{}, false
}

// deliver waits until a message has gone from one party to the other, and reports whether it arrived.
func (sim *simulation) deliver(from, to string) bool {
	for {
		sim.mu.Lock()
		c, closed := sim.closed(from, to)
		delay := time.Duration(500+sim.r.IntN(3500)) * time.Microsecond
		sim.mu.Unlock()
		switch {
		case !closed:
			time.Sleep(delay)
			return true
		case c.resets:
			return false
		}
		time.Sleep(time.Until(c.until))
	}
}

// awaitThaw waits while the party is frozen.
func (sim *simulation) awaitThaw(party string) {
	for {
		sim.mu.Lock()
		until, killed := sim.frozen[party], sim.killed[party]
		if time.Now().Before(until) {
			sim.lastDisrupted[party] = until
		}
		sim.mu.Unlock()
		if d := time.Until(until); d > 0 && !killed {
			time.Sleep(d)
			continue
		}
		return
	}
}

// call makes a call. What was sent may be carried out long after the calling side has given up.
func (sim *simulation) call(ctx context.Context, from, to string, lateRate, lossRate float64, exec func(delayed, late bool)) error {
	sim.awaitThaw(from)
	sim.mu.Lock()
	sim.callCount++
	killed := sim.killed[from]
	isLate, isLost, dropped := sim.chance(lateRate), sim.chance(lossRate), sim.chance(0.5)
	after := time.Duration(sim.r.IntN(4000)) * time.Millisecond
	sim.mu.Unlock()
	if killed {
		return errUnsent
	}
	sent := time.Now()
	done := make(chan error, 1)
	var gone sync.Once
	abandoned := make(chan struct{})
	go func() {
		if !sim.deliver(from, to) {
			done <- errUnsent
			return
		}
		if isLate {
			time.Sleep(after)
		}
		select {
		case <-abandoned:
			if dropped {
				return
			}
		default:
		}
		exec(time.Since(sent) > simDelayThreshold, isLate)
		if !isLate && !isLost && sim.deliver(to, from) {
			done <- nil
		}
	}()
	limit := 5 * time.Second
	if d, ok := ctx.Deadline(); ok {
		limit = time.Until(d)
	}
	t := time.NewTimer(limit)
	defer t.Stop()
	var err error
	select {
	case err = <-done:
	case <-t.C:
		gone.Do(func() { close(abandoned) })
		err = errLost
	}
	sim.awaitThaw(from)
	return err
}

// bounds returns the bounds that entries are configured with.
func (sim *simulation) bounds() pool.Bounds {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return pool.Bounds{
		Lease: simLease, Stop: simStopTime, Status: sim.status,
		Maintenance: simMoveTime, Move: simMoveTime, MaxAbsence: simNotice, MaxOverTarget: 4 * time.Second,
	}
}

// entry is one process that takes part in the election and may lead.
type entry struct {
	name      string
	elector   *lead.Elector
	scheduler *pool.Scheduler
	cancel    context.CancelFunc
	ended     chan struct{}
	// drainsVersion is the version of the drained data centres that it has learned of, catalogVersion that of the queues.
	drainsVersion, catalogVersion int
}

// start starts an entry in a zone.
func (sim *simulation) start(name, zone string, boot int) *entry {
	sim.mu.Lock()
	sim.zones[name], sim.killed[name] = zone, false
	sim.lastDisrupted[name] = time.Now()
	sim.mu.Unlock()
	clock := sim.clockOf(name)
	ctx, cancel := context.WithCancel(sim.ctx)
	e := &entry{name: name, cancel: cancel, ended: make(chan struct{})}
	s := &pool.Scheduler{
		Entry: name, Intake: []feed.Topic{sim.topicFor(name, "intake")}, State: sim.topicFor(name, "state"), Workers: sim.topicFor(name, "servers"),
		ParseWorker: parseWorker, Calls: sim.workerCalls(name), Machines: sim.machineAPI(name), Events: sim.events, Clock: clock,
		PutWave: func(ctx context.Context, wave int64, done bool) error { return nil },
	}
	s.SetBounds(sim.bounds())
	sim.mu.Lock()
	s.SetCatalog(sim.catalog())
	e.catalogVersion = sim.catalogVersion
	if len(sim.caps) > 0 {
		s.SetOrganisations(sim.caps[len(sim.caps)-1].directory)
	}
	s.SetDrains(sim.drained)
	e.drainsVersion = sim.drainsVersion
	sim.mu.Unlock()
	size := simLarge
	if zone == simSmallZone {
		size = simSmall
	}
	e.elector = &lead.Elector{
		Entry: name, Address: name, Boot: fmt.Sprint(boot), Topic: sim.topicFor(name, "lead"), Weight: size.Processor, Capacity: size,
		Events: sim.events, Serve: s.Serve, Clock: clock,
	}
	e.scheduler = s
	connect(s, e.elector)
	s.ConfirmedAt = sim.slowPasses(s.ConfirmedAt)
	sim.mu.Lock()
	waves := slices.Clone(sim.waveRequests)
	sim.mu.Unlock()
	for _, x := range waves {
		s.SetWave(x)
	}
	sim.mu.Lock()
	sim.electors[name] = e.elector
	sim.mu.Unlock()
	go func() {
		defer close(e.ended)
		_ = e.elector.Run(ctx)
	}()
	go sim.reportToLeader(ctx, e)
	return e
}

// reportToLeader reports to a leader that is less fit, as entries do over their links.
func (sim *simulation) reportToLeader(ctx context.Context, e *entry) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(lead.ReportInterval):
		}
		if !e.elector.ShouldReport() {
			continue
		}
		to := e.elector.Latest().Entry
		call, cancel := context.WithTimeout(ctx, lead.ReportInterval)
		_ = sim.call(call, e.name, to, 0, 0, func(bool, bool) { // a lost report is not repeated
			sim.mu.Lock()
			leader, killed := sim.electors[to], sim.killed[to]
			sim.mu.Unlock()
			if !killed {
				leader.Report(lead.Candidate{Entry: e.name, Boot: e.elector.Boot, Capacity: e.elector.Capacity})
			}
		})
		cancel()
	}
}

// kill ends the process as a crash does: it sends nothing more.
func (sim *simulation) kill(e *entry) {
	sim.mu.Lock()
	sim.killed[e.name] = true
	sim.mu.Unlock()
	e.cancel()
	<-e.ended
}
