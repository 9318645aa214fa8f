// SPDX-License-Identifier: MIT

//go:build !race

package pool_test

import (
	"fmt"
	"slices"
	"time"

	"rackstep.dev/job"
	"rackstep.dev/work"
)

// judgeStart looks for what must never happen at a start; the lock is held.
func (w *world) judgeStart(l *life, by string, o work.Start) {
	n, ok := job.ParseName(o.Task)
	spec := w.asked[n.ID]
	if !ok || spec == nil {
		w.fail("UNASKED %s run=%d on %s by %s", o.Task, o.Run, l.name, by)
		return
	}
	w.judgeCap(l, spec.Organisation, by, o)
	failed, crashed, more := 0, 0, 0
	for _, x := range w.byTask[o.Task] {
		if crashed >= modelCrashes && x.inTouch {
			more++
		}
		if x.crashed {
			crashed++
		}
		switch {
		case x.to.IsZero():
			w.fail("TWICE %s run=%d on %s (%s) by %s while run=%d goes on at %s (%s) since %v", o.Task, o.Run, l.name, l.machine.zone, by, x.number, x.life.name, x.life.machine.zone, time.Since(x.from))
		case x.how == "done" && x.acked:
			w.fail("TWICE %s run=%d on %s by %s after run=%d was done and acknowledged", o.Task, o.Run, l.name, by, x.number)
		case x.how == "failed" && x.acked:
			failed++
		}
	}
	if w.inTouch(by) && more+1 >= modelMore && crashed >= modelCrashes {
		w.fail("BUDGET %s run=%d on %s by %s: %d starts after %d lives had ended under it", o.Task, o.Run, l.name, by, more+1, modelCrashes)
	}
	if failed >= modelFails {
		w.fail("BUDGET %s run=%d by %s after %d failures", o.Task, o.Run, by, failed)
	}
	for _, after := range spec.Steps[n.Step].After {
		for i := range spec.Steps[after].Count {
			before := fmt.Sprintf("%s.%d.%d.%d", n.ID, n.Time, after, i)
			if !slices.ContainsFunc(w.byTask[before], func(x *ran) bool { return x.how == "done" }) {
				w.fail("ORDER %s by %s before %s was done", o.Task, by, before)
			}
		}
	}
}

// inTouch says whether an entry has not begun, stood still or missed an answer of the store for a while: time-bounded rules and the budget of starts
// after crashes count it only then. The lock is held.
func (w *world) inTouch(entry string) bool { return time.Since(w.outOfTouch[entry]) > modelContact }

// judgeAcked looks for a run that began after the one whose end is acknowledged now was done; the lock is held.
func (w *world) judgeAcked(x *ran) {
	if x.how != "done" {
		return
	}
	for _, o := range w.byTask[x.task] {
		if o.from.After(x.to) {
			w.fail("TWICE %s run=%d on %s began after run=%d was done on %s, which is acknowledged now", x.task, o.number, o.life.name, x.number, x.life.name)
		}
	}
}

// judgeEnd looks at a planned end of a lasting task that is at work; the lock is held.
func (w *world) judgeEnd(x *ran, by string, heldUp bool) {
	n, _ := job.ParseName(x.task)
	spec := w.asked[n.ID]
	if !x.to.IsZero() || x.stopping || spec == nil || !spec.Steps[n.Step].Lasting || time.Since(x.from) < modelWarm || !w.cancels[n.ID].IsZero() {
		return
	}
	x.planned = true
	if heldUp {
		return
	}
	step := &spec.Steps[n.Step]
	var away []string
	for i := range step.Count {
		other := fmt.Sprintf("%s.%d.%d.%d", n.ID, n.Time, n.Step, i)
		if other != x.task && w.isAway(other) {
			away = append(away, other)
		}
	}
	if len(away) >= step.MayMiss {
		w.fail("AVAIL %s run=%d on %s ended by %s while away: %v", x.task, x.number, x.life.name, by, away)
	}
}

// isAway says whether a lasting task is away: ended by an order, or not at work for as long as counts.
func (w *world) isAway(task string) bool {
	runs := w.byTask[task]
	var last time.Time
	planned := false
	for _, x := range runs {
		if x.to.IsZero() && x.stopping {
			return true
		}
		if x.to.IsZero() && time.Since(x.from) >= modelWarm {
			return false
		}
		if !x.to.IsZero() && x.to.Sub(x.from) >= modelWarm && x.to.After(last) {
			last, planned = x.to, x.planned
		}
	}
	return !last.IsZero() && (planned || time.Since(last) >= modelNotice)
}

// judgeCancelled looks for tasks that run on although their job was cancelled long before, in calm: also those that a worker
// started late count, and those whose starter is gone; the lock is held.
func (w *world) judgeCancelled() {
	for task, runs := range w.byTask {
		n, _ := job.ParseName(task)
		cancelled := w.cancels[n.ID]
		if cancelled.IsZero() || time.Since(cancelled) < modelCancel+modelStop {
			continue
		}
		for _, x := range runs {
			if x.to.IsZero() && time.Since(x.from) > modelContact {
				w.fail("UNASKED %s run=%d goes on at %s since %v, cancelled for %v", task, x.number, x.life.name, time.Since(x.from), time.Since(cancelled))
			}
		}
	}
}

// startedAfterCancel counts the runs that began after their job's cancel; the lock is held.
func (w *world) startedAfterCancel() int {
	count := 0
	for task, runs := range w.byTask {
		n, _ := job.ParseName(task)
		for _, x := range runs {
			if at := w.cancels[n.ID]; !at.IsZero() && x.from.After(at) {
				count++
			}
		}
	}
	return count
}

func (w *world) judgeUpkeep(wave int64, name, by string) {
	var down []string
	for _, m := range w.machines {
		if m.upkeepOf == wave {
			down = append(down, m.name)
		}
	}
	if len(down) >= w.waves[wave] {
		w.fail("LIMIT upkeep of %s in wave %d by %s while these are down: %v", name, wave, by, down)
	}
}
