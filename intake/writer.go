// SPDX-License-Identifier: MIT

package intake

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"rackstep.dev/feed"
	"rackstep.dev/internal/clock"
)

// Timeouts and limits of a Writer.
const (
	// writeTimeout limits one append. The store rejects appends that would wait for more than two seconds.
	writeTimeout = 2400 * time.Millisecond
	// probeTimeout limits an append after one that got no reply.
	probeTimeout = 800 * time.Millisecond
	// rejectedRetryDelay is the delay before a retry after a rejection, silentRetryDelay the delay after no reply.
	rejectedRetryDelay = 60 * time.Millisecond
	silentRetryDelay   = 200 * time.Millisecond
	// maxRejectedRetry is the time after which a record that the store rejects is no longer retried.
	maxRejectedRetry = 300 * time.Millisecond
	// maxBatchRecords limits the number of records in one append.
	maxBatchRecords = 256
)

// Writer appends records to a topic in batches, one batch at a time. Records that arrive during an append are sent with the next
// one. The zero value with a Topic is ready to use.
type Writer struct {
	Topic feed.Topic
	// Clock measures how long clients have waited; the monotonic clock is used when nil.
	Clock *clock.Clock

	mu      sync.Mutex
	queue   []*pendingWrite
	running bool
	// failing means that the latest append did not succeed and another one follows it, or that the append in progress is a probe; silent means that the
	// latest append got no reply.
	failing, silent bool
}

// pendingWrite is a request whose records are queued or being appended.
type pendingWrite struct {
	records []feed.KeyedRecord
	ctx     context.Context
	start   time.Time
	// clientTimeout is how long the client waits, counted from start; it is unset when bounded is false.
	clientTimeout time.Duration
	bounded       bool
	// uncertain means that an append that included the record got no reply.
	uncertain bool
	// err is the error of the latest append that included the records.
	err      error
	attempts int
	done     chan writeResult
}

type writeResult struct {
	end      int64
	attempts int
	err      error
}

// Write appends the records together. It returns the topic's end offset, the number of append attempts, and ErrRefused or ErrInDoubt.
//
// While the store fails and a batch is being retried, or a probe is in progress, further records are refused immediately without being sent.
func (w *Writer) Write(ctx context.Context, records ...feed.KeyedRecord) (end int64, attempts int, err error) {
	p := &pendingWrite{records: records, ctx: ctx, start: w.Clock.ExactNow(), done: make(chan writeResult, 1)}
	if d, ok := ctx.Deadline(); ok {
		p.clientTimeout, p.bounded = time.Until(d), true
	}
	if !w.enqueue(p) {
		return 0, 0, fmt.Errorf("%w: the store fails", ErrRefused)
	}
	select {
	case r := <-p.done:
		return r.end, r.attempts, r.err
	case <-ctx.Done():
		return w.abandon(p)
	}
}

// abandon returns the result for a record whose client no longer waits. A batch is retried until the latest deadline of its
// clients; the other clients would get no reply without this, and a client without a reply does not submit again.
func (w *Writer) abandon(p *pendingWrite) (end int64, attempts int, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case r := <-p.done:
		return r.end, r.attempts, r.err
	default:
	}
	if i := slices.Index(w.queue, p); i >= 0 {
		w.queue = slices.Delete(w.queue, i, i+1)
		return 0, 0, fmt.Errorf("%w: the store takes too long", ErrRefused)
	}
	return 0, p.attempts, fmt.Errorf("%w: the store takes too long", ErrInDoubt)
}

// enqueue adds the record to the queue, and starts a goroutine that appends the queue if none is running. It returns false
// while the store fails and a batch is being retried.
func (w *Writer) enqueue(p *pendingWrite) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.failing && w.running {
		return false
	}
	w.queue = append(w.queue, p)
	if !w.running {
		w.running, w.failing = true, w.silent // the first append after a silence is a probe
		go w.run()
	}
	return true
}

// run appends batches until the queue is empty and no record is left to retry.
func (w *Writer) run() {
	for batch := w.nextBatch(nil); len(batch) > 0; batch = w.nextBatch(batch) {
		batch = w.retryable(w.appendBatch(batch))
	}
}

// nextBatch returns the records to retry, followed by records from the queue.
func (w *Writer) nextBatch(retry []*pendingWrite) []*pendingWrite {
	now := w.Clock.ExactNow()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.queue = slices.DeleteFunc(w.queue, func(p *pendingWrite) bool { return p.rejectIfExpired(now) })
	n := min(len(w.queue), maxBatchRecords-len(retry))
	if w.silent {
		n = min(n, max(1-len(retry), 0)) // probe with one record: records sent to a store that does not reply can no longer be refused
	}
	batch := append(retry, w.queue[:n]...)
	w.queue = w.queue[n:]
	w.running = len(batch) > 0
	for _, p := range batch {
		p.attempts++
	}
	return batch
}

// appendBatch appends a batch and returns the records to retry, each with its error.
//
// When the store rejects a batch because of its contents, the batch is split in halves, which are sent separately. So only the
// records that are invalid by themselves are refused. What became of one half says nothing about the other.
func (w *Writer) appendBatch(batch []*pendingWrite) []*pendingWrite {
	err := w.send(batch)
	var rejected *feed.RefusedError
	switch {
	case err == nil:
		return nil
	case !errors.As(err, &rejected):
		for _, p := range batch {
			p.err = err
		}
		return batch
	case len(batch) == 1:
		w.recordAnswer()
		batch[0].done <- writeResult{attempts: batch[0].attempts, err: fmt.Errorf("%w: %w", ErrRefused, err)}
		return nil
	}
	return slices.Concat(w.appendBatch(batch[:len(batch)/2]), w.appendBatch(batch[len(batch)/2:]))
}

// send sends one append, limited by the store's timeout and by the latest deadline of the batch's clients.
func (w *Writer) send(batch []*pendingWrite) error {
	limit := writeTimeout
	w.mu.Lock()
	if w.silent {
		limit = probeTimeout
	}
	w.mu.Unlock()
	records := make([]feed.KeyedRecord, 0, len(batch))
	now := w.Clock.Now()
	var latest time.Duration
	bounded := false
	for _, p := range batch {
		records = append(records, p.records...)
		if p.bounded {
			latest, bounded = max(latest, p.remaining(now)), true
		}
	}
	if bounded && latest < limit {
		limit = latest
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	end, err := w.Topic.Append(ctx, feed.Batch{Records: records, ExpectedEnd: -1})
	if err != nil {
		return fmt.Errorf("append: %w", err)
	}
	w.recordAnswer()
	for _, p := range batch {
		p.done <- writeResult{end: end, attempts: p.attempts}
	}
	return nil
}

// retryable updates the writer's state after an append, reports the final result of the records that are not retried, and returns
// the others after a delay.
func (w *Writer) retryable(failed []*pendingWrite) []*pendingWrite {
	if len(failed) == 0 {
		return nil
	}
	silent := slices.ContainsFunc(failed, (*pendingWrite).unanswered)
	delay := rejectedRetryDelay
	if silent {
		delay = silentRetryDelay
	}
	var retry, ended []*pendingWrite
	now := w.Clock.ExactNow()
	for _, p := range failed {
		p.uncertain = p.uncertain || p.unanswered()
		if p.shouldGiveUp(delay, now) {
			ended = append(ended, p)
			continue
		}
		retry = append(retry, p)
	}
	// The state is set before the results: a client may submit again as soon as it has its result.
	w.recordFailure(silent, len(retry) > 0, failed[len(failed)-1].err)
	for _, p := range ended {
		p.done <- writeResult{attempts: p.attempts, err: p.finalError()}
	}
	if len(retry) > 0 {
		time.Sleep(delay)
	}
	return retry
}

// recordAnswer records that the store has written the latest append, or has rejected it because of its contents. It is called before clients have their results,
// as they may submit again at once.
func (w *Writer) recordAnswer() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silent, w.failing = false, false
}

// recordFailure records that the latest append failed. The queue is refused after two in a row without a reply.
func (w *Writer) recordFailure(silent, retries bool, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if silent && w.silent {
		w.rejectQueued(err)
	}
	w.silent = silent
	w.failing = retries || len(w.queue) > 0
}

// rejectQueued refuses all queued records, none of which has been sent. It is called after two consecutive appends without a
// reply; a single one may be due to the connection rather than the store.
func (w *Writer) rejectQueued(err error) {
	for _, p := range w.queue {
		p.done <- writeResult{err: fmt.Errorf("%w: %w", ErrRefused, err)}
	}
	w.queue = nil
}

// shouldGiveUp reports whether the record is not to be retried after the delay. A record that may have been written is retried
// until its client's deadline, others for at most maxRejectedRetry.
func (p *pendingWrite) shouldGiveUp(delay time.Duration, now time.Time) bool {
	if p.ctx.Err() != nil || (p.bounded && p.remaining(now) < delay) {
		return true
	}
	return !p.uncertain && now.Sub(p.start) > maxRejectedRetry
}

// remaining returns how much longer the client waits.
func (p *pendingWrite) remaining(now time.Time) time.Duration {
	return p.clientTimeout - now.Sub(p.start)
}

// rejectIfExpired refuses a record that has not been sent and whose client's deadline has passed, and reports whether it did.
// Otherwise a machine that resumes from suspension would write records for clients that no longer wait.
func (p *pendingWrite) rejectIfExpired(now time.Time) bool {
	if !p.bounded || p.remaining(now) > 0 {
		return false
	}
	p.done <- writeResult{err: fmt.Errorf("%w: its client's time is over", ErrRefused)}
	return true
}

// unanswered reports whether the latest append that included the records got no reply.
func (p *pendingWrite) unanswered() bool { return errors.Is(p.err, feed.ErrUncertain) }

// finalError returns the error for a record that is not retried, in doubt if it may have been written.
func (p *pendingWrite) finalError() error {
	if p.uncertain {
		return fmt.Errorf("%w: %w", ErrInDoubt, p.err)
	}
	return fmt.Errorf("%w: %w", ErrRefused, p.err)
}
