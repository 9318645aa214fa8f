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
		_, wrong := play(t, seed, func(h *history) {
			h.unguarded = true
			for range historySteps {
				h.step()
				h.mu.Lock()
				for _, l := range h.lives {
					if !l.dead && h.r.IntN(8) == 0 {
						l.shrink(h.r.IntN(4) * modelTask)
					}
				}
				h.mu.Unlock()
				time.Sleep(200 * time.Millisecond)
			}
			h.mu.Lock()
			for _, l := range h.lives {
				l.shrink(0)
			}
			h.mu.Unlock()
			h.settle()
		})
		for _, x := range wrong {
			t.Errorf("seed %d: %s", seed, x)
		}
	}
}
