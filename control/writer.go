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

// writer appends records to the fleet log, many in one append.
type writer struct {
	c     *Controller
	queue chan []byte
	// pending holds the keys of records that were written and not read back yet.
	pending map[string]time.Time
	// keys maps a record's ID to its key, waiters to who waits for its outcome.
	keys    map[string]string
	waiters map[string]chan fleet.Result
}

// Times and bounds of a writer.
const (
	writeInterval = 20 * time.Millisecond
	writeBatch    = 256
	writeQueue    = 1024
	pendingTime   = 3 * time.Second
	repeatTime    = 500 * time.Millisecond
)

func (w *writer) init(c *Controller) {
	w.c = c
	w.queue = make(chan []byte, writeQueue)
	w.pending = make(map[string]time.Time)
	w.keys = make(map[string]string)
	w.waiters = make(map[string]chan fleet.Result)
}

// run appends what is queued until the context ends.
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
		batch = w.gather(batch)
		// A lost batch is written again by the systems, or by the operator's Publish.
		if _, err := w.c.FleetLog.Append(ctx, batch); err != nil && !errors.Is(err, feed.ErrUncertain) {
			sleep(ctx, repeatTime)
		}
	}
}

func (w *writer) gather(batch [][]byte) [][]byte {
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

// write queues the record unless one with the same key was written a moment ago.
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
		c.writer.pending[key] = now.Add(pendingTime)
		c.writer.keys[r.ID] = key
	default: // the queue is full because the log is down; the next tick tries again
	}
}

func (c *Controller) encode(r fleet.Record) ([]byte, error) {
	r.Writer = c.Self.ID
	r.Time = c.Clock()
	return r.Encode()
}

// readBack tells whoever waits for the record what became of it.
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

// forget drops keys whose records never came back.
func (w *writer) forget(now time.Time) {
	for id, key := range w.keys {
		if until, ok := w.pending[key]; !ok || now.After(until) {
			delete(w.keys, id)
			delete(w.pending, key)
		}
	}
}

// Publish writes a record on behalf of by and waits for its outcome.
//
// The error is a *fleet.Refusal, serve.ErrUnknownResult, or one after which nothing was written. The same ID is folded once.
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
	if err := c.do(ctx, func() { c.await(r.ID, wait) }); err != nil {
		return fleet.Result{}, err
	}
	defer func() { _ = c.post(c.ctx, func() { delete(c.writer.waiters, r.ID) }) }()
	return c.appendUntil(ctx, r.ID, data, wait)
}

func (c *Controller) await(id string, wait chan fleet.Result) {
	if c.tables != nil {
		if res := c.tables.Result(id); res != nil {
			wait <- *res
			return
		}
	}
	c.writer.waiters[id] = wait
}

// appendUntil sends the record until it is read back; only the fold's answer counts.
func (c *Controller) appendUntil(ctx context.Context, id string, data []byte, wait chan fleet.Result) (fleet.Result, error) {
	mayBeThere := false
	for {
		_, err := c.FleetLog.Append(ctx, [][]byte{data})
		mayBeThere = mayBeThere || err == nil || errors.Is(err, feed.ErrUncertain)
		pause := repeatTime
		if err == nil {
			pause = pendingTime // it is in the log: only its reading is awaited
		}
		select {
		case res := <-wait:
			if res.Refusal != nil {
				return res, res.Refusal
			}
			return res, nil
		case <-ctx.Done():
			if mayBeThere {
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
