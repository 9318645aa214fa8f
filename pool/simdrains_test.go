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

// simDrainGrace is how long after a data centre was drained tasks may still start there.
const simDrainGrace = 5 * time.Second

// setDrain drains a data centre or ends its drain. Each entry learns of it at its own time within simConfigDelay, unless it has learned of a later
// change before.
func (h *history) setDrain(zone string, on bool) {
	h.mu.Lock()
	delete(h.drainedSince, zone)
	if on {
		h.drainedSince[zone] = time.Now()
	}
	h.drained = slices.Sorted(maps.Keys(h.drainedSince))
	now := h.drained
	h.drainsVersion++
	version := h.drainsVersion
	h.mu.Unlock()
	h.tellEntries(func(e *entry) {
		if version > e.drainsVersion {
			e.drainsVersion = version
			e.scheduler.SetDrains(now)
		}
	})
}

// checkDrain reports a start in a data centre that was drained more than simDrainGrace ago. Starts that are carried out late
// are not exempt, since each has a deadline. The lock must be held.
func (sim *simulation) checkDrain(l *incarnation, by string, o work.Start) {
	at, drained := sim.drainedSince[l.machine.zone]
	if drained && time.Since(at) > simDrainGrace && sim.inContact(by) {
		sim.report("DRAIN %s run=%d on %s by %s: %s was drained %v ago", o.Task, o.Run, l.name, by, l.machine.zone, time.Since(at))
	}
}

// TestTakeoversKeepDrainedDataCentresFreeOfStarts guards against starts in drained data centres. In random histories of
// partitions, kills, freezes, outages, waves and late orders, one or two of the three data centres are drained and released
// at any step. All other guarantees are checked as in the other histories.
func TestTakeoversKeepDrainedDataCentresFreeOfStarts(t *testing.T) {
	for i := range *histories {
		seed := *first + uint64(i)
		_, violations := runHistory(t, seed, func(h *history) {
			h.repeatsBeforeFencing = seed%2 == 0
			for n := range historySteps {
				h.mu.Lock()
				zone, change := fmt.Sprint("z", h.r.IntN(historyZones)), h.r.IntN(4) == 0
				_, drained := h.drainedSince[zone]
				allButOne := len(h.drainedSince) == historyZones-1
				h.mu.Unlock()
				switch {
				case change && drained:
					h.setDrain(zone, false)
				case change && !allButOne, n == 3:
					h.setDrain(zone, true)
				}
				h.randomStep()
			}
			for i := range historyZones {
				h.setDrain(fmt.Sprint("z", i), false)
			}
			h.healAndCheck()
		})
		for _, x := range violations {
			t.Errorf("seed %d: %s", seed, x)
		}
	}
}
