// SPDX-License-Identifier: MIT

package pool

import (
	"context"
	"runtime"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"rackstep.dev/feed"
)

func TestStrainIsToldFromLoadAndFromAPause(t *testing.T) {
	for _, test := range [...]struct {
		name    string
		workers int
		waits   []time.Duration
		short   bool
	}{
		{"idle", 350, []time.Duration{0, 0, 0, 0, 0, 0, 0, 0}, false},
		{"busy, as seen at peaks", 350, []time.Duration{5, 84, 21, 42, 84, 5, 84, 17, 34, 84, 84, 84}, false},
		{"one pause of the process", 350, []time.Duration{0, 4000, 20, 0, 0, 0, 0, 0}, false},
		{"slow for a moment", 350, []time.Duration{25, 134, 117, 20, 15, 10, 25, 40, 5}, false},
		{"slow with breaks, as seen on an instance slowed down", 350, []time.Duration{101, 134, 67, 117, 168, 29, 34, 201, 336, 336, 29, 25, 134, 268}, true},
		{"slow for a second, as seen on an instance slowed down", 350, []time.Duration{25, 134, 117, 201, 235, 336, 268, 60, 402}, true},
		{"slow for a second on a large fleet", 1100, []time.Duration{25, 134, 117, 201, 235, 336, 268, 60, 402}, false},
		{"slow for long on a large fleet", 1100, slices.Repeat([]time.Duration{134, 117, 201, 235, 336, 268, 60, 402}, 5), true},
		{"slow for long", 350, slices.Repeat([]time.Duration{134, 117, 201, 235, 336, 268, 60, 402}, 5), true},
	} {
		t.Run(test.name, func(t *testing.T) {
			var s cpuShortage
			now := time.Unix(1000, 0)
			short := false
			for _, w := range test.waits {
				wait := w * time.Millisecond
				now = now.Add(150 * time.Millisecond)
				short = s.observe(wait, test.workers, now) || short
			}
			quicktest.Assert(t, short, quicktest.Equals, test.short)
		})
	}
}

// blockingRead is a read that returns no records until the context ends.
func blockingRead(ctx context.Context, from int64, _ time.Duration) (feed.KeyedPage, error) {
	<-ctx.Done()
	return feed.KeyedPage{Next: from}, ctx.Err()
}

func TestAStrainedLeaderHandsOverOnceItHasLedForAWhile(t *testing.T) {
	for _, x := range [...]struct {
		waited time.Duration
		term   int64 // the predecessor of the second term has released it
		after  time.Duration
	}{
		{20 * time.Millisecond, 1, 0},
		{200 * time.Millisecond, 1, minLeadTime},
		{200 * time.Millisecond, 2, minLeadTimeAfterRelease},
	} {
		synctest.Test(t, func(t *testing.T) {
			c := quicktest.New(t)
			b := newFixture(c, nil)
			b.term.Number = x.term
			var handedOverAfter time.Duration
			b.HandOver = func(int64) {
				if handedOverAfter == 0 {
					handedOverAfter = time.Since(b.startedAt)
				}
			}
			b.CPUWait = func() time.Duration { return x.waited }
			b.Intake, b.intakeOffsets = nil, nil
			b.Workers.Read = blockingRead
			ctx, cancel := context.WithCancel(b.ctx)
			b.ctx = ctx
			done := make(chan struct{})
			go func() { b.run(ctx); close(done) }()
			time.Sleep(minLeadTimeAfterRelease + 5*time.Second)
			cancel()
			<-done
			if x.after == 0 {
				c.Assert(handedOverAfter, quicktest.Equals, time.Duration(0))
				return
			}
			c.Assert(handedOverAfter >= x.after && handedOverAfter < x.after+time.Second, quicktest.IsTrue, quicktest.Commentf("%v", handedOverAfter))
		})
	}
}

// TestWaitsForTheProcessorAreReadFromTheRuntime runs more goroutines than there are processors.
func TestWaitsForTheProcessorAreReadFromTheRuntime(t *testing.T) {
	var l schedLatency
	l.quantile(waitQuantile)
	var work sync.WaitGroup
	for range 4 * runtime.GOMAXPROCS(0) {
		work.Go(func() {
			for range 50 {
				for range 1000 {
					runtime.Gosched()
				}
			}
		})
	}
	work.Wait()
	quicktest.Assert(t, l.quantile(waitQuantile) > 0, quicktest.IsTrue)
}
