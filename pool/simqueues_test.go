// SPDX-License-Identifier: MIT

//go:build !race

package pool_test

import (
	"fmt"
	"time"

	"rackstep.dev/feed"
	"rackstep.dev/job"
)

// allQueues returns both queues of the simulation.
func (sim *simulation) allQueues() map[string]job.Queue {
	return map[string]job.Queue{
		"q0": {Name: "q0", Pool: "p0", Attempts: sim.attempts, Stretch: 2, Target: time.Second},
		"q1": {Name: "q1", Pool: "p1", Attempts: sim.attempts, Stretch: 2, Target: time.Second},
	}
}

// catalog returns the configuration in force. The lock must be held.
func (sim *simulation) catalog() *job.Catalog {
	c := &job.Catalog{
		Version: int64(1 + sim.catalogVersion), Queues: sim.allQueues(),
		Pools: map[string]job.Pool{"p0": {Name: "p0"}, "p1": {Name: "p1"}, "off": {Name: "off", Headroom: true}},
	}
	for name := range sim.removedQueues {
		delete(c.Queues, name)
	}
	return c
}

// queueRecord returns the record with the settings of a queue that an entry writes with a job. The lock must be held.
func (sim *simulation) queueRecord(name string) feed.KeyedRecord {
	value, err := job.EncodeQueue(job.QueueVersion{Queue: sim.allQueues()[name], Version: 1})
	if err != nil {
		panic(err) // the settings can be encoded by construction
	}
	return feed.KeyedRecord{Key: job.QueueKey(name), Value: value}
}

// removeQueue publishes a configuration without a queue, or with it again. Each entry applies it at its own time within simConfigDelay.
func (h *history) removeQueue(name string, removed bool) {
	h.mu.Lock()
	delete(h.removedQueues, name)
	if removed {
		h.removedQueues[name] = true
	}
	h.catalogVersion++
	version, c := h.catalogVersion, h.catalog()
	h.mu.Unlock()
	h.tellEntries(func(e *entry) {
		if version > e.catalogVersion {
			e.catalogVersion = version
			e.scheduler.SetCatalog(c)
		}
	})
}

// jobHasFailed reports whether another task of the task's job has used up its attempts, so that the job has failed. The lock must be held.
func (h *history) jobHasFailed(task string) bool {
	n, _ := job.ParseName(task)
	for step := range h.specs[n.ID].Steps {
		for i := range h.specs[n.ID].Steps[step].Count {
			failed := 0
			for _, x := range h.runsByTask[fmt.Sprintf("%s.%d.%d.%d", n.ID, n.Time, step, i)] {
				if x.outcome == "failed" {
					failed++
				}
			}
			if failed >= h.attempts && !h.specs[n.ID].Steps[step].Lasting {
				return true
			}
		}
	}
	return false
}
