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
)

// TestAGangGetsTheWorkersThatItNeedsAtOnce guards against a gang that is never placed although most instances are idle: it needs a worker for each of its tasks, its pool has
// shrunk, and the instances that move to the pool are moved away again as idle before the last one is there.
func TestAGangGetsTheWorkersThatItNeedsAtOnce(t *testing.T) {
	const size = historyZones * historyWorkers / 2
	for _, x := range [...]struct {
		name  string
		pools []int
	}{{"one pool", []int{0}}, {"both pools", []int{0, 1}}, {"two gangs in each pool", []int{0, 1, 0, 1}}} {
		t.Run(x.name, func(t *testing.T) {
			_, violations := runHistory(t, 1, func(h *history) {
				h.mu.Lock()
				h.moveSpread = 800 * time.Millisecond
				h.mu.Unlock()
				time.Sleep(45 * time.Second) // the pools shrink
				for i, n := range x.pools {
					h.submitSpec(&job.Spec{ID: fmt.Sprintf("%016x", 0x900+i), Queue: fmt.Sprint("q", n), Pool: fmt.Sprint("p", n), Steps: []job.Step{{
						Count: size, Gang: true, PerWorker: 1, Need: job.Need{MilliCPU: simTaskCPU / 10, MemoryMB: 10}, Estimate: 1000,
					}}})
				}
				time.Sleep(30 * time.Second)
				for i := range x.pools {
					id := fmt.Sprintf("%016x", 0x900+i)
					h.c.Check(h.hasRun(id), quicktest.IsTrue, quicktest.Commentf("gang %s", id))
				}
			})
			quicktest.Check(t, violations, quicktest.HasLen, 0)
		})
	}
}

// hasRun reports whether a task of a job has succeeded. One that has stands for its gang.
func (h *history) hasRun(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for task, runs := range h.runsByTask {
		if n, _ := job.ParseName(task); n.ID == id && slices.ContainsFunc(runs, func(x *taskRun) bool { return x.outcome == "done" }) {
			return true
		}
	}
	return false
}
