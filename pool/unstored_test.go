// SPDX-License-Identifier: MIT

package pool

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"rackstep.dev/event"
	"rackstep.dev/feed"
	"rackstep.dev/job"
	"rackstep.dev/work"
)

// loadedFixture is a session under continuous load: whenever a batch is answered, the next one is sent in the same
// pass.
type loadedFixture struct {
	*fixture
	// storeDelay is how long the store takes for a batch.
	storeDelay time.Duration
	// announced is what the next leader would read.
	announced bool
	jobs      int
	mu        sync.Mutex
	ordered   map[string]time.Time
}

const loadedIncarnations = 400

func newLoadedFixture(c *quicktest.C) *loadedFixture {
	var incarnations []string
	for i := range loadedIncarnations {
		incarnations = append(incarnations, fmt.Sprint("w", i))
	}
	x := &loadedFixture{fixture: newFixture(c, nil, incarnations...), storeDelay: 4 * time.Millisecond, ordered: make(map[string]time.Time)}
	x.AnnounceUnstoredOrders = func(loose bool) { x.announced = loose }
	x.UnstoredOrdersAnnounced = func() bool { return x.announced }
	x.State.Append = func(ctx context.Context, _ feed.Batch) (int64, error) {
		if sleep(ctx, x.storeDelay); ctx.Err() != nil {
			return 0, feed.ErrUncertain
		}
		return 1, nil
	}
	x.Calls.Start = func(_ context.Context, _ *work.Worker, o work.Start) (work.Answer, error) {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.ordered[o.Task[:16]] = time.Now()
		return work.Answer{Clock: 100}, nil
	}
	for _, incarnation := range incarnations {
		x.report(incarnation, 10, nil)
	}
	x.assignment.stored = x.assignable() // without one, no start leaves before it is stored
	return x
}

// pass runs one pass of the control goroutine: it submits jobs, applies the answers and sends the next batch.
func (x *loadedFixture) pass(jobs int) {
	for range jobs {
		x.jobs++
		s := &job.Spec{ID: fmt.Sprintf("%016x", x.jobs), Queue: "q", Pool: "p", Steps: []job.Step{{Count: 1, Need: job.Need{MilliCPU: 1}}}}
		j := x.readIntake(0, record(x.c, job.Qualify("", s.ID).SubmissionKey(), s), time.Now())
		x.openJob(j, time.Now())
	}
	for _, m := range x.inbox.takeAll() {
		m.apply(x.session)
	}
	for _, p := range x.pools {
		p.nextLookAt = time.Time{}
	}
	x.placeAll(time.Now())
	x.commit()
}

// passFor runs passes under load, one each 10 ms. After each pass it runs the timer for unstored orders while the
// batch is in flight.
func (x *loadedFixture) passFor(d time.Duration, jobsPerSecond int) {
	const each = 10 * time.Millisecond
	for range d / each {
		x.pass(jobsPerSecond / int(time.Second/each))
		for _, w := range x.workers {
			w.askedAt = time.Now()
		}
		x.allowUnstored(time.Now())
		time.Sleep(each)
		synctest.Wait()
	}
}

func TestOrdersWaitToBeKeptAgainOnceTheStoreTakesBatchesUnderLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newLoadedFixture(quicktest.New(t))
		x.passFor(time.Second, 500)
		x.c.Assert(x.announced, quicktest.IsFalse)
		x.storeDelay = time.Minute
		x.passFor(2*time.Second, 500)
		x.c.Assert(x.announced, quicktest.IsTrue)
		before := len(x.ordered)
		x.passFor(500*time.Millisecond, 500)
		x.c.Assert(len(x.ordered) > before, quicktest.IsTrue, quicktest.Commentf("orders must be sent without the store"))
		x.storeDelay = 4 * time.Millisecond
		x.passFor(1200*time.Millisecond, 500)
		x.c.Assert(x.announced, quicktest.IsFalse, quicktest.Commentf("the store has answered for a second"))
		x.c.Assert(x.storeFailing(time.Now()), quicktest.IsFalse)
	})
}

// TestAnAnnouncementIsTakenBackThatWasNeverUsed makes the store slow just long enough for the announcement of
// unstored orders.
func TestAnAnnouncementIsTakenBackThatWasNeverUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newLoadedFixture(quicktest.New(t))
		x.UnstoredOrdersAnnounced = func() bool { return false }
		x.storeDelay = 400 * time.Millisecond
		x.passFor(450*time.Millisecond, 500)
		x.c.Assert(x.announced, quicktest.IsTrue)
		x.storeDelay = 4 * time.Millisecond
		x.passFor(time.Second, 500)
		x.c.Assert(x.announced, quicktest.IsFalse)
	})
}

// TestAnAnnouncementStaysUntilWhatLeftUnkeptIsKept orders unstored runs whose jobs are stored only by later batches.
func TestAnAnnouncementStaysUntilWhatLeftUnkeptIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newLoadedFixture(quicktest.New(t))
		x.maxBatchBytes = 2000 // some tens of jobs
		x.storeDelay = 800 * time.Millisecond
		x.passFor(700*time.Millisecond, 2000)
		x.c.Assert(len(x.ordered) > 100, quicktest.IsTrue)
		x.storeDelay = 20 * time.Millisecond
		for range 200 {
			x.pass(0)
			time.Sleep(10 * time.Millisecond)
			synctest.Wait()
			unkept := 0
			for id := range x.ordered {
				if j := x.session.jobs[id]; j.StoredVersion < 2 {
					unkept++
				}
			}
			if unkept > 0 {
				x.c.Assert(x.announced, quicktest.IsTrue, quicktest.Commentf("%d orders are not stored", unkept))
			}
		}
		x.c.Assert(x.announced, quicktest.IsFalse)
	})
}

// TestAStartLeavesWithTheBatchThatHoldsIt submits 5,000 jobs a second.
func TestAStartLeavesWithTheBatchThatHoldsIt(t *testing.T) {
	for _, test := range [...]struct {
		store    time.Duration
		p50, p99 time.Duration
	}{
		{4 * time.Millisecond, 25 * time.Millisecond, 40 * time.Millisecond},
		// A job waits at most for the batch in flight and then for its own.
		{200 * time.Millisecond, 320 * time.Millisecond, 450 * time.Millisecond},
	} {
		t.Run(test.store.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newLoadedFixture(quicktest.New(t))
				x.storeDelay = test.store
				x.passFor(3*time.Second, 5000)
				var waits []time.Duration
				for id, at := range x.ordered {
					waits = append(waits, at.Sub(x.session.jobs[id].Received))
				}
				x.c.Assert(len(waits) > 5000*2, quicktest.IsTrue, quicktest.Commentf("%d of 15000", len(waits)))
				slices.Sort(waits)
				p50, p99 := waits[len(waits)/2], waits[len(waits)*99/100]
				t.Logf("store %v: %d orders, p50 %v, p99 %v", test.store, len(waits), p50, p99)
				x.c.Assert(p50 <= test.p50, quicktest.IsTrue, quicktest.Commentf("p50 %v", p50))
				x.c.Assert(p99 <= test.p99, quicktest.IsTrue, quicktest.Commentf("p99 %v", p99))
			})
		})
	}
}

// TestAnEndIsAcknowledgedOnceItIsKept reports an end while other jobs change continuously.
func TestAnEndIsAcknowledgedOnceItIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newLoadedFixture(quicktest.New(t))
		x.pass(1)
		time.Sleep(10 * time.Millisecond)
		synctest.Wait()
		x.pass(0)
		var w *worker
		for _, o := range x.workers {
			if len(o.runs) > 0 {
				w = o
			}
		}
		x.c.Assert(w, quicktest.IsNotNil)
		x.passFor(100*time.Millisecond, 2000)
		task, number := "", int64(0)
		for t, r := range w.runs {
			task, number = t.Name(), r.number
		}
		x.storeDelay = 50 * time.Millisecond
		x.pass(50)
		x.report(w.Incarnation, 500, nil, work.EndedRun{Seq: 1, Task: task, Run: number, Outcome: work.Succeeded})
		x.c.Assert(w.acked.Load(), quicktest.Equals, int64(0), quicktest.Commentf("the end is not stored yet"))
		x.passFor(150*time.Millisecond, 2000)
		x.c.Assert(w.acked.Load(), quicktest.Equals, int64(1))
	})
}

// TestEachDegradedModeTellsItsBeginAndItsEnd reads the events of a store outage.
func TestEachDegradedModeTellsItsBeginAndItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newLoadedFixture(quicktest.New(t))
		x.passFor(200*time.Millisecond, 500)
		x.storeDelay = time.Minute
		x.passFor(time.Second, 500)
		x.storeDelay = 4 * time.Millisecond
		x.passFor(2*time.Second, 500)
		var seen []string
		for _, e := range x.Events.Since(0) {
			if e.Number == event.ModeBegun || e.Number == event.ModeEnded {
				seen = append(seen, fmt.Sprint(e.Number.Name(), " ", e.Text[:len("mode=store-slow")]))
			}
		}
		x.c.Assert(seen, quicktest.DeepEquals, []string{
			"mode-begun mode=store-slow", "mode-begun mode=unkept-ord", "mode-ended mode=unkept-ord", "mode-ended mode=store-slow",
		})
	})
}

// TestASlowStoreStopsMovesOnlyAtFirst makes batches take 0.6 s, and later never finish.
func TestASlowStoreStopsMovesOnlyAtFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newLoadedFixture(quicktest.New(t))
		fails := func(d time.Duration) (share float64) {
			n, failing := 0, 0
			for end := time.Now().Add(d); time.Now().Before(end); n++ {
				x.passFor(10*time.Millisecond, 500)
				if x.storeFailing(time.Now()) {
					failing++
				}
			}
			return float64(failing) / float64(n)
		}
		x.c.Assert(fails(time.Second), quicktest.Equals, 0.0)
		x.storeDelay = 600 * time.Millisecond
		fails(2 * time.Second)
		x.c.Assert(fails(4*time.Second), quicktest.Equals, 0.0, quicktest.Commentf("the store is only slow"))
		x.storeDelay = time.Minute
		fails(2 * time.Second)
		x.c.Assert(fails(time.Second), quicktest.Equals, 1.0, quicktest.Commentf("the store does not answer"))
	})
}
