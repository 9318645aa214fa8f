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

// Owner is what a job waits for at a time. Each moment from when an entry first sees a job until its end is told has one
// owner, so that their times add up to the job's.
type Owner uint8

// Owners in the order of a job's life.
const (
	// Unaccepted jobs are refused or in doubt, and come again.
	Unaccepted Owner = iota
	// Unread ones are accepted, and not read by the leader.
	Unread
	// ForRoom: a task waits for its first start.
	ForRoom
	// ForAnother: a task waits for another start, after a run that came to nothing.
	ForAnother
	// Wasted: a run goes on that comes to nothing.
	Wasted
	// Doubted: a task's worker does not answer the leader.
	Doubted
	// AtWork: a run goes on that succeeds.
	AtWork
	// Untold: all is done, and it is not kept, so not shown.
	Untold
	// ForCap: its organisation has as much running as it may.
	ForCap
	owners
)

var ownerNames = [owners]string{"UNACCEPTED", "UNREAD", "ROOM", "AGAIN", "WASTED", "DOUBT", "WORK", "UNTOLD", "CAP"}

// Loss is where the time of the jobs of one queue went that were first seen in one span of time.
type Loss struct {
	// Of is the name of the queue, or of the organisation.
	Of   string
	From time.Time
	// Jobs ended; Open did not by the logs' end, and are not in the times.
	Jobs, Open int
	// Median and Most are of the jobs' whole times; Means are by owner, and add up to the mean whole time.
	Median, Most time.Duration
	Means        [owners]time.Duration
}

// Grouping is what losses are told by.
type Grouping uint8

// Groupings of losses.
const (
	ByQueue Grouping = iota
	ByOrganisation
)

// String returns the grouping's name.
func (g Grouping) String() string { return [...]string{"QUEUE", "ORGANISATION"}[g] }

// Losses tells from the logs of all entries what the time of jobs went into, by queue or organisation and span. Jobs that last and
// cancelled ones are left out. Lines of several entries are put together by their clocks.
//
// A step's time is that of its last task: what others waited for beside it cost the job nothing.
func Losses(by Grouping, every time.Duration, logs ...[]Line) []Loss {
	s := lossScan{by: by, capped: make(map[string][]span), jobs: make(map[string]*lossJob), runs: make(map[string][]lossRun), silent: make(map[string][]span), open: make(map[string]map[string]bool)}
	for _, l := range inOrder(logs) {
		s.take(l)
	}
	return s.losses(every)
}

// inOrder returns the lines of all logs by their times.
func inOrder(logs [][]Line) []Line {
	var lines []Line
	for _, l := range logs {
		lines = append(lines, l...)
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return lines
}

// span is a time; one that goes on has no end.
type span struct{ from, to time.Time }

// lossRun is one run of a task.
type lossRun struct {
	span
	life      string
	succeeded bool
}

// lossJob is what the logs say of a job.
type lossJob struct {
	queue, organisation      string
	seen, taken, read, ended time.Time
	// steps counts the tasks of each step.
	steps              []int
	lasting, cancelled bool
}

// lossScan goes through the lines once.
type lossScan struct {
	by   Grouping
	jobs map[string]*lossJob
	// capped are the times in which a job waited for its organisation's cap.
	capped map[string][]span
	runs   map[string][]lossRun
	silent map[string][]span
	// open are the tasks of each life's runs whose end was not read yet.
	open map[string]map[string]bool
}

func (s *lossScan) job(id string) *lossJob {
	j := s.jobs[id]
	if j == nil {
		j = new(lossJob)
		s.jobs[id] = j
	}
	return j
}

func (s *lossScan) take(l Line) {
	switch l.Number {
	case JobTaken, JobRefused, JobInDoubt:
		s.handedIn(l)
	case JobRead:
		s.read(l)
	case JobEnded:
		s.job(l.Job).ended = l.Time
	case JobWaits:
		s.wait(l)
	case RunOrdered:
		s.endCapped(jobOf(l.Job), l.Time)
		s.startRun(l)
	case RunEnded:
		s.endRun(l)
	case WorkerSilent:
		s.silence(l)
	case WorkerLost:
		s.lose(l)
	}
}

// handedIn takes a client's attempt; its line is written when it is answered.
func (s *lossScan) handedIn(l Line) {
	if !strings.HasPrefix(l.Text, "submit") {
		return
	}
	j := s.job(l.Job)
	if j.seen.IsZero() {
		j.seen = l.Time.Add(-duration(l.Text, "took"))
	}
	if l.Number == JobTaken && j.taken.IsZero() {
		j.taken = l.Time
	}
}

func (s *lossScan) read(l Line) {
	j := s.job(l.Job)
	if strings.HasPrefix(l.Text, "cancelled") {
		j.cancelled = true
		return
	}
	if !j.read.IsZero() {
		return // by a later leader
	}
	j.read, j.queue, j.organisation = l.Time, word(l.Text, "queue"), word(l.Text, "organisation")
	for _, field := range strings.Fields(l.Text) {
		var tasks int
		if n, _ := fmt.Sscanf(field, "step=%dx", &tasks); n == 1 {
			j.steps = append(j.steps, tasks)
			j.lasting = j.lasting || strings.Contains(field, ",lasting")
		}
	}
}

func (s *lossScan) startRun(l Line) {
	s.runs[l.Job] = append(s.runs[l.Job], lossRun{span: span{from: l.Time}, life: l.Instance})
	if s.open[l.Instance] == nil {
		s.open[l.Instance] = make(map[string]bool)
	}
	s.open[l.Instance][l.Job] = true
}

// wait notes that a job begins to wait for its organisation's cap, or no longer does.
func (s *lossScan) wait(l Line) {
	s.endCapped(l.Job, l.Time)
	if word(l.Text, "why") == "cap" {
		s.capped[l.Job] = append(s.capped[l.Job], span{from: l.Time})
	}
}

func (s *lossScan) endCapped(id string, at time.Time) {
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

func (s *lossScan) endRun(l Line) {
	delete(s.open[l.Instance], l.Job)
	runs := s.runs[l.Job]
	if len(runs) == 0 {
		return
	}
	if r := &runs[len(runs)-1]; r.to.IsZero() {
		r.to, r.succeeded = l.Time, word(l.Text, "how") == "succeeded"
	}
}

// lose ends the runs of a worker whose life or lease has ended.
func (s *lossScan) lose(l Line) {
	for task := range s.open[l.Instance] {
		runs := s.runs[task]
		if r := &runs[len(runs)-1]; r.life == l.Instance && r.to.IsZero() {
			r.to = l.Time
		}
	}
	delete(s.open, l.Instance)
}

// silence notes since when a worker is silent, or that it answers again.
func (s *lossScan) silence(l Line) {
	spans := s.silent[l.Instance]
	again := strings.HasPrefix(l.Text, "answers again")
	open := len(spans) > 0 && spans[len(spans)-1].to.IsZero()
	switch {
	case again && open:
		spans[len(spans)-1].to = l.Time
	case !again && !open:
		s.silent[l.Instance] = append(spans, span{from: l.Time})
	}
}

func (s *lossScan) losses(every time.Duration) []Loss {
	type key struct {
		of   string
		from time.Time
	}
	rows := make(map[key]*Loss)
	wholes := make(map[key][]time.Duration)
	for id, j := range s.jobs {
		if j.queue == "" || j.lasting || j.cancelled {
			continue
		}
		k := key{j.queue, j.first().Truncate(every)}
		if s.by == ByOrganisation {
			k.of = j.organisation
		}
		row := rows[k]
		if row == nil {
			row = &Loss{Of: k.of, From: k.from}
			rows[k] = row
		}
		if j.ended.IsZero() {
			row.Open++
			continue
		}
		row.Jobs++
		for o, d := range s.owned(id, j) {
			row.Means[o] += d
		}
		wholes[k] = append(wholes[k], j.ended.Sub(j.first()))
	}
	out := make([]Loss, 0, len(rows))
	for k, row := range rows {
		row.sum(wholes[k])
		out = append(out, *row)
	}
	slices.SortFunc(out, func(a, b Loss) int { return cmp.Or(cmp.Compare(a.Of, b.Of), a.From.Compare(b.From)) })
	return out
}

// first returns when the job was first seen; one whose taking is in no log was first seen when it was read.
func (j *lossJob) first() time.Time {
	if j.seen.IsZero() || j.seen.After(j.read) {
		return j.read
	}
	return j.seen
}

func (l *Loss) sum(wholes []time.Duration) {
	if l.Jobs == 0 {
		return
	}
	for o := range l.Means {
		l.Means[o] /= time.Duration(l.Jobs)
	}
	slices.Sort(wholes)
	l.Median, l.Most = wholes[len(wholes)/2], wholes[len(wholes)-1]
}

// owned divides a job's time among its owners.
func (s *lossScan) owned(id string, j *lossJob) [owners]time.Duration {
	w := ownerWalk{at: j.first(), end: j.ended}
	w.spend(Unaccepted, j.taken)
	w.spend(Unread, j.read)
	for _, runs := range s.lastTasks(id, j) {
		for i, r := range runs {
			wait := ForRoom
			if i > 0 {
				wait = ForAnother
			}
			s.spendWait(&w, id, wait, r.from)
			s.spendRun(&w, r, i == len(runs)-1)
		}
	}
	w.spend(Untold, j.ended)
	return w.owned
}

// spendWait divides the time until a run between its organisation's cap and what else it waited for.
func (s *lossScan) spendWait(w *ownerWalk, id string, owner Owner, until time.Time) {
	for _, x := range s.capped[id] {
		if x.from.After(until) {
			break
		}
		to := x.to
		if to.IsZero() || to.After(until) {
			to = until
		}
		w.spend(owner, x.from)
		w.spend(ForCap, to)
	}
	w.spend(owner, until)
}

// lastTasks returns, by step, the runs of the task that ended last, in the order in which the steps ended.
func (s *lossScan) lastTasks(id string, j *lossJob) [][]lossRun {
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

// spendRun divides a run's time between its work and its worker's silences; a run whose end is in no log goes on until the
// next one's begin.
func (s *lossScan) spendRun(w *ownerWalk, r lossRun, newest bool) {
	owner := Wasted
	if r.succeeded {
		owner = AtWork
	}
	if r.to.IsZero() && newest {
		return
	}
	for _, x := range s.silent[r.life] {
		from, to := x.from, x.to
		if to.IsZero() || (!r.to.IsZero() && to.After(r.to)) {
			to = r.to
		}
		if to.Before(r.from) || (!r.to.IsZero() && from.After(r.to)) {
			continue
		}
		w.spend(owner, from)
		w.spend(Doubted, to)
	}
	w.spend(owner, r.to)
}

// ownerWalk goes along a job's life; its times add up to the life whatever the logs lack.
type ownerWalk struct {
	at, end time.Time
	owned   [owners]time.Duration
}

// spend gives the time until then to the owner, as far as it is still to be given.
func (w *ownerWalk) spend(o Owner, until time.Time) {
	if until.After(w.end) {
		until = w.end
	}
	if until.After(w.at) {
		w.owned[o] += until.Sub(w.at)
		w.at = until
	}
}

// WriteLosses prints the rows as a table, times in seconds.
func WriteLosses(w io.Writer, by Grouping, rows []Loss) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, by.String()+"\tFIRST SEEN\tJOBS\tOPEN\tMEDIAN\tMOST\t"+strings.Join(ownerNames[:], "\t")+"\t")
	for _, r := range rows {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%.2f\t%.2f", cmp.Or(r.Of, "-"), clock(r.From), r.Jobs, r.Open, r.Median.Seconds(), r.Most.Seconds())
		for _, d := range r.Means {
			fmt.Fprintf(t, "\t%.2f", d.Seconds())
		}
		fmt.Fprintln(t, "\t")
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("write the losses: %w", err)
	}
	return nil
}
