// SPDX-License-Identifier: MIT

package intake

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"rackstep.dev/feed"
	"rackstep.dev/internal/clock"
)

// Figures of a Writer.
const (
	// writeTimeout bounds one append: the store refuses what would wait for over two seconds.
	writeTimeout = 2400 * time.Millisecond
	// probeTimeout bounds an append while the store is not known to answer.
	probeTimeout = 800 * time.Millisecond
	// refusedPause is the pause after a refusal, silentPause that after no answer.
	refusedPause = 60 * time.Millisecond
	silentPause  = 200 * time.Millisecond
	// refuseAfter is how long a store that refuses is tried before a client is refused.
	refuseAfter = 300 * time.Millisecond
	// batchMost bounds the records of one append.
	batchMost = 256
)

// Writer appends records to a topic in batches, one at a time: what comes while an append is on its way leaves with the
// next one. The zero value with a Topic is ready.
type Writer struct {
	Topic feed.Topic
	// Clock is what clients' times go by; the steady clock when nil.
	Clock *clock.Clock

	mu      sync.Mutex
	waiting []*entry
	busy    bool
	// failing says that the latest append was not answered with success, silent that it was not answered.
	failing, silent bool
}

// entry is one record on its way.
type entry struct {
	record feed.KeyedRecord
	ctx    context.Context
	since  time.Time
	// within is how long its client waits, from since; it says nothing when bounded is false.
	within  time.Duration
	bounded bool
	// doubt says that an append with it got no answer.
	doubt bool
	tries int
	done  chan outcome
}

type outcome struct {
	end   int64
	tries int
	err   error
}

// Write appends the record; it returns the topic's end, the number of appends tried, and ErrRefused or ErrInDoubt.
//
// While the store fails, records are refused at once, without having been sent, but for one that tries.
func (w *Writer) Write(ctx context.Context, r feed.KeyedRecord) (end int64, tries int, err error) {
	e := &entry{record: r, ctx: ctx, since: w.Clock.Sure(), done: make(chan outcome, 1)}
	if d, ok := ctx.Deadline(); ok {
		e.within, e.bounded = time.Until(d), true
	}
	if !w.admit(e) {
		return 0, 0, fmt.Errorf("%w: the store fails", ErrRefused)
	}
	select {
	case o := <-e.done:
		return o.end, o.tries, o.err
	case <-ctx.Done():
		return w.leave(e)
	}
}

// leave answers for a record whose client's time is over: a batch is tried for as long as the latest of its clients waits, and
// the others would hear nothing. A client that hears nothing doesn't come again.
func (w *Writer) leave(e *entry) (end int64, tries int, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case o := <-e.done:
		return o.end, o.tries, o.err
	default:
	}
	if i := slices.Index(w.waiting, e); i >= 0 {
		w.waiting = slices.Delete(w.waiting, i, i+1)
		return 0, 0, fmt.Errorf("%w: the store takes too long", ErrRefused)
	}
	return 0, e.tries, fmt.Errorf("%w: the store takes too long", ErrInDoubt)
}

func (w *Writer) admit(e *entry) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.failing && w.busy {
		return false
	}
	w.waiting = append(w.waiting, e)
	if !w.busy {
		w.busy = true
		go w.run()
	}
	return true
}

// run appends until nothing waits.
func (w *Writer) run() {
	for batch := w.next(nil); len(batch) > 0; batch = w.next(batch) {
		left, err := w.append(batch)
		batch = w.settle(left, err)
	}
}

// next adds what waits to what is to be tried again.
func (w *Writer) next(again []*entry) []*entry {
	now := w.Clock.Sure()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting = slices.DeleteFunc(w.waiting, func(e *entry) bool { return e.refusedLate(now) })
	n := min(len(w.waiting), batchMost-len(again))
	if w.silent {
		n = min(n, max(1-len(again), 0)) // one tries for all: what is sent to a silent store is in doubt, and can't be refused any more
	}
	batch := append(again, w.waiting[:n]...)
	w.waiting = w.waiting[n:]
	w.busy = len(batch) > 0
	for _, e := range batch {
		e.tries++
	}
	return batch
}

// append has the store take a batch, and returns what is to be tried again, with the reason. A record that the store refuses for itself is answered alone: what
// it refuses together is sent in halves.
func (w *Writer) append(batch []*entry) ([]*entry, error) {
	err := w.send(batch)
	var refused *feed.RefusedError
	switch {
	case err == nil:
		return nil, nil
	case !errors.As(err, &refused):
		return batch, err
	case len(batch) == 1:
		batch[0].done <- outcome{tries: batch[0].tries, err: fmt.Errorf("%w: %w", ErrRefused, err)}
		return nil, nil
	}
	first, err := w.append(batch[:len(batch)/2])
	second, secondErr := w.append(batch[len(batch)/2:])
	return slices.Concat(first, second), cmp.Or(err, secondErr)
}

func (w *Writer) send(batch []*entry) error {
	limit := writeTimeout
	w.mu.Lock()
	if w.silent {
		limit = probeTimeout
	}
	w.mu.Unlock()
	records := make([]feed.KeyedRecord, len(batch))
	now := w.Clock.Now()
	var latest time.Duration
	bounded := false
	for i, e := range batch {
		records[i] = e.record
		if e.bounded {
			latest, bounded = max(latest, e.left(now)), true
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
	for _, e := range batch {
		e.done <- outcome{end: end, tries: e.tries}
	}
	return nil
}

// settle answers those whose time is over, and returns those to be tried again after a pause.
func (w *Writer) settle(batch []*entry, err error) []*entry {
	silent := errors.Is(err, feed.ErrUncertain)
	w.mu.Lock()
	if silent && w.silent {
		w.refuseWaiting(err)
	}
	w.silent, w.failing = silent, err != nil
	w.mu.Unlock()
	if err == nil {
		return nil
	}
	pause := refusedPause
	if silent {
		pause = silentPause
	}
	var again []*entry
	now := w.Clock.Sure()
	for _, e := range batch {
		e.doubt = e.doubt || silent
		if e.over(pause, now) {
			e.done <- outcome{tries: e.tries, err: e.final(err)}
			continue
		}
		again = append(again, e)
	}
	if len(again) > 0 {
		time.Sleep(pause)
	}
	return again
}

// refuseWaiting answers what has not been sent once a second append in a row had no answer; after one alone it may be the connection
// that is silent.
func (w *Writer) refuseWaiting(err error) {
	for _, e := range w.waiting {
		e.done <- outcome{err: fmt.Errorf("%w: %w", ErrRefused, err)}
	}
	w.waiting = nil
}

// over says whether there is no use in trying again after the pause.
func (e *entry) over(pause time.Duration, now time.Time) bool {
	if e.ctx.Err() != nil || (e.bounded && e.left(now) < pause) {
		return true
	}
	return !e.doubt && now.Sub(e.since) > refuseAfter
}

// left returns how long its client still waits.
func (e *entry) left(now time.Time) time.Duration { return e.within - now.Sub(e.since) }

// refusedLate refuses a record that has not been sent and whose client has gone: a machine that was suspended would have it taken when nobody
// waits for it.
func (e *entry) refusedLate(now time.Time) bool {
	if !e.bounded || e.left(now) > 0 {
		return false
	}
	e.done <- outcome{err: fmt.Errorf("%w: its client's time is over", ErrRefused)}
	return true
}

func (e *entry) final(err error) error {
	if e.doubt {
		return fmt.Errorf("%w: %w", ErrInDoubt, err)
	}
	return fmt.Errorf("%w: %w", ErrRefused, err)
}
