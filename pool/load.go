// SPDX-License-Identifier: MIT

package pool

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"rackstep.dev/event"
	"rackstep.dev/feed"
	"rackstep.dev/job"
)

// Keys of the records in the state topic.
const (
	stateKey = "s/"
	lostKey  = "l/"
	lateKey  = "o/"
	// settledKey is the prefix for the numbers of a job's runs whose starts can't be carried out any more.
	settledKey = "r/"
	waveKey    = "wave/"
	// incarnationKey is the prefix for incarnations that may have been given work. Earlier versions stored all of them in the
	// single record workersKey.
	incarnationKey = "w/"
	workersKey     = "workers"
	// instancesKey holds the number of instances of which the leader last required a majority, see session.instances.
	instancesKey = "instances"
	statsKey     = "lessons"
	// assignmentKey is the prefix for the workers to which the tasks of a pool are assigned, see poolAssignment.
	assignmentKey = "assigned/"
	// idConflictKey is the prefix for jobs that can't run because another organisation's job has the same ID.
	idConflictKey = "t/"
)

// writerName identifies the scheduler to the store.
const writerName = "schedule"

// Timeouts and pauses of the readers of topics.
const (
	storeTimeout    = time.Second
	storeRetryPause = 200 * time.Millisecond
	// loadTimeout limits the time for which a new leader reads one topic.
	loadTimeout = 5 * time.Second
	// loadLinkTime is for how long the answers that a new leader has requested may occupy its link; typicalTopicBytes
	// is the assumed size of one answer.
	loadLinkTime      = 300 * time.Millisecond
	typicalTopicBytes = 64 << 10
	intakeWait        = 700 * time.Millisecond
	// workersPollInterval is the pause between reads of the list of workers, which is written to continuously.
	workersPollInterval = 150 * time.Millisecond
	// earlierCallsFor is for how long after the start of the next term an earlier leader's calls to the machine
	// interface may go on: lead.ConfirmedFor, because such calls need a confirmation by the store, plus the duration
	// of a call.
	earlierCallsFor = 1100 * time.Millisecond
)

// load fences off the earlier leader's writes and reads the stored tables. It retries until the context ends.
func (c *session) load(ctx context.Context) error {
	for {
		err := c.tryLoad(ctx)
		if err == nil || ctx.Err() != nil {
			return ctx.Err()
		}
		var fenced *feed.FencedError
		if errors.As(err, &fenced) {
			c.Lost(c.term.Fence)
			return err
		}
		c.emit(event.StoreUnreachable, event.Subject{Entry: c.Entry}, "loading the stored tables: %v", err)
		sleep(ctx, storeRetryPause)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

func (c *session) tryLoad(ctx context.Context) error {
	batch := feed.Batch{ExpectedEnd: -1, Writer: feed.Writer{Name: writerName, Epoch: c.term.Fence}}
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if _, err := c.State.Append(call, batch); err != nil {
		return fmt.Errorf("fence off earlier writers of the state: %w", err)
	}
	asked := c.now()
	pages, err := readAll(ctx, c.loadWidth(), append([]feed.Topic{c.State, c.Workers}, c.Intake...)...)
	if err != nil {
		return fmt.Errorf("read the stored tables: %w", err)
	}
	state, list, intakes := pages[0], pages[1], pages[2:]
	for i := range intakes {
		c.intakeReadUntil[i] = asked
		c.intakeOffsets[i] = intakes[i].Next
	}
	c.fillTables(state, intakes, list)
	return nil
}

// restoreRuns adds the runs that an earlier leader ordered to the workers on which they may be. The first report of
// each worker settles them.
//
// The start of a run that is not settled may still be carried out: once, or any number of times if its task has a LateUntil.
//
// An incarnation without a stored record has certainly ended; restoreRuns adds the runs that were or may have been there to
// ended.
func (c *session) restoreRuns(j *job.Job, k job.Stored, settled []int64, ended map[string][]earlierLostRun) {
	for _, r := range k.Runs {
		if r.Ordinal < 0 || r.Ordinal >= len(j.Tasks) || j.Tasks[r.Ordinal].Phase != job.Waiting {
			continue
		}
		t := &j.Tasks[r.Ordinal]
		c.settleStart(t)
		w, incarnationEnded := c.restoredRow(r.Incarnation)
		if incarnationEnded {
			ended[r.Incarnation] = append(ended[r.Incarnation], earlierLostRun{task: t, run: r.Run, settled: slices.Contains(settled, r.Run)})
		}
		if w == nil {
			continue
		}
		t.Phase, t.Run, t.Worker, t.RunSince = job.Starting, r.Run, w.Incarnation, c.now()
		x := &run{number: r.Run, fromEarlierLeader: true, carriedOver: incarnationEnded, startUnknown: true, inherited: w.Incarnation == r.Incarnation, pace: fullPercent}
		if x.settledStored = slices.Contains(settled, r.Run); !x.settledStored {
			x.pending = pendingStarts{count: 1, unknown: t.MayComeLate(c.now())}
		}
		c.addRun(w, t, x)
	}
}

// loadWidth returns how many topics a new leader reads concurrently, or 0 for all of them. The answers share the link
// with the answers to the leader's own renewals: on a slow link, reading all topics at once delayed those for longer
// than candidates wait for a renewal, so that each leader lost the lead while it loaded.
func (c *session) loadWidth() int {
	if c.LinkPerSecond <= 0 {
		return 0
	}
	return max(int(c.LinkPerSecond*loadLinkTime.Seconds()/typicalTopicBytes), 1)
}

// readAll reads the topics, at most width of them concurrently; 0 means no limit.
func readAll(ctx context.Context, width int, topics ...feed.Topic) ([]feed.KeyedPage, error) {
	pages := make([]feed.KeyedPage, len(topics))
	errs := make([]error, len(topics))
	if width <= 0 {
		width = len(topics)
	}
	slots := make(chan struct{}, width)
	var readers sync.WaitGroup
	for i, t := range topics {
		slots <- struct{}{}
		readers.Go(func() {
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(ctx, loadTimeout)
			defer cancel()
			pages[i], errs[i] = t.Newest(ctx)
		})
	}
	readers.Wait()
	return pages, errors.Join(errs...)
}

// fillTables builds the tables from the pages that were read.
func (c *session) fillTables(state feed.KeyedPage, intakes []feed.KeyedPage, list feed.KeyedPage) {
	now := c.now()
	clear(c.jobs)
	stored := c.readStored(state, now)
	c.earlierUnstored = c.term.PredecessorsUnstored
	c.soleLeaderFrom = now
	if !c.term.Exclusive {
		c.soleLeaderFrom = now.Add(earlierCallsFor)
	}
	c.tablesReadAt, c.majorityFencedAt = now, time.Time{}
	c.workersOffset = list.Next
	slices.SortFunc(list.Records, func(a, b feed.KeyedRecord) int { return cmp.Compare(a.Offset, b.Offset) })
	for _, r := range list.Records {
		c.applyWorkerRecord(r.Key, r.Value)
	}
	c.restoreIncarnations(stored.incarnations)
	for _, w := range c.workers {
		w.knownAtTakeover = true
	}
	for i, page := range intakes {
		for _, r := range page.Records {
			c.readIntake(i, r, now)
		}
	}
	ended := make(map[string][]earlierLostRun)
	c.recheckRates()
	for id, j := range c.jobs {
		if k, ok := stored.states[id]; ok {
			j.Restore(k, now)
			j.RestoreLost(stored.lost[id])
			j.RestoreLate(stored.late[id], now, wallClock(), lateMax+lateMargin)
			c.restoreRuns(j, k, stored.settled[id], ended)
			c.dirtyJobs.Remove(id)
		}
		c.settleUnreached(j)
		c.inheritedJobs[id] = true
		j.From = now.Add(-ageOf(j.Spec.Taken, wallClock()))
	}
	for i, page := range intakes {
		for _, r := range page.Records {
			c.readCancel(i, r, now)
		}
	}
	c.dropLeftStates(stored.states)
	c.recordEarlierLost(ended)
	for id := range stored.lost {
		if j := c.jobs[id]; j != nil {
			c.giveUpRestored(j)
		}
	}
	for _, j := range c.jobs {
		c.openJob(j, now)
	}
	c.reportTakeoverStep("tables-read", now)
	c.emit(event.TablesRead, event.Subject{Entry: c.Entry}, "jobs=%d workers=%d earlier=%d assigned=%d", len(c.jobs), len(c.workers), len(stored.incarnations), len(c.assignment.stored))
}

// Limits of the age of a job that was submitted before a takeover. Its submission time was taken by the clock of
// another entry.
const (
	// ageTolerance allows for clock differences and imprecise estimates: younger jobs count as new, so that none is
	// given up that could still be in time.
	ageTolerance = 3 * time.Second
	// maxCountedAge caps the age of a job, whatever its clock says. No job of that age is in time.
	maxCountedAge = time.Minute
)

// ageOf returns the assumed age of a job that was submitted before a takeover, so that jobs that can't be in time any
// more do not go before others that can. Only the order in which jobs begin depends on it, so a clock difference can
// delay jobs but can't violate a guarantee.
func ageOf(taken job.UnixMilli, now time.Time) time.Duration {
	if taken == 0 {
		return 0 // the entry did not record it
	}
	return min(max(now.Sub(taken.Time())-ageTolerance, 0), maxCountedAge)
}

// followIntake reads the jobs and cancellations submitted through one partition and posts them.
func (c *session) followIntake(part int) {
	from := c.intakeOffsets[part]
	after := c.intakeReadUntil[part]
	topic := c.Intake[part]
	for c.ctx.Err() == nil {
		asked := c.now()
		ctx, cancel := context.WithTimeout(c.ctx, intakeWait+storeTimeout)
		page, err := topic.Read(ctx, from, intakeWait)
		cancel()
		var trimmed *feed.TrimmedError
		if errors.As(err, &trimmed) {
			ctx, cancel := context.WithTimeout(c.ctx, 3*storeTimeout)
			page, err = topic.Newest(ctx)
			cancel()
		}
		if err != nil {
			sleep(c.ctx, storeRetryPause)
			continue
		}
		from = page.Next
		c.post(intakeRead{part: part, page: page, asked: asked, after: after})
		if !page.More {
			after = asked // later records were not in the store at that time
		}
	}
}

// intakeRead is a page of a partition of the intake. None of its records was in the store before the time after.
type intakeRead struct {
	part         int
	page         feed.KeyedPage
	asked, after time.Time
}

func (m intakeRead) apply(c *session) {
	now := c.now()
	if !m.page.More {
		c.intakeReadUntil[m.part] = m.asked
	}
	c.intakeOffsets[m.part] = m.page.Next
	for _, r := range m.page.Records {
		if j := c.readIntake(m.part, r, now); j != nil {
			if !c.confirmed(now) {
				c.readUnconfirmed[j.Spec.ID] = true
			}
			if c.earlierRead(m.after) {
				c.inheritedJobs[j.Spec.ID] = true
			}
			c.emit(event.JobRead, event.Subject{Job: j.Spec.ID}, "%s part=%d offset=%d age=%v", describeJob(j), m.part, r.Offset, wallClock().Sub(j.Spec.Taken.Time()).Round(time.Millisecond))
			c.checkRate(j)
			c.recordJobWork(j)
			c.openJob(j, now)
		}
		c.readCancel(m.part, r, now)
		c.readDeletion(m.part, r)
	}
}

// readIntake adds the job of a submission record and returns it if it is new.
func (c *session) readIntake(part int, r feed.KeyedRecord, now time.Time) *job.Job {
	if c.readQueue(r) {
		return nil
	}
	name, ok := job.ParseSubmissionKey(r.Key)
	if !ok || len(r.Value) == 0 {
		return nil
	}
	c.intakePartitions[r.Key] |= 1 << part
	if c.recordIDConflict(name) {
		return nil
	}
	organisation, id := name.Parts()
	if c.jobs[id] != nil {
		return nil // submitted twice
	}
	spec := new(job.Spec)
	if err := job.Decode(r.Value, spec); err != nil || spec.Check() != nil {
		c.emit(event.RecordRefused, event.Subject{Job: id}, "offset=%d err=%v", r.Offset, err)
		return nil
	}
	spec.Organisation = organisation
	j := job.New(spec, now)
	j.StoredVersion = j.Version // a new job is stored by the intake itself
	c.jobs[spec.ID] = j
	switch {
	case c.removals[name] != nil: // the cancellation that is being removed was for an earlier job
		delete(c.cancelled, name)
	case !c.cancelled[name].IsZero():
		c.cancel(j, now)
	}
	return j
}

// readCancel applies a cancellation record, which may be read before its job if it came through another partition.
func (c *session) readCancel(part int, r feed.KeyedRecord, now time.Time) {
	name, ok := job.ParseCancelKey(r.Key)
	if !ok || len(r.Value) == 0 {
		return
	}
	organisation, id := name.Parts()
	c.intakePartitions[r.Key] |= 1 << part
	if c.cancelled[name].IsZero() {
		c.cancelled[name] = now
	}
	if j := c.jobs[id]; j != nil && j.Spec.Organisation == organisation {
		c.cancel(j, now)
	}
}

// cancel ends the job and stops its runs.
func (c *session) cancel(j *job.Job, now time.Time) {
	if !j.Cancel(now) {
		return
	}
	c.emit(event.JobRead, event.Subject{Job: j.Spec.ID}, "cancelled")
	c.jobChanged(j)
	c.stopJob(j, "cancelled")
}

// jobChanged marks a job for the next commit, and closes it if it has ended.
func (c *session) jobChanged(j *job.Job) {
	if j.Version > j.StoredVersion {
		c.dirtyJobs.Add(j.Spec.ID, j)
	}
	if !j.State.Ended() {
		return
	}
	delete(c.notDue, j.Spec.ID)
	c.closeJob(j)
}

// describeJob returns a one-line summary of a job.
func describeJob(j *job.Job) string {
	var b strings.Builder
	fmt.Fprintf(&b, "queue=%s tasks=%d", j.Spec.Queue, len(j.Tasks))
	if j.Spec.Organisation != "" {
		fmt.Fprintf(&b, " organisation=%q", j.Spec.Organisation)
	}
	for i := range j.Spec.Steps {
		s := &j.Spec.Steps[i]
		fmt.Fprintf(&b, " step=%dx%dm/%dMB/%dms", s.Count, s.Need.MilliCPU, s.Need.MemoryMB, s.Estimate)
		if s.Lasting {
			fmt.Fprintf(&b, ",lasting,image=%s,target=%d,fills=%t,miss=%d", s.Image, s.TailTarget, s.Fills, s.MayMiss)
		}
		if s.PerWorker > 0 {
			fmt.Fprintf(&b, ",perworker=%d", s.PerWorker)
		}
		if s.Gang || s.Copies || s.Saves {
			fmt.Fprintf(&b, ",gang=%t,copies=%t,saves=%t", s.Gang, s.Copies, s.Saves)
		}
	}
	return b.String()
}
