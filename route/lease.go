// SPDX-License-Identifier: MIT

package route

import (
	"slices"
	"time"
)

// Lease is a slot of a target; Done must be called once.
type Lease struct {
	Target Target
	gate   *Gate
	slots  *slots
	since  time.Time
}

// Done gives the slot back and says what became of the request.
func (l *Lease) Done(r Result) {
	g := l.gate
	now := g.now()
	g.mu.Lock()
	s := l.slots
	s.busy--
	g.leaving = slices.DeleteFunc(g.leaving, func(o *slots) bool { return o.busy == 0 })
	changed := g.learn(s, r, now)
	if r == ResultOK {
		g.measure(now.Sub(l.since))
	}
	g.hand()
	g.watch(now)
	sick := s.sick
	g.mu.Unlock()
	if changed && g.HealthChanged != nil {
		g.HealthChanged(s.Instance, sick)
	}
}
