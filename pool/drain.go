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

// drains are the data centres that the operator has drained: their instances get no work until that is taken back. A drain belongs to the data
// centre and not to its instances, so one that is listed there later is under it too.
type drains map[string]*drainRow

// drainRow is a row of the table of drained data centres.
type drainRow struct {
	// since is when this leader learned of it.
	since time.Time
	// told is what the log last said of what is left there, at toldAt.
	told   string
	toldAt time.Time
	// empty says that nothing was left there when it was last looked at.
	empty bool
}

// SetDrains takes the data centres that are drained, all of them; it is called before SetCatalog, and whenever they change.
func (s *Scheduler) SetDrains(centres []string) {
	centres = slices.Sorted(slices.Values(centres))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drained = centres
	if s.current != nil {
		s.current.post(drainsChanged{centres})
	}
}

// drainsChanged puts drains in force: from here on no start leaves for an instance there, planned ones included.
type drainsChanged struct{ centres []string }

func (m drainsChanged) apply(c *session) {
	now := c.now()
	for _, name := range m.centres {
		if c.drains[name] == nil {
			c.drains[name] = &drainRow{since: now}
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
	c.dirtyAll()
}

// drainLeft counts what is left in a drained data centre.
type drainLeft struct {
	workers, runs, lasting int
	// held are the lasting tasks that can't leave yet, by the reason.
	held map[string]int
}

// Reasons for which a lasting task stays in a drained data centre for now.
const (
	heldByOthers = "others-of-its-step-are-away"
	heldByPlace  = "no-place-elsewhere"
)

// String returns what is left, for the log.
func (l *drainLeft) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "workers=%d runs=%d lasting=%d", l.workers, l.runs, l.lasting)
	for _, why := range slices.Sorted(maps.Keys(l.held)) {
		fmt.Fprintf(&b, " %s=%d", why, l.held[why])
	}
	return b.String()
}

// emptyDrained takes lasting tasks out of the drained data centres, as fast as others of their steps may be missed and as there are places
// for them; tasks that end are left to. It tells what is left whenever that changes.
func (c *session) emptyDrained(now time.Time) {
	if len(c.drains) == 0 {
		return
	}
	left := make(map[string]*drainLeft, len(c.drains))
	for name := range c.drains {
		left[name] = &drainLeft{held: make(map[string]int)}
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
				c.takeOutOfDrain(w, t, l, now)
			}
		}
	}
	for name, row := range c.drains {
		c.tellDrain(name, row, left[name], now)
	}
}

// takeOutOfDrain stops a lasting task so that it starts elsewhere, or notes what holds it.
func (c *session) takeOutOfDrain(w *worker, t *job.Task, l *drainLeft, now time.Time) {
	switch {
	case t.Stopping || !w.silentSince.IsZero():
	case !c.mayTakeAway(t, now):
		l.held[heldByOthers]++
	case !c.hasPlace(t, now):
		l.held[heldByPlace]++
	default:
		c.stopTask(w, t, "its data centre is drained")
	}
}

// drainToldEvery bounds how often it is told what is left of a drain; when nothing is left that is told at once.
const drainToldEvery = time.Second

// tellDrain tells what is left of a drain when that has changed, and when nothing is.
func (c *session) tellDrain(name string, row *drainRow, l *drainLeft, now time.Time) {
	c.counts.drainLeft(name, l.runs)
	text := l.String()
	was := row.empty
	row.empty = l.runs == 0
	if text == row.told || (row.empty == was && now.Sub(row.toldAt) < drainToldEvery) {
		return
	}
	row.told, row.toldAt = text, now
	state := "emptying"
	if row.empty {
		state = "empty"
	}
	c.emit(event.DrainChanged, event.Subject{Entry: c.Entry}, "datacentre=%s state=%s after=%v %s", name, state, now.Sub(row.since).Round(time.Millisecond), text)
}
