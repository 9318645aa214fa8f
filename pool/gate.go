// SPDX-License-Identifier: MIT

package pool

import (
	"context"
	"time"
)

// Figures of a gate.
const (
	// gateWidth is how many calls may be in it, gateFor how long one that is not answered counts.
	gateWidth = 128
	gateFor   = 100 * time.Millisecond
)

// gate lets calls go that are made to all workers at once, a few at a time: a burst of thousands would hold up the leader's own renewals, on a small entry
// for longer than candidates wait for one. A call that is not answered makes room after gateFor, so that workers out of reach hold nothing up for long.
type gate chan struct{}

func newGate() gate { return make(gate, gateWidth) }

// enter waits until a call may go, or the context ends; the function that it returns is to be called once the call has been answered.
func (g gate) enter(ctx context.Context) (leave func()) {
	select {
	case <-ctx.Done():
		return func() {}
	case g <- struct{}{}:
	}
	t := time.AfterFunc(gateFor, func() { <-g })
	return func() {
		if t.Stop() {
			<-g
		}
	}
}
