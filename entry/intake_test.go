// SPDX-License-Identifier: MIT

//go:build !race

package entry

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"rackstep.dev/feed"
	"rackstep.dev/intake"
)

// TestEntriesHardlyWaitForEachOtherAtASlowStore has 147 entries hand in 250 jobs a second while the store takes 0.1 s for an append,
// one after the other in each partition.
func TestEntriesHardlyWaitForEachOtherAtASlowStore(t *testing.T) {
	const (
		entries, partitions = 147, 24
		takes, span         = 100 * time.Millisecond, 4 * time.Second
		every               = entries * time.Second / 250 // of one entry
	)
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		parts := min(intakeParts, partitions)
		turns := make([]chan struct{}, parts) // a lock that fake time sees
		for i := range turns {
			turns[i] = make(chan struct{}, 1)
		}
		var mu sync.Mutex
		var took []time.Duration
		var work sync.WaitGroup
		for i := range entries {
			name := fmt.Sprintf("front-%d", i)
			part := partOf(name, parts)
			w := &intake.Writer{Topic: feed.Topic{Append: func(ctx context.Context, _ feed.Batch) (int64, error) {
				turns[part] <- struct{}{}
				defer func() { <-turns[part] }()
				time.Sleep(takes)
				return 1, nil
			}}}
			work.Go(func() {
				time.Sleep(time.Duration(i) * every / entries)
				for n := range int(span / every) {
					began := time.Now()
					_, _, err := w.Write(context.Background(), feed.KeyedRecord{Key: fmt.Sprint(name, n), Value: []byte{1}})
					c.Check(err, quicktest.IsNil)
					mu.Lock()
					took = append(took, time.Since(began))
					mu.Unlock()
					time.Sleep(max(0, every-time.Since(began)))
				}
			})
		}
		work.Wait()
		slices.Sort(took)
		p50, p95 := took[len(took)/2], took[len(took)*95/100]
		t.Logf("%d jobs, p50 %v, p95 %v", len(took), p50, p95)
		c.Assert(p95 < 1500*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("p50 %v, p95 %v", p50, p95))
	})
}
