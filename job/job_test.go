// SPDX-License-Identifier: MIT

package job

import (
	"errors"
	"math"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func twoSteps() *Spec {
	return &Spec{ID: "00000000000000a1", Queue: "q", Pool: "p", Steps: []Step{{Count: 2, Estimate: 1000}, {Count: 3, After: []int{0}, Estimate: 500}}}
}

func TestAStepOpensWhenAllItWaitsForIsDone(t *testing.T) {
	c := quicktest.New(t)
	j := New(twoSteps(), start)
	c.Assert(j.StepOpen(0, 0, start), quicktest.IsTrue)
	c.Assert(j.StepOpen(0, 1, start), quicktest.IsFalse)
	c.Assert(j.Done(j.Task(0, 0, 0), start), quicktest.IsTrue)
	c.Assert(j.Done(j.Task(0, 0, 0), start), quicktest.IsFalse, quicktest.Commentf("a success that is reported twice counts once"))
	c.Assert(j.StepOpen(0, 1, start), quicktest.IsFalse)
	j.Done(j.Task(0, 0, 1), start)
	c.Assert(j.StepOpen(0, 1, start), quicktest.IsTrue)
	c.Assert(j.CriticalPath(), quicktest.Equals, 1500*time.Millisecond)
}

func TestAFinalStateIsShownOnlyOnceItIsKept(t *testing.T) {
	c := quicktest.New(t)
	j := New(twoSteps(), start)
	j.StoredVersion = j.Version
	c.Assert(j.VisibleState(), quicktest.Equals, Queued)
	for i := range j.Tasks {
		j.Done(&j.Tasks[i], start)
	}
	c.Assert(j.State, quicktest.Equals, Succeeded)
	c.Assert(j.VisibleState(), quicktest.Equals, Running)
	j.StoredVersion = j.Version
	c.Assert(j.VisibleState(), quicktest.Equals, Succeeded)
	c.Assert(j.Cancel(start), quicktest.IsFalse)
}

func TestAFailedRunCountsOnce(t *testing.T) {
	c := quicktest.New(t)
	j := New(twoSteps(), start)
	task := j.Task(0, 0, 0)
	c.Assert(j.Fail(task, 7, 2, start), quicktest.IsTrue)
	c.Assert(j.Fail(task, 7, 2, start), quicktest.IsFalse)
	c.Assert(j.State, quicktest.Equals, Queued)
	c.Assert(j.Fail(task, 8, 2, start), quicktest.IsTrue)
	c.Assert(j.State, quicktest.Equals, Failed)
}

func TestTimesAreDueOneAfterTheOther(t *testing.T) {
	c := quicktest.New(t)
	s := twoSteps()
	s.Times, s.First, s.Every = 3, UnixMilli(start.UnixMilli()), 1000
	j := New(s, start)
	c.Assert(j.Tasks, quicktest.HasLen, 15)
	c.Assert(j.StepOpen(2, 0, start.Add(1999*time.Millisecond)), quicktest.IsFalse)
	c.Assert(j.StepOpen(2, 0, start.Add(2*time.Second)), quicktest.IsTrue)
}

func TestBadJobsAreRefusedWithAReason(t *testing.T) {
	c := quicktest.New(t)
	for _, change := range [...]func(s *Spec){
		func(s *Spec) { s.ID = "xyz" },
		func(s *Spec) { s.ID = "00000000000000g1" },
		func(s *Spec) { s.Steps = nil },
		func(s *Spec) { s.Steps[0].Count = 0 },
		func(s *Spec) { s.Steps[0].Need.GPU = -1 },
		func(s *Spec) { s.Steps[0].After = []int{0} },
		func(s *Spec) { s.Steps[1].Estimate = -1 },
		func(s *Spec) { s.Times = -1 },
		func(s *Spec) { s.Times = MaxTasks },
		func(s *Spec) { s.Text = string(make([]byte, MaxText+1)) },
	} {
		s := twoSteps()
		change(s)
		var wrong *SpecError
		c.Assert(errors.As(s.Check(), &wrong), quicktest.IsTrue)
	}
	c.Assert(twoSteps().Check(), quicktest.IsNil)
}

func TestNames(t *testing.T) {
	c := quicktest.New(t)
	n, ok := ParseName("00000000000000a1.2.1.17")
	c.Assert(ok, quicktest.IsTrue)
	c.Assert(n, quicktest.Equals, Name{ID: "00000000000000a1", Time: 2, Step: 1, Index: 17})
	for _, s := range [...]string{"", "a.b.c.d", "a.1.2", "a.1.2.-3", "a.1.2.3.4"} {
		_, ok := ParseName(s)
		c.Assert(ok, quicktest.IsFalse, quicktest.Commentf(s))
	}
	c.Assert(New(twoSteps(), start).Task(0, 1, 2).Name(), quicktest.Equals, "00000000000000a1.0.1.2")
	c.Assert(New(twoSteps(), start).Task(0, 2, 0), quicktest.IsNil)
}

// Compares a job with its copy restored from the stored state, after random successes, failures and starts.
func TestAJobIsRestoredFromItsStoredState(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		j := New(twoSteps(), start)
		for range rapid.IntRange(0, 12).Draw(r, "ends") {
			task := &j.Tasks[rapid.IntRange(0, len(j.Tasks)-1).Draw(r, "task")]
			switch rapid.IntRange(0, 2).Draw(r, "end") {
			case 0:
				j.Done(task, start)
			case 1:
				j.Fail(task, int64(rapid.IntRange(1, 5).Draw(r, "run")), 9, start)
			case 2:
				if task.Phase == Waiting {
					task.Phase, task.Run, task.Worker = Starting, 4, "i-1"
				}
			}
		}
		b, err := Encode(j.Stored())
		if err != nil {
			r.Fatal(err)
		}
		var kept Stored
		if err := Decode(b, &kept); err != nil {
			r.Fatal(err)
		}
		again := New(twoSteps(), start)
		again.Restore(kept, start)
		if again.State != j.State || (!j.State.Ended() && again.Unfinished != j.Unfinished) {
			r.Fatalf("restoring turned %v with %d unfinished tasks into %v with %d", j.State, j.Unfinished, again.State, again.Unfinished)
		}
		for i := range j.Tasks {
			if !j.State.Ended() && (again.Tasks[i].Phase == Finished) != (j.Tasks[i].Phase == Finished) {
				r.Fatalf("task %d: finished differs after restoring", i)
			}
			if !j.State.Ended() && len(again.Tasks[i].FailedRuns) != len(j.Tasks[i].FailedRuns) {
				r.Fatalf("task %d: the number of failed runs differs after restoring", i)
			}
		}
	})
}

func FuzzDecode(f *testing.F) {
	b, _ := Encode(twoSteps())
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		s := new(Spec)
		if Decode(b, s) == nil && s.Check() == nil {
			New(s, start)
		}
	})
}

// Guards against tasks that start before their time because it lies beyond the range of a duration, or of the clock.
func TestDueTimesFarAwayAreInTheFuture(t *testing.T) {
	c := quicktest.New(t)
	now := time.Now()
	for _, first := range []UnixMilli{UnixMilli(now.UnixMilli()), math.MaxInt64} {
		j := New(&Spec{ID: "00112233445566aa", Steps: []Step{{Count: 1}}, Times: 200, First: first, Every: Milli(maxSpan)}, now)
		c.Assert(j.Spec.Check(), quicktest.IsNil)
		for k := 1; k < j.Spec.Times; k++ {
			c.Assert(j.Due(k).After(now.Add(time.Hour)), quicktest.IsTrue, quicktest.Commentf("%d: %v", k, j.Due(k)))
			c.Assert(j.StepOpen(k, 0, now), quicktest.IsFalse)
		}
	}
	c.Assert(Milli(math.MaxInt64).Duration() > 0, quicktest.IsTrue)
}
