// SPDX-License-Identifier: MIT

package pool

import (
	"slices"
	"strings"

	"rackstep.dev/event"
	"rackstep.dev/job"
	"rackstep.dev/keep"
)

// asideRecords are the records that the store surely never takes, as they last were: what rests on one of them waits, and nothing else does.
type asideRecords map[string]bool

func (a asideRecords) has(key string) bool { return a[key] }

// setAside takes note of the records of a batch that were not kept and of those that were, which may have been aside before. A job whose record is
// aside starts nothing more; it is tried again when it has changed.
func (c *session) setAside(m *commitEnded) {
	for _, a := range m.aside {
		c.aside[a.Key] = true
		c.counts.aside.Inc(1)
		c.emit(event.RecordRefused, event.Subject{Entry: c.Entry}, "kept aside: %v", a)
		c.unkeepable(m, a)
	}
	if len(c.aside) == 0 {
		return
	}
	c.setMode(modeAside, true, c.now(), "records that the store never takes")
	now := make(map[string]bool, len(m.aside))
	for _, a := range m.aside {
		now[a.Key] = true
	}
	for j := range m.versions {
		c.backFromAside(stateKey+j.Spec.ID, now)
		for _, prefix := range sidePrefixes {
			c.backFromAside(prefix+j.Spec.ID, now)
		}
	}
	for _, life := range m.lives {
		c.backFromAside(lifeKey+life, now)
	}
	for n := range m.waves {
		c.backFromAside(waveKeyOf(n), now)
	}
}

// backFromAside forgets that a record was aside that is kept now.
func (c *session) backFromAside(key string, asideNow map[string]bool) {
	if !c.aside[key] || asideNow[key] {
		return
	}
	delete(c.aside, key)
	c.dirtyAll()
}

// unkeepable takes what rests on a record out of what the batch has kept.
func (c *session) unkeepable(m *commitEnded, a keep.RejectedRecord) {
	for _, prefix := range append(sidePrefixes[:], stateKey) {
		if id, ok := strings.CutPrefix(a.Key, prefix); ok {
			c.jobAside(m, c.jobs[id])
		}
	}
	for n := range m.waves {
		if waveKeyOf(n) == a.Key {
			delete(m.waves, n)
		}
	}
}

// jobAside lets the planned starts of a job wait that is not kept.
func (c *session) jobAside(m *commitEnded, j *job.Job) {
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
			p.worker.drop(p.task)
			c.requeue(p.task)
		}
	}
}

// jobIsAside says whether nothing more of a job may start, since it can't be kept.
func (c *session) jobIsAside(j *job.Job) bool {
	if len(c.aside) == 0 {
		return false
	}
	return c.aside.has(stateKey+j.Spec.ID) || slices.ContainsFunc(sidePrefixes[:], func(prefix string) bool { return c.aside.has(prefix + j.Spec.ID) })
}
