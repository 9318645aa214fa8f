// SPDX-License-Identifier: MIT

package keep

import (
	"context"
	"errors"
	"fmt"
	"time"

	"rackstep.dev/feed"
)

// Timings of an append.
const (
	// callTimeout bounds one call to the store.
	callTimeout = time.Second
	// retryPause is the pause before an unanswered call is repeated.
	retryPause = 150 * time.Millisecond
)

// Writer appends the batches of one leader's term. It must not be used by several goroutines at once.
type Writer struct {
	// Call makes one append to the store; see feed.Topic.Append.
	Call func(ctx context.Context, b feed.Batch) (int64, error)
	// Name and Epoch fence off the writers of earlier terms.
	Name  string
	Epoch int64
	// MaxRecordBytes bounds the size of one record, including its key; unbounded when 0.
	MaxRecordBytes int
	// OnFailure is called when a call for a batch first fails, OnRecovery when the store accepts that batch later.
	OnFailure  func(err error)
	OnRecovery func()

	sequence int64
}

// RejectedRecord is a record that the store will never accept.
type RejectedRecord struct {
	Key string
	// Bytes is the size of the record, including its key.
	Bytes int
	Err   error
}

// Error names the record, the reason and the remedy.
func (a RejectedRecord) Error() string {
	return fmt.Sprintf("record %q of %d bytes was not stored: %v; reduce its content", a.Key, a.Bytes, a.Err)
}

// errTooLong is the reason for a record that exceeds MaxRecordBytes and was not sent.
var errTooLong = errors.New("it exceeds the store's limit for one record")

// Append stores the records and returns those that the store will never accept; all others are stored when err is nil.
//
// It retries until the context ends and then returns the context's error. A *feed.FencedError or a *feed.SequenceError means that
// the term is over.
func (w *Writer) Append(ctx context.Context, records []feed.KeyedRecord) ([]RejectedRecord, error) {
	var rejected []RejectedRecord
	sendable := make([]feed.KeyedRecord, 0, len(records))
	for _, r := range records {
		if n := recordSize(r); w.MaxRecordBytes > 0 && n > w.MaxRecordBytes {
			rejected = append(rejected, RejectedRecord{Key: r.Key, Bytes: n, Err: errTooLong})
			continue
		}
		sendable = append(sendable, r)
	}
	if len(sendable) == 0 {
		return rejected, ctx.Err()
	}
	refused, err := w.appendSplitting(ctx, sendable)
	return append(rejected, refused...), err
}

// appendSplitting appends the records and splits them into halves when the store refuses them together.
func (w *Writer) appendSplitting(ctx context.Context, records []feed.KeyedRecord) ([]RejectedRecord, error) {
	err := w.appendUntilAnswered(ctx, records)
	var refused *feed.RefusedError
	switch {
	case !errors.As(err, &refused):
		return nil, err
	case len(records) == 1:
		return []RejectedRecord{{Key: records[0].Key, Bytes: recordSize(records[0]), Err: err}}, nil
	}
	half := len(records) / 2
	first, err := w.appendSplitting(ctx, records[:half])
	if err != nil {
		return first, err
	}
	second, err := w.appendSplitting(ctx, records[half:])
	return append(first, second...), err
}

// appendUntilAnswered repeats one append until it is answered. The store accepts a sequence number only once, so repeating is safe.
func (w *Writer) appendUntilAnswered(ctx context.Context, records []feed.KeyedRecord) error {
	b := feed.Batch{Records: records, ExpectedEnd: -1, Writer: feed.Writer{Name: w.Name, Epoch: w.Epoch, Sequence: w.sequence + 1}}
	failed := false
	for ctx.Err() == nil {
		err := w.appendOnce(ctx, b)
		switch {
		case err == nil:
			w.sequence++
			if failed {
				w.OnRecovery()
			}
			return nil
		case isFinal(err):
			return err
		case !failed:
			w.OnFailure(err)
		}
		failed = true
		sleep(ctx, retryPause)
	}
	return ctx.Err()
}

func (w *Writer) appendOnce(ctx context.Context, b feed.Batch) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := w.Call(ctx, b)
	return err
}

// isFinal reports whether repeating the call would fail in the same way.
func isFinal(err error) bool {
	var fenced *feed.FencedError
	var sequence *feed.SequenceError
	var refused *feed.RefusedError
	return errors.As(err, &fenced) || errors.As(err, &sequence) || errors.As(err, &refused)
}

// recordSize returns the size of a record as the store counts it: one byte for the key's length, the key and the value.
func recordSize(r feed.KeyedRecord) int { return 1 + len(r.Key) + len(r.Value) }

// sleep waits for d or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
