// SPDX-License-Identifier: MIT

//go:build !race

package pool_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"rackstep.dev/work"
)

// modelDrain is how long after a data centre was drained something may still begin there.
const modelDrain = 5 * time.Second

// setDrain drains a data centre or takes that back; entries hear of it within modelApply, each at its own time.
func (h *history) setDrain(zone string, on bool) {
	h.mu.Lock()
	delete(h.drains, zone)
	if on {
		h.drains[zone] = time.Now()
	}
	h.drainedNow = slices.Sorted(maps.Keys(h.drains))
	now := h.drainedNow
	h.mu.Unlock()
	for _, e := range h.entries {
		h.mu.Lock()
		after := time.Duration(h.r.Int64N(int64(modelApply)))
		h.mu.Unlock()
		time.AfterFunc(after, func() {
			h.mu.Lock()
			newest := slices.Equal(h.drainedNow, now) && !h.killed[e.name]
			h.mu.Unlock()
			if newest {
				e.scheduler.SetDrains(now)
			}
		})
	}
}

// judgeDrain looks for a start in a data centre that was drained long enough before; the lock is held. A start that is carried out late has a deadline,
// so that none is exempt.
func (w *world) judgeDrain(l *life, by string, o work.Start) {
	at, drained := w.drains[l.machine.zone]
	if drained && time.Since(at) > modelDrain && w.inTouch(by) {
		w.fail("DRAIN %s run=%d on %s by %s: %s was drained %v before", o.Task, o.Run, l.name, by, l.machine.zone, time.Since(at))
	}
}

// TestTakeoversKeepDrainedDataCentresFreeOfStarts plays random histories in which data centres are drained and taken back at any step, one or two of the
// three at once, while cuts, kills, freezes, outages, waves and late orders go on; every promise is judged as in the others.
func TestTakeoversKeepDrainedDataCentresFreeOfStarts(t *testing.T) {
	for i := range *histories {
		seed := *first + uint64(i)
		_, wrong := play(t, seed, func(h *history) {
			h.answersAgain = seed%2 == 0
			for n := range historySteps {
				h.mu.Lock()
				zone, change := fmt.Sprint("z", h.r.IntN(historyZones)), h.r.IntN(4) == 0
				_, drained := h.drains[zone]
				most := len(h.drains) == historyZones-1
				h.mu.Unlock()
				switch {
				case change && drained:
					h.setDrain(zone, false)
				case change && !most, n == 3:
					h.setDrain(zone, true)
				}
				h.step()
			}
			for i := range historyZones {
				h.setDrain(fmt.Sprint("z", i), false)
			}
			h.settle()
		})
		for _, x := range wrong {
			t.Errorf("seed %d: %s", seed, x)
		}
	}
}
