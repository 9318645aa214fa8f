// SPDX-License-Identifier: MIT

package work

import (
	"context"
	"errors"
	"time"

	"rackstep.dev/job"
)

// Errors of the calls to a worker.
var (
	// ErrNotSent means that the worker was not reached and has done nothing.
	ErrNotSent = errors.New("worker was not reached; nothing was done, try again later")
	// ErrNoAnswer means that the call may have been done, or may still be done.
	ErrNoAnswer = errors.New("worker gave no answer; look at what it runs before deciding")
	// ErrTooManyConnections means that nothing was sent, since this entry has no connection to spare for a worker that nothing is asked of.
	ErrTooManyConnections = errors.New("too many connections are open; ask again when others have been closed")
)

// Worker is one life of a worker instance, as the platform lists it.
type Worker struct {
	// Life names this life, Machine the instance; a restart gives a new life.
	Life, Machine string
	// ID is what the platform lists it under, and Birth tells its lives apart that bear it.
	ID         string
	Birth      Birth
	Pool       string
	Address    string
	DataCentre string
	// Labels are the instance's; Rack is one of them.
	Labels []string
	Rack   string
	Capacity   job.Need
	// Cold is for how much longer it is slow since its start, as of its entry in the list.
	Cold time.Duration
	// Leaving says that the worker will end as planned; Remaining is the least time that remains.
	Leaving   bool
	Remaining time.Duration
}

// Clock is a reading of a worker's own steady clock in milliseconds.
type Clock int64

// Refusal is why a worker did not do what it was asked.
type Refusal uint8

// Refusals of a worker.
const (
	// Accepted means that there is no refusal.
	Accepted Refusal = iota
	// Fenced means that the worker has seen a higher fencing token.
	Fenced
	// OldRun means that the run is not above one that was stopped or ended there.
	OldRun
	// DeadlinePassed means that the deadline had passed.
	DeadlinePassed
	// NoRoom means that the worker has not the room.
	NoRoom
	// BadTicket means that the start needs another ticket.
	BadTicket
	// InvalidOrder means that the worker takes the order for a mistake.
	InvalidOrder
	// Unhealthy means that the worker takes no orders now and has done nothing.
	Unhealthy
	// OtherLife means that the address belongs to another life now.
	OtherLife
)

// String returns the refusal's name.
func (r Refusal) String() string {
	return [...]string{"done", "fenced", "old run", "late", "no room", "bad ticket", "unknown", "unhealthy", "other life"}[r]
}

// Answer is what a worker said to an order.
type Answer struct {
	Refusal Refusal
	// Clock is the worker's clock when it answered, 0 if it did not tell.
	Clock Clock
	// Birth is that of the life that answered, 0 if it did not tell.
	Birth Birth
}

// Start orders a run.
type Start struct {
	Task string
	Run  int64
	Text string
	// Deadline is when all that runs there ends unless it is extended; an order that comes later does nothing.
	Deadline Clock
	Fence    int64
	Saved    string
	Ticket   string
}

// Stop ends a run.
type Stop struct {
	Task  string
	Run   int64
	Fence int64
}

// Hold extends the lease of all that runs there and asks what has become of it.
type Hold struct {
	Fence int64
	// Acked is the number of the newest end that the worker may forget.
	Acked int64
	// Deadline extends the lease; it is left as it is when 0.
	Deadline Clock
	// Wait is how long the answer may wait for an end.
	Wait time.Duration
	// Idle says that nothing runs there as far as is known, so that the call may be left out while connections are short.
	Idle bool
}

// Pace limits the share of time, in percent, for which a run works.
type Pace struct {
	Task    string
	Run     int64
	Percent int
	Fence   int64
}

// Outcome is the way a run ended.
type Outcome uint8

// Ways in which a run ends.
const (
	// Other ways do not count against the task.
	Other Outcome = iota
	Succeeded
	Failed
	Stopped
	Lapsed
	// Broken runs lost another member of their gang, Alone ones waited for it in vain.
	Broken
	Alone
)

// String returns the way's name.
func (h Outcome) String() string {
	return [...]string{"other", "succeeded", "failed", "stopped", "lapsed", "broken", "alone"}[h]
}

// RunStatus is one run that a worker lists.
type RunStatus struct {
	Task    string
	Run     int64
	Saved   string
	Percent int
	// Gauge is the tail of a serving task in milliseconds, or the thousandths of a core in use.
	Gauge float64
}

// EndedRun is one run that has ended; N rises by one from 1 within a life.
type EndedRun struct {
	Seq     int64
	Task  string
	Run   int64
	Outcome   Outcome
	Saved string
}

// Report is what a worker says in answer to a Hold.
type Report struct {
	Answer
	Running []RunStatus
	Ended   []EndedRun
}

// Calls are the calls to workers; an adapter or a test fills them in.
//
// Errors are ErrNotSent and ErrNoAnswer; a refusal is no error.
type Calls struct {
	Start func(ctx context.Context, w *Worker, o Start) (Answer, error)
	Stop  func(ctx context.Context, w *Worker, o Stop) (Answer, error)
	Hold  func(ctx context.Context, w *Worker, o Hold) (Report, error)
	Pace  func(ctx context.Context, w *Worker, o Pace) (Answer, error)
	// Forget closes what is open to the life.
	Forget func(w *Worker)
	// ConnectionsScarce says whether connections are short, so that workers without work should be asked seldom; Rest closes what is open to one meanwhile.
	// Connections are never short when Crowded is nil.
	ConnectionsScarce func() bool
	CloseIdle    func(w *Worker)
}
