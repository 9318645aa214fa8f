// SPDX-License-Identifier: MIT

package pool

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"rackstep.dev/event"
	"rackstep.dev/job"
)

// waitReasonOf returns why the first task of the job waits.
func (b *fixture) waitReasonOf(j *job.Job) waitReason {
	s := b.newWaitCheck(b.now())
	return s.reason(s.group(j, 0, 0, b.queue(j)), j.Task(0, 0, 0))
}

// TestEachReasonOfAWaitIsTold guards against a wait that logs and metrics put down to another cause, or to none.
func TestEachReasonOfAWaitIsTold(t *testing.T) {
	one := job.Step{Count: 1, Need: job.Need{MilliCPU: 1000}}
	gangOf := func(n int) job.Step { return job.Step{Count: n, Gang: true, Need: job.Need{MilliCPU: 1000}} }
	lasting := job.Step{Count: 1, Lasting: true, Need: job.Need{MilliCPU: 1000}}
	planned := func(b *fixture, _ *job.Task) { b.placeAndCount() }
	stored := func(b *fixture, _ *job.Task) {
		b.placeAndCount()
		b.storedStarts, b.plannedStarts = b.plannedStarts, nil
	}
	confined := func(b *fixture, _ *job.Task) {
		b.modeSince[modeUnkeptOrders] = b.now()
		b.assignment.stored["p"] = poolAssignment{MilliCPU: 4000, MemoryMB: 4000, Workers: [][]string{{"w1"}}}
	}
	for _, x := range [...]struct {
		want  waitReason
		step  job.Step
		setUp func(b *fixture, t *job.Task)
	}{
		{waitNotPlaced, one, func(b *fixture, _ *job.Task) { b.pool("p").dirty = true }},
		{waitNoPass, one, func(b *fixture, _ *job.Task) { b.pool("p").dirty = false }},
		{waitPassPause, one, func(b *fixture, _ *job.Task) {
			b.pool("p").dirty, b.pool("p").nextLookAt = true, b.now().Add(time.Minute)
		}},
		{waitUnlisted, one, func(b *fixture, _ *job.Task) { clear(b.pool("p").open) }},
		{waitUnlisted, one, func(_ *fixture, t *job.Task) { t.Phase, t.Worker = job.Active, "gone" }},
		{waitUnlisted, one, func(b *fixture, t *job.Task) { planned(b, t); b.plannedStarts = nil }},
		{waitUnstored, one, planned},
		{waitUnstored, one, func(b *fixture, t *job.Task) {
			planned(b, t)
			b.inFlight, b.plannedStarts = &commitBatch{starts: b.plannedStarts}, nil
		}},
		{waitUnsent, one, stored},
		{waitUnanswered, one, func(b *fixture, t *job.Task) { stored(b, t); b.sendStored(b.now()) }},
		{waitUnanswered, one, func(b *fixture, t *job.Task) {
			t.Lost, b.lossesInFlight[t] = make([]job.LostRun, job.LossLimit), make([]lossInFlight, 1)
		}},
		{waitNone, one, func(b *fixture, t *job.Task) {
			stored(b, t)
			b.sendStored(b.now())
			w := b.workers[t.Worker]
			b.confirmRun(w, t, w.runs[t], 20)
		}},
		{waitParked, lasting, func(_ *fixture, t *job.Task) {
			t.Lost = []job.LostRun{{Run: 1, Incarnation: "w8", Suspects: 1, Isolated: true, Conclusive: true}, {Run: 2, Incarnation: "w9", Suspects: 1, Isolated: true, Conclusive: true}, {Run: 3, Incarnation: "w7", Suspects: 1, Isolated: true, Conclusive: true}}
		}},
		{waitAside, one, func(b *fixture, t *job.Task) { b.aside[stateKey+t.Job.Spec.ID] = true }},
		{waitAside, one, func(b *fixture, t *job.Task) { b.unreadableStates[t.Job.Spec.ID] = true }},
		{waitUnproved, one, func(b *fixture, _ *job.Task) { b.ConfirmedAt = func() time.Time { return time.Time{} } }},
		{waitUnconfirmed, one, func(b *fixture, t *job.Task) {
			asked := b.now().Add(time.Second)
			b.majorityAskedAt.Store(&asked)
			b.ConfirmedAt = func() time.Time { return time.Now().Add(-time.Minute) }
			b.readUnconfirmed[t.Job.Spec.ID] = true
		}},
		{waitGangMembers, gangOf(2), func(_ *fixture, t *job.Task) { t.Job.Task(0, 0, 1).Phase = job.Active }},
		{waitGangFit, gangOf(9), func(*fixture, *job.Task) {}},
		{waitEarlier, one, func(b *fixture, t *job.Task) {
			b.earlierUnstored, b.inheritedJobs[t.Job.Spec.ID] = true, true
			b.uncertainIncarnations["w1"] = b.workers["w1"]
		}},
		{waitBackoff, one, func(b *fixture, t *job.Task) { t.NotBefore = b.now().Add(time.Minute) }},
		{waitLateStart, one, func(b *fixture, t *job.Task) { t.LateUntil = b.now().Add(time.Minute) }},
		{waitConfinedFull, one, func(b *fixture, t *job.Task) {
			confined(b, t)
			b.workers["w1"].candidate.Free = job.Need{}
			b.committing, b.inFlight, b.commitStartedAt = true, &commitBatch{}, b.now().Add(-storeFailMax) // a full worker is waited for while the store fails
		}},
		{waitConfinedUnusable, one, func(b *fixture, t *job.Task) { confined(b, t); b.workers["w1"].trial = t }},
		{waitTicket, one, func(b *fixture, _ *job.Task) {
			b.config.Queues["q"] = job.Queue{Name: "q", Pool: "p", Advice: &job.Advice{}}
			b.Advise = func(context.Context, string, []string) ([]Ticket, error) { return nil, nil }
		}},
		{waitCap, one, func(b *fixture, t *job.Task) {
			b.setCap(1000)
			t.Job.Spec.Organisation = "a"
			b.ledger.Acquire("a", job.Need{MilliCPU: 1000})
		}},
		{waitCapacity, one, func(b *fixture, _ *job.Task) {
			b.workers["w1"].candidate.Free, b.workers["w2"].candidate.Free = job.Need{}, job.Need{}
		}},
		{waitCapacity, job.Step{Count: 3, PerWorker: 1, Need: job.Need{MilliCPU: 1000}}, func(b *fixture, t *job.Task) {
			b.pool("p").open[groupKey{job: t.Job.Spec.ID}].OnWorker = map[string]int{"w1": 1, "w2": 1}
		}},
		{waitUnusable, one, func(b *fixture, _ *job.Task) {
			b.workers["w1"].silentSince, b.workers["w2"].beingEmptied = b.now(), true
		}},
		{waitTrial, one, func(_ *fixture, t *job.Task) { t.Suspect = true }},
		{waitFencing, lasting, func(b *fixture, _ *job.Task) { b.fencing["m-w1"] = true }},
	} {
		t.Run(x.want.String(), func(t *testing.T) {
			c := quicktest.New(t)
			j := job.New(&job.Spec{ID: "00000000000000a1", Queue: "q", Pool: "p", Steps: []job.Step{x.step}}, time.Now())
			b := heardBench(c, j, "w1", "w2")
			j = b.jobs[j.Spec.ID]
			x.setUp(b, j.Task(0, 0, 0))
			c.Assert(b.waitReasonOf(j), quicktest.Equals, x.want)
		})
	}
}

// checkAt makes a check at the given time after the start of the term and returns the events about waiting tasks so far.
func (b *fixture) checkAt(after time.Duration) (texts []string) {
	now := b.startedAt.Add(after)
	b.ConfirmedAt = func() time.Time { return now }
	b.waits.pacer, b.waits.checkedAt = scanPacer{}, time.Time{}
	b.checkWaits(now)
	for _, e := range b.Events.Since(0) {
		if e.Number == event.TaskWaits {
			texts = append(texts, e.Subject.Job+" "+e.Text)
		}
	}
	return texts
}

// TestATaskThatCouldRunIsLoggedOnceForEachReason guards against a log that tells nothing of a task beside free capacity, and against one that a wait fills: a line for each
// task and check.
func TestATaskThatCouldRunIsLoggedOnceForEachReason(t *testing.T) {
	c := quicktest.New(t)
	b := heardBench(c, jobWithTasks(3), "w1", "w2")
	b.pool("p").dirty = false
	c.Assert(b.checkAt(0), quicktest.HasLen, 0)
	c.Assert(b.checkAt(time.Second), quicktest.HasLen, 0)
	texts := b.checkAt(2100 * time.Millisecond)
	c.Assert(texts, quicktest.HasLen, 1, quicktest.Commentf("one for each queue and reason in a check"))
	c.Assert(strings.Contains(texts[0], "reason=no-pass") && strings.Contains(texts[0], "same=3"), quicktest.IsTrue, quicktest.Commentf("%q", texts))
	for i := range 50 {
		texts = b.checkAt(3*time.Second + time.Duration(i)*time.Millisecond)
	}
	c.Assert(texts, quicktest.HasLen, 3, quicktest.Commentf("%q", texts))
	b.task(0).NotBefore = b.now().Add(time.Hour)
	texts = b.checkAt(10 * time.Second)
	c.Assert(texts, quicktest.HasLen, 4, quicktest.Commentf("another reason"))
	c.Assert(strings.Contains(texts[3], "reason=back-off for=0s waited=10s"), quicktest.IsTrue, quicktest.Commentf("%q", texts))
}

// TestAStartTellsWhatHeldItsTask guards against a wait that the log of a task does not explain, because other tasks of its queue waited longer.
func TestAStartTellsWhatHeldItsTask(t *testing.T) {
	c := quicktest.New(t)
	b := heardBench(c, jobWithTasks(2), "w1", "w2")
	b.task(1).LateUntil = b.now().Add(time.Minute)
	b.checkAt(0)
	b.checkAt(time.Second)
	b.checkAt(4 * time.Second)
	b.task(1).LateUntil = time.Time{}
	b.checkAt(5 * time.Second)
	b.placeAndCount()
	var texts []string
	for range 2 { // the second start of a run tells nothing of the wait before the first
		for _, p := range b.plannedStarts {
			b.sendStart(p.worker, p.task, p.run, b.now())
		}
	}
	for _, e := range b.Events.Since(0) {
		if e.Number == event.RunOrdered && e.Subject.Job == b.task(1).Name() {
			texts = append(texts, e.Text)
		}
	}
	c.Assert(texts, quicktest.HasLen, 2)
	c.Assert(strings.HasSuffix(texts[0], " held=4s heldby=late-start"), quicktest.IsTrue, quicktest.Commentf("%q", texts))
	c.Assert(strings.Contains(texts[1], "held"), quicktest.IsFalse, quicktest.Commentf("%q", texts))
}

// TestEventsAboutWaitsAreFewEachSecond guards against a log that many queues fill at once.
func TestEventsAboutWaitsAreFewEachSecond(t *testing.T) {
	c := quicktest.New(t)
	var jobs []*job.Job
	for i := range 20 {
		jobs = append(jobs, job.New(&job.Spec{ID: jobID(i + 1), Queue: jobID(i), Pool: "p", Steps: []job.Step{oneCoreTasks(1)}}, time.Now()))
	}
	b := newFixture(c, jobs, "w1", "w2")
	b.report("w1", 10, nil)
	b.report("w2", 10, nil)
	b.checkAt(0)
	c.Assert(b.checkAt(3*time.Second), quicktest.HasLen, maxWaitEvents)
	c.Assert(b.checkAt(3500*time.Millisecond), quicktest.HasLen, maxWaitEvents)
	c.Assert(b.checkAt(4*time.Second), quicktest.HasLen, 2*maxWaitEvents)
}

// TestATaskOfAFullPoolIsNoTaskThatCouldRun guards against alarms about tasks that wait for room.
func TestATaskOfAFullPoolIsNoTaskThatCouldRun(t *testing.T) {
	c := quicktest.New(t)
	b := heardBench(c, jobWithTasks(1), "w1", "w2")
	b.workers["w1"].candidate.Free = job.Need{}
	b.checkAt(0)
	c.Assert(b.checkAt(time.Minute), quicktest.HasLen, 0)
	b.workers["w1"].candidate.Free = job.Need{MilliCPU: 4000, MemoryMB: 4000}
	b.checkAt(2 * time.Minute)
	b.workers["w1"].candidate.Free = job.Need{}
	b.checkAt(3 * time.Minute)
	b.workers["w1"].candidate.Free = job.Need{MilliCPU: 4000, MemoryMB: 4000}
	c.Assert(b.checkAt(4*time.Minute), quicktest.HasLen, 0, quicktest.Commentf("the time in which the pool was full counts"))
	c.Assert(b.checkAt(5*time.Minute), quicktest.HasLen, 1)
}

// BenchmarkWaitCheck measures a check with 1,100 workers and 5,000 waiting jobs of eight tasks, with and without room for them.
func BenchmarkWaitCheck(b *testing.B) {
	for _, x := range [...]struct {
		name     string
		milliCPU int
	}{{"full", 0}, {"free", 16000}} {
		b.Run(x.name, func(b *testing.B) {
			t := newBenchLeader(quicktest.New(b), 1100, 5000)
			for _, w := range t.workers {
				w.candidate.Free.MilliCPU = x.milliCPU
			}
			b.ReportAllocs()
			for b.Loop() {
				t.waits.pacer, t.waits.checkedAt = scanPacer{}, time.Time{}
				t.checkWaits(time.Now())
			}
		})
	}
}
