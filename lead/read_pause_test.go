// SPDX-License-Identifier: MIT

//go:build !race

package lead

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"rackstep.dev/event"
	"rackstep.dev/feed"
)

// TestSmallEntriesReadLessAndStillTakeOver runs a large leader among small entries. Entries that defer to larger ones need not
// read each renewal at once: with 586 entries such reads were most of all calls to the store. When the large entries are gone,
// a small one must still take over in time, and ReadNow must never block.
func TestSmallEntriesReadLessAndStillTakeOver(t *testing.T) {
	inBubble(t, func(t *testing.T, c *quicktest.C) {
		tp := newTopic()
		var mu sync.Mutex
		reads := make(map[string]int)
		led := make(chan string, 10)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		electors := make(map[string]*Elector)
		start := func(ctx context.Context, name string, weight float64) {
			store := tp.forEntry(name)
			read := store.Read
			store.Read = func(ctx context.Context, from int64, wait time.Duration) (feed.KeyedPage, error) {
				mu.Lock()
				reads[name]++
				mu.Unlock()
				return read(ctx, from, wait)
			}
			e := &Elector{Entry: name, Address: name, Boot: "1", Topic: store, Weight: weight, Events: new(event.Ring), Serve: func(ctx context.Context, _ Term) { led <- name; <-ctx.Done() }}
			electors[name] = e
			go func() { _ = e.Run(ctx) }()
		}
		large, kill := context.WithCancel(ctx)
		start(large, "large", 0.8)
		start(ctx, "same", 0.8)
		start(ctx, "small", 0.2)
		start(ctx, "tiny", 0.1)
		first := <-led
		c.Assert(first == "large" || first == "same", quicktest.IsTrue)
		time.Sleep(time.Second)
		mu.Lock()
		clear(reads)
		mu.Unlock()
		time.Sleep(35 * time.Second)
		mu.Lock()
		other := map[string]string{"large": "same", "same": "large"}[first]
		c.Check(reads[other] >= 95, quicktest.IsTrue, quicktest.Commentf("an entry as large as the leader reads each renewal: %v", reads))
		c.Check(reads["small"] <= 55, quicktest.IsTrue, quicktest.Commentf("small entries read too often: %v", reads))
		mu.Unlock()

		kill()
		tp.setFailing("large", true)
		tp.setFailing("same", true)
		at := time.Now()
		next := <-led
		c.Check(next == "small" || next == "tiny", quicktest.IsTrue, quicktest.Commentf("%s leads", next))
		took := time.Since(at)
		c.Check(took < electionTimeout+followerReadPause+maxDeferral+2*maxJitter+maxReadWait, quicktest.IsTrue, quicktest.Commentf("after %v", took))
		for range 3 {
			electors["tiny"].ReadNow() // must not block
		}
	})
}
