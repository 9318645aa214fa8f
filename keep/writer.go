// SPDX-License-Identifier: MIT

package keep

import (
	"context"
	"errors"
	"fmt"
	"time"

	"rackstep.dev/feed"
)

// Times of an append.
const (
	// callTimeout bounds one call to the store.
	callTimeout = time.Second
	// callPause is the pause after a call that was not answered.
	callPause = 150 * time.Millisecond
)

// Writer appends the batches of one leader's term; it is used by one goroutine at a time.
type Writer struct {
	// Call makes one append to the store, as feed.Topic has it.
	Call func(ctx context.Context, b feed.Batch) (int64, error)
	// Name and Epoch fence the writers of earlier terms.
	Name  string
	Epoch int64
	// MaxRecordBytes bounds the bytes of one record, its key included; none when 0.
	MaxRecordBytes int
	// OnFailure is called when the store first gives no answer to a batch, Again when it takes that batch after all.
	OnFailure func(err error)
	OnRecovery   func()

	sequence int64
}

// RejectedRecord is a record that the store surely never takes.
type RejectedRecord struct {
	Key string
	// Bytes is the size of the record, its key included.
	Bytes int
	Err   error
}

// Error returns the problem and the remedy.
func (a RejectedRecord) Error() string {
	return fmt.Sprintf("record %q of %d bytes is not kept: %v; make what it holds smaller", a.Key, a.Bytes, a.Err)
}

// errTooLong says that a record was not sent.
var errTooLong = errors.New("it is longer than the store takes")

// Append keeps the records and returns those that the store surely never takes; all others are kept then.
//
// It tries until the context ends, which is its error then; a *feed.FencedError or a *feed.SequenceError says that the term is over.
func (w *Writer) Append(ctx context.Context, records []feed.KeyedRecord) ([]RejectedRecord, error) {
	var aside []RejectedRecord
	fit := make([]feed.KeyedRecord, 0, len(records))
	for _, r := range records {
		if n := size(r); w.MaxRecordBytes > 0 && n > w.MaxRecordBytes {
			aside = append(aside, RejectedRecord{Key: r.Key, Bytes: n, Err: errTooLong})
			continue
		}
		fit = append(fit, r)
	}
	if len(fit) == 0 {
		return aside, ctx.Err()
	}
	refused, err := w.appendParts(ctx, fit)
	return append(aside, refused...), err
}

// appendParts appends the records, in halves where the store refuses them together.
func (w *Writer) appendParts(ctx context.Context, records []feed.KeyedRecord) ([]RejectedRecord, error) {
	err := w.call(ctx, records)
	var refused *feed.RefusedError
	switch {
	case !errors.As(err, &refused):
		return nil, err
	case len(records) == 1:
		return []RejectedRecord{{Key: records[0].Key, Bytes: size(records[0]), Err: err}}, nil
	}
	half := len(records) / 2
	first, err := w.appendParts(ctx, records[:half])
	if err != nil {
		return first, err
	}
	second, err := w.appendParts(ctx, records[half:])
	return append(first, second...), err
}

// call makes one append until it is answered; the same sequence number again is taken once.
func (w *Writer) call(ctx context.Context, records []feed.KeyedRecord) error {
	b := feed.Batch{Records: records, ExpectedEnd: -1, Writer: feed.Writer{Name: w.Name, Epoch: w.Epoch, Sequence: w.sequence + 1}}
	failed := false
	for ctx.Err() == nil {
		err := w.once(ctx, b)
		switch {
		case err == nil:
			w.sequence++
			if failed {
				w.OnRecovery()
			}
			return nil
		case final(err):
			return err
		case !failed:
			w.OnFailure(err)
		}
		failed = true
		pause(ctx, callPause)
	}
	return ctx.Err()
}

func (w *Writer) once(ctx context.Context, b feed.Batch) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := w.Call(ctx, b)
	return err
}

// final says whether the same call again would be answered alike.
func final(err error) bool {
	var fenced *feed.FencedError
	var outOfStep *feed.SequenceError
	var refused *feed.RefusedError
	return errors.As(err, &fenced) || errors.As(err, &outOfStep) || errors.As(err, &refused)
}

// size returns the bytes of a record as the store counts them: the length of the key, the key and the value.
func size(r feed.KeyedRecord) int { return 1 + len(r.Key) + len(r.Value) }

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
