// SPDX-License-Identifier: MIT

package pool

import (
	"context"
	"sync"
	"time"

	"rackstep.dev/work"
)

// Parameters of polling idle workers.
const (
	// crowdedRest is the pause between two polls of an idle worker while connections are scarce. crowdedPause is the pause before another attempt when no
	// connection was available.
	crowdedRest  = 8 * time.Second
	crowdedPause = 200 * time.Millisecond
	// idleCPUShare is the share of the processor that polling idle workers may take, and idlePollCost the processor time of one poll on a whole core.
	idleCPUShare = 0.25
	idlePollCost = 100 * time.Microsecond
)

// idlePollPause returns the pause after each poll of an idle worker, such that polling all of them takes at most idleCPUShare of the processor.
func idlePollPause(workers int, processor float64) time.Duration {
	if processor <= 0 {
		return 0
	}
	return max(time.Duration(float64(workers)*float64(idlePollCost)/(idleCPUShare*processor))-holdWait, 0)
}

// crowded reports whether connections to workers are scarce.
func (c *session) crowded() bool {
	return c.Calls.ConnectionsScarce != nil && c.Calls.ConnectionsScarce()
}

// pauseIdle delays the next poll of an idle worker if polling all such workers is too much for this entry, which may have too little processor time or too few
// connections. In the latter case the worker's connection is closed. The pause ends early when the worker gets work, and when the store no longer confirms the
// lead, since then the workers' answers have to prove it.
func (c *session) pauseIdle(ctx context.Context, w *worker, row *work.Worker) {
	rest := time.Duration(c.idlePause.Load())
	crowded := c.crowded()
	if crowded {
		rest = max(rest, crowdedRest)
	}
	if rest <= 0 || w.runCount.Load() > 0 || c.unconfirmed(c.now()) {
		return
	}
	if crowded {
		c.Calls.CloseIdle(row)
	}
	t := time.NewTimer(rest)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-w.wake:
	case <-c.pollNow.wait():
	case <-t.C:
	}
}

// unconfirmed reports whether the store has not confirmed the lead for unconfirmedAfter.
func (c *session) unconfirmed(now time.Time) bool { return now.Sub(c.ConfirmedAt()) > unconfirmedAfter }

// updateIdlePolling recomputes the pause between polls of idle workers, and ends running pauses while the store does not confirm the lead.
func (c *session) updateIdlePolling(now time.Time) {
	c.idlePause.Store(int64(idlePollPause(len(c.workers), c.Processor)))
	c.pollNow.set(c.unconfirmed(now))
}

// latch is a broadcast flag that goroutines can wait for. The zero value is not set.
type latch struct {
	mu sync.Mutex
	on bool
	ch chan struct{}
}

// wait returns a channel that is closed while the latch is set.
func (a *latch) wait() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ch == nil {
		a.ch = make(chan struct{})
	}
	return a.ch
}

func (a *latch) set(on bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if on == a.on {
		return
	}
	a.on = on
	if a.ch == nil || !on {
		a.ch = make(chan struct{})
	}
	if on {
		close(a.ch)
	}
}
