// SPDX-License-Identifier: MIT

package feed

import (
	"context"
	"errors"
	"time"
)

// Reader follows a log and hands its records on in order.
type Reader struct {
	Log *Log
	// Next is the offset of the first record wanted.
	Next int64
	// Wait bounds one long poll; 5s when 0.
	Wait time.Duration
	// Backoff is the pause after a failed read; 200ms when 0.
	Backoff time.Duration
	// OnPage is called with each page that was read, in order; it returns the next offset wanted.
	OnPage func(ctx context.Context, p Page) (next int64, err error)
	// OnTrimmed is called when the log no longer keeps Next; it returns where to go on.
	OnTrimmed func(ctx context.Context, first int64) (next int64, err error)
	// OnError is called after each failed read; it returns where to go on.
	OnError func(ctx context.Context, next int64, err error) int64

	// atEnd says that the reader has been at the end of the log; before that it never waits.
	atEnd bool
}

// Run reads until the context ends and returns its error.
func (r *Reader) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := r.once(ctx); err != nil {
			r.Next = r.OnError(ctx, r.Next, err)
			pause(ctx, orElse(r.Backoff, 200*time.Millisecond))
		}
	}
	return ctx.Err()
}

func (r *Reader) once(ctx context.Context) error {
	var wait time.Duration
	if r.atEnd {
		wait = orElse(r.Wait, 5*time.Second)
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

func orElse(d, def time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return def
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
