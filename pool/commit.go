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

// Figures of a commit.
const (
	// batchMost bounds the bytes of one batch where the adapter names no other bound: half of the 2 MB that the users' store
	// takes in one call. A bound of 400 jobs let 50 of 15,000 runs leave at 5,000 jobs a second and a store of 200 ms.
	batchMost = 1 << 20
)

// commitEnded tells what is kept now.
type commitEnded struct {
	versions map[*job.Job]int64
	lives    []string      // those that may be given work
	waves    map[int64]int // the versions of what is kept of them
	starts   []plannedStart
	// aside are the records that the store surely never takes; the call's goroutine sets them before answeredAt.
	aside []keep.RejectedRecord
	// answeredAt is when the store had taken the batch, nil before; the call's goroutine sets it.
	answeredAt atomic.Pointer[time.Time]
}

// commit begins to keep what has changed, one batch at a time.
func (c *session) commit() {
	if c.committing {
		return
	}
	if c.dirty.Empty() && len(c.gone) == 0 && !c.takenDirty && len(c.takenGone) == 0 && c.livesDirty.Empty() && !c.wavesDirty() {
		return
	}
	done := &commitEnded{versions: make(map[*job.Job]int64), waves: make(map[int64]int)}
	var records []feed.KeyedRecord
	records = c.keepLives(done, records)
	records = c.keepWaves(done, records)
	records = c.keepLessons(c.now(), records)
	records = c.keepTaken(records)
	for _, id := range c.gone {
		records = append(records, feed.KeyedRecord{Key: stateKey + id})
		for _, prefix := range sidePrefixes {
			records = c.dropSideRecord(records, prefix+id)
		}
	}
	c.gone = c.gone[:0]
	records = c.keepJobs(done, records)
	done.starts, c.planned = c.keptStarts(c.planned)
	c.committing, c.inFlight = true, done
	c.commitSince = c.now()
	c.work.Go(func() { c.append(records, done) })
}

// keepJobs adds what has changed of jobs, as far as the batch has room.
func (c *session) keepJobs(done *commitEnded, records []feed.KeyedRecord) []feed.KeyedRecord {
	size := sizeOf(records)
	var refused []*job.Job // no start and no acknowledgement that rests on them leaves
	defer func() {
		for _, j := range refused {
			c.dirty.Add(j.Spec.ID, j)
		}
	}()
	for size < c.batchMost {
		_, j, ok := c.dirty.Pop()
		if !ok {
			break
		}
		value, err := job.Encode(j.Stored())
		if err != nil {
			c.emit(event.RecordRefused, event.Subject{Job: j.Spec.ID}, "not kept: %v", err)
			refused = append(refused, j)
			continue
		}
		records = append(records, feed.KeyedRecord{Key: stateKey + j.Spec.ID, Value: value})
		size += len(stateKey) + len(j.Spec.ID) + len(value)
		side, err := c.keepSideRecords(j) // before a task that may end its worker's life starts again
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
	return records
}

// sidePrefixes are the key prefixes of a job's side records, which are stored separately from its state.
var sidePrefixes = [...]string{lostKey, lateKey}

// keepSideRecords returns the side records of a job: the runs that were lost with their worker's life, and the starts that may be carried out late. It
// includes deletions of stored records that are no longer needed.
func (c *session) keepSideRecords(j *job.Job) ([]feed.KeyedRecord, error) {
	lost, late := j.StoredLost(), j.StoredLate(c.now(), timeOfDay())
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
	return records, nil
}

// dropSideRecord appends the deletion of the side record with the given key, if one is stored.
func (c *session) dropSideRecord(records []feed.KeyedRecord, key string) []feed.KeyedRecord {
	if !c.sideKeys[key] {
		return records
	}
	delete(c.sideKeys, key)
	return append(records, feed.KeyedRecord{Key: key})
}

// keptStarts parts the planned runs into those that the batch made now holds, and those whose jobs wait for the next.
func (c *session) keptStarts(planned []plannedStart) (now, later []plannedStart) {
	for _, p := range planned {
		if c.dirty.Has(p.task.Job.Spec.ID) {
			later = append(later, p)
			continue
		}
		now = append(now, p)
	}
	return now, later
}

// sizeOf returns the bytes of the records.
func sizeOf(records []feed.KeyedRecord) int {
	size := 0
	for _, r := range records {
		size += len(r.Key) + len(r.Value)
	}
	return size
}

// newWriter returns the writer of the term's state.
func (c *session) newWriter() *keep.Writer {
	return &keep.Writer{
		Call: func(ctx context.Context, b feed.Batch) (int64, error) { return c.State.Append(ctx, b) },
		Name: writer, Epoch: c.term.Fence, MaxRecordBytes: c.MaxRecordBytes,
		OnFailure: func(err error) {
			c.emit(event.StoreUnreachable, event.Subject{Entry: c.Entry}, "state not kept: %v", err)
		},
		OnRecovery: func() { c.emit(event.StoreReachable, event.Subject{Entry: c.Entry}, "state kept again") },
	}
}

// append tries until the store has taken the batch, but for the records that it surely never takes.
func (c *session) append(records []feed.KeyedRecord, done *commitEnded) {
	aside, err := c.writer.Append(c.ctx, records)
	switch {
	case err == nil:
		done.aside = aside
		now := c.now()
		done.answeredAt.Store(&now)
		c.post(commitAnswered{done})
	case c.ctx.Err() == nil:
		c.emit(event.StoreUnreachable, event.Subject{Entry: c.Entry}, "state not kept, the lead ends: %v", err)
		c.Lost(c.term.Fence)
	}
}

// commitAnswered says that the store has taken the batch.
type commitAnswered struct{ *commitEnded }

func (m commitAnswered) apply(c *session) {
	c.committing, c.inFlight = false, nil
	took := m.answeredAt.Load().Sub(c.commitSince)
	c.counts.batch.RecordDuration(took)
	c.tookBatch(took)
	c.setAside(m.commitEnded)
	for j, v := range m.versions {
		j.StoredVersion = max(j.StoredVersion, v)
		c.noteKept(j)
		if j.State.Ended() && v == j.Version {
			c.counts.jobs.RecordDuration(c.now().Sub(j.Received))
			c.emit(event.JobEnded, event.Subject{Job: j.Spec.ID}, "state=%v after=%v", j.State, c.now().Sub(j.Received).Round(time.Millisecond))
		}
	}
	if took < slowAfter {
		c.tighten(c.now(), "the store takes batches in time")
	}
	for w := range c.unacked {
		c.ackKept(w)
	}
	c.keptLives(m.lives)
	c.held = append(c.held, m.starts...)
	c.sendHeld(c.now())
	for n, version := range m.waves {
		c.waveKept(n, version)
	}
}

// unkeptEnd is an end that a worker has told and that it must not forget before the job is kept at the version.
type unkeptEnd struct {
	n       int64
	job     *job.Job // nil when no job is known
	version int64
	// ackAfter is the time before which the end must not be acknowledged, because a start of the task may still be carried out late. The zero time
	// means no such delay.
	ackAfter time.Time
}

// mayAck reports whether the end may be acknowledged, so that the worker may forget it.
func (e unkeptEnd) mayAck(now time.Time) bool {
	return (e.job == nil || e.job.StoredVersion >= e.version) && !now.Before(e.ackAfter)
}

// ackKept lets a worker forget its oldest ends, as far as what they changed is kept.
func (c *session) ackKept(w *worker) {
	n, now := 0, c.now()
	for n < len(w.ends) && w.ends[n].mayAck(now) {
		n++
	}
	w.ackDelayed.Store(n < len(w.ends) && now.Before(w.ends[n].ackAfter))
	if n > 0 {
		w.ack(w.ends[n-1].n)
		w.ends = w.ends[n:]
	}
	if len(w.ends) == 0 {
		w.ends = nil
		delete(c.unacked, w)
		return
	}
	c.unacked[w] = true
}

// dropRecords takes what is kept of a job out of partitions of the intake; a failure leaves records that the next leader drops.
func (c *session) dropRecords(name job.QualifiedID, parts uint64) {
	_, id := name.Parts()
	c.work.Go(func() {
		for part, topic := range c.Intake {
			if parts&(1<<part) == 0 {
				continue
			}
			ctx, cancel := context.WithTimeout(c.ctx, storeTimeout)
			_, err := topic.Append(ctx, feed.Batch{ExpectedEnd: -1, Records: []feed.KeyedRecord{{Key: name.SubmissionKey()}, {Key: name.CancelKey()}}})
			cancel()
			if err != nil {
				c.emit(event.StoreUnreachable, event.Subject{Job: id}, "old job not dropped: %v", err)
			}
		}
	})
}
