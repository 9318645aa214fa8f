// SPDX-License-Identifier: MIT

package intake

import (
	"context"
	"errors"
	"fmt"
	"time"

	"rackstep.dev/event"
	"rackstep.dev/feed"
	"rackstep.dev/job"
)

// Errors of an Intake.
var (
	// ErrRefused means that the job was not taken and will never run.
	ErrRefused = errors.New("not taken: the store does not accept it now; hand it in again")
	// ErrInDoubt means that the store gave no answer; the same job may be handed in again.
	ErrInDoubt = errors.New("in doubt: the store gave no answer; hand the same job in again, or ask for its state")
	// ErrNotFound means that no such job was accepted.
	ErrNotFound = errors.New("no such job")
	// ErrUnclear means that nobody can say now.
	ErrUnclear = errors.New("the scheduling entry can't be asked now; ask again")
)

// askTimeout bounds a question to the scheduling entry.
const askTimeout = 600 * time.Millisecond

// Intake takes what clients hand in; its fields are set before use, and it may be used by several goroutines.
type Intake struct {
	Writer *Writer
	// Query asks the scheduling entry for a job or a queue.
	Query    func(ctx context.Context, q job.Query) (job.Answer, error)
	Events *event.Ring
}

// Submit writes the job; the error is ErrRefused, ErrInDoubt or a *job.SpecError.
func (i *Intake) Submit(ctx context.Context, s *job.Spec) error {
	if err := s.Check(); err != nil {
		i.Events.Emit(event.JobRefused, event.Subject{Job: s.ID}, err.Error())
		return err
	}
	s.Taken = job.UnixMilli(time.Now().UnixMilli())
	value, err := job.Encode(s)
	if err != nil {
		return err
	}
	began := time.Now()
	offset, tries, err := i.Writer.Write(ctx, feed.KeyedRecord{Key: s.QualifiedID().SubmissionKey(), Value: value})
	i.tell(s.ID, fmt.Sprintf("submit queue=%s organisation=%q", s.Queue, s.Organisation), offset, tries, time.Since(began), err)
	return err
}

// Cancel writes the wish to cancel the job that is asked for; the error is ErrRefused, ErrInDoubt or ErrUnknown.
//
// It is written in the name of the job's organisation, or of the one that asks while nobody can tell whose the job is: it then reaches no
// other one's job.
func (i *Intake) Cancel(ctx context.Context, q job.Query) error {
	if !job.ValidID(q.ID) {
		return ErrNotFound // no job has such an ID, and kept under it a wish could name another organisation's
	}
	ask, done := context.WithTimeout(ctx, askTimeout)
	a, err := i.Query(ask, q)
	done()
	owner := q.Organisation
	switch {
	case err == nil && !a.Known && a.Certain:
		return ErrNotFound
	case err == nil && a.Known:
		owner = a.Organisation
	}
	began := time.Now()
	offset, tries, err := i.Writer.Write(ctx, feed.KeyedRecord{Key: job.Qualify(owner, q.ID).CancelKey(), Value: []byte{1}})
	i.tell(q.ID, fmt.Sprintf("cancel organisation=%q", owner), offset, tries, time.Since(began), err)
	return err
}

func (i *Intake) tell(id, what string, offset int64, tries int, took time.Duration, err error) {
	n := event.JobTaken
	switch {
	case errors.Is(err, ErrInDoubt):
		n = event.JobInDoubt
	case err != nil:
		n = event.JobRefused
	}
	text := fmt.Sprintf("%s end=%d tries=%d took=%v", what, offset, tries, took.Round(time.Millisecond))
	if err != nil {
		text += fmt.Sprintf(" err=%q", err)
	}
	i.Events.Emit(n, event.Subject{Job: id}, text)
}

// State returns a job's state; the error is ErrUnknown or ErrUnclear.
func (i *Intake) State(ctx context.Context, q job.Query) (job.State, error) {
	if !job.ValidID(q.ID) {
		return 0, ErrNotFound
	}
	a, err := i.ask(ctx, q)
	switch {
	case err != nil:
		return 0, err
	case a.Known:
		return a.State, nil
	case a.Certain:
		return 0, ErrNotFound
	}
	return 0, ErrUnclear
}

// Pending returns how many of the queue's accepted jobs have not begun; the error is ErrUnclear.
func (i *Intake) Pending(ctx context.Context, queue string) (int, error) {
	a, err := i.ask(ctx, job.Query{Queue: queue})
	return a.Pending, err
}

func (i *Intake) ask(ctx context.Context, q job.Query) (job.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	a, err := i.Query(ctx, q)
	if err != nil {
		err = fmt.Errorf("%w: %w", ErrUnclear, err)
		i.Events.Emit(event.JobUnanswered, event.Subject{Job: q.ID}, err.Error())
	}
	return a, err
}
