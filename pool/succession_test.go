// SPDX-License-Identifier: MIT

//go:build !race

package pool_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// loseLargeEntries kills the large entries, waits until the small one leads, and restarts them.
func (h *history) loseLargeEntries() *entry {
	var small *entry
	var large []*entry
	for _, e := range h.entries {
		if h.zoneOf(e) == simSmallZone {
			small = e
		} else {
			large = append(large, e)
		}
	}
	for _, e := range large {
		h.kill(e)
	}
	for range 50 {
		if h.leader() == small {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	h.c.Assert(h.leader(), quicktest.Equals, small)
	for _, e := range large {
		h.restartEntry(e)
	}
	return small
}

// TestAnUnfitLeaderHandsOverUnderLoad has a small entry lead after the loss of all large ones. When they are back, it must hand
// over to one of them while jobs run, also if the named receiver is cut off just then, and every promise must be kept. Without
// the handover the small entry leads on for as long as it is up.
func TestAnUnfitLeaderHandsOverUnderLoad(t *testing.T) {
	for seed := range uint64(6) {
		lost := seed%2 == 1
		_, violations := runHistory(t, seed+1, func(h *history) {
			h.submit(true, 3)
			small := h.loseLargeEntries()
			var handedOver time.Duration
			began := time.Now()
			cut := false
			for time.Since(began) < 30*time.Second && handedOver == 0 {
				h.submitLoad(200*time.Millisecond, 100*time.Millisecond)
				if to, ok := small.elector.Successor(); ok && lost && !cut && time.Since(began) > 9*time.Second {
					cut = true
					h.partitionEntry(to.Entry, 4*time.Second)
				}
				if h.leader() != small {
					handedOver = time.Since(began)
				}
			}
			h.c.Check(handedOver > 0, quicktest.IsTrue, quicktest.Commentf("seed %d: the small entry leads on", seed))
			h.submitLoad(3*time.Second, 100*time.Millisecond)
			h.healAndCheck()
		})
		quicktest.Check(t, violations, quicktest.HasLen, 0, quicktest.Commentf("seed %d", seed))
	}
}
