// SPDX-License-Identifier: MIT

//go:build !race

package pool_test

import (
	"testing"
	"time"
)

// TestRoomsThatShrinkAreNeverOverfilled plays random histories with workers that accept every start and whose capacity shrinks and grows, and guards
// against starting more than fits.
func TestRoomsThatShrinkAreNeverOverfilled(t *testing.T) {
	for i := range *histories {
		seed := *first + uint64(i)
		_, wrong := runHistory(t, seed, func(h *history) {
			h.acceptsOverload = true
			for range historySteps {
				h.randomStep()
				h.mu.Lock()
				for _, l := range h.incarnations {
					if !l.dead && h.r.IntN(8) == 0 {
						l.setCapacityLoss(h.r.IntN(4) * simTaskCPU)
					}
				}
				h.mu.Unlock()
				time.Sleep(200 * time.Millisecond)
			}
			h.mu.Lock()
			for _, l := range h.incarnations {
				l.setCapacityLoss(0)
			}
			h.mu.Unlock()
			h.healAndCheck()
		})
		for _, x := range wrong {
			t.Errorf("seed %d: %s", seed, x)
		}
	}
}
