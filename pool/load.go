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

// Keys of what is kept besides what clients handed in.
const (
	stateKey = "s/"
	lostKey  = "l/"
	lateKey  = "o/"
	waveKey  = "wave/"
	// lifeKey is for lives that may have been given work; workersKey held all of them in one record in earlier versions.
	lifeKey    = "w/"
	workersKey = "workers"
	// instancesKey holds how many instances the leader last counted "most" of, see session.instances.
	instancesKey = "instances"
	lessonsKey   = "lessons"
	// takenKey is for jobs that can't run because another organisation's job has their ID.
	takenKey = "t/"
)

// writer names the scheduler to the store.
const writer = "schedule"

// Pauses of the followers.
const (
	storeTimeout = time.Second
	storePause   = 200 * time.Millisecond
	// loadTimeout bounds the reading of one topic by a new leader.
	loadTimeout = 5 * time.Second
	// loadAhead is for how long what a new leader has asked for may fill its link, loadPage what a topic is taken to bring, in bytes.
	loadAhead  = 300 * time.Millisecond
	loadPage   = 64 << 10
	intakeWait = 700 * time.Millisecond
	// workersEvery spaces the reads of the list of workers, which is written to all the time.
	workersEvery = 150 * time.Millisecond
	// handover is for how long after the next term an earlier leader may go on calling the machine interface, which takes
	// the store's word (lead.ConfirmedFor), and what such a call may take.
	handover = 1100 * time.Millisecond
)

// load shuts out the earlier leader's writes and reads all that is kept; it tries until the context ends.
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
		c.emit(event.StoreUnreachable, event.Subject{Entry: c.Entry}, "loading: %v", err)
		sleep(ctx, storePause)
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
	fence := feed.Batch{ExpectedEnd: -1, Writer: feed.Writer{Name: writer, Epoch: c.term.Fence}}
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if _, err := c.State.Append(call, fence); err != nil {
		return fmt.Errorf("take over the state: %w", err)
	}
	asked := c.now()
	pages, err := readAll(ctx, c.loadWidth(), append([]feed.Topic{c.State, c.Workers}, c.Intake...)...)
	if err != nil {
		return fmt.Errorf("read what is kept: %w", err)
	}
	state, list, intakes := pages[0], pages[1], pages[2:]
	for i := range intakes {
		c.fresh[i] = asked
		c.intakeEnd[i] = intakes[i].Next
	}
	c.take(state, intakes, list)
	return nil
}

// restoreRuns puts the runs that an earlier leader ordered where they may be; their workers' first reports settle them.
//
// A life that is not kept has surely ended: ended takes the runs that were or may have been there.
func (c *session) restoreRuns(j *job.Job, k job.Stored, ended map[string][]endedRun) {
	for _, r := range k.Runs {
		if r.Ordinal < 0 || r.Ordinal >= len(j.Tasks) || j.Tasks[r.Ordinal].Phase != job.Waiting {
			continue
		}
		t := &j.Tasks[r.Ordinal]
		w, over := c.restoredOn(r.Life)
		if over {
			ended[r.Life] = append(ended[r.Life], endedRun{task: t, run: r.Run})
		}
		if w == nil {
			continue
		}
		t.Phase, t.Run, t.Worker, t.RunSince = job.Starting, r.Run, w.Life, c.now()
		c.addRun(w, t, &run{number: r.Run, earlier: true, handedOn: over, pace: fullPercent})
	}
}

// loadWidth returns how many topics a new leader reads at the same time. What is on its way for them goes before the answers to its own renewals: on a thin
// link all of them at once held those up for longer than candidates wait for a renewal, so that each leader lost the lead while it read.
func (c *session) loadWidth() int {
	if c.LinkPerSecond <= 0 {
		return 0
	}
	return max(int(c.LinkPerSecond*loadAhead.Seconds()/loadPage), 1)
}

// readAll reads the topics, at most so many at the same time, all of them when 0.
func readAll(ctx context.Context, width int, topics ...feed.Topic) ([]feed.KeyedPage, error) {
	pages := make([]feed.KeyedPage, len(topics))
	errs := make([]error, len(topics))
	if width <= 0 {
		width = len(topics)
	}
	places := make(chan struct{}, width)
	var reads sync.WaitGroup
	for i, t := range topics {
		places <- struct{}{}
		reads.Go(func() {
			defer func() { <-places }()
			ctx, cancel := context.WithTimeout(ctx, loadTimeout)
			defer cancel()
			pages[i], errs[i] = t.Newest(ctx)
		})
	}
	reads.Wait()
	return pages, errors.Join(errs...)
}

// take fills the tables with what was read.
func (c *session) take(state feed.KeyedPage, intakes []feed.KeyedPage, list feed.KeyedPage) {
	now := c.now()
	clear(c.jobs)
	kept := make(map[string]job.Stored)
	lost := make(map[string][]job.StoredLost)
	late := make(map[string][]job.StoredLate)
	earlier := make(map[string]keptLife)
	for _, r := range state.Records {
		switch {
		case strings.HasPrefix(r.Key, stateKey):
			var k job.Stored
			if c.read(r, &k) {
				kept[r.Key[len(stateKey):]] = k
			}
		case strings.HasPrefix(r.Key, lostKey):
			var k []job.StoredLost
			if c.read(r, &k) {
				lost[r.Key[len(lostKey):]] = k
				c.sideKeys[r.Key] = true
			}
		case strings.HasPrefix(r.Key, lateKey):
			var k []job.StoredLate
			if c.read(r, &k) {
				late[r.Key[len(lateKey):]] = k
				c.sideKeys[r.Key] = true
			}
		case strings.HasPrefix(r.Key, lifeKey):
			var k keptLife
			if c.read(r, &k) {
				earlier[r.Key[len(lifeKey):]] = k
			}
		case r.Key == workersKey:
			var all []keptWorker
			c.oneRecord = c.read(r, &all)
			for _, k := range all {
				earlier[k.Life] = keptLife{Machine: k.Machine, Pool: k.Pool, Address: k.Address}
			}
		case r.Key == instancesKey:
			c.read(r, &c.keptInstances)
		case strings.HasPrefix(r.Key, waveKey):
			c.restoreWave(r)
		case r.Key == lessonsKey:
			c.restoreLessons(r, now)
		case strings.HasPrefix(r.Key, takenKey):
			c.restoreTaken(r, now)
		}
	}
	c.coarse = c.term.PredecessorsUnstored
	c.aloneFrom = now
	if !c.term.Exclusive {
		c.aloneFrom = now.Add(handover)
	}
	c.readAt, c.raised = now, time.Time{}
	c.serversEnd = list.Next
	slices.SortFunc(list.Records, func(a, b feed.KeyedRecord) int { return cmp.Compare(a.Offset, b.Offset) })
	for _, r := range list.Records {
		c.listWorker(r.Key, r.Value)
	}
	c.restoreLives(earlier)
	for _, w := range c.workers {
		w.before = true
	}
	for i, page := range intakes {
		for _, r := range page.Records {
			c.readIntake(i, r, now)
		}
	}
	ended := make(map[string][]endedRun)
	c.restoreRates()
	for id, j := range c.jobs {
		if k, ok := kept[id]; ok {
			j.Restore(k, now)
			j.RestoreLost(lost[id])
			j.RestoreLate(late[id], now, timeOfDay(), lateMost)
			c.restoreRuns(j, k, ended)
			c.dirty.Remove(id)
		}
		c.restored[id] = true
		j.From = now.Add(-ageOf(j.Spec.Taken, timeOfDay()))
	}
	for i, page := range intakes {
		for _, r := range page.Records {
			c.readCancel(i, r, now)
		}
	}
	c.endedBefore(ended)
	for _, j := range c.jobs {
		c.openJob(j, now)
	}
	c.takeoverStep("tables-read", now)
	c.emit(event.TablesRead, event.Subject{Entry: c.Entry}, "jobs=%d workers=%d earlier=%d", len(c.jobs), len(c.workers), len(earlier))
}

// Bounds of the age of a job of before a takeover, which is told by another entry's clock.
const (
	// ageDoubt is how far clocks and estimates are given the benefit of the doubt: jobs that are younger count as fresh. Without it
	// days were worth 0.006 less than with no age at all (31 plays): too many jobs were given up that could still be in time.
	ageDoubt = 3 * time.Second
	// ageMost is the oldest that a job counts as; none is in time then, whatever its clock says.
	ageMost = time.Minute
)

// ageOf returns how old a job of before a takeover counts as, so that those that can't be in time any more do not go before others
// that can. Only the order in which jobs are begun rests on it: clocks that differ cost time and no promise.
func ageOf(taken job.UnixMilli, now time.Time) time.Duration {
	if taken == 0 {
		return 0 // its entry did not say
	}
	return min(max(now.Sub(taken.Time())-ageDoubt, 0), ageMost)
}

// read decodes what was kept; a record of another version is told of and left out.
func (c *session) read(r feed.KeyedRecord, into any) bool {
	err := job.Decode(r.Value, into)
	if err != nil {
		c.emit(event.RecordRefused, event.Subject{Job: r.Key}, "kept at offset %d: %v", r.Offset, err)
	}
	return err == nil
}

// followIntake hands on what clients hand in through one partition.
func (c *session) followIntake(part int) {
	from := c.intakeEnd[part]
	after := c.fresh[part]
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
			sleep(c.ctx, storePause)
			continue
		}
		from = page.Next
		c.post(intakeRead{part: part, page: page, asked: asked, after: after})
		if !page.More {
			after = asked // what comes next was not there then
		}
	}
}

// intakeRead is a page of a partition of the intake; none of what it holds was in the store before the time after.
type intakeRead struct {
	part         int
	page         feed.KeyedPage
	asked, after time.Time
}

func (m intakeRead) apply(c *session) {
	now := c.now()
	if !m.page.More {
		c.fresh[m.part] = m.asked
	}
	for _, r := range m.page.Records {
		if j := c.readIntake(m.part, r, now); j != nil {
			if !c.confirmed(now) {
				c.readUnsure[j.Spec.ID] = true
			}
			if c.earlierRead(m.after) {
				c.restored[j.Spec.ID] = true
			}
			c.emit(event.JobRead, event.Subject{Job: j.Spec.ID}, "%s part=%d offset=%d age=%v", describe(j), m.part, r.Offset, timeOfDay().Sub(j.Spec.Taken.Time()).Round(time.Millisecond))
			c.judgeRate(j)
			c.learnJob(j)
			c.openJob(j, now)
		}
		c.readCancel(m.part, r, now)
	}
}

// readIntake adds the job that a record hands in, and returns it if it is new.
func (c *session) readIntake(part int, r feed.KeyedRecord, now time.Time) *job.Job {
	name, ok := job.ParseSubmissionKey(r.Key)
	if !ok || len(r.Value) == 0 {
		return nil
	}
	if c.idTaken(name, part) {
		return nil
	}
	organisation, id := name.Parts()
	c.keepsOf[name] |= 1 << part
	if c.jobs[id] != nil {
		return nil // handed in again
	}
	spec := new(job.Spec)
	if err := job.Decode(r.Value, spec); err != nil || spec.Check() != nil {
		c.emit(event.RecordRefused, event.Subject{Job: id}, "offset=%d err=%v", r.Offset, err)
		return nil
	}
	spec.Organisation = organisation
	j := job.New(spec, now)
	j.StoredVersion = j.Version // the intake itself keeps a new job
	c.jobs[spec.ID] = j
	if c.cancelled[name] {
		c.cancel(j, now)
	}
	return j
}

// readCancel applies a record's wish to cancel, which may come before its job through another partition.
func (c *session) readCancel(part int, r feed.KeyedRecord, now time.Time) {
	name, ok := job.ParseCancelKey(r.Key)
	if !ok || len(r.Value) == 0 {
		return
	}
	organisation, id := name.Parts()
	c.keepsOf[name] |= 1 << part
	c.cancelled[name] = true
	if j := c.jobs[id]; j != nil && j.Spec.Organisation == organisation {
		c.cancel(j, now)
	}
}

// cancel ends the job and whatever runs of it.
func (c *session) cancel(j *job.Job, now time.Time) {
	if !j.Cancel(now) {
		return
	}
	c.emit(event.JobRead, event.Subject{Job: j.Spec.ID}, "cancelled")
	c.changed(j)
	c.stopAll(j, "cancelled")
}

// changed marks a job for the next commit, and settles one that has ended.
func (c *session) changed(j *job.Job) {
	if j.Version > j.StoredVersion {
		c.dirty.Add(j.Spec.ID, j)
	}
	if !j.State.Ended() {
		return
	}
	delete(c.later, j.Spec.ID)
	c.closeJob(j)
}

// describe returns what a job asks for, in one line.
func describe(j *job.Job) string {
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
