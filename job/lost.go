// SPDX-License-Identifier: MIT

package job

import (
	"slices"
	"time"
)

// Limits on how often a task is started whose workers crash. The incarnation of a worker that ends during a run of the task
// is a loss of that task.
const (
	// LossLimitConclusive is the number of losses after which the task is given up if the last one is conclusive
	// evidence against it. The users' rules allow this many. LossLimitIsolated is the same if the last run was an
	// isolated trial, which is weaker evidence.
	LossLimitConclusive = 2
	LossLimitIsolated   = 3
	// LossLimit is the number of losses after which the task is given up regardless of the evidence. The users'
	// rules allow two starts after the third loss, and starts that a new leader does not learn of count as well.
	// With a limit of five, 2 of 2,000 random histories with many such tasks had one start too many.
	LossLimit = 4
	// Of more than maxUnsettled unsettled losses one does not count for these limits, so that takeovers alone don't reach LossLimit at once. No further one is left out:
	// a task that takes the leader down as well would be started without end, as no leader would know that its runs had begun.
	maxUnsettled = 2
)

// AgeUnknown is the age of a run of which the leader does not know when it began, or whether it did: an earlier leader
// ordered it, or its start got no answer.
const AgeUnknown time.Duration = -1

// LostRun is a run during which the incarnation of its worker ended, or that may have been there when it did.
type LostRun struct {
	Run         int64
	Incarnation string
	// Age is how long after the order of the run the incarnation ended, as far as the leader knows, or AgeUnknown.
	Age time.Duration
	// Suspects is the number of runs, including this one, that may have ended the incarnation, judging by their ages. It
	// is 0 if this run most likely did not.
	Suspects int
	// Isolated reports that the run was an isolated trial that had not been cleared when the incarnation ended. Conclusive
	// reports that the worker confirmed the run and its incarnation ended at once, so that there is hardly any other
	// explanation.
	Isolated, Conclusive bool
	// Unsettled reports that nothing tells that the run had begun: an earlier leader ordered it or planned to, and neither a worker nor the
	// store says that the worker had it.
	Unsettled bool
}

// RecordLost records that a run was lost with the incarnation of its worker. Each run counts once. It reports whether this
// was new.
func (j *Job) RecordLost(t *Task, l LostRun) bool {
	for _, o := range t.Lost {
		if o.Run == l.Run {
			return false
		}
	}
	if t.Phase == Finished {
		return false
	}
	t.Lost = append(t.Lost, l)
	t.Suspect = t.Suspect || l.Suspects > 0 || len(t.Lost) >= LossLimitIsolated
	j.Version++
	return true
}

// RetractLost removes the record of a lost run, because its order reached another incarnation or was never sent.
func (j *Job) RetractLost(t *Task, run int64) {
	lost := len(t.Lost)
	t.Lost = slices.DeleteFunc(t.Lost, func(l LostRun) bool { return l.Run == run })
	if len(t.Lost) == lost {
		return
	}
	t.Suspect = len(t.Lost) >= LossLimitIsolated || slices.ContainsFunc(t.Lost, func(l LostRun) bool { return l.Suspects > 0 })
	j.Version++
}

// ClearSuspicion records that a run has lasted longer than any run of the task that was lost.
func (j *Job) ClearSuspicion(t *Task) { t.Suspect = false }

// ClearLost removes all lost runs of a task that is certainly not the cause.
func (j *Job) ClearLost(t *Task) {
	if len(t.Lost) > 0 {
		t.Lost, t.Suspect = nil, false
		j.Version++
	}
}

// ExceedsLossLimit reports whether the task must not be started again because of its losses.
func (t *Task) ExceedsLossLimit() bool {
	if len(t.Lost) == 0 {
		return false
	}
	n, last := t.countedLosses(), t.Lost[len(t.Lost)-1]
	tried := last.Isolated || (t.Spec().Gang && last.Suspects > 0) // members of a gang start together, so none can run in an isolated trial
	return n >= LossLimit || (t.hasLossAtSameAge(last) && ((n >= LossLimitIsolated && tried) || (n >= LossLimitConclusive && last.Conclusive)))
}

// countedLosses returns the number of losses that count for the limits.
func (t *Task) countedLosses() int {
	unsettled := 0
	for _, l := range t.Lost {
		if l.Unsettled {
			unsettled++
		}
	}
	if unsettled > maxUnsettled {
		return len(t.Lost) - 1
	}
	return len(t.Lost)
}

// riskAfterLosses is the assumed probability that a task crashes its next worker after LossLimitIsolated losses,
// whatever their ages. There is no evidence to estimate it from, so even odds are assumed.
const riskAfterLosses = 0.5

// Risk estimates the probability that the next run of the task crashes its worker. Each loss is shared equally among
// its suspects, and the largest share counts. After LossLimitIsolated losses it is at least riskAfterLosses.
func (t *Task) Risk() float64 {
	risk := 0.0
	for _, l := range t.Lost {
		if l.Suspects > 0 {
			risk = max(risk, 1/float64(l.Suspects))
		}
	}
	if len(t.Lost) >= LossLimitIsolated {
		risk = max(risk, riskAfterLosses)
	}
	return risk
}

// MaxLostAge returns the greatest age among the lost runs that may have ended an incarnation, or among all lost runs if none
// may have.
func (t *Task) MaxLostAge() time.Duration {
	maxSuspect, maxAny := time.Duration(0), time.Duration(0)
	for _, l := range t.Lost {
		maxAny = max(maxAny, l.Age)
		if l.Suspects > 0 {
			maxSuspect = max(maxSuspect, l.Age)
		}
	}
	if maxSuspect == 0 {
		return maxAny
	}
	return maxSuspect
}

// ageTolerance is the maximum difference between the ages of two losses with the same cause. A task that crashes its
// worker does so at the same point of each run, and orders take some milliseconds to arrive. Incarnations that end for
// other reasons end at any age of their runs.
const ageTolerance = 100 * time.Millisecond

// hasLossAtSameAge reports whether the task was a suspect in an earlier loss at the same age as the last one.
func (t *Task) hasLossAtSameAge(last LostRun) bool {
	for _, l := range t.Lost[:len(t.Lost)-1] {
		if l.Suspects > 0 && l.Age != AgeUnknown && last.Age != AgeUnknown && (l.Age-last.Age).Abs() <= ageTolerance {
			return true
		}
	}
	return false
}

// GivenUp reports whether this is a lasting task that must not be started again, while its job continues with the
// other tasks.
func (t *Task) GivenUp() bool { return t.Spec().Lasting && t.ExceedsLossLimit() }

// GiveUp records that a task must not be started again, which ends its job as failed. A job of lasting tasks
// continues as long as one of them may be started: ending the others would take away tasks that serve users.
func (j *Job) GiveUp(t *Task, now time.Time) {
	if j.State.Ended() {
		return
	}
	for i := range j.Tasks {
		if o := &j.Tasks[i]; t.Spec().Lasting && o.Phase != Finished && !o.ExceedsLossLimit() {
			return
		}
	}
	j.end(Failed, now)
}

// StoredLost is the stored form of a lost run. It is not part of Stored, so that versions that do not know it can
// still read Stored.
type StoredLost struct {
	_           struct{} `cbor:",toarray"`
	Ordinal     int
	Run         int64
	Incarnation string
	// AgeMS is LostRun.Age in milliseconds, or one of the negative values below. Versions that do not know unsettled losses read all negative
	// values as an unknown age.
	AgeMS                int64
	Suspects             int
	Isolated, Conclusive bool
}

// Values of StoredLost.AgeMS that are no ages.
const (
	storedAgeUnknown = -1
	storedUnsettled  = -2
)

// ageMS returns the stored form of the age and of Unsettled.
func (l *LostRun) ageMS() int64 {
	switch {
	case l.Unsettled:
		return storedUnsettled
	case l.Age == AgeUnknown:
		return storedAgeUnknown
	}
	return l.Age.Milliseconds()
}

// StoredLost returns the lost runs for storage. It returns none for a job that has ended.
func (j *Job) StoredLost() []StoredLost {
	if j.State.Ended() {
		return nil
	}
	var kept []StoredLost
	for i := range j.Tasks {
		for _, l := range j.Tasks[i].Lost {
			kept = append(kept, StoredLost{Ordinal: i, Run: l.Run, Incarnation: l.Incarnation, AgeMS: l.ageMS(), Suspects: l.Suspects, Isolated: l.Isolated, Conclusive: l.Conclusive})
		}
	}
	return kept
}

// RestoreLost restores what StoredLost returned. A task whose suspicion was cleared after its last loss becomes a
// suspect again.
func (j *Job) RestoreLost(kept []StoredLost) {
	for _, k := range kept {
		if k.Ordinal >= 0 && k.Ordinal < len(j.Tasks) {
			age := time.Duration(k.AgeMS) * time.Millisecond
			if k.AgeMS < 0 {
				age = AgeUnknown
			}
			j.RecordLost(&j.Tasks[k.Ordinal], LostRun{Run: k.Run, Incarnation: k.Incarnation, Age: age, Suspects: k.Suspects, Isolated: k.Isolated, Conclusive: k.Conclusive, Unsettled: k.AgeMS == storedUnsettled})
		}
	}
	j.Version = j.StoredVersion // the restored state is already stored
}
