// SPDX-License-Identifier: MIT

package fleet

import "time"

// Use is the resources that a job uses on its instance.
type Use struct {
	Cores    int
	MemoryMB int
}

// Measure is the record of what a running attempt uses. It is written when that differs much from what the caller declared.
type Measure struct {
	Job     string `cbor:"j"`
	Attempt int    `cbor:"a"`
	// Cores and MemoryMB are what the platform reported, plus a margin. They replace the declared values.
	Cores    int `cbor:"c"`
	MemoryMB int `cbor:"m,omitempty"`
}

// Throttle is the record that limits a running job to a number of cores, or lifts the limit when Cores is 0.
type Throttle struct {
	Job     string `cbor:"j"`
	Attempt int    `cbor:"a"`
	Cores   int    `cbor:"c,omitempty"`
}

// Charged returns the resources that are accounted to the job: those measured, or else those declared, limited by its throttle.
func (j *Job) Charged() Use {
	u := Use{j.Spec.Cores, j.Spec.MemoryMB}
	if j.Used.Cores > 0 {
		u = j.Used
	}
	if j.Limit > 0 {
		u.Cores = min(u.Cores, j.Limit)
	}
	return u
}

func (t *Tables) measure(m Measure) *Refusal {
	j, refusal := t.runningAttempt(m.Job, m.Attempt)
	if refusal != nil {
		return refusal
	}
	in := t.Instances.Get(j.Instance)
	if in == nil || m.Cores < 1 || m.MemoryMB < 0 {
		return refuse(ReasonInvalid, "report this as a bug", "job %s can't use %d cores and %d MB", j.ID, m.Cores, m.MemoryMB)
	}
	t.recharge(j, func() { j.Used = Use{min(m.Cores, max(1, in.Cores)), min(m.MemoryMB, in.MemoryMB)} })
	return nil
}

func (t *Tables) throttle(s Throttle) *Refusal {
	j, refusal := t.runningAttempt(s.Job, s.Attempt)
	if refusal != nil {
		return refusal
	}
	if j.Spec.Urgent || s.Cores < 0 {
		return refuse(ReasonState, "choose an ordinary job", "job %s is not to be held to %d cores", j.ID, s.Cores)
	}
	t.recharge(j, func() { j.Limit = s.Cores })
	return nil
}

// runningAttempt returns the job if the attempt is its current one and is running.
func (t *Tables) runningAttempt(job string, attempt int) (*Job, *Refusal) {
	j := t.Jobs.Get(job)
	if j == nil || j.Attempt != attempt || j.State != JobRunning {
		return nil, refuse(ReasonStale, "nothing is to be done", "job %s does not run its attempt %d", job, attempt)
	}
	return j, nil
}

// RunTime is the learned ratio of actual to declared run times of a pool's jobs.
type RunTime struct {
	Pool string
	// Percent estimates the third quartile of the ratio: three jobs in four run no longer than this percentage of their
	// declared run time.
	Percent int
}

// Bounds and step sizes of RunTime.Percent. A step up is three times a step down, so that the value converges to the third quartile.
const (
	initialRunTimePercent = 200
	minRunTimePercent     = 50
	maxRunTimePercent     = 1600
	percentStepUp         = 6
	percentStepDown       = 2
)

// RunTimeMargin returns the factor by which to multiply the declared run times of the pool's jobs.
func (t *Tables) RunTimeMargin(pool string) float64 {
	if r := t.RunTimes.Get(pool); r != nil {
		return float64(r.Percent) / 100
	}
	return float64(initialRunTimePercent) / 100
}

// updateRunTime adjusts the pool's ratio by the run time of a completed job.
func (t *Tables) updateRunTime(j *Job, ran time.Duration) {
	declared := j.Spec.RunTime.Std()
	if declared <= 0 || ran <= 0 {
		return
	}
	r := t.RunTimes.Get(j.Spec.Pool)
	if r == nil {
		r = t.RunTimes.Put(j.Spec.Pool, RunTime{Pool: j.Spec.Pool, Percent: initialRunTimePercent})
	}
	if float64(ran)*100 > float64(declared)*float64(r.Percent) {
		r.Percent += max(1, r.Percent*percentStepUp/100)
	} else {
		r.Percent -= max(1, r.Percent*percentStepDown/100)
	}
	r.Percent = min(maxRunTimePercent, max(minRunTimePercent, r.Percent))
}
