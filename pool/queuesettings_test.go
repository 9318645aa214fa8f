// SPDX-License-Identifier: MIT

package pool

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"rackstep.dev/feed"
	"rackstep.dev/job"
	"rackstep.dev/work"
)

// queueRecord returns the intake record with the settings of the queue "q" in a version of the configuration.
func queueRecord(c *quicktest.C, version int64, attempts int) feed.KeyedRecord {
	value, err := job.EncodeQueue(job.QueueVersion{Version: version, Queue: job.Queue{Name: "q", Pool: "p", Attempts: attempts}})
	c.Assert(err, quicktest.IsNil)
	return feed.KeyedRecord{Key: job.QueueKey("q"), Value: value}
}

// catalogWith returns a version of the configuration in which the queue "q" allows the given attempts, or is missing if that is 0.
func catalogWith(version int64, attempts int) *job.Catalog {
	c := &job.Catalog{Version: version, Queues: map[string]job.Queue{}, Pools: map[string]job.Pool{"p": {Name: "p"}}}
	if attempts > 0 {
		c.Queues["q"] = job.Queue{Name: "q", Pool: "p", Attempts: attempts}
	}
	return c
}

// TestAJobKeepsTheAttemptsOfARemovedQueue guards against jobs that fail too early, or have tasks that start too often, since their queue has left the
// configuration: it was replaced by defaults.
func TestAJobKeepsTheAttemptsOfARemovedQueue(t *testing.T) {
	type version struct {
		number   int64
		attempts int
	}
	for _, x := range [...]struct {
		name     string
		configs  []version // in the order in which the leader's entry has read them
		stored   []version // with the jobs
		attempts int
	}{
		{"the leader has read the settings", []version{{3, 4}, {7, 0}}, nil, 4},
		{"fewer attempts than by default", []version{{3, 2}, {7, 0}}, nil, 2},
		{"it has read two versions of them", []version{{3, 4}, {5, 6}, {7, 0}, {9, 0}}, nil, 6},
		{"it has never read them, and they are stored with the job", []version{{7, 0}}, []version{{3, 4}}, 4},
		{"two entries have stored them", []version{{7, 0}}, []version{{5, 2}, {3, 4}}, 2},
		{"those that it has read are newer", []version{{5, 2}, {7, 0}}, []version{{3, 4}}, 2},
		{"those that are stored are newer", []version{{3, 4}, {7, 0}}, []version{{5, 2}}, 2},
		{"the queue is back", []version{{3, 4}, {7, 0}, {8, 5}}, []version{{3, 4}}, 5},
		{"nothing is known of it", []version{{7, 0}}, nil, defaultAttempts},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := quicktest.New(t)
			b := newFixture(c, []*job.Job{jobWithTasks(1)}, "w1")
			b.catalog.Store(nil)
			for _, v := range x.configs {
				b.SetCatalog(catalogWith(v.number, v.attempts))
			}
			catalogChanged{b.catalog.Load()}.apply(b.session)
			for _, v := range x.stored {
				intakeRead{page: feed.KeyedPage{Records: []feed.KeyedRecord{queueRecord(c, v.number, v.attempts)}}}.apply(b.session)
			}
			for n := range x.attempts {
				c.Assert(b.jobs["00000000000000a1"].State.Ended(), quicktest.IsFalse, quicktest.Commentf("after %d failed runs", n))
				b.report("w1", work.Clock(10+n), nil, work.EndedRun{Seq: int64(n + 1), Task: taskName, Run: int64(n + 1), Outcome: work.Failed})
			}
			c.Assert(b.jobs["00000000000000a1"].State, quicktest.Equals, job.Failed)
		})
	}
}

// TestARemovedQueueKeepsItsOtherSettings guards against starts of a removed queue's tasks that are refused, or come in another order than before.
func TestARemovedQueueKeepsItsOtherSettings(t *testing.T) {
	c := quicktest.New(t)
	q := job.Queue{Name: "q", Pool: "p", Priority: 2, Attempts: 4, Stretch: 3, Target: time.Minute, Advice: &job.Advice{Decide: 1, Each: 2, Valid: 3}}
	b := newFixture(c, []*job.Job{jobWithTasks(1)}, "w1")
	b.SetCatalog(&job.Catalog{Version: 3, Queues: map[string]job.Queue{"q": q}})
	b.SetCatalog(&job.Catalog{Version: 7})
	catalogChanged{b.catalog.Load()}.apply(b.session)
	c.Assert(b.queue(b.jobs["00000000000000a1"]), quicktest.DeepEquals, q)
}
