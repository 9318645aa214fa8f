// SPDX-License-Identifier: MIT

package control

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"time"

	"rackstep.dev/event"
	"rackstep.dev/feed"
	"rackstep.dev/fleet"
	"rackstep.dev/serve"
)

// writer appends records to the fleet log in batches.
type writer struct {
	c     *Controller
	queue chan []byte
	// pending holds the keys of records that were queued but not read back yet, with the time until which they are not
	// written again.
	pending map[string]time.Time
	// keys maps the IDs of records to their keys, waiters maps them to the channels that receive their results.
	keys    map[string]string
	waiters map[string]chan fleet.Result
}

// Parameters of the writer.
const (
	writeInterval  = 20 * time.Millisecond
	writeBatch     = 256
	writeQueue     = 1024
	pendingTimeout = 3 * time.Second
	retryPause     = 500 * time.Millisecond
)

func (w *writer) init(c *Controller) {
	w.c = c
	w.queue = make(chan []byte, writeQueue)
	w.pending = make(map[string]time.Time)
	w.keys = make(map[string]string)
	w.waiters = make(map[string]chan fleet.Result)
}

// run appends queued records until the context ends.
func (w *writer) run(ctx context.Context) {
	for {
		var batch [][]byte
		select {
		case <-ctx.Done():
			return
		case b := <-w.queue:
			batch = append(batch, b)
		}
		sleep(ctx, writeInterval)
		batch = w.fillBatch(batch)
		// The records of a lost batch are written again by the control loops on a later tick.
		if _, err := w.c.FleetLog.Append(ctx, batch); err != nil && !errors.Is(err, feed.ErrUncertain) {
			sleep(ctx, retryPause)
		}
	}
}

// fillBatch adds queued records to the batch, up to writeBatch.
func (w *writer) fillBatch(batch [][]byte) [][]byte {
	for len(batch) < writeBatch {
		select {
		case b := <-w.queue:
			batch = append(batch, b)
		default:
			return batch
		}
	}
	return batch
}

// write queues the record unless one with the same key was queued recently and has not been read back.
func (c *Controller) write(key string, r fleet.Record) {
	now := time.Now()
	if until, ok := c.writer.pending[key]; ok && now.Before(until) {
		return
	}
	r.ID = rand.Text()
	data, err := c.encode(r)
	if err != nil {
		c.Events.Emit(event.RecordRefused, event.Subject{}, err.Error())
		return
	}
	select {
	case c.writer.queue <- data:
		c.writer.pending[key] = now.Add(pendingTimeout)
		c.writer.keys[r.ID] = key
	default: // the queue is full because the log is down; the next tick retries
	}
}

func (c *Controller) encode(r fleet.Record) ([]byte, error) {
	r.Writer = c.Self.ID
	r.Time = c.Clock()
	return r.Encode()
}

// readBack sends the result of an applied record to its waiter and allows records with the same key again.
func (w *writer) readBack(r fleet.Record, res fleet.Result) {
	if key, ok := w.keys[r.ID]; ok {
		delete(w.keys, r.ID)
		delete(w.pending, key)
	}
	if ch := w.waiters[r.ID]; ch != nil {
		delete(w.waiters, r.ID)
		ch <- res
	}
}

// expire removes the keys of records that were not read back in time.
func (w *writer) expire(now time.Time) {
	for id, key := range w.keys {
		if until, ok := w.pending[key]; !ok || now.After(until) {
			delete(w.keys, id)
			delete(w.pending, key)
		}
	}
}

// Publish writes a record on behalf of by and waits for its result.
//
// The error is a *fleet.Refusal, wraps serve.ErrUnknownResult, or means that nothing was written. Records with the same ID are
// applied once.
func (c *Controller) Publish(ctx context.Context, by string, r fleet.Record) (fleet.Result, error) {
	if r.ID == "" {
		r.ID = rand.Text()
	}
	r.By = by
	data, err := c.encode(r)
	if err != nil {
		return fleet.Result{}, err
	}
	wait := make(chan fleet.Result, 1)
	if err := c.do(ctx, func() { c.registerWaiter(r.ID, wait) }); err != nil {
		return fleet.Result{}, err
	}
	defer func() { _ = c.post(c.ctx, func() { delete(c.writer.waiters, r.ID) }) }()
	return c.appendUntilRead(ctx, r.ID, data, wait)
}

// registerWaiter makes the result of the record go to the channel, at once if the record has been applied already.
func (c *Controller) registerWaiter(id string, wait chan fleet.Result) {
	if c.tables != nil {
		if res := c.tables.Result(id); res != nil {
			wait <- *res
			return
		}
	}
	c.writer.waiters[id] = wait
}

// appendUntilRead appends the record repeatedly until it is read back from the log, because only applying it gives its result.
func (c *Controller) appendUntilRead(ctx context.Context, id string, data []byte, wait chan fleet.Result) (fleet.Result, error) {
	mayBeWritten := false
	for {
		_, err := c.FleetLog.Append(ctx, [][]byte{data})
		mayBeWritten = mayBeWritten || err == nil || errors.Is(err, feed.ErrUncertain)
		pause := retryPause
		if err == nil {
			pause = pendingTimeout // the record is in the log and only has to be read back
		}
		select {
		case res := <-wait:
			if res.Refusal != nil {
				return res, res.Refusal
			}
			return res, nil
		case <-ctx.Done():
			if mayBeWritten {
				return fleet.Result{ID: id}, fmt.Errorf("%w: id %s", serve.ErrUnknownResult, id)
			}
			return fleet.Result{ID: id}, fmt.Errorf("nothing was written: %w", err)
		case <-time.After(pause):
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
