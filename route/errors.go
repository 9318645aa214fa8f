// SPDX-License-Identifier: MIT

package route

import (
	"fmt"
	"time"
)

// Kind is the reason for which a Gate refused a request.
type Kind string

// Kinds of a RefusedError.
const (
	KindFull      Kind = "queue-full"
	KindNoTarget  Kind = "no-target"
	KindDeadline  Kind = "deadline"
	KindCancelled Kind = "cancelled"
	KindMoved     Kind = "moved"
)

// RefusedError is returned for a request that was not dispatched.
type RefusedError struct {
	Kind Kind
	// RetryAfter is the time after which a retry may succeed; 0 when waiting does not help.
	RetryAfter time.Duration
}

// Error returns the reason and the remedy.
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
