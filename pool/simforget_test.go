// SPDX-License-Identifier: MIT

//go:build !race

package pool_test

import (
	"flag"
	"testing"
	"time"
)

var (
	dropHistories = flag.Int("drop-histories", 12, "number of histories of jobs that are dropped among faults")
	dropFirst     = flag.Uint64("drop-first", 1, "seed of the first of these histories")
)

// dropAfter is how long after its end a job is dropped once shortenStatus has been called.
const dropAfter = 31 * time.Second

// shortenStatus lets entries drop ended jobs after dropAfter.
func (h *history) shortenStatus() {
	h.mu.Lock()
	h.status = time.Second
	h.mu.Unlock()
	for _, e := range h.entries {
		e.scheduler.SetBounds(h.bounds())
	}
}

// dropAmongFaults has jobs end, and lets faults begin shortly before they are dropped: an outage of the store, and the leader killed, stopped as planned, cut off or
// suspended, in or after the outage. With some seeds the outage or the loss of the leader is left out.
func (h *history) dropAmongFaults(seed uint64) {
	h.submitLoad(time.Second, 50*time.Millisecond)
	time.Sleep(dropAfter - 300*time.Millisecond + time.Duration(seed%7)*100*time.Millisecond)
	if seed%4 > 0 {
		h.mu.Lock()
		h.storeDownUntil = time.Now().Add(time.Duration(seed%5) * 700 * time.Millisecond)
		h.mu.Unlock()
	}
	time.Sleep(time.Duration(seed%11) * 400 * time.Millisecond)
	var lost *entry
	switch seed % 5 {
	case 0:
		lost = h.killLeader()
	case 1:
		lost = h.leader()
		lost.elector.Resign()
		time.Sleep(500 * time.Millisecond)
		h.kill(lost)
	case 2:
		h.cutOffLeader()
	case 3:
		h.suspendLeader()
	}
	time.Sleep(10 * time.Second)
	h.restartEntries([]*entry{lost})
	h.kill(h.leader()) // another takeover, after the faults
	time.Sleep(5 * time.Second)
	h.restartEntries([]*entry{h.leader()})
}

// TestDroppedJobsStayEnded guards against jobs that run again after their states were deleted from the store although their submissions are still there: by an outage, or a
// leader that is lost, while they are dropped.
func TestDroppedJobsStayEnded(t *testing.T) {
	for i := range *dropHistories {
		seed := *dropFirst + uint64(i)
		_, violations := runHistory(t, seed, func(h *history) {
			h.shortenStatus()
			for k := range uint64(3) {
				h.dropAmongFaults(seed*3 + k)
			}
			h.healAndCheck()
		})
		for _, x := range violations[:min(len(violations), 3)] {
			t.Errorf("seed %d, one of %d: %s", seed, len(violations), x)
		}
	}
}
