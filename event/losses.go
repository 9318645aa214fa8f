// SPDX-License-Identifier: MIT

package event

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// Phase is what a job waits for at a moment. Every moment from a job's first submission until its end is reported belongs to
// exactly one phase, so that the times of a job's phases add up to its total time.
type Phase uint8

// Phases in the order in which a job goes through them, but for WaitingForCap, which can replace a wait for a start.
const (
	// Unaccepted: the client has submitted the job, and no entry has accepted it. Earlier attempts were refused or their outcome is
	// unknown.
	Unaccepted Phase = iota
	// Unread: an entry has accepted the job, and the leader has not read it.
	Unread
	// WaitingForCapacity: a task waits for its first start.
	WaitingForCapacity
	// WaitingForRetry: a task waits for another start after a run that did not succeed.
	WaitingForRetry
	// FailedRun: a task has a run that does not succeed.
	FailedRun
	// WorkerUnreachable: a task has a run, and its worker does not answer the leader.
	WorkerUnreachable
	// SuccessfulRun: a task has a run that succeeds.
	SuccessfulRun
	// Storing: all tasks are done, and the store has not confirmed the result, so that clients cannot see it.
	Storing
	// WaitingForCap: the job's organisation has as much running as its cap allows.
	WaitingForCap
	phaseCount
)

// phaseNames are the columns of the table that WriteLosses writes. docs/OPERATIONS.md explains them under these names.
var phaseNames = [phaseCount]string{"UNACCEPTED", "UNREAD", "ROOM", "AGAIN", "WASTED", "DOUBT", "WORK", "UNTOLD", "CAP"}

// Loss is the breakdown by phase of the time of one queue's or organisation's jobs that were submitted in one interval.
type Loss struct {
	// Name is the name of the queue or organisation.
	Name string
	// From is the start of the interval.
	From time.Time
	// Jobs is the number of jobs that have ended. Unfinished is the number of the others, which do not count in the times.
	Jobs, Unfinished int
	// Median and Max are those of the jobs' total times. Means holds the mean time in each phase; the means add up to the mean
	// total time.
	Median, Max time.Duration
	Means       [phaseCount]time.Duration
}

// Grouping is what the jobs of one row have in common.
type Grouping uint8

// Groupings of losses.
const (
	ByQueue Grouping = iota
	ByOrganisation
)

// String returns the grouping's column header.
func (g Grouping) String() string { return [...]string{"QUEUE", "ORGANISATION"}[g] }

// Losses computes from the logs of all entries in which phases jobs spent their time, by queue or organisation and by interval of
// the length every. Lasting and cancelled jobs are left out. The lines of several entries are merged by their clocks.
//
// Only the task of each step that ended last counts: the waits of the step's other tasks did not delay the job.
func Losses(by Grouping, every time.Duration, logs ...[]LogLine) []Loss {
	s := lossScan{by: by, capped: make(map[string][]interval), jobs: make(map[string]*lossJob), runs: make(map[string][]lossRun), silent: make(map[string][]interval), running: make(map[string]map[string]bool)}
	for _, l := range mergeByTime(logs) {
		s.observe(l)
	}
	return s.rows(every)
}

// mergeByTime returns the lines of all logs in the order of their times.
func mergeByTime(logs [][]LogLine) []LogLine {
	var lines []LogLine
	for _, l := range logs {
		lines = append(lines, l...)
	}
	slices.SortStableFunc(lines, func(a, b LogLine) int { return a.Time.Compare(b.Time) })
	return lines
}

// interval is a period of time. The end of one that has not ended is zero.
type interval struct{ from, to time.Time }

// lossRun is one run of a task.
type lossRun struct {
	interval
	incarnation string
	succeeded   bool
}

// lossJob is what the logs contain about one job.
type lossJob struct {
	queue, organisation              string
	submitted, accepted, read, ended time.Time
	// steps holds the number of tasks of each step.
	steps              []int
	lasting, cancelled bool
}

// lossScan is the state of one pass over the merged lines.
type lossScan struct {
	by   Grouping
	jobs map[string]*lossJob
	// capped holds the intervals in which each job waited for its organisation's cap, by the job's ID.
	capped map[string][]interval
	// runs holds the runs of each task in the order of their starts.
	runs map[string][]lossRun
	// silent holds the intervals in which each worker's incarnation did not answer the leader.
	silent map[string][]interval
	// running holds the tasks of each incarnation that have a run without an end so far.
	running map[string]map[string]bool
}

func (s *lossScan) job(id string) *lossJob {
	j := s.jobs[id]
	if j == nil {
		j = new(lossJob)
		s.jobs[id] = j
	}
	return j
}

func (s *lossScan) observe(l LogLine) {
	switch l.Number {
	case JobTaken, JobRefused, JobInDoubt:
		s.observeSubmission(l)
	case JobRead:
		s.observeRead(l)
	case JobEnded:
		s.job(l.Job).ended = l.Time
	case JobWaits:
		s.observeWait(l)
	case RunOrdered:
		s.endCapWait(jobOf(l.Job), l.Time)
		s.startRun(l)
	case RunEnded:
		s.endRun(l)
	case WorkerSilent:
		s.observeSilence(l)
	case WorkerLost:
		s.endRunsOf(l)
	}
}

// observeSubmission records an attempt to submit a job. The line is written when the attempt is answered, so that the attempt began
// its duration earlier.
func (s *lossScan) observeSubmission(l LogLine) {
	if !strings.HasPrefix(l.Text, "submit") {
		return
	}
	j := s.job(l.Job)
	if j.submitted.IsZero() {
		j.submitted = l.Time.Add(-textDuration(l.Text, "took"))
	}
	if l.Number == JobTaken && j.accepted.IsZero() {
		j.accepted = l.Time
	}
}

func (s *lossScan) observeRead(l LogLine) {
	j := s.job(l.Job)
	if strings.HasPrefix(l.Text, "cancelled") {
		j.cancelled = true
		return
	}
	if !j.read.IsZero() {
		return // read again by a later leader
	}
	j.read, j.queue, j.organisation = l.Time, textField(l.Text, "queue"), textField(l.Text, "organisation")
	for _, field := range strings.Fields(l.Text) {
		var tasks int
		if n, _ := fmt.Sscanf(field, "step=%dx", &tasks); n == 1 {
			j.steps = append(j.steps, tasks)
			j.lasting = j.lasting || strings.Contains(field, ",lasting")
		}
	}
}

func (s *lossScan) startRun(l LogLine) {
	s.runs[l.Job] = append(s.runs[l.Job], lossRun{interval: interval{from: l.Time}, incarnation: l.Instance})
	if s.running[l.Instance] == nil {
		s.running[l.Instance] = make(map[string]bool)
	}
	s.running[l.Instance][l.Job] = true
}

// observeWait records that a job begins to wait for its organisation's cap, or that it waits for something else.
func (s *lossScan) observeWait(l LogLine) {
	s.endCapWait(l.Job, l.Time)
	if textField(l.Text, "why") == "cap" {
		s.capped[l.Job] = append(s.capped[l.Job], interval{from: l.Time})
	}
}

func (s *lossScan) endCapWait(id string, at time.Time) {
	spans := s.capped[id]
	if len(spans) > 0 && spans[len(spans)-1].to.IsZero() {
		spans[len(spans)-1].to = at
	}
}

// jobOf returns the ID of a task's job.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

func (s *lossScan) endRun(l LogLine) {
	delete(s.running[l.Instance], l.Job)
	runs := s.runs[l.Job]
	if len(runs) == 0 {
		return
	}
	if r := &runs[len(runs)-1]; r.to.IsZero() {
		r.to, r.succeeded = l.Time, textField(l.Text, "how") == "succeeded"
	}
}

// endRunsOf ends the runs of a worker whose incarnation has ended or whose leases have expired.
func (s *lossScan) endRunsOf(l LogLine) {
	for task := range s.running[l.Instance] {
		runs := s.runs[task]
		if r := &runs[len(runs)-1]; r.incarnation == l.Instance && r.to.IsZero() {
			r.to = l.Time
		}
	}
	delete(s.running, l.Instance)
}

// observeSilence records that a worker has stopped answering, or that it answers again.
func (s *lossScan) observeSilence(l LogLine) {
	spans := s.silent[l.Instance]
	again := strings.HasPrefix(l.Text, "answers again")
	isSilent := len(spans) > 0 && spans[len(spans)-1].to.IsZero()
	switch {
	case again && isSilent:
		spans[len(spans)-1].to = l.Time
	case !again && !isSilent:
		s.silent[l.Instance] = append(spans, interval{from: l.Time})
	}
}

func (s *lossScan) rows(every time.Duration) []Loss {
	type key struct {
		name string
		from time.Time
	}
	rows := make(map[key]*Loss)
	totals := make(map[key][]time.Duration)
	for id, j := range s.jobs {
		if j.queue == "" || j.lasting || j.cancelled {
			continue
		}
		k := key{j.queue, j.start().Truncate(every)}
		if s.by == ByOrganisation {
			k.name = j.organisation
		}
		row := rows[k]
		if row == nil {
			row = &Loss{Name: k.name, From: k.from}
			rows[k] = row
		}
		if j.ended.IsZero() {
			row.Unfinished++
			continue
		}
		row.Jobs++
		for phase, d := range s.phases(id, j) {
			row.Means[phase] += d
		}
		totals[k] = append(totals[k], j.ended.Sub(j.start()))
	}
	out := make([]Loss, 0, len(rows))
	for k, row := range rows {
		row.summarize(totals[k])
		out = append(out, *row)
	}
	slices.SortFunc(out, func(a, b Loss) int { return cmp.Or(cmp.Compare(a.Name, b.Name), a.From.Compare(b.From)) })
	return out
}

// start returns when the job was first submitted, or when it was read if no log has its submission or the clocks contradict it.
func (j *lossJob) start() time.Time {
	if j.submitted.IsZero() || j.submitted.After(j.read) {
		return j.read
	}
	return j.submitted
}

// summarize turns the sums in Means into means and sets Median and Max from the jobs' total times.
func (l *Loss) summarize(totals []time.Duration) {
	if l.Jobs == 0 {
		return
	}
	for phase := range l.Means {
		l.Means[phase] /= time.Duration(l.Jobs)
	}
	slices.Sort(totals)
	l.Median, l.Max = totals[len(totals)/2], totals[len(totals)-1]
}

// phases returns the time that a job spent in each phase.
func (s *lossScan) phases(id string, j *lossJob) [phaseCount]time.Duration {
	t := phaseTimer{at: j.start(), end: j.ended}
	t.spend(Unaccepted, j.accepted)
	t.spend(Unread, j.read)
	for _, runs := range s.lastTaskRuns(id, j) {
		for i, r := range runs {
			wait := WaitingForCapacity
			if i > 0 {
				wait = WaitingForRetry
			}
			s.spendWait(&t, id, wait, r.from)
			s.spendRun(&t, r, i == len(runs)-1)
		}
	}
	t.spend(Storing, j.ended)
	return t.spent
}

// spendWait divides the time until a run starts between WaitingForCap and the given phase.
func (s *lossScan) spendWait(t *phaseTimer, id string, phase Phase, until time.Time) {
	for _, x := range s.capped[id] {
		if x.from.After(until) {
			break
		}
		to := x.to
		if to.IsZero() || to.After(until) {
			to = until
		}
		t.spend(phase, x.from)
		t.spend(WaitingForCap, to)
	}
	t.spend(phase, until)
}

// lastTaskRuns returns for each step the runs of the task that ended last. The steps are in the order in which they ended.
func (s *lossScan) lastTaskRuns(id string, j *lossJob) [][]lossRun {
	var last [][]lossRun
	for step, tasks := range j.steps {
		var latest []lossRun
		for i := range tasks {
			runs := s.runs[fmt.Sprintf("%s.0.%d.%d", id, step, i)]
			if len(runs) > 0 && (latest == nil || runs[len(runs)-1].to.After(latest[len(latest)-1].to)) {
				latest = runs
			}
		}
		if latest != nil {
			last = append(last, latest)
		}
	}
	slices.SortStableFunc(last, func(a, b []lossRun) int { return a[len(a)-1].to.Compare(b[len(b)-1].to) })
	return last
}

// spendRun divides the time of a run between the run itself and the intervals in which its worker was silent. A run without an end
// in the logs gets only the time up to the end of its worker's last finished silence; the rest counts as the wait for the task's
// next start. The newest run of a task gets nothing without an end.
func (s *lossScan) spendRun(t *phaseTimer, r lossRun, newest bool) {
	phase := FailedRun
	if r.succeeded {
		phase = SuccessfulRun
	}
	if r.to.IsZero() && newest {
		return
	}
	for _, x := range s.silent[r.incarnation] {
		from, to := x.from, x.to
		if to.IsZero() || (!r.to.IsZero() && to.After(r.to)) {
			to = r.to
		}
		if to.Before(r.from) || (!r.to.IsZero() && from.After(r.to)) {
			continue
		}
		t.spend(phase, from)
		t.spend(WorkerUnreachable, to)
	}
	t.spend(phase, r.to)
}

// phaseTimer moves along a job's time and assigns it to phases. The phases add up to the time it has passed even if lines are missing
// from the logs or out of order.
type phaseTimer struct {
	at, end time.Time
	spent   [phaseCount]time.Duration
}

// spend assigns the time up to until to the phase, except for what is assigned already or comes after the job's end.
func (t *phaseTimer) spend(phase Phase, until time.Time) {
	if until.After(t.end) {
		until = t.end
	}
	if until.After(t.at) {
		t.spent[phase] += until.Sub(t.at)
		t.at = until
	}
}

// WriteLosses writes the rows to w as a table. Times are in seconds.
func WriteLosses(w io.Writer, by Grouping, rows []Loss) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, by.String()+"\tFIRST SEEN\tJOBS\tOPEN\tMEDIAN\tMOST\t"+strings.Join(phaseNames[:], "\t")+"\t")
	for _, r := range rows {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%.2f\t%.2f", cmp.Or(r.Name, "-"), formatClock(r.From), r.Jobs, r.Unfinished, r.Median.Seconds(), r.Max.Seconds())
		for _, d := range r.Means {
			fmt.Fprintf(t, "\t%.2f", d.Seconds())
		}
		fmt.Fprintln(t, "\t")
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("write the table of losses: %w", err)
	}
	return nil
}
