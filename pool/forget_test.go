// SPDX-License-Identifier: MIT

//go:build !race

package pool

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"rackstep.dev/feed"
	"rackstep.dev/job"
	"rackstep.dev/lead"
	"rackstep.dev/work"
)

// memoryTopic is a topic in memory whose appends can fail.
type memoryTopic struct {
	mu      sync.Mutex
	records []feed.KeyedRecord
	appends int
	// fail returns how long the next append takes, its error, and whether it is carried out in spite of that.
	fail func() (after time.Duration, done bool, err error)
}

func (m *memoryTopic) add(records ...feed.KeyedRecord) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range records {
		r.Offset = int64(len(m.records))
		m.records = append(m.records, r)
	}
	return int64(len(m.records))
}

func (m *memoryTopic) append(_ context.Context, b feed.Batch) (int64, error) {
	m.mu.Lock()
	m.appends++
	fail := m.fail
	m.mu.Unlock()
	if fail != nil {
		after, done, err := fail()
		switch {
		case err == nil:
			time.Sleep(after)
		case done:
			time.AfterFunc(after, func() { m.add(b.Records...) })
			return 0, err
		default:
			return 0, err
		}
	}
	return m.add(b.Records...), nil
}

// from returns the records starting at an offset.
func (m *memoryTopic) from(offset int64) feed.KeyedPage {
	m.mu.Lock()
	defer m.mu.Unlock()
	return feed.KeyedPage{Records: append([]feed.KeyedRecord(nil), m.records[offset:]...), Next: int64(len(m.records))}
}

// newest returns the newest record of each key.
func (m *memoryTopic) newest() feed.KeyedPage {
	m.mu.Lock()
	defer m.mu.Unlock()
	page := feed.KeyedPage{Next: int64(len(m.records))}
	latest := make(map[string]int)
	for i, r := range m.records {
		latest[r.Key] = i
	}
	for i, r := range m.records {
		if latest[r.Key] == i && len(r.Value) > 0 {
			page.Records = append(page.Records, r)
		}
	}
	return page
}

// keys returns the keys of the newest records that begin with a prefix.
func (m *memoryTopic) keys(prefix string) []string {
	var keys []string
	for _, r := range m.newest().Records {
		if strings.HasPrefix(r.Key, prefix) {
			keys = append(keys, r.Key)
		}
	}
	return keys
}

// storedFixture is the session of a leader whose topics are in memory. Its intake has two partitions.
type storedFixture struct {
	*fixture
	state  *memoryTopic
	intake [2]*memoryTopic
	read   [2]int64
}

// newStoredFixture returns the session of a leader that has read the given topics. The only worker is w1, which has answered and has nothing.
func newStoredFixture(c *quicktest.C, state *memoryTopic, intake [2]*memoryTopic) *storedFixture {
	b := &storedFixture{fixture: newFixture(c, nil), state: state, intake: intake}
	b.State = feed.Topic{Append: state.append}
	b.Intake = nil
	var pages []feed.KeyedPage
	for part, topic := range intake {
		b.Intake = append(b.Intake, feed.Topic{Append: topic.append})
		pages = append(pages, topic.newest())
		b.read[part] = pages[part].Next
	}
	ctx := b.ctx
	b.session = newSession(b.Scheduler, lead.Term{Number: 2, Fence: 2 << 16, CleanHandover: true, Exclusive: true})
	b.ctx = ctx
	c.Cleanup(func() { b.session.background.Wait() })
	b.fillTables(state.newest(), pages, feed.KeyedPage{Records: []feed.KeyedRecord{{Key: "w1", Value: []byte{1}}}})
	b.storedIncarnations["w1"] = true
	b.report("w1", 10, nil)
	return b
}

// pass does what the control goroutine does in a tick, and what the readers of the intake do. Partitions in unread are not read.
func (b *storedFixture) pass(unread ...int) {
	b.forget(b.now())
	b.commit()
	time.Sleep(tickInterval)
	synctest.Wait()
	for part, topic := range b.intake {
		if len(unread) > 0 && unread[0] == part {
			continue
		}
		page := topic.from(b.read[part])
		b.read[part] = page.Next
		b.inbox.post(intakeRead{part: part, page: page, asked: b.now()})
	}
	for _, m := range b.inbox.takeAll() {
		m.apply(b.session)
	}
}

// nextStartsNothing asserts that a leader which takes over now starts nothing.
func (b *storedFixture) nextStartsNothing() {
	b.c.Helper()
	next := newStoredFixture(b.c, b.state, b.intake)
	b.c.Assert(next.placeAndCount(), quicktest.Equals, 0, quicktest.Commentf("the job has succeeded, and starts again"))
}

// storedJobs returns topics that hold jobs which have succeeded just now, submitted through the first partition.
func storedJobs(c *quicktest.C, count int) (*memoryTopic, [2]*memoryTopic) {
	state, intake := new(memoryTopic), [2]*memoryTopic{new(memoryTopic), new(memoryTopic)}
	for i := range count {
		j := jobWithTasks(1)
		j.Spec.ID = fmt.Sprintf("%016x", i+1)
		j.Done(&j.Tasks[0], time.Now())
		intake[0].add(record(c, j.Spec.QualifiedID().SubmissionKey(), j.Spec))
		state.add(record(c, stateKey+j.Spec.ID, j.Stored()))
	}
	return state, intake
}

// keptFor is how long the state of an ended job stays in the fixtures at least.
const keptFor = time.Minute + forgetAfter

// TestADroppedJobIsNoNewJobForTheNextLeader guards against jobs that run again after they were shown as succeeded: their states are deleted from the store although their
// submissions are still there, since the deletion of a submission fails, or the leader is lost in between. A leader takes over at every moment.
func TestADroppedJobIsNoNewJobForTheNextLeader(t *testing.T) {
	for _, x := range [...]struct {
		name  string
		err   error
		after time.Duration
		done  bool
	}{
		{name: "calm"},
		{name: "the store is slow", after: 300 * time.Millisecond},
		{name: "the store refuses", err: feed.ErrUnavailable},
		{name: "the store is silent", err: feed.ErrUncertain},
		{name: "answers are lost", err: feed.ErrUncertain, done: true},
		{name: "deletions are carried out late", err: feed.ErrUncertain, after: 5 * time.Second, done: true},
	} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				state, intake := storedJobs(c, 2)
				b := newStoredFixture(c, state, intake)
				intake[1].add(intake[0].records[0]) // submitted again
				time.Sleep(keptFor - time.Second)
				failing := true
				intake[0].fail = func() (time.Duration, bool, error) {
					if failing {
						return x.after, x.done, x.err
					}
					return 0, false, nil
				}
				for range 100 {
					b.pass()
					b.nextStartsNothing()
				}
				failing = false
				for range 300 {
					b.pass()
					b.nextStartsNothing()
				}
				c.Assert(b.jobs, quicktest.HasLen, 0)
				c.Assert(state.keys(stateKey), quicktest.HasLen, 0)
				c.Assert(intake[0].keys(""), quicktest.HasLen, 0)
				c.Assert(intake[1].keys(""), quicktest.HasLen, 0)
			})
		})
	}
}

// TestAJobIsKeptWhileAPartitionCannotBeRead guards against a job that runs again: it was submitted a second time through a partition of the intake that the leader reads
// only after the job's state would have been dropped.
func TestAJobIsKeptWhileAPartitionCannotBeRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		state, intake := storedJobs(c, 1)
		b := newStoredFixture(c, state, intake)
		intake[1].add(intake[0].records[0])
		time.Sleep(keptFor)
		for range 50 {
			b.pass(1)
		}
		for range 100 {
			b.pass()
			c.Assert(b.placeAndCount(), quicktest.Equals, 0)
			b.nextStartsNothing()
		}
		c.Assert(b.jobs, quicktest.HasLen, 0)
	})
}

// TestSubmissionsAreDeletedInBatches guards against a call to the store for each job that is dropped, and against calls without end while the store fails.
func TestSubmissionsAreDeletedInBatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		state, intake := storedJobs(c, 300)
		b := newStoredFixture(c, state, intake)
		intake[0].fail = func() (time.Duration, bool, error) { return 0, false, feed.ErrUnavailable }
		time.Sleep(keptFor)
		for range 100 {
			b.pass()
		}
		c.Assert(intake[0].appends, quicktest.Equals, 5, quicktest.Commentf("10 s of a failing store"))
		intake[0].fail = nil
		for range 30 {
			b.pass()
		}
		c.Assert(intake[0].appends, quicktest.Equals, 6)
		c.Assert(intake[1].appends, quicktest.Equals, 0, quicktest.Commentf("it holds none of the jobs"))
		c.Assert(state.keys(stateKey), quicktest.HasLen, 0)
	})
}

// TestAStateWithoutASubmissionIsDropped guards against states that stay in the store for ever: the leader that deleted their submissions was lost.
func TestAStateWithoutASubmissionIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		state, intake := storedJobs(c, 2)
		intake[0].add(feed.KeyedRecord{Key: intake[0].records[0].Key}, feed.KeyedRecord{Key: intake[0].records[1].Key, Value: []byte("not a submission")})
		b := newStoredFixture(c, state, intake)
		b.pass()
		want := []string{stateKey + fmt.Sprintf("%016x", 2)}
		c.Assert(state.keys(stateKey), quicktest.DeepEquals, want, quicktest.Commentf("the submission of the second job is there, although this version can't read it"))
	})
}

// TestAJobOfATakenIDStaysFailed guards against a job that runs although it was shown as failed: another organisation's job had its ID, and the record of that is dropped
// before its submission is.
func TestAJobOfATakenIDStaysFailed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		state, intake := storedJobs(c, 1)
		b := newStoredFixture(c, state, intake)
		other := jobWithTasks(1).Spec
		other.ID, other.Organisation = fmt.Sprintf("%016x", 1), "o"
		intake[1].add(record(c, other.QualifiedID().SubmissionKey(), other))
		intake[1].fail = func() (time.Duration, bool, error) { return 0, false, feed.ErrUnavailable }
		for range 2 * keptFor / tickInterval {
			b.pass()
		}
		c.Assert(b.jobs, quicktest.HasLen, 0)
		b.nextStartsNothing()
		intake[1].fail = nil
		for range 50 {
			b.pass()
			b.nextStartsNothing()
		}
		c.Assert(b.idConflicts, quicktest.HasLen, 0)
		c.Assert(intake[1].keys(""), quicktest.HasLen, 0)
	})
}

// TestAJobWhoseStateCannotBeDecodedStartsNothing guards against jobs that run again although they have succeeded: their state was written by another version, and a leader
// that can't decode it takes them for new.
func TestAJobWhoseStateCannotBeDecodedStartsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		state, intake := storedJobs(c, 1)
		id := fmt.Sprintf("%016x", 1)
		unreadable := feed.KeyedRecord{Key: stateKey + id, Value: []byte("of another version")}
		state.add(unreadable)
		b := newStoredFixture(c, state, intake)
		c.Assert(b.placeAndCount(), quicktest.Equals, 0)
		reply := make(chan job.Answer, 1)
		jobQuestion{job.Query{ID: id}, reply}.apply(b.session)
		c.Assert(<-reply, quicktest.Equals, job.Answer{}, quicktest.Commentf("it is neither queued nor unknown"))
		b.report("w1", 20, nil, work.EndedRun{Seq: 1, Task: id + ".0.0.0", Run: 5, Outcome: work.Succeeded})
		intake[0].add(feed.KeyedRecord{Key: job.Qualify("", id).CancelKey(), Value: []byte{1}})
		for range 2 * keptFor / tickInterval {
			b.pass()
		}
		c.Assert(b.workers["w1"].acked.Load(), quicktest.Equals, int64(0), quicktest.Commentf("no record tells of the end"))
		for _, r := range state.newest().Records {
			if r.Key == unreadable.Key {
				c.Assert(r.Value, quicktest.DeepEquals, unreadable.Value)
				return
			}
		}
		c.Fatal("the state was dropped")
	})
}

// TestACancellationWithoutAJobIsDropped guards against cancellations that stay in the store for ever and cancel a later job that has the ID.
func TestACancellationWithoutAJobIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		state, intake := storedJobs(c, 0)
		b := newStoredFixture(c, state, intake)
		var submissions []feed.KeyedRecord
		for i := range 3 {
			j := jobWithTasks(1)
			j.Spec.ID = fmt.Sprintf("%016x", i+1)
			submissions = append(submissions, record(c, j.Spec.QualifiedID().SubmissionKey(), j.Spec))
			intake[1].add(feed.KeyedRecord{Key: j.Spec.QualifiedID().CancelKey(), Value: []byte{1}})
		}
		b.pass()
		intake[0].add(submissions[0])
		b.pass()
		c.Assert(b.jobs[fmt.Sprintf("%016x", 1)].State, quicktest.Equals, job.Cancelled)
		time.Sleep(keptFor)
		intake[1].fail = func() (time.Duration, bool, error) { return 0, false, feed.ErrUnavailable }
		b.pass()
		intake[0].add(submissions[1])
		b.pass()
		c.Assert(b.jobs[fmt.Sprintf("%016x", 2)].State, quicktest.Not(quicktest.Equals), job.Cancelled, quicktest.Commentf("its cancellation was for an earlier job"))
		intake[1].fail = nil
		for range 50 {
			b.pass()
		}
		c.Assert(intake[1].keys(""), quicktest.HasLen, 0)
		c.Assert(b.cancelled, quicktest.HasLen, 0)
		c.Assert(b.jobs, quicktest.HasLen, 1, quicktest.Commentf("the second job goes on"))
	})
}

// TestAJobUnderTheIDOfADroppedOneKeepsItsState guards against a job that runs twice: it was submitted under the ID of a job that has just been dropped, and the deletion of that
// job's state is stored after its own.
func TestAJobUnderTheIDOfADroppedOneKeepsItsState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		state, intake := storedJobs(c, 1)
		b := newStoredFixture(c, state, intake)
		submission := intake[0].records[0]
		time.Sleep(keptFor)
		for len(b.jobs) > 0 {
			b.pass()
			b.forget(b.now()) // the job leaves the tables, and its state is still stored
		}
		intake[0].add(submission)
		page := intake[0].from(b.read[0])
		b.read[0] = page.Next
		intakeRead{page: page, asked: b.now()}.apply(b.session)
		c.Assert(b.placeAndCount(), quicktest.Equals, 1)
		b.pass()
		next := newStoredFixture(c, state, intake)
		c.Assert(next.jobs, quicktest.HasLen, 1)
		c.Assert(next.jobs[fmt.Sprintf("%016x", 1)].Tasks[0].Run, quicktest.Not(quicktest.Equals), int64(0), quicktest.Commentf("its run is stored"))
	})
}
