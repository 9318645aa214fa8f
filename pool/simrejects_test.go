// SPDX-License-Identifier: MIT

//go:build !race

package pool_test

import (
	"testing"
	"time"
)

// rejectStore has the store reject all calls at once for a time.
func (h *history) rejectStore(lasts time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.storeDownUntil, h.storeRejects = time.Now().Add(lasts), true
}

// TestTasksStartBesideFreeCapacityAfterAStoreThatRejects guards against tasks that wait beside free capacity long after an outage in which the leader was lost.
func TestTasksStartBesideFreeCapacityAfterAStoreThatRejects(t *testing.T) {
	failed := 0
	for i := range max(*histories/8, 1) {
		seed := *first + uint64(i)
		_, violations := runHistoryWith(t, seed, 8, simCapacity, 1, func(h *history) {
			h.mu.Lock()
			h.checksStill, h.quietHeartbeats = true, true
			h.mu.Unlock()
			h.submitLoad(2*time.Second, 100*time.Millisecond)
			for n := range 2 {
				h.mu.Lock()
				outage := time.Duration(3000+h.r.IntN(1200)) * time.Millisecond
				before := time.Duration(h.r.IntN(600)) * time.Millisecond
				h.mu.Unlock()
				h.submitLoad(time.Second, 15*time.Millisecond)
				if n == 1 {
					h.requestWave(6)
				}
				h.rejectStore(outage)
				h.submitLoad(outage-before, 60*time.Millisecond)
				e := h.leader()
				h.kill(e)
				h.restartEntry(e)
				h.submitLoad(18*time.Second, 300*time.Millisecond)
			}
			h.healAndCheck()
		})
		if len(violations) > 0 {
			failed++
		}
		for _, x := range violations[:min(len(violations), 2)] {
			t.Errorf("seed %d, one of %d: %s", seed, len(violations), x)
		}
	}
	t.Logf("%d of %d histories failed", failed, max(*histories/8, 1))
}
