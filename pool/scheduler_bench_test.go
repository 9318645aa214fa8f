// SPDX-License-Identifier: MIT

package pool

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"rackstep.dev/feed"
	"rackstep.dev/job"
	"rackstep.dev/lead"
	"rackstep.dev/org"
	"rackstep.dev/work"
)

// benchLeader is a leader's control goroutine whose calls are answered at once, so that only the cost of its decisions is
// measured.
type benchLeader struct {
	*fixture
	jobs           int
	clock          work.Clock
	unreportedEnds map[*worker][]work.EndedRun
	lastEndNumbers map[*worker]int64
	// organisations is how many organisations submit the jobs, in rotation. When it is 0, jobs belong to no organisation.
	organisations int
}

// newBenchLeader returns a leader of that many workers and a backlog of waiting jobs, each task of which takes almost a
// whole worker.
func newBenchLeader(c *quicktest.C, workers, backlog int) *benchLeader {
	var incarnations []string
	for i := range workers {
		incarnations = append(incarnations, fmt.Sprint("w", i))
	}
	t := &benchLeader{fixture: newFixture(c, nil, incarnations...), clock: 10, unreportedEnds: make(map[*worker][]work.EndedRun), lastEndNumbers: make(map[*worker]int64)}
	t.ParseWorker = nil
	for _, w := range t.workers {
		w.Pool = "p"
		w.Capacity = job.Need{MilliCPU: 16000, MemoryMB: 64000}
		w.candidate.Free = w.Capacity
	}
	t.State.Append = func(context.Context, feed.Batch) (int64, error) { return 1, nil }
	t.Calls.Start = func(context.Context, *work.Worker, work.Start) (work.Answer, error) {
		return work.Answer{Clock: t.clock}, nil
	}
	for _, incarnation := range incarnations {
		t.report(incarnation, t.clock, nil)
	}
	for range backlog {
		t.submit(15900)
	}
	return t
}

// submit submits a job of eight tasks.
func (t *benchLeader) submit(milliCPU int) {
	t.jobs++
	s := &job.Spec{ID: fmt.Sprintf("%016x", t.jobs), Queue: "q", Pool: "p", Steps: []job.Step{{Count: 8, Need: job.Need{MilliCPU: milliCPU, MemoryMB: 2000}, Estimate: 1000}}}
	name := ""
	if t.organisations > 0 {
		name = fmt.Sprint("o", t.jobs%t.organisations)
	}
	j := t.readIntake(0, record(t.c, job.Qualify(name, s.ID).SubmissionKey(), s), time.Now())
	t.checkRate(j)
	t.recordJobWork(j)
	t.openJob(j, time.Now())
}

// runPass does one pass of the control goroutine, and processes the answers to the calls that it has made.
func (t *benchLeader) runPass() {
	t.placeAll(time.Now())
	t.commit()
	t.background.Wait()
	for _, m := range t.inbox.takeAll() {
		m.apply(t.session)
	}
	t.background.Wait()
	for _, m := range t.inbox.takeAll() {
		if s, ok := m.(startResult); ok {
			t.lastEndNumbers[s.worker]++
			t.unreportedEnds[s.worker] = append(t.unreportedEnds[s.worker], work.EndedRun{Seq: t.lastEndNumbers[s.worker], Task: s.task.Name(), Run: s.run, Outcome: work.Succeeded})
		}
		m.apply(t.session)
	}
}

// reportEnds reports the ends of all runs that were started, in one report for each worker.
func (t *benchLeader) reportEnds() {
	t.clock += 1000
	for w, ends := range t.unreportedEnds {
		t.report(w.Incarnation, t.clock, nil, ends...)
		delete(t.unreportedEnds, w)
	}
}

// BenchmarkStartsAtAThousandWorkers measures what a start costs the control goroutine, including its end and its share of a
// batch, with 1,100 workers and 1,000 waiting jobs. It reports ns/start.
func BenchmarkStartsAtAThousandWorkers(b *testing.B) { benchStarts(b, 0) }

// BenchmarkStartsOfTwentyOrganisations measures the same with 20 organisations that all have a cap.
func BenchmarkStartsOfTwentyOrganisations(b *testing.B) { benchStarts(b, 20) }

// BenchmarkStartsOfManyOrganisations measures the same with 350, as many organisations as the users expect in two years.
func BenchmarkStartsOfManyOrganisations(b *testing.B) { benchStarts(b, 350) }

func benchStarts(b *testing.B, organisations int) {
	c := quicktest.New(b)
	t := newBenchLeader(c, 1100, 0)
	t.organisations = organisations
	if organisations > 0 {
		var rows []org.Organisation
		for i := range organisations {
			rows = append(rows, org.Organisation{Name: fmt.Sprint("o", i), Weight: 1000, Cap: job.Need{MilliCPU: 1e8}})
		}
		d, err := org.NewDirectory(rows)
		c.Assert(err, quicktest.IsNil)
		organisationsChanged{d}.apply(t.session)
	}
	for range 1000 {
		t.submit(15900)
	}
	t.runPass()
	t.reportEnds()
	starts := t.startCount
	b.ReportAllocs()
	for b.Loop() {
		for range 50 {
			t.submit(500)
		}
		for _, p := range t.pools {
			p.nextLookAt = time.Time{}
		}
		t.runPass()
		t.reportEnds()
		t.runTimers(time.Now())
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(t.startCount-starts), "ns/start")
}

// BenchmarkTakeoverAtAThousandWorkers measures what a takeover costs the control goroutine, from when the tables are loaded
// until the last of 1,100 workers has reported, with 5,000 jobs.
func BenchmarkTakeoverAtAThousandWorkers(b *testing.B) {
	c := quicktest.New(b)
	var jobs []*job.Job
	for i := range 5000 {
		s := &job.Spec{ID: fmt.Sprintf("%016x", i), Queue: "q", Pool: "p", Steps: []job.Step{{Count: 8, Need: job.Need{MilliCPU: 500}}}}
		jobs = append(jobs, job.New(s, time.Now()))
	}
	var incarnations []string
	var earlier []keptWorker
	for i := range 1100 {
		incarnations = append(incarnations, fmt.Sprint("w", i))
		earlier = append(earlier, keptWorker{Incarnation: incarnations[i], Machine: "m-" + incarnations[i], Pool: "p"})
	}
	for b.Loop() {
		b.StopTimer()
		t := newFixture(c, jobs, incarnations...)
		t.term = lead.Term{Number: 2, Fence: 2 << 16}
		for _, k := range earlier {
			t.uncertainIncarnations[k.Incarnation] = t.workers[k.Incarnation]
		}
		b.StartTimer()
		for _, incarnation := range incarnations {
			t.report(incarnation, 10, nil)
		}
	}
}

// BenchmarkTickAtAThousandWorkers measures the periodic work, which runs ten times a second, with 1,100 instances, 1,000
// waiting jobs and a maintenance wave over half of the instances.
func BenchmarkTickAtAThousandWorkers(b *testing.B) { benchTick(b, 1100, 1000) }

// BenchmarkTickAtThreeThousandWorkers, BenchmarkTickOfTheFleet and BenchmarkTickOfTwiceTheFleet measure the same at larger
// sizes, to show how the cost grows with the size.
func BenchmarkTickAtThreeThousandWorkers(b *testing.B) { benchTick(b, 3000, 3000) }

func BenchmarkTickOfTheFleet(b *testing.B)      { benchTick(b, 6000, 1000) }
func BenchmarkTickOfTwiceTheFleet(b *testing.B) { benchTick(b, 12000, 1000) }

func benchTick(b *testing.B, workers, backlog int) {
	t := newBenchLeader(quicktest.New(b), workers, backlog)
	t.config = &job.Catalog{
		Queues: map[string]job.Queue{"q": {Name: "q", Pool: "p", Attempts: 3}},
		Pools:  map[string]job.Pool{"p": {}, "o": {}, "spare": {Headroom: true}},
	}
	t.PutWave = func(context.Context, int64, bool) error { return nil }
	wave := Wave{Number: 1, MaxAway: 1, Within: time.Hour}
	for incarnation, w := range t.workers {
		t.machines[w.Machine] = Machine{Name: w.Machine, Pool: w.Pool, ID: incarnation, Labels: []string{"kind", "rack"}}
		if len(wave.Machines) < workers/2 {
			wave.Machines = append(wave.Machines, w.Machine)
		}
	}
	t.machinesListedAt = time.Now()
	t.machinesAskedAt = time.Now().Add(time.Hour)
	waveRequested{wave: wave}.apply(t.session)
	t.runPass()
	b.ReportAllocs()
	for b.Loop() {
		t.runTimers(time.Now())
		t.inbox.takeAll()
	}
}
