// SPDX-License-Identifier: MIT

package work

import (
	"context"
	"errors"
	"time"

	"rackstep.dev/job"
)

// Errors returned by Calls.
var (
	// ErrNotSent means that the worker was not reached and the call had no effect.
	ErrNotSent = errors.New("worker could not be reached; the call had no effect, try again later")
	// ErrNoAnswer means that the call may have taken effect, or may still do so.
	ErrNoAnswer = errors.New("worker did not answer; check which runs it reports before retrying")
	// ErrTooManyConnections means that nothing was sent: the entry is near its connection limit and does not open a
	// connection to a worker that has no work.
	ErrTooManyConnections = errors.New("too many open connections; retry when others have been closed")
)

// Worker describes one incarnation of a worker, as listed by the platform.
type Worker struct {
	// Incarnation is the name of this incarnation (see Incarnation.String), Machine the name of the instance that it runs on. A restart
	// begins a new incarnation.
	Incarnation, Machine string
	// ID is the worker's ID in the platform's list. BootID distinguishes the incarnations that share an ID.
	ID         string
	BootID     BootID
	Pool       string
	Address    string
	DataCentre string
	// Labels are those of the instance. Rack is one of them.
	Labels []string
	Rack   string
	// Capacity is the total capacity of the worker.
	Capacity job.Need
	// Cold is for how much longer the worker is slow after its start, counted from when the list entry was made.
	Cold time.Duration
	// Leaving reports whether the worker is about to be shut down as planned; Remaining is the minimum time until
	// then.
	Leaving   bool
	Remaining time.Duration
}

// Clock is a reading of a worker's monotonic clock, in milliseconds.
type Clock int64

// Refusal is the reason why a worker did not carry out an order.
type Refusal uint8

// Reasons for refusing an order.
const (
	// Accepted means that the order was carried out.
	Accepted Refusal = iota
	// Fenced means that the worker has seen a higher fencing token.
	Fenced
	// OldRun means that the run's number is not higher than that of a run that was stopped or has ended there.
	OldRun
	// DeadlinePassed means that the order arrived after its deadline.
	DeadlinePassed
	// NoRoom means that the worker lacks the free capacity.
	NoRoom
	// BadTicket means that the step may only be started with a valid ticket.
	BadTicket
	// InvalidOrder stands for any other error status: the worker takes the order for a mistake.
	InvalidOrder
	// Unhealthy means that the worker currently takes no orders; the order had no effect.
	Unhealthy
	// OtherIncarnation means that another incarnation of the worker now serves the address.
	OtherIncarnation
)

// String returns the name of the refusal.
func (r Refusal) String() string {
	return [...]string{"done", "fenced", "old run", "late", "no room", "bad ticket", "unknown", "unhealthy", "other life"}[r]
}

// Answer is a worker's answer to an order.
type Answer struct {
	Refusal Refusal
	// Clock is the worker's clock at the time of the answer, or 0 if it was not reported.
	Clock Clock
	// BootID identifies the incarnation that answered, or is 0 if it was not reported.
	BootID BootID
}

// Start is an order to start a run.
type Start struct {
	Task string
	Run  int64
	Text string
	// Deadline is when the lease of all runs on the worker expires unless it is extended. A worker ignores orders
	// that arrive after it.
	Deadline Clock
	Fence    int64
	Saved    string
	Ticket   string
}

// Stop is an order to stop a run.
type Stop struct {
	Task  string
	Run   int64
	Fence int64
}

// Hold extends the lease of all runs on the worker and asks for their status.
type Hold struct {
	Fence int64
	// Acked is the sequence number up to which the worker may discard its ended runs.
	Acked int64
	// Deadline is the new end of the lease; 0 leaves the lease unchanged.
	Deadline Clock
	// Wait is how long the worker may delay its answer until a run ends (long polling).
	Wait time.Duration
	// Idle reports whether the worker has no runs as far as the caller knows. Such calls may be skipped while
	// connections are scarce.
	Idle bool
}

// Pace limits a run to a percentage of the time, as a duty cycle.
type Pace struct {
	Task    string
	Run     int64
	Percent int
	Fence   int64
}

// Outcome is how a run ended.
type Outcome uint8

// Outcomes of a run.
const (
	// Other outcomes do not count against the task.
	Other Outcome = iota
	Succeeded
	Failed
	Stopped
	Lapsed
	// Broken runs ended because another member of their gang was lost, Alone ones because the other members did not
	// start in time.
	Broken
	Alone
)

// String returns the name of the outcome.
func (h Outcome) String() string {
	return [...]string{"other", "succeeded", "failed", "stopped", "lapsed", "broken", "alone"}[h]
}

// RunStatus describes a run that is active on a worker.
type RunStatus struct {
	Task    string
	Run     int64
	Saved   string
	Percent int
	// Gauge is the tail latency in milliseconds for a task that serves requests, otherwise the CPU usage in
	// thousandths of a core.
	Gauge float64
}

// EndedRun is a run that has ended. Seq starts at 1 in each incarnation and increases by one with each run that ends.
type EndedRun struct {
	Seq     int64
	Task    string
	Run     int64
	Outcome Outcome
	Saved   string
}

// Report is a worker's answer to a Hold. It lists all runs that go on, and the oldest ends that are not acknowledged.
type Report struct {
	Answer
	Running []RunStatus
	Ended   []EndedRun
	// MoreEnds is set if the worker may have further ends, which it lists once those in Ended are acknowledged.
	MoreEnds bool
}

// Calls holds the functions that send orders to workers. A platform adapter or a test sets them.
//
// The functions return ErrNotSent, ErrNoAnswer or ErrTooManyConnections. A refusal is reported in the Answer, not as
// an error.
type Calls struct {
	Start func(ctx context.Context, w *Worker, o Start) (Answer, error)
	Stop  func(ctx context.Context, w *Worker, o Stop) (Answer, error)
	Hold  func(ctx context.Context, w *Worker, o Hold) (Report, error)
	Pace  func(ctx context.Context, w *Worker, o Pace) (Answer, error)
	// Forget closes the connections to the worker's incarnation for good.
	Forget func(w *Worker)
	// ConnectionsScarce reports whether the process is near its connection limit, so that workers without runs
	// should be polled rarely. CloseIdle closes the connections to such a worker until its next poll. A nil
	// ConnectionsScarce means that connections are never scarce.
	ConnectionsScarce func() bool
	CloseIdle         func(w *Worker)
}
