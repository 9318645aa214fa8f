// SPDX-License-Identifier: MIT

package job

import "time"

// StoredLate is the stored form of a task's LateUntil.
type StoredLate struct {
	_       struct{} `cbor:",toarray"`
	Ordinal int
	// Until is the end of that period, in wall-clock time.
	Until UnixMilli
}

// SetLateUntil sets LateUntil and, if it changes, increments the job's version.
func (t *Task) SetLateUntil(until time.Time) {
	if until.Equal(t.LateUntil) {
		return
	}
	t.LateUntil = until
	t.Job.Version++
}

// MayComeLate reports whether an unanswered start of the task may still be carried out.
func (t *Task) MayComeLate(now time.Time) bool { return now.Before(t.LateUntil) }

// StoredLate returns, for storage, the tasks with starts that may still be carried out late. It converts LateUntil
// from the caller's clock, which reads now, to wall-clock time, which is timeOfDay, and adds the margin.
func (j *Job) StoredLate(now, timeOfDay time.Time, margin time.Duration) []StoredLate {
	var kept []StoredLate
	for i := range j.Tasks {
		if t := &j.Tasks[i]; t.MayComeLate(now) {
			kept = append(kept, StoredLate{Ordinal: i, Until: UnixMilli(timeOfDay.Add(t.LateUntil.Sub(now) + margin).UnixMilli())})
		}
	}
	return kept
}

// RestoreLate sets LateUntil from the stored entries. The remaining time is capped at limit, because the clock of the process that stored them may have
// been ahead.
func (j *Job) RestoreLate(kept []StoredLate, now, timeOfDay time.Time, limit time.Duration) {
	for _, k := range kept {
		left := min(k.Until.Time().Sub(timeOfDay), limit)
		if left > 0 && k.Ordinal >= 0 && k.Ordinal < len(j.Tasks) {
			j.Tasks[k.Ordinal].LateUntil = now.Add(left)
		}
	}
}
