// SPDX-License-Identifier: MIT

//go:build !race

package pool_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"rackstep.dev/job"
	"rackstep.dev/pool"
)

// Parameters of a wave over all instances of a pool whose lasting tasks take up all places.
const (
	stallWaveTime  = 26 * time.Second
	stallPerWorker = 2
	// stallWaitTime is how long a wave that can be carried out may take beyond its time.
	stallWaitTime = 30 * time.Second
)

// TestAWaveThatCannotGoOnKeepsNoWorkers guards against a wave that waits for lasting tasks which can't leave, while these, and all other jobs of the
// pool, wait for the workers that it empties. Each worker of the pool has as many tasks of a lasting step as it may have, and all are due.
func TestAWaveThatCannotGoOnKeepsNoWorkers(t *testing.T) {
	for _, x := range [...]struct {
		name            string
		mayMiss, fail   int
		canEnd, crashes bool
	}{
		{name: "one of two on each worker may be away", mayMiss: 1},
		{name: "one may be away and one fails", mayMiss: 1, fail: 1},
		{name: "two may be away", mayMiss: 2, canEnd: true},
		{name: "two may be away and two fail", mayMiss: 2, fail: 2, canEnd: true},
		{name: "two may be away and one fails", mayMiss: 2, fail: 1, canEnd: true},
		{name: "none may be away", mayMiss: 0, fail: 1},
		{name: "one of two may be away, with a takeover", mayMiss: 1, fail: 1, crashes: true},
		{name: "two may be away and two fail, with a takeover", mayMiss: 2, fail: 2, canEnd: true, crashes: true},
	} {
		t.Run(x.name, func(t *testing.T) {
			for seed := range uint64(2) {
				_, violations := runHistory(t, seed, func(h *history) {
					h.submitLasting("q1", historyZones*historyWorkers/2, 1, 1) // its instances can't move
					places := (historyZones*historyWorkers/2 + historyZones) * stallPerWorker
					lasting := h.submitLasting("q0", places, stallPerWorker, x.mayMiss)
					time.Sleep(15 * time.Second)
					h.c.Assert(h.unfinished(), quicktest.HasLen, 0)
					h.requestWaveOfPool("p0", 5, stallWaveTime)
					time.Sleep(13 * time.Second)
					h.failLasting(lasting, x.fail)
					if x.crashes {
						time.Sleep(6 * time.Second)
						dead := h.leader()
						h.kill(dead)
						h.restartEntry(dead)
					}
					time.Sleep(stallWaveTime)
					h.c.Check(h.awayFor(9*time.Second), quicktest.HasLen, 0, quicktest.Commentf("seed %d", seed))
					for n := range 10 {
						h.submitSpec(&job.Spec{ID: fmt.Sprintf("%016x", 0x700+n), Queue: "q0", Pool: "p0", Steps: []job.Step{{Count: 2, Need: job.Need{MilliCPU: simTaskCPU, MemoryMB: 100}, Estimate: 1000}}})
					}
					time.Sleep(stallWaitTime)
					h.c.Check(h.unfinished(), quicktest.HasLen, 0, quicktest.Commentf("seed %d", seed))
					if x.canEnd {
						h.c.Check(h.waitingForMaintenance(), quicktest.HasLen, 0, quicktest.Commentf("seed %d", seed))
					}
				})
				quicktest.Check(t, violations, quicktest.HasLen, 0, quicktest.Commentf("seed %d", seed))
			}
		})
	}
}

// submitLasting submits a job with one lasting step.
func (h *history) submitLasting(queue string, count, perWorker, mayMiss int) string {
	h.extraJobs++
	id := fmt.Sprintf("%016x", 0x800+h.extraJobs)
	h.submitSpec(&job.Spec{ID: id, Queue: queue, Pool: "p" + queue[1:], Steps: []job.Step{{
		Count: count, Lasting: true, PerWorker: perWorker, MayMiss: mayMiss, Need: job.Need{MilliCPU: simTaskCPU, MemoryMB: 100}, Estimate: 1000,
	}}})
	return id
}

// requestWaveOfPool requests a wave over all instances that are in a pool now.
func (h *history) requestWaveOfPool(name string, maxAway int, within time.Duration) {
	h.lastWave++
	w := pool.Wave{Number: h.lastWave, MaxAway: maxAway, Within: within}
	h.mu.Lock()
	for _, m := range h.machines {
		if m.pool == name {
			w.Machines = append(w.Machines, m.name)
		}
	}
	slices.Sort(w.Machines)
	h.waveLimits[w.Number] = maxAway
	h.waveRequests = append(h.waveRequests, w)
	h.mu.Unlock()
	for _, e := range h.entries {
		e.scheduler.SetWave(w)
	}
}

// failLasting lets the given number of running tasks of a lasting job fail, on different workers.
func (h *history) failLasting(id string, count int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	failed := make(map[*incarnation]bool)
	for i := 0; len(failed) < count; i++ {
		for _, x := range h.runsByTask[fmt.Sprintf("%s.0.0.%d", id, i)] {
			if x.endedAt.IsZero() && !failed[x.incarnation] {
				failed[x.incarnation] = true
				x.end("failed")
				break
			}
		}
	}
}

// awayFor returns the lasting tasks that have had no run for the given time.
func (h *history) awayFor(most time.Duration) (away []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for task, runs := range h.runsByTask {
		last := runs[len(runs)-1]
		if n, _ := job.ParseName(task); h.specs[n.ID].Steps[n.Step].Lasting && !last.endedAt.IsZero() && time.Since(last.endedAt) > most {
			away = append(away, task)
		}
	}
	return away
}
