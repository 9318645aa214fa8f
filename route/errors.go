// SPDX-License-Identifier: MIT

package route

import (
	"fmt"
	"time"
)

// Kind tells refusals of a Gate apart.
type Kind string

// Kinds of a RefusedError.
const (
	KindFull     Kind = "queue-full"
	KindNoTarget Kind = "no-target"
	KindDeadline Kind = "deadline"
	KindCancelled     Kind = "cancelled"
	KindMoved    Kind = "moved"
)

// RefusedError says that a request was not dispatched.
type RefusedError struct {
	Kind Kind
	// RetryAfter is when it is worth coming back; 0 when waiting does not help.
	RetryAfter time.Duration
}

// Error returns the kind and the remedy.
func (e *RefusedError) Error() string {
	switch e.Kind {
	case KindFull:
		return fmt.Sprintf("the queue is full; come back in %s", e.RetryAfter)
	case KindNoTarget:
		return "no target of the service is available here; come back later"
	case KindDeadline:
		return fmt.Sprintf("no slot becomes free before the deadline; come back in %s or allow more time", e.RetryAfter)
	case KindMoved:
		return "another entry runs the service's gate now; send the request there"
	}
	return "the caller has gone"
}
