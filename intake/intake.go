// SPDX-License-Identifier: MIT

package intake

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"rackstep.dev/event"
	"rackstep.dev/feed"
	"rackstep.dev/job"
)

// Errors of an Intake.
var (
	// ErrRefused means that the record was not written and never will be, so that a refused job does not run.
	ErrRefused = errors.New("not taken: the store does not accept it now; hand it in again")
	// ErrInDoubt means that the store did not reply, so that the record may have been written. Submitting it again is safe.
	ErrInDoubt = errors.New("in doubt: the store gave no answer; hand the same job in again, or ask for its state")
	// ErrNotFound means that no such job was accepted.
	ErrNotFound = errors.New("no such job")
	// ErrUnavailable means that the scheduling entry could not be reached or does not know the answer.
	ErrUnavailable = errors.New("the scheduling entry can't be asked now; ask again")
)

// queryTimeout limits a query to the scheduling entry.
const queryTimeout = 600 * time.Millisecond

// Intake handles clients' requests concerning jobs. Its fields are set before use; its methods may be called concurrently.
type Intake struct {
	Writer *Writer
	// Query queries the scheduling entry about a job or a queue.
	Query  func(ctx context.Context, q job.Query) (job.Answer, error)
	Events *event.Ring

	mu sync.Mutex
	// writtenQueues holds the settings of queues as this entry has last written them.
	writtenQueues map[string]job.Queue
}

// Submit writes the job, which was accepted under the given settings of its queue; the error is ErrRefused, ErrInDoubt or a *job.SpecError.
//
// The settings are written with it, unless this entry has written them before: the queue may leave the configuration before any scheduling entry
// has read the job.
func (i *Intake) Submit(ctx context.Context, s *job.Spec, q job.QueueVersion) error {
	if err := s.Check(); err != nil {
		i.Events.Emit(event.JobRefused, event.Subject{Job: s.ID}, err.Error())
		return err
	}
	s.Taken = job.UnixMilli(time.Now().UnixMilli())
	value, err := job.Encode(s)
	if err != nil {
		return err
	}
	records, err := i.queueRecord(q)
	if err != nil {
		return err
	}
	records = append(records, feed.KeyedRecord{Key: s.QualifiedID().SubmissionKey(), Value: value})
	start := time.Now()
	offset, attempts, err := i.Writer.Write(ctx, records...)
	if err == nil && len(records) > 1 {
		i.recordWritten(q.Queue)
	}
	i.emitResult(s.ID, fmt.Sprintf("submit queue=%s organisation=%q", s.Queue, s.Organisation), offset, attempts, time.Since(start), err)
	return err
}

// queueRecord returns the record with the settings of a queue, or nothing if this entry has written them before.
func (i *Intake) queueRecord(q job.QueueVersion) ([]feed.KeyedRecord, error) {
	i.mu.Lock()
	written, ok := i.writtenQueues[q.Name]
	i.mu.Unlock()
	if ok && written.Equal(q.Queue) {
		return nil, nil
	}
	value, err := job.EncodeQueue(q)
	if err != nil {
		return nil, err
	}
	return []feed.KeyedRecord{{Key: job.QueueKey(q.Name), Value: value}}, nil
}

func (i *Intake) recordWritten(q job.Queue) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.writtenQueues == nil {
		i.writtenQueues = make(map[string]job.Queue)
	}
	i.writtenQueues[q.Name] = q
}

// Cancel writes a cancellation of the job; the error is ErrRefused, ErrInDoubt or ErrNotFound.
//
// It is written unless the job certainly can't run: the scheduling entry may not have read a job yet that was accepted a moment ago.
//
// The record's key contains the organisation that owns the job. If the owner can't be determined, it contains the organisation
// of the caller, so that a job of another organisation can't be cancelled.
func (i *Intake) Cancel(ctx context.Context, q job.Query) error {
	if !job.ValidID(q.ID) {
		return ErrNotFound // in a record's key, such an ID could name another organisation's job
	}
	q.Cancel = true
	queryCtx, cancel := context.WithTimeout(ctx, queryTimeout)
	a, err := i.Query(queryCtx, q)
	cancel()
	owner := q.Organisation
	switch {
	case err == nil && !a.Known && a.Certain:
		return ErrNotFound
	case err == nil && a.Known:
		owner = a.Organisation
	}
	start := time.Now()
	offset, attempts, err := i.Writer.Write(ctx, feed.KeyedRecord{Key: job.Qualify(owner, q.ID).CancelKey(), Value: []byte{1}})
	i.emitResult(q.ID, fmt.Sprintf("cancel organisation=%q", owner), offset, attempts, time.Since(start), err)
	return err
}

// emitResult emits the event for a write that has ended.
func (i *Intake) emitResult(id, operation string, offset int64, attempts int, took time.Duration, err error) {
	number := event.JobTaken
	switch {
	case errors.Is(err, ErrInDoubt):
		number = event.JobInDoubt
	case err != nil:
		number = event.JobRefused
	}
	text := fmt.Sprintf("%s end=%d tries=%d took=%v", operation, offset, attempts, took.Round(time.Millisecond))
	if err != nil {
		text += fmt.Sprintf(" err=%q", err)
	}
	i.Events.Emit(number, event.Subject{Job: id}, text)
}

// State returns a job's state; the error is ErrNotFound or ErrUnavailable.
func (i *Intake) State(ctx context.Context, q job.Query) (job.State, error) {
	if !job.ValidID(q.ID) {
		return 0, ErrNotFound
	}
	a, err := i.query(ctx, q)
	switch {
	case err != nil:
		return 0, err
	case a.Known:
		return a.State, nil
	case a.Certain:
		return 0, ErrNotFound
	}
	return 0, ErrUnavailable
}

// Pending returns how many of the queue's accepted jobs have not started; the error is ErrUnavailable.
func (i *Intake) Pending(ctx context.Context, queue string) (int, error) {
	a, err := i.query(ctx, job.Query{Queue: queue})
	return a.Pending, err
}

func (i *Intake) query(ctx context.Context, q job.Query) (job.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	a, err := i.Query(ctx, q)
	if err != nil {
		err = fmt.Errorf("%w: %w", ErrUnavailable, err)
		i.Events.Emit(event.JobUnanswered, event.Subject{Job: q.ID}, err.Error())
	}
	return a, err
}
