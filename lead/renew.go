// SPDX-License-Identifier: MIT

package lead

import (
	"context"
	"errors"
	"fmt"
	"time"

	"rackstep.dev/event"
	"rackstep.dev/feed"
)

// serveTerm calls Serve and renews the leader's record until the term ends.
func (e *Elector) serveTerm(ctx context.Context, rec Record, t Term) {
	done := make(chan struct{})
	go func() {
		e.Serve(ctx, t)
		close(done)
	}()
	next := renewal{record: rec, sequence: 1}
	sent := e.Clock.Now()
	for ctx.Err() == nil {
		e.awaitRenewal(ctx, renewInterval-e.Clock.Since(sent))
		e.endIfHandoverDue()
		if ctx.Err() == nil {
			sent = e.Clock.Now()
			next = e.renew(ctx, next)
		}
	}
	e.mu.Lock()
	released := e.resigned || e.handingOver
	e.handingOver = false
	e.confirmedAt = time.Time{}
	e.mu.Unlock()
	e.Events.Emit(event.LeadLost, event.Subject{Entry: e.Entry}, fmt.Sprintf("term=%d resigned=%t", rec.Term, released))
	if released {
		e.release(rec, next.sequence) // without waiting for Serve: what it still sends is refused once the next leader has begun
	}
	<-done
	e.mu.Lock()
	e.cancelTerm()
	e.cancelTerm = nil
	e.mu.Unlock()
}

// awaitRenewal waits until the next renewal is due or a change is to be published at once.
func (e *Elector) awaitRenewal(ctx context.Context, due time.Duration) {
	t := time.NewTimer(due)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-e.renewNow:
	case <-t.C:
	}
}

// renewal is a leader's record that is being written to the store, with the records that accompany it.
type renewal struct {
	record   Record
	extra    []feed.KeyedRecord
	sequence int64
}

// renew writes a renewal to the store, retrying until it is accepted or the context ends, and returns the next renewal.
//
// A renewal without an answer is sent again unchanged while earlier attempts are still in flight, since the store may have
// accepted one: it accepts a sequence number once and repeats its answer to duplicates. The answer therefore proves leadership
// only as of the first attempt.
func (e *Elector) renew(ctx context.Context, r renewal) renewal {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e.mu.Lock()
	r.record.Unstored, r.record.PredecessorsActive, r.record.PredecessorsUnstored = e.unstored, e.predecessorsActive, e.predecessorsUnstored
	e.mu.Unlock()
	r.extra = e.takeCapacityRecord()
	if e.Extra != nil {
		r.extra = append(r.extra, e.Extra()...)
	}
	first := e.Clock.ExactNow()
	answers := make(chan error, maxRenewalsInFlight)
	inFlight, timeout := 0, RenewTimeout
	for ctx.Err() == nil {
		if inFlight < maxRenewalsInFlight {
			inFlight++
			go func(r renewal, timeout time.Duration) { answers <- e.sendRenewal(ctx, r, timeout) }(r, timeout)
			timeout = renewCallTimeout
		}
		retry := time.NewTimer(RenewTimeout)
		select {
		case <-ctx.Done():
		case <-retry.C:
		case err := <-answers:
			inFlight--
			var fenced *feed.FencedError
			var refused *feed.RefusedError
			switch {
			case errors.As(err, &refused) && len(r.extra) > 0: // records that the store refuses must not end the term
				r.extra = nil
			case err == nil:
				e.renewalConfirmed(r, first)
				retry.Stop()
				return renewal{record: r.record, sequence: r.sequence + 1}
			case errors.As(err, &fenced):
				e.StepDown(r.record.Fence)
			default:
				sleep(ctx, renewRetryPause)
			}
		}
		retry.Stop()
	}
	return r
}

func (e *Elector) sendRenewal(ctx context.Context, r renewal, timeout time.Duration) error {
	call, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	_, err := e.append(call, r, -1)
	return err
}

// renewalConfirmed records that the store accepted a renewal that was first sent at first.
func (e *Elector) renewalConfirmed(r renewal, first time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.confirmedAt = first
	e.unstoredPublished = r.record.Unstored && e.unstored
}

func (e *Elector) release(rec Record, sequence int64) {
	rec.Released = true
	e.mu.Lock()
	rec.Unstored, rec.PredecessorsActive, rec.PredecessorsUnstored = e.unstored, e.predecessorsActive, e.predecessorsUnstored
	e.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if _, err := e.append(ctx, renewal{record: rec, extra: e.takeSuccessorRecord(), sequence: sequence}, -1); err != nil {
		e.Events.Emit(event.LeadNotTaken, event.Subject{Entry: e.Entry}, fmt.Sprintf("release term=%d err=%q", rec.Term, err))
	}
}
