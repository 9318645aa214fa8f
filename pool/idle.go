// SPDX-License-Identifier: MIT

package pool

import (
	"context"
	"sync"
	"time"

	"rackstep.dev/work"
)

// Figures of asking workers that have no work.
const (
	// crowdedRest is how long such a worker is not asked while connections are short, crowdedPause the pause before one is asked for which
	// there was none.
	crowdedRest  = 8 * time.Second
	crowdedPause = 200 * time.Millisecond
	// idlePart is the part of the processor that asking them may take, idleCost what it takes to ask one, of a whole core.
	idlePart = 0.25
	idleCost = 100 * time.Microsecond
)

// idleRest returns how long a worker without work rests after each answer, so that asking all of them takes no more than a part of the processor.
func idleRest(workers int, processor float64) time.Duration {
	if processor <= 0 {
		return 0
	}
	return max(time.Duration(float64(workers)*float64(idleCost)/(idlePart*processor))-holdWait, 0)
}

// crowded says whether connections to workers are short.
func (c *session) crowded() bool { return c.Calls.ConnectionsScarce != nil && c.Calls.ConnectionsScarce() }

// restIdle leaves a worker without work alone for a while if asking all such workers is too much for this entry: it has too little processor, or too few
// connections, and closes the worker's then. It ends when the worker gets work, and when the store no longer confirms the lead: then the workers' answers
// are what proves it.
func (c *session) restIdle(ctx context.Context, w *worker, row *work.Worker) {
	rest := time.Duration(c.idleRest.Load())
	crowded := c.crowded()
	if crowded {
		rest = max(rest, crowdedRest)
	}
	if rest <= 0 || w.held.Load() > 0 || c.unsure(c.now()) {
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
	case <-c.alarm.wait():
	case <-t.C:
	}
}

// unsure says whether the store has not confirmed the lead for a while.
func (c *session) unsure(now time.Time) bool { return now.Sub(c.ConfirmedAt()) > unsureAfter }

// watchIdle works out how long workers without work rest, and ends their rest while the store does not confirm the lead.
func (c *session) watchIdle(now time.Time) {
	c.idleRest.Store(int64(idleRest(len(c.workers), c.Processor)))
	c.alarm.set(c.unsure(now))
}

// alarm wakes whoever waits for it while it is on. The zero value is off.
type alarm struct {
	mu sync.Mutex
	on bool
	ch chan struct{}
}

// wait returns a channel that is closed while the alarm is on.
func (a *alarm) wait() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ch == nil {
		a.ch = make(chan struct{})
	}
	return a.ch
}

func (a *alarm) set(on bool) {
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
