// SPDX-License-Identifier: MIT

package route

import (
	"slices"
	"time"
)

// Lease is one slot of a target, held by a request. Done must be called exactly once.
type Lease struct {
	Target Target
	gate   *Gate
	state  *targetState
	since  time.Time
}

// Done releases the slot and records the outcome of the request.
func (l *Lease) Done(r Result) {
	g := l.gate
	now := g.now()
	g.mu.Lock()
	s := l.state
	s.inFlight--
	g.removed = slices.DeleteFunc(g.removed, func(o *targetState) bool { return o.inFlight == 0 })
	changed := g.updateHealth(s, r, now)
	if r == ResultOK {
		g.recordServiceTime(now.Sub(l.since))
	}
	g.grantSlots()
	g.scheduleWake(now)
	unhealthy := s.unhealthy
	g.mu.Unlock()
	if changed && g.HealthChanged != nil {
		g.HealthChanged(s.Instance, unhealthy)
	}
}
