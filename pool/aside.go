// SPDX-License-Identifier: MIT

package pool

import (
	"slices"
	"strings"

	"rackstep.dev/event"
	"rackstep.dev/job"
	"rackstep.dev/keep"
)

// asideRecords is the set of keys of records whose latest version the store rejects for good. Only what depends on one of them waits.
type asideRecords map[string]bool

func (a asideRecords) has(key string) bool { return a[key] }

// setAside updates the set of rejected records after a batch: it adds those rejected now and removes those that have been stored. Nothing of a job with a
// rejected record starts; the record is tried again when the job has changed.
func (c *session) setAside(m *commitBatch) {
	for _, a := range m.aside {
		c.aside[a.Key] = true
		c.counts.recordsAside.Inc(1)
		c.emit(event.RecordRefused, event.Subject{Entry: c.Entry}, "kept aside: %v", a)
		c.excludeDependents(m, a)
	}
	if len(c.aside) == 0 {
		return
	}
	c.setMode(modeAside, true, c.now(), "records that the store never takes")
	rejected := make(map[string]bool, len(m.aside))
	for _, a := range m.aside {
		rejected[a.Key] = true
	}
	for j := range m.versions {
		c.clearAside(stateKey+j.Spec.ID, rejected)
		for _, prefix := range sidePrefixes {
			c.clearAside(prefix+j.Spec.ID, rejected)
		}
	}
	for _, incarnation := range m.incarnations {
		c.clearAside(incarnationKey+incarnation, rejected)
	}
	for n := range m.waves {
		c.clearAside(waveKeyOf(n), rejected)
	}
	for pool := range c.assignment.pending {
		c.clearAside(assignmentKey+pool, rejected)
	}
}

// clearAside removes a key from the set of rejected records once its record is stored.
func (c *session) clearAside(key string, rejectedNow map[string]bool) {
	if !c.aside[key] || rejectedNow[key] {
		return
	}
	delete(c.aside, key)
	c.markAllDirty()
}

// excludeDependents removes what depends on a rejected record from the batch's results.
func (c *session) excludeDependents(m *commitBatch, a keep.RejectedRecord) {
	for _, prefix := range append(sidePrefixes[:], stateKey) {
		if id, ok := strings.CutPrefix(a.Key, prefix); ok {
			c.excludeJob(m, c.jobs[id])
		}
	}
	for n := range m.waves {
		if waveKeyOf(n) == a.Key {
			delete(m.waves, n)
		}
	}
}

// excludeJob removes a job that is not stored from the batch's results, and cancels its planned starts.
func (c *session) excludeJob(m *commitBatch, j *job.Job) {
	if j == nil {
		return
	}
	delete(m.versions, j)
	starts := m.starts
	m.starts = nil
	for _, p := range starts {
		if p.task.Job != j {
			m.starts = append(m.starts, p)
			continue
		}
		if p.worker.runs[p.task] == p.run {
			p.worker.dropRun(p.task)
			c.requeue(p.task)
		}
	}
}

// jobIsAside reports whether nothing more of a job may start because one of its records is rejected by the store, or because its state can't be decoded: it may have
// been written by another version, and tell of tasks that are done.
func (c *session) jobIsAside(j *job.Job) bool {
	if c.unreadableStates[j.Spec.ID] {
		return true
	}
	if len(c.aside) == 0 {
		return false
	}
	return c.aside.has(stateKey+j.Spec.ID) || slices.ContainsFunc(sidePrefixes[:], func(prefix string) bool { return c.aside.has(prefix + j.Spec.ID) })
}
