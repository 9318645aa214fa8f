// SPDX-License-Identifier: MIT

package fleet

import "time"

// Use is what a job takes of its instance.
type Use struct {
	Cores    int
	MemoryMB int
}

// Measure is the record of what a running attempt uses, because what its caller declared is far from it.
type Measure struct {
	Job     string `cbor:"j"`
	Attempt int    `cbor:"a"`
	// Cores and MemoryMB are what the platform reported, with a margin; both replace what was declared.
	Cores    int `cbor:"c"`
	MemoryMB int `cbor:"m,omitempty"`
}

// Throttle is the record that a running job may use no more than some cores; it may use all again when Cores is 0.
type Throttle struct {
	Job     string `cbor:"j"`
	Attempt int    `cbor:"a"`
	Cores   int    `cbor:"c,omitempty"`
}

// Charged returns what the job is taken to use: what was measured, else what was declared, within its throttle.
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

// runningAttempt returns the job if it runs the attempt now.
func (t *Tables) runningAttempt(job string, attempt int) (*Job, *Refusal) {
	j := t.Jobs.Get(job)
	if j == nil || j.Attempt != attempt || j.State != JobRunning {
		return nil, refuse(ReasonStale, "nothing is to be done", "job %s does not run its attempt %d", job, attempt)
	}
	return j, nil
}

// RunTime is what a pool's jobs have shown about the run times that their callers declare.
type RunTime struct {
	Pool string
	// Percent of the declared run time is what three jobs in four do not exceed.
	Percent int
}

// Bounds and steps of RunTime.Percent; a step up is three times a step down, which leads to the third quartile.
const (
	firstPercent = 200
	leastPercent = 50
	mostPercent  = 1600
	upPercent    = 6
	downPercent  = 2
)

// RunTimeMargin returns the factor by which the pool's declared run times are to be multiplied.
func (t *Tables) RunTimeMargin(pool string) float64 {
	if r := t.RunTimes.Get(pool); r != nil {
		return float64(r.Percent) / 100
	}
	return float64(firstPercent) / 100
}

// learnRunTime moves the pool's margin towards what the ended job has shown.
func (t *Tables) learnRunTime(j *Job, ran time.Duration) {
	declared := j.Spec.RunTime.Std()
	if declared <= 0 || ran <= 0 {
		return
	}
	r := t.RunTimes.Get(j.Spec.Pool)
	if r == nil {
		r = t.RunTimes.Put(j.Spec.Pool, RunTime{Pool: j.Spec.Pool, Percent: firstPercent})
	}
	if float64(ran)*100 > float64(declared)*float64(r.Percent) {
		r.Percent += max(1, r.Percent*upPercent/100)
	} else {
		r.Percent -= max(1, r.Percent*downPercent/100)
	}
	r.Percent = min(mostPercent, max(leastPercent, r.Percent))
}
