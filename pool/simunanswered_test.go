// SPDX-License-Identifier: MIT

//go:build !race

package pool_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// loseMachineAnswers lets the machine interface carry out calls and answer none for a while.
func (h *history) loseMachineAnswers(span time.Duration) {
	h.setMachineLossRate(1)
	time.Sleep(span)
	h.setMachineLossRate(0)
}

func (h *history) setMachineLossRate(rate float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.machineLossRate = rate
}

// TestWorkersBackFromUnansweredMaintenanceAreUsed guards against a worker that is never used again: the call for the maintenance of its instance got no
// answer, and the answer to its repeat was taken for the end of the incarnation that had come back. A lasting task on each worker of the pool shows
// which of them are used.
func TestWorkersBackFromUnansweredMaintenanceAreUsed(t *testing.T) {
	const size = historyZones * historyWorkers / 2
	for _, x := range [...]struct {
		name     string
		silence  time.Duration
		takeover bool
	}{
		{"no answer for 5 s", 5 * time.Second, false},
		{"no answer for 2 s", 2 * time.Second, false},
		{"no answer for 5 s and a takeover", 5 * time.Second, true},
	} {
		t.Run(x.name, func(t *testing.T) {
			for seed := range uint64(8) {
				_, violations := runHistory(t, seed, func(h *history) {
					h.submitLasting("q1", size, 1, 1) // its instances can't move
					time.Sleep(10 * time.Second)
					h.requestWaveOfPool("p0", 4, stallWaveTime)
					h.loseMachineAnswers(x.silence)
					if x.takeover {
						dead := h.leader()
						h.kill(dead)
						h.restartEntry(dead)
					}
					time.Sleep(stallWaveTime)
					h.c.Check(h.waitingForMaintenance(), quicktest.HasLen, 0, quicktest.Commentf("seed %d", seed))
					h.submitLasting("q0", size, 1, 0)
					time.Sleep(15 * time.Second)
					h.c.Check(h.unfinished(), quicktest.HasLen, 0, quicktest.Commentf("seed %d", seed))
				})
				quicktest.Check(t, violations, quicktest.HasLen, 0, quicktest.Commentf("seed %d", seed))
			}
		})
	}
}
