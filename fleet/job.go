// SPDX-License-Identifier: MIT

package fleet

import (
	"slices"
	"time"
)

// JobState is where a job stands.
type JobState string

// States of a Job.
const (
	JobPending    JobState = "pending"
	JobStarting   JobState = "starting"   // a start was decided; it may or may not have happened
	JobRunning    JobState = "running"    // the platform has confirmed the start
	JobCancelling JobState = "cancelling" // cancelled; charged until the platform says that it stopped
	JobDone       JobState = "done"
	JobFailed     JobState = "failed"
	JobParked     JobState = "parked" // it can never run as it is; Note says why
	JobCancelled  JobState = "cancelled"
)

// Ended says that the job changes no more.
func (s JobState) Ended() bool {
	return s == JobDone || s == JobFailed || s == JobParked || s == JobCancelled
}

// Held says that the job holds cores on an instance.
func (s JobState) Held() bool {
	return s == JobStarting || s == JobRunning || s == JobCancelling
}

// JobSpec is what a caller asks for; it never changes.
type JobSpec struct {
	ID       string `json:"id"`
	Pool     string `json:"pool"`
	Cores    int    `json:"cores"`
	MemoryMB int    `json:"memory_mb"`
	// RunTime is the caller's estimate; it is often far off.
	RunTime Duration `json:"run_time"`
	// DataCentres are the only places where the job may run; all when empty.
	DataCentres []string `json:"data_centres,omitempty"`
	// Repeatable allows a second run after a failed or lost one.
	Repeatable bool `json:"repeatable"`
	Urgent     bool `json:"urgent"`
	// Command is handed to the platform as it is.
	Command string `json:"command"`
}

// Job is one piece of work for a worker.
type Job struct {
	ID       string
	Spec     JobSpec
	Team     string
	State    JobState
	Attempt  int
	Instance string
	// FailedOn are the instances where the job failed.
	FailedOn []string
	// Moves counts the times that planned work displaced the job.
	Moves int
	// Checkpointed says that the next start continues the earlier run.
	Checkpointed bool
	// Yielding says that the job is to leave its instance, for an urgent one or because too much is in use there.
	Yielding bool
	// Used is what the platform reported of the latest attempt that it measured; zero before.
	Used Use
	// Limit is the number of cores that the job is held to; none when 0.
	Limit int
	// Ran is how long the attempts ran whose progress was kept.
	Ran  time.Duration
	Note string
	// Changed is the offset of the latest change.
	Changed int64
}

// Submit is the record of a new job.
type Submit struct {
	Team string  `cbor:"t"`
	Spec JobSpec `cbor:"s"`
}

// Start is the record that a job is to be started on an instance.
type Start struct {
	Job      string `cbor:"j"`
	Attempt  int    `cbor:"a"`
	Instance string `cbor:"i"`
	// Generation is the instance's generation that the placement saw.
	Generation uint64 `cbor:"g"`
}

// Outcome is what the platform says of one attempt.
type Outcome string

// Outcomes of an attempt.
const (
	OutcomeRunning      Outcome = "running"
	OutcomeDone         Outcome = "done"
	OutcomeFailed       Outcome = "failed"
	OutcomeNotStarted   Outcome = "not-started"  // the platform proves that it never ran and never will
	OutcomeCheckpointed Outcome = "checkpointed" // stopped with its progress kept
	OutcomeStopped      Outcome = "stopped"
)

// Settle is the record of what the platform says about an attempt.
type Settle struct {
	Job     string  `cbor:"j"`
	Attempt int     `cbor:"a"`
	Outcome Outcome `cbor:"o"`
	// Ran is how long the attempt ran, if the platform has told.
	Ran time.Duration `cbor:"r,omitempty"`
}

// Cancel is the record that a caller no longer wants a job.
type Cancel struct {
	Job  string `cbor:"j"`
	Team string `cbor:"t"`
}

// Park is the record that no instance can ever run a pending job as it is.
type Park struct {
	Job     string `cbor:"j"`
	Attempt int    `cbor:"a"`
	Note    string `cbor:"n"`
}

// Yield is the record that a running job is to make room on its instance, for an urgent one or because too much is in use.
type Yield struct {
	Job     string `cbor:"j"`
	Attempt int    `cbor:"a"`
}

// Failures that tell a bad worker from a bad job.
const (
	failedJobsToQuarantine = 3
	failedWorkersToPark    = 3
)

func (t *Tables) submit(s Submit) *Refusal {
	if r := t.checkSpec(s); r != nil {
		return r
	}
	if old := t.Jobs.Get(s.Spec.ID); old != nil {
		if old.Team == s.Team && old.Spec.equal(s.Spec) {
			return nil
		}
		return refuse(ReasonDuplicate, "choose another id", "job %s is known with a different content", s.Spec.ID)
	}
	t.Jobs.Put(s.Spec.ID, Job{ID: s.Spec.ID, Spec: s.Spec, Team: s.Team, State: JobPending, Changed: t.Offset})
	t.pruneJobs()
	return nil
}

func (j JobSpec) equal(o JobSpec) bool {
	a, b := j, o
	a.DataCentres, b.DataCentres = nil, nil
	return slices.Equal(j.DataCentres, o.DataCentres) && a.scalar() == b.scalar()
}

func (j JobSpec) scalar() any {
	return struct {
		id, pool, command  string
		cores, memory      int
		runTime            Duration
		repeatable, urgent bool
	}{j.ID, j.Pool, j.Command, j.Cores, j.MemoryMB, j.RunTime, j.Repeatable, j.Urgent}
}

func (t *Tables) checkSpec(s Submit) *Refusal {
	switch {
	case t.Configuration.Team(s.Team) == nil:
		return refuse(ReasonUnknown, "add the team to the configuration", "team %q is not known", s.Team)
	case !validName(s.Spec.ID):
		return refuse(ReasonInvalid, "use letters, digits, '.', '_' or '-'", "job id %q is not a name", s.Spec.ID)
	case t.Configuration.Pool(s.Spec.Pool) == nil:
		return refuse(ReasonUnknown, "name a pool of the configuration", "pool %q is not known", s.Spec.Pool)
	case s.Spec.Cores < 1 || s.Spec.MemoryMB < 0:
		return refuse(ReasonInvalid, "ask for one core or more", "job %s asks for %d cores and %d MB", s.Spec.ID, s.Spec.Cores, s.Spec.MemoryMB)
	}
	return nil
}

// pruneJobs forgets the job that ended longest ago when too many are kept.
func (t *Tables) pruneJobs() {
	if t.ended <= maxFinishedJobs {
		return
	}
	oldest := ""
	var at int64
	for id, j := range t.Jobs.All {
		if j.State.Ended() && (oldest == "" || j.Changed < at) {
			oldest, at = id, j.Changed
		}
	}
	t.Jobs.Delete(oldest)
	t.ended--
}

func (t *Tables) start(s Start) *Refusal {
	j := t.Jobs.Get(s.Job)
	in := t.Instances.Get(s.Instance)
	if j == nil || in == nil {
		return refuse(ReasonUnknown, "nothing is to be done", "job %s or instance %s is not known", s.Job, s.Instance)
	}
	if j.State != JobPending || s.Attempt != j.Attempt+1 {
		return refuse(ReasonState, "nothing is to be done", "job %s is %s at attempt %d", j.ID, j.State, j.Attempt)
	}
	if r := t.StartRefusal(j, in, s.Generation); r != nil {
		return r
	}
	j.Attempt = s.Attempt
	j.Changed = t.Offset
	t.put(j, JobStarting, s.Instance)
	return nil
}

// StartRefusal says why the pending job must not start on the instance, or returns nil.
func (t *Tables) StartRefusal(j *Job, in *Instance, generation uint64) *Refusal {
	const remedy = "choose another instance"
	switch {
	case in.Generation != generation || !in.Available() || in.Pool != j.Spec.Pool:
		return refuse(ReasonState, remedy, "instance %s is %s in pool %q", in.ID, in.State, in.Pool)
	case in.Quarantined:
		return refuse(ReasonQuarantine, "maintain the instance", "instance %s fails what it starts", in.ID)
	case !j.MayRunIn(in.DataCentre):
		return refuse(ReasonResidency, remedy, "job %s may not run in %s", j.ID, in.DataCentre)
	}
	cores, memory := t.Held(in.ID)
	needs := j.Charged()
	if cores+needs.Cores > in.Cores || memory+needs.MemoryMB > in.MemoryMB {
		return refuse(ReasonOccupied, remedy, "instance %s holds %d of %d cores and %d of %d MB", in.ID, cores, in.Cores, memory, in.MemoryMB)
	}
	team := t.Configuration.Team(j.Team)
	if !t.MayHold(team, needs.Cores) {
		return refuse(ReasonQuota, "wait for the team's jobs or raise its job_cores", "team %s holds its %d cores", j.Team, team.JobCores)
	}
	return nil
}

// MayRunIn says whether the job's residency allows the data centre.
func (j *Job) MayRunIn(dataCentre string) bool {
	return len(j.Spec.DataCentres) == 0 || slices.Contains(j.Spec.DataCentres, dataCentre)
}

func (t *Tables) settle(s Settle) *Refusal {
	j := t.Jobs.Get(s.Job)
	if j == nil || j.Attempt != s.Attempt || !j.State.Held() {
		return refuse(ReasonStale, "nothing is to be done", "attempt %d of job %s is not the current one", s.Attempt, s.Job)
	}
	if s.Outcome == OutcomeRunning && j.State != JobStarting {
		return refuse(ReasonStale, "nothing is to be done", "job %s is %s", j.ID, j.State)
	}
	j.Changed = t.Offset
	in := t.Instances.Get(j.Instance)
	switch s.Outcome {
	case OutcomeRunning:
		t.put(j, JobRunning, j.Instance)
	case OutcomeDone:
		t.learnRunTime(j, j.Ran+s.Ran)
		t.put(j, JobDone, j.Instance)
		if in != nil {
			in.FailedJobs = nil
		}
	case OutcomeNotStarted:
		t.release(j)
	case OutcomeCheckpointed:
		j.Checkpointed = true
		j.Moves++
		j.Ran += max(0, s.Ran)
		t.release(j)
	case OutcomeStopped:
		t.stopped(j)
	case OutcomeFailed:
		t.failed(j, in)
	}
	return nil
}

// release makes the job pending again, unless it was cancelled.
func (t *Tables) release(j *Job) {
	j.Yielding = false
	t.recharge(j, func() { j.Limit = 0 })
	if j.State == JobCancelling {
		t.put(j, JobCancelled, "")
		return
	}
	t.put(j, JobPending, "")
}

func (t *Tables) stopped(j *Job) {
	if j.State == JobCancelling {
		t.release(j)
		return
	}
	t.endOrRepeat(j, "it was stopped and may not be repeated")
}

func (t *Tables) endOrRepeat(j *Job, note string) {
	if j.State == JobCancelling || j.Spec.Repeatable {
		t.release(j)
		return
	}
	j.Note = note
	t.put(j, JobFailed, "")
}

func (t *Tables) failed(j *Job, in *Instance) {
	if in != nil {
		t.blame(j, in)
	}
	t.endOrRepeat(j, "it failed and may not be repeated")
	if j.State == JobPending && t.soundFailures(j) >= failedWorkersToPark {
		t.put(j, JobParked, "")
		j.Note = "it failed on every worker that it was started on, and other jobs succeed there"
	}
}

func (t *Tables) blame(j *Job, in *Instance) {
	if !slices.Contains(j.FailedOn, in.ID) {
		j.FailedOn = append(j.FailedOn, in.ID)
	}
	if !slices.Contains(in.FailedJobs, j.ID) {
		in.FailedJobs = append(in.FailedJobs, j.ID)
	}
	if len(in.FailedJobs) >= failedJobsToQuarantine {
		in.Quarantined = true
	}
}

// soundFailures counts the workers that failed the job and are not quarantined themselves.
func (t *Tables) soundFailures(j *Job) int {
	n := 0
	for _, id := range j.FailedOn {
		if in := t.Instances.Get(id); in != nil && !in.Quarantined {
			n++
		}
	}
	return n
}

func (t *Tables) cancel(c Cancel) *Refusal {
	j := t.Jobs.Get(c.Job)
	if j == nil || j.Team != c.Team {
		return refuse(ReasonUnknown, "list the team's jobs", "team %s has no job %s", c.Team, c.Job)
	}
	switch {
	case j.State.Ended(), j.State == JobCancelling:
		return nil
	case j.State == JobPending:
		t.put(j, JobCancelled, "")
	default:
		t.put(j, JobCancelling, j.Instance)
	}
	j.Changed = t.Offset
	return nil
}

func (t *Tables) park(p Park) *Refusal {
	j := t.Jobs.Get(p.Job)
	if j == nil || j.State != JobPending || j.Attempt != p.Attempt {
		return refuse(ReasonStale, "nothing is to be done", "job %s is not pending at attempt %d", p.Job, p.Attempt)
	}
	j.Note, j.Changed = p.Note, t.Offset
	t.put(j, JobParked, "")
	return nil
}

func (t *Tables) yield(y Yield) *Refusal {
	j, refusal := t.runningAttempt(y.Job, y.Attempt)
	if refusal != nil {
		return refusal
	}
	if j.Spec.Urgent {
		return refuse(ReasonState, "choose an ordinary job", "job %s is urgent and yields to none", j.ID)
	}
	j.Yielding = true
	return nil
}
