// SPDX-License-Identifier: MIT

//go:build !race

package pool_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// TestDrainsBesideWavesAndOtherDrainsKeepTheirPromises guards against drains that hinder each other or a wave: lasting tasks that stay in a drained data
// centre, or jobs and instances that wait for ever because what is emptied for one is counted on by the other. The oracle reports starts in
// drained data centres, and more instances of a wave away than it allows.
func TestDrainsBesideWavesAndOtherDrainsKeepTheirPromises(t *testing.T) {
	const settles = 30 * time.Second // the time of a wave, in which lasting tasks must have left too
	for _, x := range [...]struct {
		name     string
		zones    []string
		wave     bool
		takeover bool
	}{
		{"a drain beside a wave", []string{"z0"}, true, false},
		{"two drains at once", []string{"z0", "z1"}, false, false},
		{"two drains beside a wave", []string{"z1", "z2"}, true, false},
		{"a drain beside a wave, with a takeover", []string{"z0"}, true, true},
		{"two drains beside a wave, with a takeover", []string{"z0", "z1"}, true, true},
	} {
		t.Run(x.name, func(t *testing.T) {
			for seed := range uint64(8) {
				_, violations := runHistory(t, seed, func(h *history) {
					h.maxExtraTime = time.Second // one data centre can do all of the load
					for range 2 {
						h.submit(true, 3)
					}
					time.Sleep(3 * time.Second)
					begin := time.Now()
					for _, zone := range x.zones {
						h.setDrain(zone, true)
					}
					time.Sleep(simConfigDelay)
					if x.wave {
						h.requestWave(11)
					}
					h.submitLoad(6*time.Second, time.Second)
					if x.takeover {
						dead := h.leader()
						h.kill(dead)
						h.restartEntry(dead)
					}
					h.submitLoad(6*time.Second, time.Second)
					time.Sleep(time.Until(begin.Add(simConfigDelay + settles)))
					for _, zone := range x.zones {
						h.c.Check(h.runningIn(zone), quicktest.Equals, 0, quicktest.Commentf("seed %d: runs left in %s", seed, zone))
					}
					h.c.Check(h.unfinished(), quicktest.HasLen, 0, quicktest.Commentf("seed %d", seed))
					h.c.Check(h.waitingForMaintenance(), quicktest.HasLen, 0, quicktest.Commentf("seed %d", seed))
					for _, zone := range x.zones {
						h.setDrain(zone, false)
					}
					h.healAndCheck()
				})
				for _, v := range violations {
					t.Errorf("seed %d: %s", seed, v)
				}
			}
		})
	}
}

// waitingForMaintenance returns the instances of waves whose maintenance has not begun.
func (h *history) waitingForMaintenance() (names []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, w := range h.waveRequests {
		for _, name := range w.Machines {
			if !h.machines[name].maintenanceDone[w.Number] {
				names = append(names, fmt.Sprintf("%s of wave %d", name, w.Number))
			}
		}
	}
	return names
}
