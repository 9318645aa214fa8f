// SPDX-License-Identifier: MIT

package pool

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"rackstep.dev/event"
	"rackstep.dev/feed"
	"rackstep.dev/job"
)

// Figures of a commit.
const (
	// batchMost bounds the bytes of one batch where the adapter names no other bound: half of the 2 MB that the users' store
	// takes in one call. A bound of 400 jobs let 50 of 15,000 runs leave at 5,000 jobs a second and a store of 200 ms.
	batchMost = 1 << 20
	// commitPause is the pause after a batch that was not taken.
	commitPause = 150 * time.Millisecond
)

// commitEnded tells what is kept now.
type commitEnded struct {
	versions map[*job.Job]int64
	workers  []keptWorker
	long     []string      // the lives that may have long leases
	waves    map[int64]int // the versions of what is kept of them
	starts   []plannedStart
	// answeredAt is when the store had taken the batch, nil before; the call's goroutine sets it.
	answeredAt atomic.Pointer[time.Time]
}

// commit begins to keep what has changed, one batch at a time.
func (c *session) commit() {
	if c.committing {
		return
	}
	if c.dirty.empty() && len(c.gone) == 0 && !c.takenDirty && len(c.takenGone) == 0 && !c.workersDirty && !c.longDirty && !c.wavesDirty() {
		return
	}
	done := &commitEnded{versions: make(map[*job.Job]int64), waves: make(map[int64]int)}
	var records []feed.KeyedRecord
	records = c.keepWorkers(done, records)
	records = c.keepLong(done, records)
	records = c.keepWaves(done, records)
	records = c.keepLessons(c.now(), records)
	records = c.keepTaken(records)
	for _, id := range c.gone {
		records = append(records, feed.KeyedRecord{Key: stateKey + id})
		if c.keepsLost[id] {
			records = append(records, feed.KeyedRecord{Key: lostKey + id})
			delete(c.keepsLost, id)
		}
	}
	c.gone = c.gone[:0]
	records = c.keepJobs(done, records)
	done.starts, c.planned = c.keptStarts(c.planned)
	c.committing, c.inFlight = true, done
	c.commitSince = c.now()
	sequence := c.sequence
	c.sequence++
	c.work.Go(func() { c.append(records, sequence, done) })
}

// keepJobs adds what has changed of jobs, as far as the batch has room.
func (c *session) keepJobs(done *commitEnded, records []feed.KeyedRecord) []feed.KeyedRecord {
	size := 0
	for _, r := range records {
		size += len(r.Key) + len(r.Value)
	}
	var refused []*job.Job // no start and no acknowledgement that rests on them leaves
	defer func() {
		for _, j := range refused {
			c.dirty.add(j)
		}
	}()
	for size < c.batchMost {
		j := c.dirty.next()
		if j == nil {
			break
		}
		value, err := job.Encode(j.Keep())
		if err != nil {
			c.emit(event.RecordRefused, event.Subject{Job: j.Spec.ID}, "not kept: %v", err)
			refused = append(refused, j)
			continue
		}
		records = append(records, feed.KeyedRecord{Key: stateKey + j.Spec.ID, Value: value})
		size += len(stateKey) + len(j.Spec.ID) + len(value)
		lost, err := c.keepLost(j) // before a task that may end its worker's life starts again
		if err != nil {
			c.emit(event.RecordRefused, event.Subject{Job: j.Spec.ID}, "lost runs not kept: %v", err)
			refused = append(refused, j)
			continue
		}
		for _, r := range lost {
			records = append(records, r)
			size += len(r.Key) + len(r.Value)
		}
		done.versions[j] = j.Version
	}
	return records
}

// keepLost returns the record of the runs of a job that were lost with their worker's life, or what drops it once none counts any more.
func (c *session) keepLost(j *job.Job) ([]feed.KeyedRecord, error) {
	key, lost := lostKey+j.Spec.ID, j.KeepLost()
	switch {
	case len(lost) > 0:
		value, err := job.Encode(lost)
		if err != nil {
			return nil, err
		}
		c.keepsLost[j.Spec.ID] = true
		return []feed.KeyedRecord{{Key: key, Value: value}}, nil
	case c.keepsLost[j.Spec.ID]:
		delete(c.keepsLost, j.Spec.ID)
		return []feed.KeyedRecord{{Key: key}}, nil
	}
	return nil, nil
}

// keptStarts parts the planned runs into those that the batch made now holds, and those whose jobs wait for the next.
func (c *session) keptStarts(planned []plannedStart) (now, later []plannedStart) {
	for _, p := range planned {
		if c.dirty.has(p.task.Job.Spec.ID) {
			later = append(later, p)
			continue
		}
		now = append(now, p)
	}
	return now, later
}

// append tries until the store has taken the batch; the same sequence number again is taken once.
func (c *session) append(records []feed.KeyedRecord, sequence int64, done *commitEnded) {
	b := feed.Batch{Records: records, At: -1, Writer: feed.Writer{Name: writer, Epoch: c.term.Fence, Sequence: sequence + 1}}
	failed := false
	for c.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(c.ctx, storeTimeout)
		_, err := c.State.Append(ctx, b)
		cancel()
		if err == nil {
			now := c.now()
			done.answeredAt.Store(&now)
			if failed {
				c.emit(event.StoreReachable, event.Subject{Entry: c.Entry}, "state kept again")
			}
			c.post(commitAnswered{done})
			return
		}
		var fenced *feed.FencedError
		var outOfStep *feed.SequenceError
		if errors.As(err, &fenced) || errors.As(err, &outOfStep) {
			c.emit(event.StoreUnreachable, event.Subject{Entry: c.Entry}, "state not kept, the lead ends: %v", err)
			c.Lost(c.term.Fence)
			return
		}
		if !failed {
			c.emit(event.StoreUnreachable, event.Subject{Entry: c.Entry}, "state not kept: %v", err)
		}
		failed = true
		sleep(c.ctx, commitPause)
	}
}

// commitAnswered says that the store has taken the batch.
type commitAnswered struct{ *commitEnded }

func (m commitAnswered) apply(c *session) {
	c.committing, c.inFlight = false, nil
	took := m.answeredAt.Load().Sub(c.commitSince)
	c.counts.batch.RecordDuration(took)
	c.tookBatch(took)
	for j, v := range m.versions {
		j.KeptVersion = max(j.KeptVersion, v)
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
	for _, k := range m.workers {
		c.workersKept[k.Life] = true
		c.dirtyPool(k.Pool)
	}
	c.longKept(m.long)
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
}

// ackKept lets a worker forget its oldest ends, as far as what they changed is kept.
func (c *session) ackKept(w *worker) {
	n := 0
	for n < len(w.ends) && (w.ends[n].job == nil || w.ends[n].job.KeptVersion >= w.ends[n].version) {
		n++
	}
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

// keepWorkers adds the record of the lives that may be given work, if it has changed.
func (c *session) keepWorkers(done *commitEnded, records []feed.KeyedRecord) []feed.KeyedRecord {
	if !c.workersDirty {
		return records
	}
	c.workersDirty = false
	for _, w := range c.workers {
		done.workers = append(done.workers, keptWorker{Life: w.Life, Machine: w.Machine, Pool: w.Pool, Address: w.Address})
	}
	value, err := job.Encode(done.workers)
	if err != nil {
		c.emit(event.RecordRefused, event.Subject{Entry: c.Entry}, "workers not kept: %v", err)
		return records
	}
	records = append(records, feed.KeyedRecord{Key: workersKey, Value: value})
	count, err := job.Encode(max(c.sure, c.instances(len(c.lives))))
	if err != nil {
		c.emit(event.RecordRefused, event.Subject{Entry: c.Entry}, "number of instances not kept: %v", err)
		return records
	}
	return append(records, feed.KeyedRecord{Key: instancesKey, Value: count})
}

// dropRecords takes what is kept of a job out of partitions of the intake; a failure leaves records that the next leader drops.
func (c *session) dropRecords(name job.Owned, parts uint64) {
	_, id := name.Parts()
	c.work.Go(func() {
		for part, topic := range c.Intake {
			if parts&(1<<part) == 0 {
				continue
			}
			ctx, cancel := context.WithTimeout(c.ctx, storeTimeout)
			_, err := topic.Append(ctx, feed.Batch{At: -1, Records: []feed.KeyedRecord{{Key: name.HandedInKey()}, {Key: name.CancelKey()}}})
			cancel()
			if err != nil {
				c.emit(event.StoreUnreachable, event.Subject{Job: id}, "old job not dropped: %v", err)
			}
		}
	})
}
