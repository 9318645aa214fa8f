// SPDX-License-Identifier: MIT

package pool

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"rackstep.dev/job"
	"rackstep.dev/work"
)

// Guards against ends that become known late because a hold got no answer. Such a hold timed out after 2.7 s, and until then nothing was received from its
// worker. When workers left 4% of calls unanswered for some seconds, with about fifty holds per worker in that time, tasks of 0.64 s took 2.8 s and nearly
// all jobs of a turn were late; 160 workers a second were silent by a timeout, 0.1 s each.
func TestAnEndIsHeardSoonAfterAHoldThatGetsNoAnswer(t *testing.T) {
	for _, x := range [...]struct {
		name  string
		tasks int
		most  time.Duration
	}{
		{"with tasks that end", 1, 800 * time.Millisecond},
		{"with nothing to wait for", 0, 3 * time.Second},
	} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				b := newFixture(c, nil, "w1")
				w := b.workers["w1"]
				b.report("w1", 10, nil)
				for i := range x.tasks {
					b.addRun(w, &jobWithTasks(x.tasks).Tasks[i], &run{number: int64(i + 1)})
				}
				var mu sync.Mutex
				var asked []time.Time
				ctx, cancel := context.WithCancel(context.Background())
				b.Calls.Hold = func(ctx context.Context, _ *work.Worker, o work.Hold) (work.Report, error) {
					mu.Lock()
					asked = append(asked, time.Now())
					n := len(asked)
					mu.Unlock()
					if n == 2 { // the first one after the worker's first report gets no answer
						<-ctx.Done()
						return work.Report{}, work.ErrNoAnswer
					}
					sleep(ctx, o.Wait)
					return work.Report{Answer: work.Answer{Clock: 10}}, nil
				}
				done := make(chan struct{})
				row := w.Worker
				go func() { b.hold(ctx, w, &row); close(done) }()
				time.Sleep(5 * time.Second)
				cancel()
				<-done
				mu.Lock()
				defer mu.Unlock()
				heard := asked[2].Sub(asked[1])
				c.Assert(heard <= x.most, quicktest.IsTrue, quicktest.Commentf("asked again after %v", heard))
			})
		})
	}
}

func TestRunsThatEndAreCountedApartFromLastingOnes(t *testing.T) {
	c := quicktest.New(t)
	b := newFixture(c, nil, "w1")
	w := b.workers["w1"]
	j := job.New(&job.Spec{ID: "00000000000000a1", Queue: "q", Pool: "p", Steps: []job.Step{{Count: 2}, {Count: 1, Lasting: true}}}, time.Now())
	for i := range j.Tasks {
		b.addRun(w, &j.Tasks[i], &run{number: int64(i + 1)})
	}
	c.Assert(w.finiteRuns.Load(), quicktest.Equals, int32(2))
	w.dropRun(&j.Tasks[0])
	w.dropRun(&j.Tasks[2])
	c.Assert(w.finiteRuns.Load(), quicktest.Equals, int32(1))
}
