// SPDX-License-Identifier: MIT

package job

import (
	"slices"
	"time"
)

// Bounds of how often a task is started whose workers end.
const (
	// LossLimitConclusive is after how many lives that ended under a task it may be given up, where the last of them proves that it was the task;
	// the users allow as many. LostTried is the same where the last one only points at it.
	LossLimitConclusive = 2
	LossLimitIsolated  = 3
	// LossLimit is after how many it is given up whatever proves it: the users allow two starts after the third, and what a leader
	// does not learn of must fit in there. With five, 2 of 2,000 histories full of such tasks had one start too many.
	LossLimit = 4
)

// AgeUnknown is the age of a run whose order this leader did not send.
const AgeUnknown time.Duration = -1

// LostRun is a run whose worker's life ended while it was or may have been there.
type LostRun struct {
	Run  int64
	Life string
	// Age is how long after its order the life had ended, as far as the leader knew; AgeUnknown for a run that an earlier leader ordered.
	Age time.Duration
	// Suspects is how many runs, this one among them, may have ended the life by their age; 0 when this one most likely has not.
	Suspects int
	// Isolated says that the run was tried apart and not cleared when the life ended, and Proved that its worker had confirmed it and ended at
	// once, so that hardly anything else can have ended it.
	Isolated, Conclusive bool
}

// RecordLost takes note of a run that was lost with its worker's life; each counts once. It says whether that was news.
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

// RetractLost takes back that a run was lost: its order has come to another life, or has not left.
func (j *Job) RetractLost(t *Task, run int64) {
	lost := len(t.Lost)
	t.Lost = slices.DeleteFunc(t.Lost, func(l LostRun) bool { return l.Run == run })
	if len(t.Lost) == lost {
		return
	}
	t.Suspect = len(t.Lost) >= LossLimitIsolated || slices.ContainsFunc(t.Lost, func(l LostRun) bool { return l.Suspects > 0 })
	j.Version++
}

// ClearSuspicion takes note that a run has gone on for longer than any under which a life ended.
func (j *Job) ClearSuspicion(t *Task) { t.Suspect = false }

// ClearLost forgets the lives that ended under a task that is surely not the cause.
func (j *Job) ClearLost(t *Task) {
	if len(t.Lost) > 0 {
		t.Lost, t.Suspect = nil, false
		j.Version++
	}
}

// ExceedsLossLimit says whether so many lives have ended under the task that it is not to be started again.
func (t *Task) ExceedsLossLimit() bool {
	n := len(t.Lost)
	if n == 0 {
		return false
	}
	last := t.Lost[n-1]
	tried := last.Isolated || (t.Spec().Gang && last.Suspects > 0) // a gang starts together or not at all, so that none of it is tried apart
	return n >= LossLimit || (t.alike(last) && ((n >= LossLimitIsolated && tried) || (n >= LossLimitConclusive && last.Conclusive)))
}

// riskAfterTried is how likely a task is taken to end its next worker's life once LostTried have ended under it, whatever their ages: nobody knows, so an even chance.
const riskAfterTried = 0.5

// Risk is how likely the task's next run ends its worker's life, as far as the evidence goes: shared among all that may have ended
// the last one, and an even chance at the least once three have ended under it.
func (t *Task) Risk() float64 {
	risk := 0.0
	for _, l := range t.Lost {
		if l.Suspects > 0 {
			risk = max(risk, 1/float64(l.Suspects))
		}
	}
	if len(t.Lost) >= LossLimitIsolated {
		risk = max(risk, riskAfterTried)
	}
	return risk
}

// MaxLostAge is the greatest age of the runs that may have ended a life, or of all that were lost if none may have.
func (t *Task) MaxLostAge() time.Duration {
	longest, any := time.Duration(0), time.Duration(0)
	for _, l := range t.Lost {
		any = max(any, l.Age)
		if l.Suspects > 0 {
			longest = max(longest, l.Age)
		}
	}
	if longest == 0 {
		return any
	}
	return longest
}

// alikeAge is by how much the ages may differ at which a task ends lives: its own time is the same each time, and orders are some
// milliseconds on their way. Lives that end for other reasons do so at any age of what runs there.
const alikeAge = 100 * time.Millisecond

// alike says whether an earlier life had ended under the task at the same age, when it was a suspect.
func (t *Task) alike(last LostRun) bool {
	for _, l := range t.Lost[:len(t.Lost)-1] {
		if l.Suspects > 0 && l.Age != AgeUnknown && last.Age != AgeUnknown && (l.Age-last.Age).Abs() <= alikeAge {
			return true
		}
	}
	return false
}

// GivenUp says that the task lasts and is not to be started again: its job goes on with the others.
func (t *Task) GivenUp() bool { return t.Spec().Lasting && t.ExceedsLossLimit() }

// GiveUp takes note that a task is not to be started again, and ends its job as failed. A job whose tasks last goes on with the others: to
// end them would take away what serves users.
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

// StoredLost is what must outlive every process of the runs that were lost with a worker's life. It is a record of its own beside Kept, so that
// a version that does not know it reads the other as before.
type StoredLost struct {
	_       struct{} `cbor:",toarray"`
	Ordinal int
	Run     int64
	Life    string
	// AgeMS is LostRun.Age in milliseconds.
	AgeMS         int64
	Suspects      int
	Isolated, Conclusive bool
}

// ageMS returns the age in milliseconds, under zero when it is unknown.
func (l *LostRun) ageMS() int64 {
	if l.Age == AgeUnknown {
		return -1
	}
	return l.Age.Milliseconds()
}

// StoredLost returns what is to be kept of the runs that were lost; nothing for a job that has ended.
func (j *Job) StoredLost() []StoredLost {
	if j.State.Ended() {
		return nil
	}
	var kept []StoredLost
	for i := range j.Tasks {
		for _, l := range j.Tasks[i].Lost {
			kept = append(kept, StoredLost{Ordinal: i, Run: l.Run, Life: l.Life, AgeMS: l.ageMS(), Suspects: l.Suspects, Isolated: l.Isolated, Conclusive: l.Conclusive})
		}
	}
	return kept
}

// RestoreLost brings back what KeepLost returned. A task that was cleared since its last loss is tried apart once more.
func (j *Job) RestoreLost(kept []StoredLost) {
	for _, k := range kept {
		if k.Ordinal >= 0 && k.Ordinal < len(j.Tasks) {
			age := time.Duration(k.AgeMS) * time.Millisecond
			if k.AgeMS < 0 {
				age = AgeUnknown
			}
			j.RecordLost(&j.Tasks[k.Ordinal], LostRun{Run: k.Run, Life: k.Life, Age: age, Suspects: k.Suspects, Isolated: k.Isolated, Conclusive: k.Conclusive})
		}
	}
	j.Version = j.StoredVersion // all of it is kept
}
