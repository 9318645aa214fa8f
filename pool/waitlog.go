// SPDX-License-Identifier: MIT

package pool

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"rackstep.dev/event"
	"rackstep.dev/job"
)

const (
	// overdueAfter is how long a task that could run waits before that is logged. The users count it as lost after 3 s.
	overdueAfter = 2 * time.Second
	// maxWaitEvents is the maximum number of such events in each waitEventInterval.
	maxWaitEvents     = 3
	waitEventInterval = time.Second
)

// waitEventLimit bounds the events about waiting tasks.
type waitEventLimit struct {
	began time.Time
	count int
}

// allow reports whether another event may be logged now, and counts it.
func (l *waitEventLimit) allow(now time.Time) bool {
	if now.Sub(l.began) >= waitEventInterval {
		l.began, l.count = now, 0
	}
	if l.count >= maxWaitEvents {
		return false
	}
	l.count++
	return true
}

// overdueTask is a task that could run and has waited for overdueAfter.
type overdueTask struct {
	group  waitGroup
	task   *job.Task
	reason waitReason
}

// noteOverdue keeps the task if it has waited longest of those of its queue that wait for the same reason.
func (q *queueWaits) noteOverdue(g *waitGroup, t *job.Task, reason waitReason) {
	if o := q.overdue[reason].task; o == nil || t.Wait.Since < o.Wait.Since {
		q.overdue[reason] = overdueTask{group: *g, task: t, reason: reason}
	}
}

// logOverdue logs the tasks that have waited longest, at most one for each queue and reason.
func (s *waitCheck) logOverdue() {
	var overdue []*overdueTask
	for _, q := range s.queues {
		for i := range q.overdue {
			if q.overdue[i].task != nil {
				overdue = append(overdue, &q.overdue[i])
			}
		}
	}
	slices.SortFunc(overdue, func(a, b *overdueTask) int {
		return cmp.Or(cmp.Compare(a.task.Wait.Since, b.task.Wait.Since), cmp.Compare(a.task.Name(), b.task.Name()))
	})
	for _, x := range overdue {
		if !s.waits.events.allow(s.now) {
			return
		}
		x.task.Wait.Logged |= 1 << x.reason
		s.logWait(x)
	}
}

// logWait logs why a task waits.
func (s *waitCheck) logWait(x *overdueTask) {
	t, g := x.task, &x.group
	instance := ""
	if t.Phase != job.Waiting {
		instance = t.Worker
	}
	s.emit(event.TaskWaits, event.Subject{Job: t.Name(), Instance: instance},
		"reason=%v for=%v waited=%v age=%v run=%d failed=%d lost=%d refused=%d jobruns=%d queue=%s same=%d runs=%d pool=%s free=%dm/%dMB fits=%d %s",
		x.reason, s.since(s.startedAt.Add(t.Wait.ReasonSince)), s.since(s.startedAt.Add(t.Wait.Since)), jobAge(t.Job), t.Run, len(t.FailedRuns), len(t.Lost), t.Refused, runningTasks(t.Job),
		t.Job.Spec.Queue, g.queue.waiting[x.reason], g.queue.running, g.pool.name, g.room.usable.free.MilliCPU, g.room.usable.free.MemoryMB, g.room.usable.count(g.Group, maxCountedFits), s.detail(g, t, x.reason))
}

// jobAge returns the time since a job was accepted, by the clocks of the entry that accepted it and of this one, or 0 if that entry did not record it.
func jobAge(j *job.Job) time.Duration {
	if j.Spec.Taken == 0 {
		return 0
	}
	return wallClock().Sub(j.Spec.Taken.Time()).Round(time.Millisecond)
}

// takeLongestWait returns for an event why a task has waited longest although it could run, since its latest run was ordered, and forgets it. It returns nothing for a task that no check
// has found waiting twice.
func takeLongestWait(t *job.Task) string {
	x := &t.Wait
	held, reason := x.Longest, waitReason(x.LongestReason)
	x.Longest, x.LongestReason = 0, 0
	if held == 0 {
		return ""
	}
	return fmt.Sprintf(" held=%v heldby=%v", held.Round(time.Millisecond), reason)
}

// maxCountedFits bounds the number of tasks in an event that would fit.
const maxCountedFits = 100

// since returns the time since at, rounded for the log, or 0 for the zero time.
func (s *waitCheck) since(at time.Time) time.Duration { return -s.until(at) }

// until returns the time until at, rounded for the log, or 0 for the zero time. It is negative if at has passed.
func (s *waitCheck) until(at time.Time) time.Duration {
	if at.IsZero() {
		return 0
	}
	return at.Sub(s.now).Round(time.Millisecond)
}

func runningTasks(j *job.Job) int {
	n := 0
	for i := range j.Tasks {
		if j.Tasks[i].Phase == job.Active {
			n++
		}
	}
	return n
}

// detail returns what belongs to one reason only.
func (s *waitCheck) detail(g *waitGroup, t *job.Task, reason waitReason) string {
	switch reason {
	case waitUnanswered:
		return s.unansweredDetail(t)
	case waitUnstored:
		return fmt.Sprintf("batch=%v", s.batchAge())
	case waitUnsent:
		return fmt.Sprintf("mayorder=%t inflight=%d of %d", s.mayStart, s.startSlots.inUse(s.now), s.maxStartsInFlight())
	case waitConfinedUnusable, waitConfinedFull:
		worker, _ := g.limits.limit(t)
		return "worker=" + worker
	case waitUnusable, waitGangFit:
		return g.room.unusable.String()
	case waitBackoff:
		return fmt.Sprintf("left=%v", s.until(t.NotBefore))
	case waitLateStart:
		return fmt.Sprintf("left=%v", s.until(t.LateUntil))
	case waitEarlier:
		return fmt.Sprintf("workers=%d", len(s.uncertainIncarnations))
	case waitTicket:
		return fmt.Sprintf("asking=%t", s.advising)
	case waitPassPause, waitNoPass, waitNotPlaced, waitTrial:
		return fmt.Sprintf("dirty=%t nextpass=%v", g.pool.dirty, s.until(g.pool.nextLookAt))
	}
	return ""
}

// unansweredDetail returns the attempts of this leader to start a task's run, whether an earlier leader ordered it, whether it must stay with its worker, whether the
// worker gets starts, and whether the run is being stopped.
func (s *waitCheck) unansweredDetail(t *job.Task) string {
	w := s.workers[t.Worker]
	if w == nil {
		return fmt.Sprintf("inflight=%d", len(s.lossesInFlight[t]))
	}
	r := w.runs[t]
	return fmt.Sprintf("attempts=%d sent=%v earlier=%t pinned=%t usable=%t stopping=%t late=%v", r.orderCount, s.since(r.sentAt), r.fromEarlierLeader, w.pinned(t, r, s.now), w.usable(s.now), t.Stopping, s.until(t.LateUntil))
}

// batchAge returns how long the batch in flight has been on its way, or 0 if there is none.
func (s *waitCheck) batchAge() time.Duration {
	if !s.committing {
		return 0
	}
	return s.since(s.commitStartedAt)
}
