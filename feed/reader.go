// SPDX-License-Identifier: MIT

package feed

import (
	"context"
	"errors"
	"time"
)

// Reader follows a log and passes its records on in order.
type Reader struct {
	Log *Log
	// Next is the offset of the next record to read.
	Next int64
	// Wait bounds one long poll; 5s when 0.
	Wait time.Duration
	// Backoff is the pause after a failed read; 200ms when 0.
	Backoff time.Duration
	// OnPage is called with each page in order. It returns the offset to continue from.
	OnPage func(ctx context.Context, p Page) (next int64, err error)
	// OnTrimmed is called when the log no longer has offset Next. It returns the offset to continue from.
	OnTrimmed func(ctx context.Context, first int64) (next int64, err error)
	// OnError is called after each failed read. It returns the offset to continue from.
	OnError func(ctx context.Context, next int64, err error) int64

	// atEnd is set once the reader has reached the end of the log. Before that, reads do not wait for new records.
	atEnd bool
}

// Run reads until the context ends and returns its error.
func (r *Reader) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := r.readPage(ctx); err != nil {
			r.Next = r.OnError(ctx, r.Next, err)
			sleep(ctx, durationOr(r.Backoff, 200*time.Millisecond))
		}
	}
	return ctx.Err()
}

func (r *Reader) readPage(ctx context.Context) error {
	var wait time.Duration
	if r.atEnd {
		wait = durationOr(r.Wait, 5*time.Second)
	}
	page, err := r.Log.Read(ctx, r.Next, wait)
	var trimmed *TrimmedError
	if errors.As(err, &trimmed) {
		next, err := r.OnTrimmed(ctx, trimmed.First)
		if err == nil {
			r.Next = next
		}
		return err
	}
	if err != nil {
		return err
	}
	next, err := r.OnPage(ctx, page)
	if err != nil {
		return err
	}
	r.Next = next
	r.atEnd = r.atEnd || next >= page.Next
	return nil
}

func durationOr(d, def time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return def
}

// sleep waits for d or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
