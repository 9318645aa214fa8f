// SPDX-License-Identifier: MIT

package pool

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"rackstep.dev/admission"
	"rackstep.dev/job"
	"rackstep.dev/org"
)

// overloadFixture returns a leader whose two workers of four cores are busy for a second, while the given number of jobs of four core-seconds
// waits, half a second old. They can be in time for 2.5 s.
func overloadFixture(c *quicktest.C, waiting int) *fixture {
	b := newFixture(c, nil, "w1", "w2")
	b.catalog.Store(&job.Catalog{
		Queues: map[string]job.Queue{"q": {Name: "q", Pool: "p", Attempts: 3, Stretch: 2, Target: 2 * time.Second}},
		Pools:  map[string]job.Pool{"p": {Name: "p"}, "off": {Name: "off", Headroom: true}},
	})
	b.config = b.catalog.Load()
	b.SetBounds(Bounds{Lease: 10 * time.Second, Move: 1500 * time.Millisecond, Status: time.Minute})
	b.statsByQueue["q"] = &queueStats{runs: minLearnedRuns, variance: 0.01, estimateError: 0.01, work: 4}
	b.machinesListedAt = time.Now()
	b.report("w1", 10, nil)
	b.report("w2", 10, nil)
	for n := range 2 + waiting {
		b.submit("", jobID(100+n), oneCoreTasks(4))
	}
	c.Assert(b.placeAndCount(), quicktest.Equals, 8)
	time.Sleep(500 * time.Millisecond)
	b.countLoads()
	return b
}

// overloaded returns the queues that the leader publishes now.
func (b *fixture) overloaded() *admission.Notice {
	b.noticedAt = time.Time{}
	b.updateNotice(time.Now())
	return b.notice.Load()
}

// refuses reports whether the notice refuses a mean job of the organisation.
func (b *fixture) refuses(organisation string) bool {
	s := &job.Spec{Queue: "q", Organisation: organisation, Steps: []job.Step{oneCoreTasks(4)}}
	return b.overloaded().Queue("q").Decide(s, b.config.Queues["q"], 0).Refused
}

// TestRefusalsNeedALackOfRoom guards against the refusal of a job that the pool could do in time: with instances that are free, that move
// to it, that are in the headroom or idle elsewhere, or because waiting work goes after it.
func TestRefusalsNeedALackOfRoom(t *testing.T) {
	machines := func(pool string, n int) func(b *fixture) {
		return func(b *fixture) {
			for i := range n {
				b.machines[pool+string(rune('0'+i))] = Machine{Pool: pool}
			}
		}
	}
	for _, x := range [...]struct {
		name    string
		waiting int
		change  func(b *fixture)
		refused bool
	}{
		{"a backlog of three seconds", 60, func(*fixture) {}, true},
		{"a short backlog", 4, func(*fixture) {}, false},
		{"instances in the headroom", 60, machines("off", 90), false},
		{"idle instances of another pool", 60, machines("idle", 90), false},
		{"instances of the pool that are not in contact", 60, machines("p", 90), false},
		{"busy instances of another pool", 60, func(b *fixture) {
			machines("busy", 9)(b)
			b.pool("busy").load.running = 9
		}, true},
		{"room that is free", 60, func(b *fixture) {
			for _, w := range b.workers {
				w.candidate.Free = w.Capacity
			}
		}, false},
		{"work that is late already", 60, func(b *fixture) {
			for _, j := range b.jobs {
				j.From = time.Now().Add(-20 * time.Second)
			}
			for _, g := range b.pool("p").open {
				g.RankedAt = time.Time{}
			}
		}, false},
		{"work that waits for its cap", 60, func(b *fixture) {
			for _, g := range b.pool("p").open {
				g.Capped = true
			}
		}, false},
		{"work of a lower priority", 60, func(b *fixture) {
			for _, g := range b.pool("p").open {
				g.Priority = 1
			}
		}, false},
		{"one worker with room for a task", 60, func(b *fixture) { b.workers["w1"].candidate.Free = job.Need{MilliCPU: 1000, MemoryMB: 1000} }, false},
		{"no list of the instances", 60, func(b *fixture) { b.machinesListedAt = time.Time{} }, false},
		{"run times that are not known", 60, func(b *fixture) { b.statsByQueue["q"].runs = minLearnedRuns - 1 }, false},
		{"no confirmation by the store", 60, func(b *fixture) { b.ConfirmedAt = func() time.Time { return time.Now().Add(-2 * time.Second) } }, false},
		{"a store that has just failed", 60, func(b *fixture) { b.storeFailedAt = time.Now() }, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				b := overloadFixture(c, x.waiting)
				x.change(b)
				c.Assert(b.refuses(""), quicktest.Equals, x.refused)
			})
		})
	}
}

// TestAHotOrganisationIsRefusedFirst guards against the refusal of others because of an organisation that submits far beyond its share.
func TestAHotOrganisationIsRefusedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := overloadFixture(c, 0)
		d, err := org.NewDirectory([]org.Organisation{{Name: "hot", Weight: 1000}, {Name: "usual", Weight: 1000}})
		c.Assert(err, quicktest.IsNil)
		organisationsChanged{d}.apply(b.session)
		for n := range 60 {
			b.submit("hot", jobID(200+n), oneCoreTasks(4))
		}
		b.submit("usual", jobID(300), oneCoreTasks(1))
		time.Sleep(300 * time.Millisecond)
		c.Assert(b.placeAndCount(), quicktest.Equals, 8) // no more than before
		b.countLoads()
		c.Check(b.refuses("hot"), quicktest.IsTrue)
		c.Check(b.refuses("usual"), quicktest.IsFalse)
		c.Check(b.refuses(""), quicktest.IsFalse)
	})
}

// TestTheEndOfAnOverloadIsPublished guards against refusals that go on until the knowledge expires, and against a record with each renewal
// in normal operation.
func TestTheEndOfAnOverloadIsPublished(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := overloadFixture(c, 60)
		c.Assert(b.refuses(""), quicktest.IsTrue)
		c.Assert(b.NoticeRecords(), quicktest.HasLen, 1)
		c.Assert(b.NoticeRecords(), quicktest.HasLen, 1)
		clear(b.pool("p").open)
		b.countLoads()
		c.Assert(b.overloaded().Queues, quicktest.HasLen, 0)
		records := b.NoticeRecords()
		c.Assert(records, quicktest.HasLen, 1)
		var n admission.Notice
		c.Assert(job.Decode(records[0].Value, &n), quicktest.IsNil)
		c.Check(n.Queues, quicktest.HasLen, 0)
		c.Check(n.Fence, quicktest.Equals, b.term.Fence)
		c.Check(b.NoticeRecords(), quicktest.HasLen, 0)
	})
}

// TestARefusedJobCountsFromItsFirstAttempt guards against jobs that come back late and go before new ones that can be in time, and against
// memory that grows with the queries.
func TestARefusedJobCountsFromItsFirstAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := newFixture(c, nil, "w1")
		asked := time.Now()
		for range 2 {
			reply := make(chan job.Answer, 1)
			jobQuestion{Query: job.Query{ID: jobID(1)}, reply: reply}.apply(b.session)
			c.Assert((<-reply).Known, quicktest.IsFalse)
			time.Sleep(3 * time.Second)
		}
		c.Check(b.submit("", jobID(1), oneCoreTasks(1)).From, quicktest.Equals, asked)
		c.Check(b.submit("", jobID(2), oneCoreTasks(1)).From, quicktest.Equals, time.Now())
		for n := range maxFirstAsked + 10 {
			b.recordAsked(job.Query{ID: jobID(1000 + n)}, time.Now())
		}
		c.Check(len(b.firstAsked) <= maxFirstAsked, quicktest.IsTrue)
		time.Sleep(firstAskedTTL + time.Second)
		b.forgetFirstAsked(time.Now())
		c.Check(b.firstAsked, quicktest.HasLen, 0)
	})
}
