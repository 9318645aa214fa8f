// SPDX-License-Identifier: MIT

package pool

import (
	"math"
	"time"

	"rackstep.dev/job"
	"rackstep.dev/place"
)

// Parameters of trials where there are so many suspects that trials of single ones on trialShare of the workers would take too long.
const (
	// suspectWait is the time within which all suspects should have been started again, counted from the latest loss of an incarnation. The users' rules let a task
	// wait for 3 s beside free capacity, counted from 4 s after the latest trouble; the remaining second is for passes and batches.
	suspectWait = 6 * time.Second
	// suspectCalm is the time without further losses after which more workers and groups are used. While workers go on crashing for other reasons, starting
	// more suspects makes more innocent tasks lose several workers and be given up.
	suspectCalm = 2 * time.Second
	// maxTrialShare is the share of a pool's workers on which trials run at a time before several suspects are tried together on one.
	maxTrialShare = 2.0 / 3
)

// waitingSuspects is the suspects of a pool that may be tried now.
type waitingSuspects struct {
	// slots is, by lost incarnation, how long a worker is needed for the longest of the trials.
	slots map[string]time.Duration
	// all is how long a single worker would take for a trial of each suspect, alone the same for those that must be tried alone.
	all, alone time.Duration
	// calm is how long no further incarnation has been lost.
	calm time.Duration
}

// rounds returns how many trials of that length may begin in succession on a worker until all suspects should have been started.
func (s *waitingSuspects) rounds(slot time.Duration) float64 {
	return 1 + math.Floor(float64(max(suspectWait-s.calm, 0))/float64(slot))
}

// trialSlot returns how long a worker is needed for the trial of a suspect. Nothing may have started there for similarAge before.
func trialSlot(t *job.Task) time.Duration { return trialDuration(t) + similarAge }

// planTrials returns on how many workers suspects have to be tried at a time for all of them to start within suspectWait, between usual and most, and by lost
// incarnation how many of its suspects have to be tried together on each.
//
// More workers come first: they cost other tasks only capacity. If a worker crashes in the trial of a group, a culprit that crashes its workers at once costs
// one more incarnation than in a trial of its own, and the others of the group have lost two.
func (c *session) planTrials(p *poolRow, groups []*place.Group, usual, most int, now time.Time) (workers int, sizes map[string]int) {
	s := p.waitingSuspects(groups, now)
	if s.calm < suspectCalm {
		return usual, nil
	}
	workers, sizes = usual, make(map[string]int, len(s.slots))
	busy := float64(c.trialWorkers(p)) / 2 // half of a trial is over on average
	for _, slot := range s.slots {
		need := (busy + float64(s.all)/float64(slot)) / s.rounds(slot)
		workers = max(workers, min(int(math.Ceil(need)), most))
	}
	for incarnation, slot := range s.slots {
		left := float64(workers)*s.rounds(slot) - busy - float64(s.alone)/float64(slot)
		sizes[incarnation] = int(math.Ceil(float64(s.all-s.alone) / float64(slot) / max(left, 1)))
	}
	return workers, sizes
}

// waitingSuspects returns the suspects among the tasks of the groups.
func (p *poolRow) waitingSuspects(groups []*place.Group, now time.Time) *waitingSuspects {
	s := &waitingSuspects{slots: make(map[string]time.Duration)}
	for _, g := range groups {
		for _, t := range g.Tasks {
			if !g.AwaitsTrial(t) || len(t.Lost) == 0 {
				continue
			}
			incarnation, slot := t.Lost[len(t.Lost)-1].Incarnation, trialSlot(t)
			s.slots[incarnation] = max(s.slots[incarnation], slot)
			s.all += slot
			if len(t.Lost) > 1 {
				s.alone += slot
			}
		}
	}
	s.calm = now.Sub(p.noteSuspects(s.slots, now))
	return s
}

// noteSuspects records since when suspects of the given lost incarnations wait, and returns the latest of these times.
func (p *poolRow) noteSuspects(slots map[string]time.Duration, now time.Time) (latest time.Time) {
	since := make(map[string]time.Time, len(slots))
	for incarnation := range slots {
		first, known := p.suspectsSince[incarnation]
		if !known {
			first = now
		}
		since[incarnation] = first
		if first.After(latest) {
			latest = first
		}
	}
	p.suspectsSince = since
	return latest
}

// startGroupTrial records that a suspect's run is on trial on the worker together with others.
func (c *session) startGroupTrial(w *worker, t *job.Task, run int64) {
	if w.trialGroup == nil {
		w.trialGroup = make(map[*job.Task]int64)
	}
	w.trialGroup[t] = run
	c.groupTrials[w] = true
}

// endGroupTrials clears the suspects that have run in a group for long enough, and releases the workers whose trials are over. A suspect whose run is not
// confirmed stays one.
func (c *session) endGroupTrials(now time.Time) {
	for w := range c.groupTrials {
		for t, number := range w.trialGroup {
			r := w.runs[t]
			switch {
			case r == nil || r.number != number:
			case w.trialGoesOn(t, r, now):
				continue
			case r.confirmed > 0:
				t.Job.ClearSuspicion(t)
			}
			delete(w.trialGroup, t)
		}
		if len(w.trialGroup) == 0 || c.workers[w.Incarnation] != w {
			w.trialGroup = nil
			delete(c.groupTrials, w)
			c.markPoolDirty(w.Pool)
		}
	}
}

// trialWorkers returns the number of the pool's workers on which suspects are being tried.
func (c *session) trialWorkers(p *poolRow) int {
	n := 0
	for _, workers := range [...]map[*worker]bool{c.trials, c.groupTrials} {
		for w := range workers {
			if w.Pool == p.name {
				n++
			}
		}
	}
	return n
}

// groupRisk returns the expected number of crashes in the worker's trial of several suspects: they have at most one culprit.
func (w *worker) groupRisk() float64 {
	risk := 0.0
	for t := range w.trialGroup {
		risk += t.Risk()
	}
	return min(risk, 1)
}

// hasTrial reports whether suspects are being tried on the worker.
func (w *worker) hasTrial() bool { return w.trial != nil || len(w.trialGroup) > 0 }
