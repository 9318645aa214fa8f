// SPDX-License-Identifier: MIT

package pool

import (
	"context"
	"errors"
	"slices"
	"time"

	"rackstep.dev/event"
	"rackstep.dev/feed"
	"rackstep.dev/job"
)

// A leader takes a submission without a stored state for a new job. When a job is dropped, its state must therefore stay until its submission is gone, whatever is lost,
// refused or late in between, and whoever leads then:
//
//  1. Once clients can no longer ask for the job, its submission and its cancellation are deleted from each partition of the intake that holds one of them. The deletion is
//     repeated until this leader has read it back, so that it is certain that the records are gone and that none of them is still to be read.
//  2. The job leaves the tables, and its state is deleted with the next batch, which is repeated until the store accepts it.
//
// A leader that is lost in between leaves a job that has ended, or a state without a submission. The next leader drops either.

const (
	// forgetAfter is how long the state of an ended job stays in the tables beyond Bounds.Status. Unknown tasks and cancellations of unknown jobs are
	// forgotten after the same time.
	forgetAfter = 30 * time.Second
	// deletionInterval is the interval between two deletions in one partition of the intake. Each covers all jobs that are due.
	deletionInterval = 2 * time.Second
)

// removal is the state of a job, or of a cancellation without a job, whose records are being deleted from the intake.
type removal struct {
	// keys are the keys of those records. Without a submission among them, the job that the tables hold under the name, if any, is a later one and stays.
	keys       []string
	submission bool
	// lateUntil is the time until which an unanswered deletion may still be carried out. A job that was submitted again under the ID by then would be lost.
	lateUntil time.Time
}

// partitionDeletion is the state of the deletions in one partition of the intake.
type partitionDeletion struct {
	// deletedAt is when the latest deletion was sent. inFlight is set until it is answered, and failing from one that failed to the next that succeeds.
	deletedAt         time.Time
	inFlight, failing bool
}

// forget drops the jobs whose state clients can no longer ask for.
func (c *session) forget(now time.Time) {
	for name, since := range c.unknownTasks {
		if now.Sub(since) > forgetAfter {
			delete(c.unknownTasks, name)
		}
	}
	c.beginRemovals(now)
	for name, r := range c.removals {
		if !now.Before(r.lateUntil) && !slices.ContainsFunc(r.keys, c.inIntake) {
			c.endRemoval(name, r)
		}
	}
	c.deleteIntakeRecords(now)
}

// beginRemovals begins to remove the jobs, ID conflicts and cancellations that are due. The time counts up to which the intake has been read: a job may have been
// submitted again through a partition that could not be read since.
func (c *session) beginRemovals(now time.Time) {
	for _, read := range c.intakeReadUntil {
		if read.Before(now) {
			now = read
		}
	}
	isDue := func(since time.Time) bool { return now.Sub(since) > c.Bounds().Status+forgetAfter }
	for _, j := range c.jobs {
		if j.State.Ended() && j.StoredVersion >= j.Version && isDue(j.Ended) {
			c.beginRemoval(j.Spec.QualifiedID(), true)
		}
	}
	for name, x := range c.idConflicts {
		if x.kept && isDue(x.since) {
			c.beginRemoval(name, true)
		}
	}
	for name, since := range c.cancelled {
		if isDue(since) && !c.isKnown(name) {
			c.beginRemoval(name, false)
		}
	}
}

func (c *session) beginRemoval(name job.QualifiedID, submission bool) {
	if c.removals[name] != nil {
		return
	}
	r := &removal{keys: []string{name.CancelKey()}, submission: submission}
	if submission {
		r.keys = append(r.keys, name.SubmissionKey())
	}
	c.removals[name] = r
}

// isKnown reports whether the tables hold a job of that name, or the record that its ID was taken.
func (c *session) isKnown(name job.QualifiedID) bool {
	_, id := name.Parts()
	j := c.jobs[id]
	return c.idConflicts[name] != nil || (j != nil && j.Spec.QualifiedID() == name)
}

// inIntake reports whether a partition of the intake holds a record under the key.
func (c *session) inIntake(key string) bool { return c.intakePartitions[key] != 0 }

// endRemoval drops what the tables hold under the name after its records have been deleted from the intake, and has the stored state deleted.
func (c *session) endRemoval(name job.QualifiedID, r *removal) {
	delete(c.removals, name)
	delete(c.cancelled, name)
	_, id := name.Parts()
	switch j := c.jobs[id]; {
	case !r.submission:
	case c.idConflicts[name] != nil:
		delete(c.idConflicts, name)
		c.idConflictsDropped = append(c.idConflictsDropped, name)
	case j != nil && j.Spec.QualifiedID() == name:
		c.forgetJob(j)
	}
}

// forgetJob drops a job from the tables and has its state and side records deleted from the store.
func (c *session) forgetJob(j *job.Job) {
	id := j.Spec.ID
	delete(c.jobs, id)
	delete(c.inheritedJobs, id)
	delete(c.aside, stateKey+id)
	for _, prefix := range sidePrefixes {
		delete(c.aside, prefix+id)
	}
	c.forgottenJobs = append(c.forgottenJobs, id)
	c.forgetTickets(j)
}

// appendForgotten appends deletions of the states and side records of dropped jobs. They go before the states of the batch: a job may have been submitted under the ID of a
// dropped one.
func (c *session) appendForgotten(records []feed.KeyedRecord) []feed.KeyedRecord {
	for _, id := range c.forgottenJobs {
		records = append(records, feed.KeyedRecord{Key: stateKey + id})
		for _, prefix := range sidePrefixes {
			records = c.dropSideRecord(records, prefix+id)
		}
	}
	c.forgottenJobs = c.forgottenJobs[:0]
	return records
}

// deleteIntakeRecords deletes the records of the jobs that are being removed, with one call for each partition that holds some of them.
func (c *session) deleteIntakeRecords(now time.Time) {
	if len(c.removals) == 0 {
		return
	}
	for part := range c.intakeDeletions {
		p := &c.intakeDeletions[part]
		if p.inFlight || now.Sub(p.deletedAt) < deletionInterval {
			continue
		}
		if names, records := c.deletionsIn(part); len(records) > 0 {
			p.inFlight, p.deletedAt = true, now
			c.sendDeletion(part, names, records, now)
		}
	}
}

// deletionsIn returns the jobs being removed of which the partition still holds records, and the records that delete those, as many as fit into one call.
func (c *session) deletionsIn(part int) (names []job.QualifiedID, records []feed.KeyedRecord) {
	size := 0
	for name, r := range c.removals {
		before := len(records)
		for _, key := range r.keys {
			if c.intakePartitions[key]&(1<<part) != 0 {
				records = append(records, feed.KeyedRecord{Key: key})
			}
		}
		if len(records) == before {
			continue
		}
		names = append(names, name)
		if size += recordsSize(records[before:]); size >= c.maxBatchBytes {
			break
		}
	}
	return names, records
}

func (c *session) sendDeletion(part int, names []job.QualifiedID, records []feed.KeyedRecord, now time.Time) {
	topic := c.Intake[part]
	c.background.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, storeTimeout)
		defer cancel()
		_, err := topic.Append(ctx, feed.Batch{ExpectedEnd: -1, Records: records})
		c.post(intakeDeleted{part: part, names: names, sentAt: now, err: err})
	})
}

// intakeDeleted is the outcome of a deletion in a partition of the intake. Whether the records are gone is learned by reading the partition.
type intakeDeleted struct {
	part   int
	names  []job.QualifiedID
	sentAt time.Time
	err    error
}

func (m intakeDeleted) apply(c *session) {
	p := &c.intakeDeletions[m.part]
	p.inFlight = false
	switch {
	case m.err == nil && p.failing:
		c.emit(event.StoreReachable, event.Subject{Entry: c.Entry}, "old jobs are dropped again part=%d", m.part)
	case m.err != nil && !p.failing:
		c.emit(event.StoreUnreachable, event.Subject{Entry: c.Entry}, "old jobs not dropped, tried again every %v part=%d jobs=%d: %v", deletionInterval, m.part, len(m.names), m.err)
	}
	p.failing = m.err != nil
	if m.err == nil || errors.Is(m.err, feed.ErrUnavailable) {
		return // it has been carried out, or never will be
	}
	for _, name := range m.names {
		if r := c.removals[name]; r != nil {
			r.lateUntil = m.sentAt.Add(lateMax)
		}
	}
}

// readDeletion records that a partition of the intake holds no record under a key any more.
func (c *session) readDeletion(part int, r feed.KeyedRecord) {
	if len(r.Value) > 0 {
		return
	}
	if c.intakePartitions[r.Key] &^= 1 << part; !c.inIntake(r.Key) {
		delete(c.intakePartitions, r.Key)
	}
}

// dropLeftStates has the states deleted whose submissions an earlier leader has deleted already. A state whose submission is there and can't be decoded stays.
func (c *session) dropLeftStates(states map[string]job.Stored) {
	submitted := make(map[string]bool, len(c.intakePartitions))
	for key := range c.intakePartitions {
		if name, ok := job.ParseSubmissionKey(key); ok {
			_, id := name.Parts()
			submitted[id] = true
		}
	}
	for id, k := range states {
		switch {
		case submitted[id]:
		case k.State.Ended():
			c.forgottenJobs = append(c.forgottenJobs, id)
		default:
			c.emit(event.RecordRefused, event.Subject{Job: id}, "a state is stored without a submission; the job can't go on")
		}
	}
}
