// SPDX-License-Identifier: MIT

//go:build !race

// These tests run without the race detector: with it, the runtime of Go 1.26 crashes when a timer's channel is selected on
// a fake clock (a nil bubble in runtime.(*timer).maybeRunChan).

package trial

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"rackstep.dev/fleet"
	"rackstep.dev/internal/memnet"
	"rackstep.dev/internal/standin"
	"rackstep.dev/serve"
)

// startFakeTimeSite starts a small site on fake time and publishes its configuration.
func startFakeTimeSite(c *quicktest.C, spec Spec) *Site {
	spec.Network = new(memnet.Network)
	s, err := Start(spec, nil)
	c.Assert(err, quicktest.IsNil)
	c.Cleanup(s.Stop)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	c.Assert(s.Publish(ctx), quicktest.IsNil)
	return s
}

// smallSpec is the smallest site on which every step of the matrices can occur.
func smallSpec() Spec {
	return Spec{DataCentres: 2, EntriesEach: 2, Services: 1, RunnersEach: 4, Workers: 2, Cores: 4, MemoryMB: 1024, RackSize: 2, Spare: 1, RebootTime: time.Second}
}

// jobsByID returns the site's jobs by ID, as listed by one entry.
func jobsByID(ctx context.Context, c *quicktest.C, s *Site) map[string]fleet.Job {
	c.Helper()
	rows, err := s.Operator(OperatorToken).Jobs(ctx)
	c.Assert(err, quicktest.IsNil)
	byID := make(map[string]fleet.Job)
	for _, j := range rows {
		byID[j.ID] = j
	}
	return byID
}

// TestMaintenanceUnderLoadKeepsEveryGuarantee guards against requests that fail, run twice or reach an instance during its
// maintenance while every instance is rebooted under load.
func TestMaintenanceUnderLoadKeepsEveryGuarantee(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		c := quicktest.New(t)
		s := startFakeTimeSite(c, smallSpec())
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Minute)
		defer cancel()
		load := &Load{Site: s, Callers: 4, Work: 20 * time.Millisecond, Pause: 50 * time.Millisecond}
		loading, stop := context.WithCancel(ctx)
		done := make(chan struct{})
		go func() { load.Run(loading); close(done) }()

		p, err := s.Operator(OperatorToken).Plan(ctx, fleet.Intent{Kind: fleet.IntentMaintain})
		c.Assert(err, quicktest.IsNil)
		c.Assert(p.Left, quicktest.HasLen, 0)
		_, err = s.Operator(OperatorToken).Order(ctx, p.ID, fleet.OrderConfirm)
		c.Assert(err, quicktest.IsNil)
		c.Assert(s.AwaitPlan(ctx, p.ID, fleet.PlanDone), quicktest.IsNil)
		stop()
		<-done
		v := s.Evaluate(load.Replies())
		c.Assert(v.Violations(), quicktest.HasLen, 0)
		c.Assert(v.NotRun, quicktest.Equals, 0)
		c.Assert(v.Whole > 100, quicktest.IsTrue)
		c.Assert(s.Platform.Interruptions(), quicktest.HasLen, 0)
	})
}

// TestGoodputAtTwiceTheCapacity guards against overload that lowers throughput. It sends requests at twice the
// rate that the targets can process; at least 95% of the capacity must end in complete answers, and requests beyond the queue
// must be rejected at once.
func TestGoodputAtTwiceTheCapacity(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		c := quicktest.New(t)
		spec := smallSpec()
		spec.Workers = 0
		s := startFakeTimeSite(c, spec)
		const each, seconds = 100 * time.Millisecond, 4
		capacity := spec.RunnersEach * fleet.DefaultSlots * int(time.Second/each)
		load := &Load{Site: s, Work: each}
		callers := s.Callers()
		var wg sync.WaitGroup
		late, good := 0, 0
		begin := time.Now()
		var mu sync.Mutex
		for i := range 2 * capacity * seconds {
			time.Sleep(time.Second / time.Duration(2*capacity))
			wg.Go(func() {
				reply := load.Send(callers[i%len(callers)], load.repeatableRequest(ServiceName(0), fmt.Sprint("m", i), false))
				load.record(reply)
				mu.Lock()
				defer mu.Unlock()
				switch {
				case reply.Reason == serve.ReasonQueueFull && reply.Latency > 50*time.Millisecond:
					late++
				case reply.Outcome == serve.OutcomeWhole && time.Since(begin) <= seconds*time.Second:
					good++
				}
			})
		}
		wg.Wait()
		possible := float64(capacity) * (seconds*time.Second - each).Seconds() // no request ends before the first one's processing time
		v := s.Evaluate(load.Replies())
		t.Logf("%d whole answers of %.0f possible, %+v", good, possible, v)
		c.Assert(v.Violations(), quicktest.HasLen, 0)
		c.Assert(float64(good) >= 0.95*possible, quicktest.IsTrue)
		c.Assert(late, quicktest.Equals, 0) // a rejection takes no time on the fake clock
	})
}

// TestOverusingJobsAreThrottledAndFinish guards against jobs that are killed or started again because they
// exceed their declared cores. Two jobs share a worker and each uses more than it declares; both must be throttled and finish.
func TestOverusingJobsAreThrottledAndFinish(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		c := quicktest.New(t)
		s := startFakeTimeSite(c, smallSpec())
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Minute)
		defer cancel()
		run := trialRun{site: s}
		for _, id := range [...]string{"first", "second"} {
			c.Assert(run.submit(ctx, fleet.JobSpec{ID: id, Pool: BatchPool, Cores: 2, RunTime: fleet.Duration(20 * time.Second), Command: "run 20s use 3.2"}), quicktest.IsNil)
		}
		jobs := func() map[string]fleet.Job { return jobsByID(ctx, c, s) }
		c.Assert(s.Await(ctx, func() bool { return jobs()["first"].Limit > 0 && jobs()["second"].Limit > 0 }), quicktest.IsNil)
		c.Assert(jobs()["first"].Used.Cores, quicktest.Equals, 4)
		c.Assert(s.Await(ctx, func() bool { return jobs()["first"].State == fleet.JobDone && jobs()["second"].State == fleet.JobDone }), quicktest.IsNil)
		for id, n := range s.Platform.Starts() {
			c.Assert(n, quicktest.Equals, 1, quicktest.Commentf("%s", id))
		}
	})
}

// TestJobsSurviveALongLogOutage guards against jobs that are lost or started again when the log is down for longer than
// the lease of a task; one job ends during the outage and one after it.
func TestJobsSurviveALongLogOutage(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		c := quicktest.New(t)
		s := startFakeTimeSite(c, smallSpec())
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Minute)
		defer cancel()
		run := trialRun{site: s}
		for id, command := range map[string]string{"ends-after-it": "run 400s", "ends-during-it": "run 100s"} {
			c.Assert(run.submit(ctx, fleet.JobSpec{ID: id, Pool: BatchPool, Cores: 2, RunTime: fleet.Duration(time.Minute), Command: command}), quicktest.IsNil)
		}
		c.Assert(s.Await(ctx, func() bool {
			jobs := jobsByID(ctx, c, s)
			return jobs["ends-after-it"].State == fleet.JobRunning && jobs["ends-during-it"].State == fleet.JobRunning
		}), quicktest.IsNil)
		s.Platform.SetFaults(standin.Faults{LogDown: true})
		time.Sleep(4 * time.Minute)
		s.Platform.SetFaults(standin.Faults{})
		time.Sleep(4 * time.Minute)
		for id, j := range jobsByID(ctx, c, s) {
			c.Assert(j.State, quicktest.Equals, fleet.JobDone, quicktest.Commentf("%s: %s", id, j.Note))
		}
		for id, n := range s.Platform.Starts() {
			c.Assert(n, quicktest.Equals, 1, quicktest.Commentf("%s", id))
		}
	})
}

// TestUrgentJobStartsInTimeOnFullWorkers guards against an urgent job that waits for running jobs to end. Every core
// is in use when it is submitted, so an ordinary job must yield by a checkpoint and later finish without starting over.
func TestUrgentJobStartsInTimeOnFullWorkers(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		c := quicktest.New(t)
		s := startFakeTimeSite(c, smallSpec())
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Minute)
		defer cancel()
		run := trialRun{site: s}
		submit := func(id string, urgent bool) {
			c.Helper()
			c.Assert(run.submit(ctx, fleet.JobSpec{ID: id, Pool: BatchPool, Cores: 2, RunTime: fleet.Duration(time.Minute), Urgent: urgent, Command: "run 60s"}), quicktest.IsNil)
		}
		in := func(state fleet.JobState) map[string]bool {
			ids := make(map[string]bool)
			for id, j := range jobsByID(ctx, c, s) {
				if j.State == state {
					ids[id] = true
				}
			}
			return ids
		}
		for i := range 5 { // four fit
			submit(fmt.Sprint("ordinary-", i), false)
		}
		c.Assert(s.Await(ctx, func() bool { return len(in(fleet.JobRunning)) == 4 }), quicktest.IsNil)
		begin := time.Now()
		submit("urgent", true)
		c.Assert(s.Await(ctx, func() bool { return in(fleet.JobRunning)["urgent"] }), quicktest.IsNil)
		took := time.Since(begin)
		t.Logf("the urgent job ran after %s of fake time", took)
		c.Assert(took <= 3500*time.Millisecond, quicktest.IsTrue)
		c.Assert(s.Await(ctx, func() bool { return len(in(fleet.JobDone)) == 6 }), quicktest.IsNil)
		for id, n := range s.Platform.Starts() {
			c.Assert(n, quicktest.Equals, 1, quicktest.Commentf("%s", id))
		}
	})
}
