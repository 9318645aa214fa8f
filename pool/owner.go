// SPDX-License-Identifier: MIT

package pool

import (
	"strings"
	"time"

	"rackstep.dev/event"
	"rackstep.dev/feed"
	"rackstep.dev/job"
)

// jobQuestion is a job.Question posted to the control goroutine.
type jobQuestion struct {
	job.Query
	reply chan<- job.Answer
}

// maxIntakeAge is the maximum age of the latest read of the intake with which an unknown job is certainly unknown. It
// is below the time within which an accepted job must be known.
const maxIntakeAge = 2 * time.Second

func (m jobQuestion) apply(c *session) {
	if m.ID == "" {
		m.reply <- job.Answer{Known: true, Pending: c.pendingJobs(m.Queue)}
		return
	}
	if _, ok := c.idConflicts[job.Qualify(m.Organisation, m.ID)]; ok {
		m.reply <- job.Answer{Known: true, State: job.Failed, Organisation: m.Organisation}
		return
	}
	j := c.jobs[m.ID]
	if j == nil || !m.MaySee(j.Spec) {
		c.answerUnknown(m, j == nil)
		return
	}
	if c.unreadableStates[m.ID] {
		m.reply <- job.Answer{} // a later leader may know
		return
	}
	m.reply <- job.Answer{Known: true, State: j.VisibleState(), Organisation: j.Spec.Organisation}
}

// idConflict is a job whose ID is already in use by another organisation's job. It can't run, because workers
// identify tasks by the job ID alone.
type idConflict struct {
	since time.Time
	kept  bool
}

// recordIDConflict reports whether another organisation's job in the tables has the ID, and if so marks the second
// job as failed. The second job is shown as failed to its own organisation at once and does not affect the first one.
// The decision is stored, so that every later leader makes the same one.
func (c *session) recordIDConflict(name job.QualifiedID) bool {
	organisation, id := name.Parts()
	if _, ok := c.idConflicts[name]; ok {
		return true
	}
	j := c.jobs[id]
	if j == nil || j.Spec.Organisation == organisation {
		return false
	}
	c.idConflicts[name] = &idConflict{since: c.now()}
	c.idConflictsDirty = true
	c.emit(event.JobRefused, event.Subject{Job: id}, "organisation=%s: the job ID is in use by another organisation's job; submit the job under a new ID", organisation)
	return true
}

// appendIDConflicts appends a record for each ID conflict that is not stored yet, and deletions of the forgotten
// ones.
func (c *session) appendIDConflicts(records []feed.KeyedRecord) []feed.KeyedRecord {
	for _, name := range c.idConflictsDropped {
		records = append(records, feed.KeyedRecord{Key: idConflictKey + string(name)})
	}
	c.idConflictsDropped = nil
	if !c.idConflictsDirty {
		return records
	}
	c.idConflictsDirty = false
	for name, t := range c.idConflicts {
		if !t.kept {
			records = append(records, feed.KeyedRecord{Key: idConflictKey + string(name), Value: []byte{1}})
			t.kept = true
		}
	}
	return records
}

// restoreIDConflict restores an ID conflict that an earlier leader stored.
func (c *session) restoreIDConflict(r feed.KeyedRecord, now time.Time) {
	c.idConflicts[job.QualifiedID(strings.TrimPrefix(r.Key, idConflictKey))] = &idConflict{since: now, kept: true}
}
