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

// turn is a leader's control goroutine with calls that are answered at once: what is left is the cost of deciding.
type turn struct {
	*bench
	jobs   int
	clock  work.Clock
	ended  map[*worker][]work.EndedRun
	newest map[*worker]int64
	// organisations is how many hand the jobs in, by turns; nobody in particular does when 0.
	organisations int
}

// newTurn returns a leader of that many workers, of which backlog jobs wait that fit nowhere yet.
func newTurn(c *quicktest.C, workers, backlog int) *turn {
	var lives []string
	for i := range workers {
		lives = append(lives, fmt.Sprint("w", i))
	}
	t := &turn{bench: newBench(c, nil, lives...), clock: 10, ended: make(map[*worker][]work.EndedRun), newest: make(map[*worker]int64)}
	t.ParseWorker = nil
	for _, w := range t.workers {
		w.Pool = "p"
		w.Capacity = job.Need{MilliCPU: 16000, MemoryMB: 64000}
		w.room.Free = w.Capacity
	}
	t.State.Append = func(context.Context, feed.Batch) (int64, error) { return 1, nil }
	t.Calls.Start = func(context.Context, *work.Worker, work.Start) (work.Answer, error) {
		return work.Answer{Clock: t.clock}, nil
	}
	for _, life := range lives {
		t.reports(life, t.clock, nil)
	}
	for range backlog {
		t.handIn(15900)
	}
	return t
}

// handIn hands in a job of eight tasks.
func (t *turn) handIn(milliCPU int) {
	t.jobs++
	s := &job.Spec{ID: fmt.Sprintf("%016x", t.jobs), Queue: "q", Pool: "p", Steps: []job.Step{{Count: 8, Need: job.Need{MilliCPU: milliCPU, MemoryMB: 2000}, Estimate: 1000}}}
	name := ""
	if t.organisations > 0 {
		name = fmt.Sprint("o", t.jobs%t.organisations)
	}
	j := t.readIntake(0, record(t.c, job.Qualify(name, s.ID).SubmissionKey(), s), time.Now())
	t.judgeRate(j)
	t.learnJob(j)
	t.openJob(j, time.Now())
}

// pass does what the control goroutine does in a pass, and settles what it has sent.
func (t *turn) pass() {
	t.placeAll(time.Now())
	t.commit()
	t.work.Wait()
	for _, m := range t.inbox.take() {
		m.apply(t.session)
	}
	t.work.Wait()
	for _, m := range t.inbox.take() {
		if s, ok := m.(startEnded); ok {
			t.newest[s.worker]++
			t.ended[s.worker] = append(t.ended[s.worker], work.EndedRun{Seq: t.newest[s.worker], Task: s.task.Name(), Run: s.run, Outcome: work.Succeeded})
		}
		m.apply(t.session)
	}
}

// end tells the ends of all that was started, a report for each worker.
func (t *turn) end() {
	t.clock += 1000
	for w, ends := range t.ended {
		t.reports(w.Life, t.clock, nil, ends...)
		delete(t.ended, w)
	}
}

// BenchmarkStartsAtAThousandWorkers gives the control goroutine's cost of a start, its end and its share of a batch included,
// with 1,100 workers and 1,000 jobs that wait; ns/start is the figure.
func BenchmarkStartsAtAThousandWorkers(b *testing.B) { benchStarts(b, 0) }

// BenchmarkStartsOfTwentyOrganisations and BenchmarkStartsOfManyOrganisations are the same with organisations that all have a cap.
func BenchmarkStartsOfTwentyOrganisations(b *testing.B) { benchStarts(b, 20) }

// BenchmarkStartsOfManyOrganisations has as many as the users expect in two years.
func BenchmarkStartsOfManyOrganisations(b *testing.B) { benchStarts(b, 350) }

func benchStarts(b *testing.B, organisations int) {
	c := quicktest.New(b)
	t := newTurn(c, 1100, 0)
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
		t.handIn(15900)
	}
	t.pass()
	t.end()
	starts := t.starts
	b.ReportAllocs()
	for b.Loop() {
		for range 50 {
			t.handIn(500)
		}
		for _, p := range t.pools {
			p.next = time.Time{}
		}
		t.pass()
		t.end()
		t.passTime(time.Now())
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(t.starts-starts), "ns/start")
}

// BenchmarkTakeoverAtAThousandWorkers gives the control goroutine's cost of a takeover, from tables that are read to the last
// of 1,100 workers heard, with 5,000 jobs.
func BenchmarkTakeoverAtAThousandWorkers(b *testing.B) {
	c := quicktest.New(b)
	var jobs []*job.Job
	for i := range 5000 {
		s := &job.Spec{ID: fmt.Sprintf("%016x", i), Queue: "q", Pool: "p", Steps: []job.Step{{Count: 8, Need: job.Need{MilliCPU: 500}}}}
		jobs = append(jobs, job.New(s, time.Now()))
	}
	var lives []string
	var earlier []keptWorker
	for i := range 1100 {
		lives = append(lives, fmt.Sprint("w", i))
		earlier = append(earlier, keptWorker{Life: lives[i], Machine: "m-" + lives[i], Pool: "p"})
	}
	for b.Loop() {
		b.StopTimer()
		t := newBench(c, jobs, lives...)
		t.term = lead.Term{Number: 2, Fence: 2 << 16}
		for _, k := range earlier {
			t.unheard[k.Life] = t.workers[k.Life]
		}
		b.StartTimer()
		for _, life := range lives {
			t.reports(life, 10, nil)
		}
	}
}

// BenchmarkTickAtAThousandWorkers gives the cost of what time alone drives, ten times a second, with 1,100 instances, 1,000 jobs
// that wait and a wave over half of the instances.
func BenchmarkTickAtAThousandWorkers(b *testing.B) { benchTick(b, 1100, 1000) }

// BenchmarkTickAtThreeThousandWorkers, of the whole fleet and of twice the fleet are the same at the sizes that are weighed by slope.
func BenchmarkTickAtThreeThousandWorkers(b *testing.B) { benchTick(b, 3000, 3000) }

func BenchmarkTickOfTheFleet(b *testing.B)      { benchTick(b, 6000, 1000) }
func BenchmarkTickOfTwiceTheFleet(b *testing.B) { benchTick(b, 12000, 1000) }

func benchTick(b *testing.B, workers, backlog int) {
	t := newTurn(quicktest.New(b), workers, backlog)
	t.config = &job.Catalog{
		Queues: map[string]job.Queue{"q": {Name: "q", Pool: "p", Attempts: 3}},
		Pools:  map[string]job.Pool{"p": {}, "o": {}, "spare": {Headroom: true}},
	}
	t.PutWave = func(context.Context, int64, bool) error { return nil }
	wave := Wave{Number: 1, MaxAway: 1, Within: time.Hour}
	for life, w := range t.workers {
		t.machines[w.Machine] = Machine{Name: w.Machine, Pool: w.Pool, ID: life, Labels: []string{"kind", "rack"}}
		if len(wave.Machines) < workers/2 {
			wave.Machines = append(wave.Machines, w.Machine)
		}
	}
	t.machinesRead = time.Now()
	t.machinesAt = time.Now().Add(time.Hour)
	waveRead{wave: wave}.apply(t.session)
	t.pass()
	b.ReportAllocs()
	for b.Loop() {
		t.passTime(time.Now())
		t.inbox.take()
	}
}
