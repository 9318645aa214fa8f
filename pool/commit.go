// SPDX-License-Identifier: MIT

package pool

import (
	"context"
	"sync/atomic"
	"time"

	"rackstep.dev/event"
	"rackstep.dev/feed"
	"rackstep.dev/job"
	"rackstep.dev/keep"
)

// Parameters of a commit.
const (
	// batchMax bounds the bytes of one batch unless the adapter sets another bound. It is half of the 2 MB that the users' store accepts in one call. With
	// a bound of 400 jobs, only 50 of 15,000 runs started at 5,000 jobs a second and a store latency of 200 ms.
	batchMax = 1 << 20
)

// commitBatch describes the contents of a batch that is being stored.
type commitBatch struct {
	versions     map[*job.Job]int64
	incarnations []string      // may be given work once the batch is stored
	waves        map[int64]int // the versions of waves in the batch
	starts       []plannedStart
	// aside holds the records that the store rejects for good. The storing goroutine sets it before answeredAt.
	aside []keep.RejectedRecord
	// answeredAt is when the store accepted the batch, or nil before that. The storing goroutine sets it.
	answeredAt atomic.Pointer[time.Time]
}

// commit starts to store what has changed, unless a batch is already in flight.
func (c *session) commit() {
	if c.committing {
		return
	}
	if !c.hasChanges() {
		return
	}
	done := &commitBatch{versions: make(map[*job.Job]int64), waves: make(map[int64]int)}
	var records []feed.KeyedRecord
	records = c.appendIncarnationRecords(done, records)
	records = c.storeWaves(done, records)
	records = c.appendAssignment(records)
	records = c.appendStats(c.now(), records)
	records = c.appendIDConflicts(records)
	records = c.appendForgotten(records)
	records = c.appendJobs(done, records)
	done.starts, c.plannedStarts = c.splitStarts(c.plannedStarts)
	c.committing, c.inFlight = true, done
	c.commitStartedAt = c.now()
	c.background.Go(func() { c.storeBatch(records, done) })
}

// hasChanges reports whether there is anything to store.
func (c *session) hasChanges() bool {
	return !c.dirtyJobs.Empty() || len(c.forgottenJobs) > 0 || c.idConflictsDirty || len(c.idConflictsDropped) > 0 || !c.dirtyIncarnations.Empty() ||
		c.wavesDirty() || len(c.assignment.wanted) > 0
}

// appendJobs appends the records of changed jobs until the batch is full.
func (c *session) appendJobs(done *commitBatch, records []feed.KeyedRecord) []feed.KeyedRecord {
	size := recordsSize(records)
	var refused []*job.Job // they stay dirty, so that no start or acknowledgement that depends on them is sent
	defer func() {
		for _, j := range refused {
			c.dirtyJobs.Add(j.Spec.ID, j)
		}
	}()
	for size < c.maxBatchBytes {
		_, j, ok := c.dirtyJobs.Pop()
		if !ok {
			break
		}
		if c.unreadableStates[j.Spec.ID] {
			continue // what a version that can decode the state would know must not be overwritten
		}
		value, err := job.Encode(j.Stored())
		if err != nil {
			c.emit(event.RecordRefused, event.Subject{Job: j.Spec.ID}, "not kept: %v", err)
			refused = append(refused, j)
			continue
		}
		records = append(records, feed.KeyedRecord{Key: stateKey + j.Spec.ID, Value: value})
		size += len(stateKey) + len(j.Spec.ID) + len(value)
		side, err := c.encodeSideRecords(j) // stored before a task that may have ended its worker's incarnation starts again
		if err != nil {
			c.emit(event.RecordRefused, event.Subject{Job: j.Spec.ID}, "side records not kept: %v", err)
			refused = append(refused, j)
			continue
		}
		for _, r := range side {
			records = append(records, r)
			size += len(r.Key) + len(r.Value)
		}
		done.versions[j] = j.Version
	}
	c.requirement.storedJobs(len(done.versions), recordsSize(records))
	return records
}

// sidePrefixes are the key prefixes of a job's side records, which are stored separately from its state.
var sidePrefixes = [...]string{lostKey, lateKey, settledKey}

// encodeSideRecords returns the side records of a job: the runs that were lost with their worker's incarnation, the starts that may be carried out late, and the
// runs whose starts can't be. It includes deletions of stored records that are no longer needed.
func (c *session) encodeSideRecords(j *job.Job) ([]feed.KeyedRecord, error) {
	lost, late := j.StoredLost(), j.StoredLate(c.now(), wallClock(), lateMargin)
	var records []feed.KeyedRecord
	for _, x := range [...]struct {
		key   string
		count int
		value any
	}{
		{lostKey + j.Spec.ID, len(lost), lost},
		{lateKey + j.Spec.ID, len(late), late},
	} {
		if x.count == 0 {
			records = c.dropSideRecord(records, x.key)
			continue
		}
		value, err := job.Encode(x.value)
		if err != nil {
			return nil, err
		}
		c.sideKeys[x.key] = true
		records = append(records, feed.KeyedRecord{Key: x.key, Value: value})
	}
	return c.appendSettled(j, records)
}

// appendSettled appends the record of the job's settled runs if one of them is not in the stored record. Runs that have ended stay in it until then, since no
// other run has their number.
func (c *session) appendSettled(j *job.Job, records []feed.KeyedRecord) ([]feed.KeyedRecord, error) {
	var settled []*run
	var numbers []int64
	changed := false
	for i := range j.Tasks {
		t := &j.Tasks[i]
		w := c.workers[t.Worker]
		if w == nil || w.runs[t] == nil {
			continue
		}
		r := w.runs[t]
		changed = changed || r.restatesSettled
		r.restatesSettled = false
		if !w.settled(t, r, c.now()) {
			continue
		}
		changed = changed || !r.settledStored
		settled, numbers = append(settled, r), append(numbers, r.number)
	}
	if !changed {
		return records, nil
	}
	if len(numbers) == 0 {
		return c.dropSideRecord(records, settledKey+j.Spec.ID), nil
	}
	value, err := job.Encode(numbers)
	if err != nil {
		return nil, err
	}
	for _, r := range settled {
		r.settledStored = true
	}
	c.sideKeys[settledKey+j.Spec.ID] = true
	return append(records, feed.KeyedRecord{Key: settledKey + j.Spec.ID, Value: value}), nil
}

// dropSideRecord appends the deletion of the side record with the given key, if one is stored.
func (c *session) dropSideRecord(records []feed.KeyedRecord, key string) []feed.KeyedRecord {
	if !c.sideKeys[key] {
		return records
	}
	delete(c.sideKeys, key)
	return append(records, feed.KeyedRecord{Key: key})
}

// splitStarts splits the planned runs into those stored by the current batch and those whose jobs are left for the next one.
func (c *session) splitStarts(planned []plannedStart) (stored, later []plannedStart) {
	for _, p := range planned {
		if c.dirtyJobs.Has(p.task.Job.Spec.ID) {
			later = append(later, p)
			continue
		}
		stored = append(stored, p)
	}
	return stored, later
}

// recordsSize returns the size of the records in bytes.
func recordsSize(records []feed.KeyedRecord) int {
	size := 0
	for _, r := range records {
		size += len(r.Key) + len(r.Value)
	}
	return size
}

// newWriter returns the writer of this term's state.
func (c *session) newWriter() *keep.Writer {
	return &keep.Writer{
		Call: func(ctx context.Context, b feed.Batch) (int64, error) { return c.State.Append(ctx, b) },
		Name: writerName, Epoch: c.term.Fence, MaxRecordBytes: c.MaxRecordBytes,
		OnFailure: func(err error) {
			c.emit(event.StoreUnreachable, event.Subject{Entry: c.Entry}, "state not kept: %v", err)
		},
		OnRecovery: func() { c.emit(event.StoreReachable, event.Subject{Entry: c.Entry}, "state kept again") },
	}
}

// storeBatch retries until the store has accepted the batch, except for records that it rejects for good.
func (c *session) storeBatch(records []feed.KeyedRecord, done *commitBatch) {
	aside, err := c.writer.Append(c.ctx, records)
	switch {
	case err == nil:
		done.aside = aside
		now := c.now()
		done.answeredAt.Store(&now)
		c.post(batchStored{done})
	case c.ctx.Err() == nil:
		c.emit(event.StoreUnreachable, event.Subject{Entry: c.Entry}, "state not kept, the lead ends: %v", err)
		c.Lost(c.term.Fence)
	}
}

// batchStored reports that the store has accepted the batch.
type batchStored struct{ *commitBatch }

func (m batchStored) apply(c *session) {
	c.committing, c.inFlight = false, nil
	took := m.answeredAt.Load().Sub(c.commitStartedAt)
	c.counts.batch.RecordDuration(took)
	c.recordBatchTime(took)
	c.setAside(m.commitBatch)
	c.assignmentStored()
	for j, v := range m.versions {
		j.StoredVersion = max(j.StoredVersion, v)
		c.noteStored(j)
		if j.State.Ended() && v == j.Version {
			c.counts.jobs.RecordDuration(c.now().Sub(j.Received))
			c.emit(event.JobEnded, event.Subject{Job: j.Spec.ID}, "state=%v after=%v", j.State, c.now().Sub(j.Received).Round(time.Millisecond))
		}
	}
	if took < storeSlowAfter {
		c.endUnstored(c.now(), "the store takes batches in time")
	}
	for w := range c.unacked {
		c.ackStored(w)
	}
	c.markIncarnationsStored(m.incarnations)
	c.storedStarts = append(c.storedStarts, m.starts...)
	c.sendStored(c.now())
	c.sendResends(c.now())
	for n, version := range m.waves {
		c.waveStored(n, version)
	}
}

// unstoredEnd is an end that a worker has reported and must not forget before the job is stored with at least the given version.
type unstoredEnd struct {
	n       int64
	job     *job.Job // nil if the job is unknown
	version int64
	// ackAfter is the time before which the end must not be acknowledged, because a start of the task may still be carried out late. The zero time
	// means no such delay.
	ackAfter time.Time
}

// mayAck reports whether the end may be acknowledged, so that the worker may forget it.
func (e unstoredEnd) mayAck(now time.Time) bool {
	return (e.job == nil || e.job.StoredVersion >= e.version) && !now.Before(e.ackAfter)
}

// ackStored acknowledges a worker's oldest ends as far as the changes that they made are stored.
func (c *session) ackStored(w *worker) {
	n, now := 0, c.now()
	for n < len(w.unackedEnds) && w.unackedEnds[n].mayAck(now) {
		n++
	}
	w.ackDelayed.Store(n < len(w.unackedEnds) && now.Before(w.unackedEnds[n].ackAfter))
	if n > 0 {
		w.ack(w.unackedEnds[n-1].n)
		w.unackedEnds = w.unackedEnds[n:]
	}
	if len(w.unackedEnds) == 0 {
		w.unackedEnds = nil
		delete(c.unacked, w)
		return
	}
	c.unacked[w] = true
}
