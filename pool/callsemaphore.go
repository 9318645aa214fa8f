// SPDX-License-Identifier: MIT

package pool

import (
	"context"
	"time"
)

// Limits of a callLimiter.
const (
	// maxLimitedCalls is the maximum number of calls in flight. A call that is not answered stops counting after
	// callSlotTimeout.
	maxLimitedCalls = 128
	callSlotTimeout = 100 * time.Millisecond
)

// callSemaphore limits the concurrency of calls that are made to all workers at once. A burst of thousands of calls
// would delay the leader's own renewals, on a small entry for longer than candidates wait for one. Unanswered calls
// free their slot after callSlotTimeout, so unreachable workers don't block the others for long.
type callSemaphore chan struct{}

func newCallSemaphore() callSemaphore { return make(callSemaphore, maxLimitedCalls) }

// acquire waits for a free slot or the end of the context. The caller must call release once the call has been
// answered.
func (l callSemaphore) acquire(ctx context.Context) (release func()) {
	select {
	case <-ctx.Done():
		return func() {}
	case l <- struct{}{}:
	}
	t := time.AfterFunc(callSlotTimeout, func() { <-l })
	return func() {
		if t.Stop() {
			<-l
		}
	}
}
