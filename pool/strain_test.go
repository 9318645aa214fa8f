// SPDX-License-Identifier: MIT

package pool

import (
	"context"
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
		{"busy", []time.Duration{90, 80, 120, 250, 200, 90, 60, 290}, false},
		{"one pause of the process", []time.Duration{0, 4000, 20, 0, 0, 0, 0, 0}, false},
		{"slow, but with breaks", []time.Duration{500, 600, 100, 700, 500, 50, 600, 400}, false},
		{"slow", []time.Duration{50, 400, 500, 700, 400, 600, 500, 500}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			var s strain
			now := time.Unix(1000, 0)
			strained := false
			for _, w := range test.waits {
				wait := w * time.Millisecond
				now = now.Add(max(wait, 100*time.Millisecond))
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

// slowMessage takes the control goroutine's time, as everything does on an instance that is slowed down.
type slowMessage time.Duration

func (m slowMessage) apply(*session) { time.Sleep(time.Duration(m)) }

func TestAStrainedLeaderHandsOver(t *testing.T) {
	for _, each := range [...]time.Duration{time.Millisecond, 15 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			c := quicktest.New(t)
			b := newBench(c, nil)
			var handed int64
			b.HandOver = func(fence int64) { handed = fence }
			b.Intake, b.intakeEnd = nil, nil
			b.Workers.Read = blocks
			ctx, cancel := context.WithCancel(b.ctx)
			b.ctx = ctx
			done := make(chan struct{})
			go func() { b.run(ctx); close(done) }()
			for range 15 * time.Second / (10 * time.Millisecond) { // a hundred messages a second, each for 1 or 15 ms of the processor
				b.post(slowMessage(each))
				time.Sleep(10 * time.Millisecond)
			}
			cancel()
			<-done
			c.Assert(handed != 0, quicktest.Equals, each > 10*time.Millisecond)
		})
	}
}
