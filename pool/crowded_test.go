// SPDX-License-Identifier: MIT

package pool

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"rackstep.dev/work"
)

// few are the connections of an entry that has some only; one is open to a worker from its first call until it is told to rest.
type few struct {
	mu    sync.Mutex
	most  int
	open  map[string]bool
	asked map[string]int
}

func (f *few) calls(c *work.Calls) {
	c.Hold = func(ctx context.Context, w *work.Worker, o work.Hold) (work.Report, error) {
		f.mu.Lock()
		if o.Idle && !f.open[w.Life] && len(f.open) >= f.most {
			f.mu.Unlock()
			return work.Report{}, work.ErrTooManyConnections
		}
		f.open[w.Life] = true
		f.asked[w.Life]++
		f.mu.Unlock()
		sleep(ctx, o.Wait+time.Millisecond)
		return work.Report{Answer: work.Answer{Clock: 10}}, nil
	}
	c.ConnectionsScarce = func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return 10*len(f.open) > 8*f.most
	}
	c.CloseIdle = func(w *work.Worker) {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.open, w.Life)
	}
}

// The story. On a fleet whose entries all have 4,100 descriptors the leader opened connections to its 6,000 workers until none were left, and went on trying: 178,000
// new connections on a quiet day, fewer than half of the workers ever heard, and not one run. The evidence: 0 runs of 1,159 jobs taken, 3,906 open files.
func TestALeaderWithFewConnectionsHearsAllItsWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		var lives []string
		for i := range 60 {
			lives = append(lives, fmt.Sprint("w", i))
		}
		b := newBench(c, nil, lives...)
		f := &few{most: 20, open: make(map[string]bool), asked: make(map[string]int)}
		f.calls(&b.Calls)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		b.ctx = ctx
		for _, w := range b.workers {
			b.startHolds(w)
		}
		takes := func(d time.Duration) {
			for range d / (50 * time.Millisecond) {
				time.Sleep(50 * time.Millisecond)
				synctest.Wait()
				for _, m := range b.inbox.take() {
					m.apply(b.session)
				}
			}
		}
		takes(10 * time.Second)
		heard := 0
		for _, w := range b.workers {
			if w.heard && w.silentSince.IsZero() {
				heard++
			}
		}
		c.Assert(heard, quicktest.Equals, 60)
		b.watchModes(time.Now())
		c.Assert(b.is(modeCrowded), quicktest.IsTrue)

		takes(3 * time.Second)
		resting := ""
		f.mu.Lock()
		for life := range b.workers {
			if !f.open[life] {
				resting = life
			}
		}
		before := f.asked[resting]
		f.mu.Unlock()
		c.Assert(resting, quicktest.Not(quicktest.Equals), "")
		b.addRun(b.workers[resting], &one(1).Tasks[0], &run{number: 1})
		takes(time.Second)
		f.mu.Lock()
		c.Check(f.asked[resting] > before, quicktest.IsTrue, quicktest.Commentf("a worker that gets work is asked at once"))
		c.Check(f.open[resting], quicktest.IsTrue)
		f.mu.Unlock()
	})
}

func TestAWalkTakesATenthOfTheProcessor(t *testing.T) {
	c := quicktest.New(t)
	var x walk
	now := time.Now()
	c.Assert(x.due(now), quicktest.IsTrue)
	x.end(now, now.Add(20*time.Millisecond))
	c.Assert(x.due(now.Add(199*time.Millisecond)), quicktest.IsFalse)
	c.Assert(x.due(now.Add(200*time.Millisecond)), quicktest.IsTrue)
}

// TestAskingIdleWorkersTakesAPartOfTheProcessor: a small entry asks each of many seldom, and all of them again once the store no longer confirms its lead, since
// their answers are its proof then.
func TestAskingIdleWorkersTakesAPartOfTheProcessor(t *testing.T) {
	c := quicktest.New(t)
	c.Assert(idleRest(350, 0.192), quicktest.Equals, time.Duration(0))
	c.Assert(idleRest(6000, 1.6), quicktest.Equals, time.Duration(0))
	c.Assert(idleRest(6000, 0.192) > 8*time.Second, quicktest.IsTrue)
	c.Assert(idleRest(12000, 0), quicktest.Equals, time.Duration(0))
	synctest.Test(t, func(t *testing.T) {
		b := newBench(quicktest.New(t), nil, "w1", "w2")
		b.Processor = 1e-6 // so that they rest for minutes
		var confirmed atomic.Pointer[time.Time]
		confirm := func() {
			now := time.Now()
			confirmed.Store(&now)
		}
		confirm()
		b.ConfirmedAt = func() time.Time { return *confirmed.Load() }
		f := &few{most: 20, open: make(map[string]bool), asked: make(map[string]int)}
		f.calls(&b.Calls)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		b.ctx = ctx
		b.watchIdle(time.Now())
		for _, w := range b.workers {
			b.startHolds(w)
		}
		asked := func() int {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.asked["w1"] + f.asked["w2"]
		}
		ticks := func(d time.Duration) {
			for range d / tickEvery {
				time.Sleep(tickEvery)
				b.watchIdle(time.Now())
			}
		}
		for range 100 { // the store confirms
			confirm()
			ticks(tickEvery)
		}
		calm := asked()
		b.c.Assert(calm <= 4, quicktest.IsTrue, quicktest.Commentf("asked %d times", calm))
		ticks(10 * time.Second)
		b.c.Assert(asked() >= calm+20, quicktest.IsTrue, quicktest.Commentf("asked %d times without the store", asked()-calm))
	})
}
