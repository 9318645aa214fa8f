// SPDX-License-Identifier: MIT

package feed

import (
	"context"
	"fmt"
	"time"
)

// KeyedRecord is one record of a keyed topic; an empty Value drops the key.
type KeyedRecord struct {
	Offset int64
	Key    string
	Value  []byte
}

// Writer names who appends, so that an older writer of the same name is shut out and a repeated batch is taken once.
type Writer struct {
	Name string
	// Epoch fences writers of the same name with a lower one; 0 appends without a fence.
	Epoch int64
	// Sequence counts the batches of the epoch from 0.
	Sequence int64
}

// Batch is what one append adds, all or nothing.
type Batch struct {
	Records []KeyedRecord
	// ExpectedEnd is the offset at which the topic must end for the append to happen; any when negative.
	ExpectedEnd int64
	Writer
}

// KeyedPage is a run of records in the order of their offsets.
type KeyedPage struct {
	Records []KeyedRecord
	// Next is the offset to read on from.
	Next int64
	// More says that the topic had further records when it was read, which the page had no room for.
	More bool
}

// Topic is one keyed topic of a log service, as functions that an adapter or a test fills in.
//
// All may be called by several goroutines. Errors are ErrUnavailable (nothing was done), ErrUncertain (an append may
// have been done, or may still be done), *TrimmedError, *ConditionError, *FencedError and
// *RefusedError.
type Topic struct {
	// Append returns the offset at which the topic ends after the batch.
	Append func(ctx context.Context, b Batch) (int64, error)
	// Read returns the records from the offset on; it waits for the first one.
	Read func(ctx context.Context, from int64, wait time.Duration) (KeyedPage, error)
	// Newest returns the newest record of each key and an offset to read on from, so that no record is missed.
	Newest func(ctx context.Context) (KeyedPage, error)
}

// ConditionError says that the topic did not end where the batch required it; nothing was appended.
type ConditionError struct {
	// End is where the topic ends.
	End int64
}

// Error returns the end and the remedy.
func (e *ConditionError) Error() string {
	return fmt.Sprintf("topic ends at offset %d; read on and decide again", e.End)
}

// FencedError says that a writer with a higher epoch has taken over; nothing was appended.
type FencedError struct{}

// Error returns the remedy.
func (e *FencedError) Error() string {
	return "a writer with a higher epoch has taken over; stop writing"
}

// RefusedError says that the store will never take these records as they are; nothing was appended.
type RefusedError struct {
	// Message is the store's own word.
	Message string
}

// Error returns the store's word and the remedy.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("the store refuses the records themselves (%s); change them, the same again is refused again", e.Message)
}

// SequenceError says that a batch's sequence number does not follow the last; nothing was appended.
type SequenceError struct {
	// Want is the number that would follow.
	Want int64
}

// Error returns the number wanted.
func (e *SequenceError) Error() string {
	return fmt.Sprintf("the writer's next batch must have sequence number %d", e.Want)
}
