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

// 147 entries submit 250 jobs per second while the store takes 0.1 s for an append and handles one append at a time in each
// partition. With too few partitions, entries wait for each other so long that clients give up.
func TestEntriesHardlyWaitForEachOtherAtASlowStore(t *testing.T) {
	const (
		entries, partitions = 147, 24
		appendTime, span    = 100 * time.Millisecond, 4 * time.Second
		interval            = entries * time.Second / 250 // between two jobs of one entry
	)
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		partitionCount := min(maxIntakePartitions, partitions)
		locks := make([]chan struct{}, partitionCount) // not mutexes: with synctest, time does not advance while a goroutine waits for one
		for i := range locks {
			locks[i] = make(chan struct{}, 1)
		}
		var mu sync.Mutex
		var took []time.Duration
		var work sync.WaitGroup
		for i := range entries {
			name := fmt.Sprintf("front-%d", i)
			partition := intakePartition(name, partitionCount)
			w := &intake.Writer{Topic: feed.Topic{Append: func(ctx context.Context, _ feed.Batch) (int64, error) {
				locks[partition] <- struct{}{}
				defer func() { <-locks[partition] }()
				time.Sleep(appendTime)
				return 1, nil
			}}}
			work.Go(func() {
				time.Sleep(time.Duration(i) * interval / entries)
				for n := range int(span / interval) {
					start := time.Now()
					_, _, err := w.Write(context.Background(), feed.KeyedRecord{Key: fmt.Sprint(name, n), Value: []byte{1}})
					c.Check(err, quicktest.IsNil)
					mu.Lock()
					took = append(took, time.Since(start))
					mu.Unlock()
					time.Sleep(max(0, interval-time.Since(start)))
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
