// SPDX-License-Identifier: MIT

package pool

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"rackstep.dev/event"
	"rackstep.dev/job"
)

// drains holds the data centres drained by the operator, by name. Their instances get no new work until the drain is revoked. A drain applies to the
// data centre, not to its current instances: an instance that is listed there later is drained too.
type drains map[string]*drainState

// drainState is the state of a drained data centre.
type drainState struct {
	// since is the time at which this leader learned of the drain.
	since time.Time
	// loggedText is the remainder that was logged last, at loggedAt.
	loggedText string
	loggedAt   time.Time
	// empty means that nothing was left there at the last check.
	empty bool
}

// SetDrains sets the complete list of drained data centres. It is called before SetCatalog and after each change.
func (s *Scheduler) SetDrains(centres []string) {
	centres = slices.Sorted(slices.Values(centres))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drained = centres
	if s.current != nil {
		s.current.post(drainsChanged{centres})
	}
}

// drainsChanged applies a new list of drained data centres. From then on no start is sent to an instance there, including starts that are already
// planned.
type drainsChanged struct{ centres []string }

func (m drainsChanged) apply(c *session) {
	now := c.now()
	for _, name := range m.centres {
		if c.drains[name] == nil {
			c.drains[name] = &drainState{since: now}
			c.emit(event.DrainChanged, event.Subject{Entry: c.Entry}, "datacentre=%s state=begun", name)
		}
	}
	for name, row := range c.drains {
		if !slices.Contains(m.centres, name) {
			delete(c.drains, name)
			c.emit(event.DrainChanged, event.Subject{Entry: c.Entry}, "datacentre=%s state=taken-back lasted=%v", name, now.Sub(row.since).Round(time.Millisecond))
		}
	}
	for _, w := range c.workers {
		w.drained = c.drains[w.DataCentre] != nil
	}
	c.markAllDirty()
}

// drainRemainder counts what is left in a drained data centre.
type drainRemainder struct {
	workers, runs, lasting int
	// held counts the lasting tasks that can't be moved yet, by reason.
	held map[string]int
}

// Reasons why a lasting task can't be moved out of a drained data centre yet. They are logged.
const (
	heldByOthersAway = "others-of-its-step-are-away"
	heldByNoPlace    = "no-place-elsewhere"
)

// String formats the remainder for the log.
func (l *drainRemainder) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "workers=%d runs=%d lasting=%d", l.workers, l.runs, l.lasting)
	for _, why := range slices.Sorted(maps.Keys(l.held)) {
		fmt.Fprintf(&b, " %s=%d", why, l.held[why])
	}
	return b.String()
}

// evacuateDrained moves lasting tasks out of the drained data centres, as fast as their steps may miss tasks and other workers have capacity for
// them. All other tasks are left to end. It logs the remainder when it changes.
func (c *session) evacuateDrained(now time.Time) {
	if len(c.drains) == 0 {
		return
	}
	left := make(map[string]*drainRemainder, len(c.drains))
	for name := range c.drains {
		left[name] = &drainRemainder{held: make(map[string]int)}
	}
	for _, w := range c.workers {
		if !w.drained || c.drains[w.DataCentre] == nil {
			continue
		}
		l := left[w.DataCentre]
		l.workers++
		for t := range w.runs {
			l.runs++
			if t.Spec().Lasting {
				l.lasting++
				c.evacuateTask(w, t, l, now)
			}
		}
	}
	for name, row := range c.drains {
		c.logDrain(name, row, left[name], now)
	}
}

// evacuateTask stops a lasting task so that it starts elsewhere, or counts the reason why it can't be stopped yet.
func (c *session) evacuateTask(w *worker, t *job.Task, l *drainRemainder, now time.Time) {
	switch {
	case t.Stopping || !w.silentSince.IsZero():
	case !c.canDisrupt(t, now):
		l.held[heldByOthersAway]++
	case !c.fitsElsewhere(t, now):
		l.held[heldByNoPlace]++
	default:
		c.stopTask(w, t, "its data centre is drained")
	}
}

// drainLogInterval is the minimum interval between two log lines about a drain. The line that nothing is left is logged at once.
const drainLogInterval = time.Second

// logDrain updates the metric of a drain and logs the remainder when it has changed or has become empty.
func (c *session) logDrain(name string, row *drainState, l *drainRemainder, now time.Time) {
	c.counts.drainRemaining(name, l.runs)
	text := l.String()
	wasEmpty := row.empty
	row.empty = l.runs == 0
	if text == row.loggedText || (row.empty == wasEmpty && now.Sub(row.loggedAt) < drainLogInterval) {
		return
	}
	row.loggedText, row.loggedAt = text, now
	state := "emptying"
	if row.empty {
		state = "empty"
	}
	c.emit(event.DrainChanged, event.Subject{Entry: c.Entry}, "datacentre=%s state=%s after=%v %s", name, state, now.Sub(row.since).Round(time.Millisecond), text)
}
