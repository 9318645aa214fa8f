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
		name   string
		waits  []time.Duration
		strain bool
	}{
		{"idle", []time.Duration{0, 0, 0, 0, 0, 0, 0, 0}, false},
		{"busy, as seen at peaks", []time.Duration{5, 84, 21, 42, 84, 5, 84, 17, 34, 84, 84, 84}, false},
		{"one pause of the process", []time.Duration{0, 4000, 20, 0, 0, 0, 0, 0}, false},
		{"slow, but with breaks", []time.Duration{100, 150, 10, 130, 200, 100, 10, 100, 200}, false},
		{"slow for a second, as seen on an instance slowed down", []time.Duration{25, 134, 117, 201, 235, 336, 268, 60, 402}, false},
		{"slow for long", slices.Repeat([]time.Duration{134, 117, 201, 235, 336, 268, 60, 402}, 5), true},
	} {
		t.Run(test.name, func(t *testing.T) {
			var s strain
			now := time.Unix(1000, 0)
			strained := false
			for _, w := range test.waits {
				wait := w * time.Millisecond
				now = now.Add(150 * time.Millisecond)
				strained = s.see(wait, now) || strained
			}
			quicktest.Assert(t, strained, quicktest.Equals, test.strain)
		})
	}
}

// blocks is a read that brings nothing.
func blocks(ctx context.Context, from int64, _ time.Duration) (feed.KeyedPage, error) {
	<-ctx.Done()
	return feed.KeyedPage{Next: from}, ctx.Err()
}

func TestAStrainedLeaderHandsOverOnceItHasLedForAWhile(t *testing.T) {
	for _, waited := range [...]time.Duration{20 * time.Millisecond, 200 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			c := quicktest.New(t)
			b := newBench(c, nil)
			var handed time.Duration
			b.HandOver = func(int64) {
				if handed == 0 {
					handed = time.Since(b.began)
				}
			}
			b.Waited = func() time.Duration { return waited }
			b.Intake, b.intakeEnd = nil, nil
			b.Workers.Read = blocks
			ctx, cancel := context.WithCancel(b.ctx)
			b.ctx = ctx
			done := make(chan struct{})
			go func() { b.run(ctx); close(done) }()
			time.Sleep(15 * time.Second)
			cancel()
			<-done
			if waited < strainCalm {
				c.Assert(handed, quicktest.Equals, time.Duration(0))
				return
			}
			c.Assert(handed >= strainRest && handed < strainRest+time.Second, quicktest.IsTrue, quicktest.Commentf("%v", handed))
		})
	}
}

// TestWaitsForTheProcessorAreReadFromTheRuntime has more goroutines at work than there are processors.
func TestWaitsForTheProcessorAreReadFromTheRuntime(t *testing.T) {
	var l latency
	l.since(strainPart)
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
	quicktest.Assert(t, l.since(strainPart) > 0, quicktest.IsTrue)
}
