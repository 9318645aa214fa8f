// SPDX-License-Identifier: MIT

package feed

import (
	"context"
	"fmt"
	"time"
)

// KeyedRecord is one record of a keyed topic. An empty Value deletes the key.
type KeyedRecord struct {
	Offset int64
	Key    string
	Value  []byte
}

// Writer identifies who appends. It lets the store fence off older writers of the same name and accept a repeated batch only once.
type Writer struct {
	Name string
	// Epoch fences off writers of the same name that have a lower one; 0 appends without a fence.
	Epoch int64
	// Sequence numbers the batches of the epoch, starting at 0.
	Sequence int64
}

// Batch is the content of one append, which is atomic.
type Batch struct {
	Records []KeyedRecord
	// ExpectedEnd is the offset at which the topic must end for the append to succeed; any when negative.
	ExpectedEnd int64
	Writer
}

// KeyedPage is a sequence of records in the order of their offsets.
type KeyedPage struct {
	Records []KeyedRecord
	// Next is the offset to continue from.
	Next int64
	// More is set when the topic had further records that did not fit into the page.
	More bool
}

// Topic is one keyed topic of a log service, as functions that an adapter or a test fills in.
//
// All functions may be called by several goroutines at once. Errors are ErrUnavailable (nothing was done), ErrUncertain (an
// append may have happened, or may still happen), *TrimmedError, *ConditionError, *FencedError, *RefusedError and
// *SequenceError.
type Topic struct {
	// Append returns the offset at which the topic ends after the batch.
	Append func(ctx context.Context, b Batch) (int64, error)
	// Read returns the records starting at offset from. It waits up to wait for the first one.
	Read func(ctx context.Context, from int64, wait time.Duration) (KeyedPage, error)
	// Newest returns the newest record of each key. Reading on from the page's Next misses no record.
	Newest func(ctx context.Context) (KeyedPage, error)
	// Probe reads like Read without waiting, by another route than reads that are still unanswered; attempt numbers the probes
	// of one read, which take different routes. Nil when the service has only one route.
	Probe func(ctx context.Context, from int64, attempt int) (KeyedPage, error)
}

// ConditionError means that the topic did not end at the batch's ExpectedEnd; nothing was appended.
type ConditionError struct {
	// End is the offset at which the topic ends.
	End int64
}

// Error names the topic's end and the remedy.
func (e *ConditionError) Error() string {
	return fmt.Sprintf("topic ends at offset %d; read on and decide again", e.End)
}

// FencedError means that a writer with a higher epoch has taken over; nothing was appended.
type FencedError struct{}

// Error names the cause and the remedy.
func (e *FencedError) Error() string {
	return "a writer with a higher epoch has taken over; stop writing"
}

// RefusedError means that the store will never accept these records as they are; nothing was appended.
type RefusedError struct {
	// Message is the store's error message.
	Message string
}

// Error contains the store's message and the remedy.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("the store refuses the records permanently: %s; change them before appending again", e.Message)
}

// SequenceError means that the batch's sequence number does not follow the last one; nothing was appended.
type SequenceError struct {
	// Want is the expected sequence number.
	Want int64
}

// Error names the expected sequence number.
func (e *SequenceError) Error() string {
	return fmt.Sprintf("the writer's next batch must have sequence number %d", e.Want)
}
