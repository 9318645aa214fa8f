// SPDX-License-Identifier: MIT

package pool

import (
	"strings"
	"time"

	"rackstep.dev/event"
	"rackstep.dev/feed"
	"rackstep.dev/job"
)

// question is a Question on its way to the control goroutine.
type question struct {
	job.Query
	reply chan<- job.Answer
}

// freshFor is how old the latest look at the intake may be for a job to be certainly unknown; it is under the time
// after which an accepted job has to be known.
const freshFor = 2 * time.Second

func (m question) apply(c *session) {
	if m.ID == "" {
		m.reply <- job.Answer{Known: true, Pending: c.pending(m.Queue)}
		return
	}
	if _, ok := c.taken[job.Qualify(m.Organisation, m.ID)]; ok {
		m.reply <- job.Answer{Known: true, State: job.Failed, Organisation: m.Organisation}
		return
	}
	j := c.jobs[m.ID]
	if j == nil || !m.MaySee(j.Spec) {
		m.reply <- job.Answer{Certain: c.isFresh()}
		return
	}
	m.reply <- job.Answer{Known: true, State: j.VisibleState(), Organisation: j.Spec.Organisation}
}

// takenID is a job whose ID another organisation's job had: workers know tasks by the ID alone, so that it can't run.
type takenID struct {
	since time.Time
	kept  bool
}

// idTaken says whether a job with the ID is in the tables that another organisation handed in, and settles the one that comes second:
// it is shown as failed to its own organisation, at once, and never touches the first. That is kept, so that each leader decides alike.
func (c *session) idTaken(name job.QualifiedID, part int) bool {
	organisation, id := name.Parts()
	if _, ok := c.taken[name]; ok {
		return true
	}
	j := c.jobs[id]
	if j == nil || j.Spec.Organisation == organisation {
		return false
	}
	c.taken[name] = &takenID{since: c.now()}
	c.takenDirty = true
	c.emit(event.JobRefused, event.Subject{Job: id}, "organisation=%s: another organisation's job has its ID; hand it in with a new one", organisation)
	c.dropRecords(name, 1<<part)
	return true
}

// keepTaken adds a record for each job that came second and is not kept as such, and drops those that are forgotten.
func (c *session) keepTaken(records []feed.KeyedRecord) []feed.KeyedRecord {
	for _, name := range c.takenGone {
		records = append(records, feed.KeyedRecord{Key: takenKey + string(name)})
	}
	c.takenGone = nil
	if !c.takenDirty {
		return records
	}
	c.takenDirty = false
	for name, t := range c.taken {
		if !t.kept {
			records = append(records, feed.KeyedRecord{Key: takenKey + string(name), Value: []byte{1}})
			t.kept = true
		}
	}
	return records
}

// restoreTaken takes over what an earlier leader has kept of a job that came second.
func (c *session) restoreTaken(r feed.KeyedRecord, now time.Time) {
	c.taken[job.QualifiedID(strings.TrimPrefix(r.Key, takenKey))] = &takenID{since: now, kept: true}
}

// forgetTaken drops those whose state is owed to nobody any more.
func (c *session) forgetTaken(now time.Time) {
	for name, t := range c.taken {
		if now.Sub(t.since) > c.Bounds().Status+forgetAfter {
			delete(c.taken, name)
			c.takenGone = append(c.takenGone, name)
		}
	}
}
