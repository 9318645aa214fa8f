// SPDX-License-Identifier: MIT

//go:build !race

package pool_test

import (
	"flag"
	"testing"
	"time"
)

var (
	listHistories = flag.Int("list-histories", 12, "number of histories of takeovers beside full lists of ends")
	listFirst     = flag.Uint64("list-first", 1, "seed of the first of these histories")
)

// listLengths are the numbers of ends that workers list at once in random histories.
var listLengths = [...]int{2, 8, simMaxListedEnds}

// shortenLists sets how many ends workers list at once, by seed.
func (h *history) shortenLists(seed uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.maxListedEnds = listLengths[seed%uint64(len(listLengths))]
}

// TestTakeoversBesideFullListsRunNoTaskTwice guards against a next leader that takes a run for lost because its worker has ended more runs than it lists at once: the run
// had succeeded, and its task starts again. Ends pile up in an outage of the store, in which the leader is lost. In every other history the next one is lost too, while it
// reads the lists.
func TestTakeoversBesideFullListsRunNoTaskTwice(t *testing.T) {
	for i := range *listHistories {
		seed := *listFirst + uint64(i)
		_, violations := runHistory(t, seed, func(h *history) {
			h.mu.Lock()
			h.maxListedEnds, h.maxExtraTime = 2, 800*time.Millisecond
			h.mu.Unlock()
			for range 3 {
				h.submitLoad(time.Second, 50*time.Millisecond)
				h.mu.Lock()
				h.storeDownUntil = time.Now().Add(time.Duration(1500+500*(seed%5)) * time.Millisecond)
				h.mu.Unlock()
				h.submitLoad(time.Second, 50*time.Millisecond)
				lost := []*entry{h.killLeader()}
				time.Sleep(time.Duration(3000+100*(seed%8)) * time.Millisecond)
				if seed%2 == 1 {
					lost = append(lost, h.killLeader())
				}
				h.restartEntries(lost)
				time.Sleep(4 * time.Second)
			}
			h.healAndCheck()
		})
		for _, x := range violations[:min(len(violations), 3)] {
			t.Errorf("seed %d, one of %d: %s", seed, len(violations), x)
		}
	}
}
