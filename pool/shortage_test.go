// SPDX-License-Identifier: MIT

package pool

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"rackstep.dev/event"
	"rackstep.dev/feed"
	"rackstep.dev/job"
	"rackstep.dev/maintenance"
	"rackstep.dev/org"
	"rackstep.dev/work"
)

// The deployment of the load tests below. Jobs have 1.6 steps on average, of 8 tasks each.
const (
	overlapInstances = 48 // of which overlapOff are off at the start
	overlapOff       = 8
	overlapCores     = 16
	overlapTaskTime  = 0.64 // mean, in seconds
	overlapTaskCores = 1.4
	overlapPass      = 20 * time.Millisecond
	overlapEnd       = 16 * time.Second
	overlapMove      = 1500 * time.Millisecond
	overlapTarget    = 600 * time.Millisecond
	overlapStretch   = 1.6
	overlapLate      = 0.07 // part of its value that a late job yields
)

// overlapBurst is a burst of jobs of one queue. perCapacity is its load as a multiple of what all instances can do.
type overlapBurst struct {
	queue, organisation string
	from, to            time.Duration
	perCapacity         float64
}

// overlapJob is a job with its true run times, which the leader does not know.
type overlapJob struct {
	spec        *job.Spec
	at          time.Duration
	runTimes    [][]time.Duration
	work, value float64
	target      time.Duration
	left        int
	ended       time.Duration
}

// overlapRun is a run on a fake worker.
type overlapRun struct {
	run work.RunStatus
	end time.Time
}

// overlap is a leader with fake workers that run what it starts, and a machine interface that moves them.
type overlap struct {
	*fixture
	c       *quicktest.C
	catalog *job.Catalog
	scope   tally.TestScope
	mu      sync.Mutex
	begin   time.Time
	jobs    []*overlapJob
	byID    map[string]*overlapJob
	runs    map[string]map[string]overlapRun // by incarnation and task
	seq     map[string]int64
	lives   map[string]int
	// returns holds when each instance that is away returns, and to which pool.
	returns map[string]time.Time
	pools   map[string]string
	// moves counts the moves, and reversals those of an instance back to the pool that it came from before the first move had paid.
	moves, reversals int
	cameFrom         map[string]string
	movedAt          map[string]time.Time
	// refuse decides on the fate of the move of an instance: the error it is answered with, and whether the instance ever arrives.
	refuse func(machine string) (err error, arrives bool)
}

// newOverlapJobs draws the jobs of the bursts.
func newOverlapJobs(bursts []overlapBurst, r *rand.Rand) []*overlapJob {
	const steps, width = 1.6, 8
	perSecond := overlapInstances * overlapCores / (steps * width * overlapTaskTime * overlapTaskCores)
	var jobs []*overlapJob
	for _, b := range bursts {
		for at := b.from.Seconds(); at < b.to.Seconds(); at += r.ExpFloat64() / (perSecond * b.perCapacity) {
			x := &overlapJob{at: time.Duration(at * float64(time.Second))}
			x.spec = &job.Spec{ID: fmt.Sprintf("%016x", len(jobs)+1), Queue: b.queue, Pool: b.queue, Organisation: b.organisation}
			var path time.Duration
			for i := range 1 + int(r.Float64()+0.6) {
				milliCPU := int(1000 * overlapTaskCores * math.Exp(0.3*r.NormFloat64()))
				mean := overlapTaskTime * math.Exp(0.4*r.NormFloat64()-0.08)
				step := job.Step{Count: 4 + r.IntN(9), Need: job.Need{MilliCPU: milliCPU, MemoryMB: 1}, Estimate: job.Milli(1000 * mean * math.Exp(0.6*r.NormFloat64()))}
				if i > 0 {
					step.After = []int{i - 1}
				}
				var runTimes []time.Duration
				for range step.Count {
					runTimes = append(runTimes, time.Duration(mean*math.Exp(0.2*r.NormFloat64())*float64(time.Second)))
					x.work += runTimes[len(runTimes)-1].Seconds() * float64(milliCPU) / 1000
				}
				path += slices.Max(runTimes)
				x.left += step.Count
				x.runTimes = append(x.runTimes, runTimes)
				x.spec.Steps = append(x.spec.Steps, step)
			}
			x.target = time.Duration(overlapStretch*float64(path)) + overlapTarget
			jobs = append(jobs, x)
		}
	}
	mean := 0.0
	for _, x := range jobs {
		mean += x.work / float64(len(jobs))
	}
	for _, x := range jobs {
		x.value = min(0.3+0.7*x.work/mean, 4)
	}
	slices.SortStableFunc(jobs, func(a, b *overlapJob) int { return cmp.Compare(a.at, b.at) })
	return jobs
}

// newOverlap returns a leader of the pools of the bursts, which share the instances, and a headroom.
func newOverlap(c *quicktest.C, seed uint64, bursts []overlapBurst) *overlap {
	o := &overlap{
		c: c, begin: time.Now(), jobs: newOverlapJobs(bursts, rand.New(rand.NewPCG(seed, 3))), byID: make(map[string]*overlapJob),
		runs: make(map[string]map[string]overlapRun), seq: make(map[string]int64), lives: make(map[string]int), returns: make(map[string]time.Time), pools: make(map[string]string),
		cameFrom: make(map[string]string), movedAt: make(map[string]time.Time), refuse: func(string) (error, bool) { return nil, true },
	}
	for _, x := range o.jobs {
		o.byID[x.spec.ID] = x
	}
	o.catalog = &job.Catalog{Queues: make(map[string]job.Queue), Pools: map[string]job.Pool{"off": {Headroom: true}}}
	for _, x := range bursts {
		o.catalog.Queues[x.queue] = job.Queue{Name: x.queue, Pool: x.queue, Attempts: 3, Stretch: overlapStretch, Target: overlapTarget}
		o.catalog.Pools[x.queue] = job.Pool{}
	}
	pools := slices.Sorted(maps.Keys(o.catalog.Queues))
	for i := range overlapInstances {
		name := fmt.Sprintf("m%02d", i)
		o.pools[name] = pools[i%len(pools)]
		if i < overlapOff {
			o.pools[name] = "off"
		}
	}
	o.lead()
	for name := range o.pools {
		o.machines[name] = Machine{Name: name, Pool: o.pools[name], DataCentre: o.dataCentre(name)}
		o.arrive(name)
	}
	return o
}

// lead makes a new leader that knows nothing yet.
func (o *overlap) lead() {
	o.fixture = newFixture(o.c, nil)
	b := o.Bounds()
	b.Move, b.Maintenance = overlapMove, time.Second
	o.SetBounds(b)
	o.config = o.catalog
	o.Events.Size = 1 << 18 // all events of a test
	o.scope = tally.NewTestScope("", nil)
	o.counts = newMetrics(o.scope)
	d, err := org.NewDirectory([]org.Organisation{{Name: "hot", Weight: 20}, {Name: "cold", Weight: 100}})
	o.c.Assert(err, quicktest.IsNil)
	organisationsChanged{d}.apply(o.session)
	o.ParseWorker = func(incarnation string, _ []byte) (work.Worker, error) {
		name, _, _ := strings.Cut(incarnation, "/")
		return work.Worker{Incarnation: incarnation, ID: incarnation, Machine: name, Pool: o.pools[name], DataCentre: o.dataCentre(name), Capacity: job.Need{MilliCPU: 1000 * overlapCores, MemoryMB: 1 << 16}}, nil
	}
	o.Calls.Start = o.start
	o.Machines.Move = o.move
	o.Machines.Maintenance = func(_ context.Context, machine string, _, _ int64) error {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.takeAway(machine, time.Second)
		return nil
	}
	o.PutWave = func(context.Context, int64, bool) error { return nil }
	o.machinesListedAt = time.Now()
}

// takeOver replaces the leader by another one, which has the stored tables and the lists only.
func (o *overlap) takeOver() {
	o.mu.Lock()
	defer o.mu.Unlock()
	jobs, machines := o.session.jobs, o.machines
	o.lead()
	var state, intake, list feed.KeyedPage
	for _, j := range jobs {
		intake.Records = append(intake.Records, record(o.c, j.Spec.QualifiedID().SubmissionKey(), j.Spec))
		state.Records = append(state.Records, record(o.c, stateKey+j.Spec.ID, j.Stored()))
	}
	for incarnation := range o.runs {
		list.Records = append(list.Records, feed.KeyedRecord{Key: incarnation, Value: []byte{1}})
		o.storedIncarnations[incarnation] = true
	}
	o.fillTables(state, []feed.KeyedPage{intake}, list)
	for name, m := range machines {
		if _, away := o.returns[name]; away {
			m.State = MachineMoving
		}
		o.machines[name] = m
	}
	o.machinesListedAt = time.Now()
	for incarnation := range o.runs {
		o.hear(incarnation)
	}
}

// dataCentre returns the data centre of an instance, one of three.
func (o *overlap) dataCentre(machine string) string { return string('x' + machine[2]%3) }

// arrive starts a worker on an instance unless its pool is off.
func (o *overlap) arrive(machine string) {
	if o.pools[machine] == "off" {
		return
	}
	o.lives[machine]++
	incarnation := fmt.Sprintf("%s/%d", machine, o.lives[machine])
	o.runs[incarnation] = make(map[string]overlapRun)
	o.applyWorkerRecord(incarnation, []byte{1})
	m := o.machines[machine]
	m.ID, m.Pool, m.State = incarnation, o.pools[machine], MachineUp
	o.machines[machine] = m
	o.hear(incarnation)
}

// takeAway ends the worker of an instance until it returns. The lock must be held.
func (o *overlap) takeAway(machine string, d time.Duration) {
	delete(o.runs, fmt.Sprintf("%s/%d", machine, o.lives[machine]))
	o.returns[machine] = time.Now().Add(d)
}

func (o *overlap) move(_ context.Context, machine, to string, _ int64) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	err, arrives := o.refuse(machine)
	if err != nil {
		return err
	}
	o.moves++
	if to != "off" && o.cameFrom[machine] == to && time.Since(o.movedAt[machine]) < 2*overlapMove {
		o.reversals++
	}
	o.cameFrom[machine], o.movedAt[machine] = o.pools[machine], time.Now()
	o.pools[machine] = to
	o.takeAway(machine, overlapMove)
	if !arrives {
		o.returns[machine] = o.begin.Add(time.Hour)
	}
	return nil
}

func (o *overlap) start(_ context.Context, w *work.Worker, s work.Start) (work.Answer, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var step, index int
	id, rest, _ := strings.Cut(s.Task, ".")
	_, err := fmt.Sscanf(rest, "0.%d.%d", &step, &index)
	runs := o.runs[w.Incarnation]
	if err != nil || runs == nil {
		return work.Answer{}, work.ErrNoAnswer
	}
	runs[s.Task] = overlapRun{work.RunStatus{Task: s.Task, Run: s.Run, Percent: fullPercent}, time.Now().Add(o.byID[id].runTimes[step][index])}
	return work.Answer{Clock: o.clock()}, nil
}

func (o *overlap) clock() work.Clock { return work.Clock(10 + time.Since(o.begin).Milliseconds()) }

// hear applies a report of a worker, with the runs that have ended. The lock must be held.
func (o *overlap) hear(incarnation string) {
	var running []work.RunStatus
	var ended []work.EndedRun
	for task, x := range o.runs[incarnation] {
		if time.Now().Before(x.end) {
			running = append(running, x.run)
			continue
		}
		o.seq[incarnation]++
		ended = append(ended, work.EndedRun{Seq: o.seq[incarnation], Task: task, Run: x.run.Run, Outcome: work.Succeeded})
		delete(o.runs[incarnation], task)
		j := o.byID[task[:16]]
		if j.left--; j.left == 0 {
			j.ended = time.Since(o.begin)
		}
	}
	o.report(incarnation, o.clock(), running, ended...)
}

// simulate runs the leader until overlapEnd. each is called before every pass.
func (o *overlap) simulate(each func(at time.Duration)) {
	next := 0
	for pass := 0; ; pass++ {
		at := time.Since(o.begin)
		if at > overlapEnd {
			return
		}
		each(at)
		for ; next < len(o.jobs) && o.jobs[next].at <= at; next++ {
			s := *o.jobs[next].spec
			s.Taken = job.UnixMilli(time.Now().UnixMilli())
			j := o.readIntake(0, record(o.c, job.Qualify(s.Organisation, s.ID).SubmissionKey(), &s), time.Now())
			o.checkRate(j)
			o.recordJobWork(j)
			o.openJob(j, time.Now())
		}
		o.mu.Lock()
		for machine, when := range o.returns {
			if !time.Now().Before(when) {
				delete(o.returns, machine)
				o.arrive(machine)
			}
		}
		for incarnation := range o.runs {
			if w := o.workers[incarnation]; w != nil {
				o.hear(incarnation)
			}
		}
		o.mu.Unlock()
		if pass%5 == 0 {
			o.checkLeases(time.Now())
			o.runWaves(time.Now())
			o.sizePools(time.Now())
		}
		o.placeAll(time.Now())
		o.commitAll()
		time.Sleep(overlapPass)
	}
}

// earned returns the part of their value that the jobs yield for which in returns true.
func (o *overlap) earned(in func(s *job.Spec) bool) float64 {
	got, total := 0.0, 0.0
	for _, x := range o.jobs {
		if !in(x.spec) {
			continue
		}
		total += x.value
		switch took := x.ended - x.at; {
		case x.ended == 0 || took > 3*x.target:
		case took > x.target:
			got += overlapLate * x.value
		default:
			got += x.value
		}
	}
	return got / total
}

// bound returns an upper bound of the part of their value that all jobs can yield. Jobs that come and must end within the same period can do so only as far
// as the instances have the time; the densest of them are taken to be in time, and the others to yield what late jobs do.
func (o *overlap) bound() float64 {
	total := 0.0
	for _, x := range o.jobs {
		total += x.value
	}
	dense := slices.SortedFunc(slices.Values(o.jobs), func(a, b *overlapJob) int { return cmp.Compare(b.value/b.work, a.value/a.work) })
	most := 0.0
	for from := time.Duration(0); from < overlapEnd; from += overlapMove / 3 {
		for to := from + overlapMove; to < overlapEnd; to += overlapMove / 3 {
			capacity, lost := overlapInstances*overlapCores*(to-from).Seconds(), 0.0
			for _, x := range dense {
				if x.at < from || x.at+x.target > to {
					continue
				}
				if capacity -= x.work; capacity < 0 {
					lost += (1 - overlapLate) * x.value
				}
			}
			most = max(most, lost)
		}
	}
	return 1 - most/total
}

// TestAPoolDoesNotWaitForTheEndOfAnothersBurst guards against the pool whose burst comes first keeping all instances for work that is late or beyond the rate
// of a hot organisation, while the jobs of the next burst wait.
func TestAPoolDoesNotWaitForTheEndOfAnothersBurst(t *testing.T) {
	const second = time.Second
	bursts := []overlapBurst{
		{"a", "hot", second, 6 * second, 1.5}, {"a", "cold", second, 6 * second, 0.5},
		{"b", "cold", 5 * second, 9500 * time.Millisecond, 0.7},
	}
	wave := Wave{Number: 1, MaxAway: 4, Within: 15 * second}
	for i := range overlapInstances / 3 {
		wave.Machines = append(wave.Machines, fmt.Sprintf("m%02d", 3*i))
	}
	noAnswer := errors.New("no answer")
	for _, test := range [...]struct {
		name string
		wave bool
		// refuse decides on moves, and each is called before each pass.
		refuse func(machine string) (err error, arrives bool)
		each   func(o *overlap, at time.Duration)
		// leastA and leastB are the least parts of the bound that the queues must obtain.
		leastA, leastB float64
	}{
		{name: "two bursts and a hot organisation", leastA: 0.42, leastB: 0.55},
		{name: "a wave of a third of the instances", wave: true, leastA: 0.38, leastB: 0.5},
		{name: "some instances never arrive", refuse: func(m string) (error, bool) { return nil, m[2]%4 > 0 }, leastA: 0.42, leastB: 0.45},
		{name: "moves are refused", refuse: refuseSome(ErrBusy), leastA: 0.42, leastB: 0.5},
		{name: "moves are not answered", refuse: refuseSome(noAnswer), leastA: 0.42, leastB: 0.5},
		{name: "the leader is lost in the middle of a shift", each: func(o *overlap, at time.Duration) {
			if at == 7*second {
				o.takeOver()
			}
		}, leastA: 0.42, leastB: 0.5},
		{name: "a data centre is drained", each: func(o *overlap, at time.Duration) {
			if at == 4*second {
				drainsChanged{[]string{"x"}}.apply(o.session)
			}
		}, leastA: 0.35, leastB: 0.4},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := newOverlap(quicktest.New(t), 7, bursts)
				if test.wave {
					waveRequested{wave: wave}.apply(o.session)
				}
				if test.refuse != nil {
					o.refuse = test.refuse
				}
				o.simulate(func(at time.Duration) {
					if test.each != nil {
						test.each(o, at)
					}
				})
				queue := func(name string) float64 { return o.earned(func(s *job.Spec) bool { return s.Queue == name }) }
				a, b, bound := queue("a"), queue("b"), o.bound()
				cold := o.earned(func(s *job.Spec) bool { return s.Queue == "a" && s.Organisation == "cold" })
				t.Logf("at most %.3f; queue a %.3f, its cold organisation %.3f; queue b %.3f; moves %d, reversed %d", bound, a, cold, b, o.moves, o.reversals)
				o.c.Check(a >= test.leastA*bound, quicktest.IsTrue)
				o.c.Check(b >= test.leastB*bound, quicktest.IsTrue)
				o.c.Check(cold >= 0.6, quicktest.IsTrue)
				o.c.Check(o.reversals <= o.moves/20, quicktest.IsTrue)
				if test.each == nil {
					o.checkLog()
				}
			})
		})
	}
}

// TestOldWorkClaimsNoInstances guards against work that can't be in time counting as timely, among it the backlog of an earlier leader, whose jobs are taken for younger
// than they are.
func TestOldWorkClaimsNoInstances(t *testing.T) {
	for _, test := range [...]struct {
		name      string
		age       time.Duration
		inherited bool
		overRate  bool
		timely    bool
	}{
		{"new", 0, false, false, true},
		{"old", 4 * time.Second, false, false, false},
		{"new, of an earlier leader", 100 * time.Millisecond, true, false, true},
		{"old, of an earlier leader", 2500 * time.Millisecond, true, false, false},
		{"beyond the rate of its organisation", 0, false, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				time.Sleep(time.Minute) // the wall clock is past the times below
				b := newFixture(quicktest.New(t), nil, "w1")
				b.report("w1", 10, nil)
				step := oneCoreTasks(20)
				step.Estimate = 500
				now := time.Now()
				j := b.submit("a", jobID(1), step)
				j.Spec.Taken = job.UnixMilli(now.Add(-test.age).UnixMilli())
				j.From = now.Add(-test.age)
				if test.inherited {
					b.inheritedJobs[jobID(1)] = true
					j.From = now.Add(-ageOf(j.Spec.Taken, now))
				}
				j.OverRate = test.overRate
				b.openJob(j, now)
				b.countLoads()
				needed := 0.0
				for _, x := range b.claim(b.pool("p"), maintenance.ShiftTerms{Delay: time.Second, PayOff: 2 * time.Second}, now).Timely {
					needed += x.Instances
				}
				b.c.Assert(needed > 1, quicktest.Equals, test.timely, quicktest.Commentf("%.2f instances", needed))
			})
		})
	}
}

// checkLog checks that the log has the shortage, its shifts and its end, in a bounded number of lines, and that the metrics have them.
func (o *overlap) checkLog() {
	lines := make(map[event.Number][]string)
	for _, e := range o.Events.Since(0) {
		lines[e.Number] = append(lines[e.Number], e.Text)
	}
	o.c.Check(len(lines[event.PoolShort]) <= 4*int(overlapEnd/sizeLogInterval), quicktest.IsTrue)
	o.c.Check(len(lines[event.InstancesShifted]) <= 4*int(overlapEnd/sizeLogInterval), quicktest.IsTrue)
	o.c.Check(strings.Join(lines[event.PoolShort], "\n"), quicktest.Contains, "state=ended")
	o.c.Check(strings.Join(lines[event.InstancesShifted], "\n"), quicktest.Contains, "from=a to=b")
	metrics := o.scope.Snapshot()
	o.c.Check(metrics.Counters()["instances_shifted+"].Value() > 0, quicktest.IsTrue)
	for _, name := range [...]string{"instances_wanted", "instances_granted", "instances_held"} {
		o.c.Check(metrics.Gauges()[name+"+pool=b"], quicktest.IsNotNil, quicktest.Commentf("%s", name))
	}
}

// refuseSome returns a function that lets the first call for each of two thirds of the instances fail.
func refuseSome(err error) func(machine string) (error, bool) {
	failed := make(map[string]bool)
	return func(machine string) (error, bool) {
		if machine[2]%3 > 0 && !failed[machine] {
			failed[machine] = true
			return err, true
		}
		return nil, true
	}
}

// TestInstancesThatNobodyUsesMoveAgainAtOnce guards against instances that were moved for a burst that did not come, and stay in their pool until
// their move could have paid, while another pool is short.
func TestInstancesThatNobodyUsesMoveAgainAtOnce(t *testing.T) {
	c := quicktest.New(t)
	b := newFixture(c, nil)
	b.config = &job.Catalog{Pools: map[string]job.Pool{"idle": {Name: "idle"}, "short": {Name: "short"}}}
	now := time.Now()
	terms := maintenance.ShiftTerms{Delay: time.Second, PayOff: 4 * time.Second}
	pools := []maintenance.Pool{{Name: "idle", Have: 10, Want: 2, Min: 3}, {Name: "short", Have: 10, Want: 90, Min: 9}}
	var instances []maintenance.Instance
	for _, p := range pools {
		for i := range p.Have {
			x := maintenance.Instance{Name: fmt.Sprint(p.Name, i), Pool: p.Name}
			if p.Name == "short" {
				x.Runs = 1
			}
			b.movedAt[x.Name] = now.Add(-time.Second)
			instances = append(instances, x)
		}
	}
	claims := b.claims(pools, instances, terms, now)
	c.Check(claims["idle"].Movable, quicktest.Equals, 7)
	c.Check(claims["short"].Movable, quicktest.Equals, 0)
}
