// SPDX-License-Identifier: MIT

package fleet

import (
	"slices"
	"time"
)

// JobState is the state of a job.
type JobState string

// States of a Job.
const (
	JobPending    JobState = "pending"
	JobStarting   JobState = "starting"   // a start was decided and may have happened
	JobRunning    JobState = "running"    // the platform has confirmed the start
	JobCancelling JobState = "cancelling" // cancelled, and charged until the platform reports that it has stopped
	JobDone       JobState = "done"
	JobFailed     JobState = "failed"
	JobParked     JobState = "parked" // it can never run as specified; Note says why
	JobCancelled  JobState = "cancelled"
)

// Ended reports whether the state is final.
func (s JobState) Ended() bool {
	return s == JobDone || s == JobFailed || s == JobParked || s == JobCancelled
}

// Held reports whether a job in this state holds resources on an instance.
func (s JobState) Held() bool {
	return s == JobStarting || s == JobRunning || s == JobCancelling
}

// JobSpec is the caller's specification of a job. It never changes.
type JobSpec struct {
	ID       string `json:"id"`
	Pool     string `json:"pool"`
	Cores    int    `json:"cores"`
	MemoryMB int    `json:"memory_mb"`
	// RunTime is the caller's estimate, which is often far off.
	RunTime Duration `json:"run_time"`
	// DataCentres are the only data centres in which the job may run; all when empty.
	DataCentres []string `json:"data_centres,omitempty"`
	// Repeatable allows another run after a failed or lost one.
	Repeatable bool `json:"repeatable"`
	Urgent     bool `json:"urgent"`
	// Command is passed to the platform unchanged.
	Command string `json:"command"`
}

// Job is a submitted job and its state.
type Job struct {
	ID       string
	Spec     JobSpec
	Team     string
	State    JobState
	Attempt  int
	Instance string
	// FailedOn are the instances on which the job has failed.
	FailedOn []string
	// Moves counts how often the job was stopped with a checkpoint to continue elsewhere.
	Moves int
	// Checkpointed is set when the next start continues from a checkpoint of an earlier attempt.
	Checkpointed bool
	// Yielding is set when the job is to leave its instance, for an urgent job or because the instance is overloaded.
	Yielding bool
	// Used is what the platform reported for the latest attempt that it measured; zero before.
	Used Use
	// Limit is the number of cores to which the job is throttled; unlimited when 0.
	Limit int
	// Ran is the total run time of the attempts that ended with a checkpoint.
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

// Start is the record of the decision to start a job on an instance.
type Start struct {
	Job      string `cbor:"j"`
	Attempt  int    `cbor:"a"`
	Instance string `cbor:"i"`
	// Generation is the instance's generation that the placement was based on.
	Generation uint64 `cbor:"g"`
}

// Outcome is what the platform reports about one attempt.
type Outcome string

// Outcomes of an attempt.
const (
	OutcomeRunning      Outcome = "running"
	OutcomeDone         Outcome = "done"
	OutcomeFailed       Outcome = "failed"
	OutcomeNotStarted   Outcome = "not-started"  // the platform guarantees that it has not run and never will
	OutcomeCheckpointed Outcome = "checkpointed" // stopped with its progress saved
	OutcomeStopped      Outcome = "stopped"
)

// Settle is the record of what the platform reports about an attempt.
type Settle struct {
	Job     string  `cbor:"j"`
	Attempt int     `cbor:"a"`
	Outcome Outcome `cbor:"o"`
	// Ran is how long the attempt ran, if the platform has reported it.
	Ran time.Duration `cbor:"r,omitempty"`
}

// Cancel is the record of a caller's request to cancel a job.
type Cancel struct {
	Job  string `cbor:"j"`
	Team string `cbor:"t"`
}

// Park is the record that no instance can ever run a pending job as specified.
type Park struct {
	Job     string `cbor:"j"`
	Attempt int    `cbor:"a"`
	Note    string `cbor:"n"`
}

// Yield is the record that a running job is to leave its instance, for an urgent job or because the instance is overloaded.
type Yield struct {
	Job     string `cbor:"j"`
	Attempt int    `cbor:"a"`
}

// Thresholds that distinguish a faulty worker, on which several jobs fail, from a faulty job, which fails on several workers.
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
	return slices.Equal(j.DataCentres, o.DataCentres) && a.scalarFields() == b.scalarFields()
}

// scalarFields returns the fields other than DataCentres as a comparable value.
func (j JobSpec) scalarFields() any {
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

// pruneJobs deletes the job that ended longest ago when more than maxFinishedJobs ended jobs are stored.
func (t *Tables) pruneJobs() {
	if t.endedJobs <= maxFinishedJobs {
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
	t.endedJobs--
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
	t.setJobState(j, JobStarting, s.Instance)
	return nil
}

// StartRefusal returns the refusal for starting the pending job on the instance, or nil if it may start.
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

// MayRunIn reports whether the job may run in the data centre.
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
		t.setJobState(j, JobRunning, j.Instance)
	case OutcomeDone:
		t.updateRunTime(j, j.Ran+s.Ran)
		t.setJobState(j, JobDone, j.Instance)
		if in != nil {
			in.FailedJobs = nil
		}
	case OutcomeNotStarted:
		t.requeue(j)
	case OutcomeCheckpointed:
		j.Checkpointed = true
		j.Moves++
		j.Ran += max(0, s.Ran)
		t.requeue(j)
	case OutcomeStopped:
		t.stopped(j)
	case OutcomeFailed:
		t.failed(j, in)
	}
	return nil
}

// requeue makes the job pending again, or cancelled if it is being cancelled.
func (t *Tables) requeue(j *Job) {
	j.Yielding = false
	t.recharge(j, func() { j.Limit = 0 })
	if j.State == JobCancelling {
		t.setJobState(j, JobCancelled, "")
		return
	}
	t.setJobState(j, JobPending, "")
}

func (t *Tables) stopped(j *Job) {
	if j.State == JobCancelling {
		t.requeue(j)
		return
	}
	t.failOrRetry(j, "it was stopped and may not be repeated")
}

// failOrRetry requeues the job if it is repeatable or being cancelled, and otherwise fails it with the note.
func (t *Tables) failOrRetry(j *Job, note string) {
	if j.State == JobCancelling || j.Spec.Repeatable {
		t.requeue(j)
		return
	}
	j.Note = note
	t.setJobState(j, JobFailed, "")
}

func (t *Tables) failed(j *Job, in *Instance) {
	if in != nil {
		t.recordFailure(j, in)
	}
	t.failOrRetry(j, "it failed and may not be repeated")
	if j.State == JobPending && t.failuresOnHealthyWorkers(j) >= failedWorkersToPark {
		t.setJobState(j, JobParked, "")
		j.Note = "it failed on every worker that it was started on, and other jobs succeed there"
	}
}

// recordFailure records that the job failed on the instance, and quarantines the instance after too many failed jobs.
func (t *Tables) recordFailure(j *Job, in *Instance) {
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

// failuresOnHealthyWorkers counts the workers on which the job has failed and that are not quarantined.
func (t *Tables) failuresOnHealthyWorkers(j *Job) int {
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
		t.setJobState(j, JobCancelled, "")
	default:
		t.setJobState(j, JobCancelling, j.Instance)
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
	t.setJobState(j, JobParked, "")
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
