// SPDX-License-Identifier: MIT

package place

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"rackstep.dev/fleet"
)

// running has one worker of four cores with the jobs, each of which runs and was measured at what uses says.
func running(c *quicktest.C, uses []int, specs ...fleet.JobSpec) *fleet.Tables {
	t := testTables(c, 1, specs...)
	admitted(c, t, Options{})
	for i, s := range specs {
		add(c, t, fleet.Record{Settle: &fleet.Settle{Job: s.ID, Attempt: 1, Outcome: fleet.OutcomeRunning}})
		add(c, t, fleet.Record{Measure: &fleet.Measure{Job: s.ID, Attempt: 1, Cores: uses[i], MemoryMB: 1}})
	}
	return t
}

func TestMoreUseIsBelievedAtOnceAndLessAfterAWhile(t *testing.T) {
	c := quicktest.New(t)
	j := &fleet.Job{ID: "j", Attempt: 1, State: fleet.JobRunning, Spec: fleet.JobSpec{Cores: 8, MemoryMB: 100}}
	for _, test := range [...]struct {
		seen    Usage
		differs bool
		cores   int
	}{
		{Usage{Cores: 7.9, MemoryMB: 90, Ran: time.Second}, false, 0},
		{Usage{Cores: 9, MemoryMB: 90, Ran: time.Second}, true, 10},
		{Usage{Cores: 1, MemoryMB: 80, Ran: time.Second}, false, 0},
		{Usage{Cores: 1, MemoryMB: 80, Ran: time.Hour}, true, 2},
		{Usage{Cores: 6, MemoryMB: 80, Ran: time.Hour}, false, 0},
		{Usage{Cores: 1, MemoryMB: 200, Ran: time.Second}, true, 8}, // its cores may still grow
	} {
		m, differs := Measured(j, test.seen)
		c.Assert(differs, quicktest.Equals, test.differs, quicktest.Commentf("%+v", test))
		if differs {
			c.Assert(m.Cores, quicktest.Equals, test.cores, quicktest.Commentf("%+v", test))
		}
	}
	j.Limit = 2
	_, differs := Measured(j, Usage{Cores: 2, MemoryMB: 80, Ran: time.Hour})
	c.Assert(differs, quicktest.IsFalse)
}

func TestAJobThatUsesMoreThanItDeclaredIsHeldBackFirst(t *testing.T) {
	c := quicktest.New(t)
	tables := running(c, []int{3, 2}, fleet.JobSpec{ID: "greedy", Cores: 1}, fleet.JobSpec{ID: "honest", Cores: 2})
	c.Assert(Relieve(tables), quicktest.DeepEquals, Relief{Throttles: []fleet.Throttle{{Job: "greedy", Attempt: 1, Cores: 2}}})
	add(c, tables, fleet.Record{Throttle: &fleet.Throttle{Job: "greedy", Attempt: 1, Cores: 2}})
	c.Assert(Relieve(tables), quicktest.DeepEquals, Relief{})
	add(c, tables, fleet.Record{Settle: &fleet.Settle{Job: "honest", Attempt: 1, Outcome: fleet.OutcomeDone}})
	c.Assert(Relieve(tables), quicktest.DeepEquals, Relief{Throttles: []fleet.Throttle{{Job: "greedy", Attempt: 1}}})
}

func TestAJobLeavesOnlyWhenHoldingBackIsNotEnough(t *testing.T) {
	c := quicktest.New(t)
	tables := running(c, []int{4, 4}, fleet.JobSpec{ID: "a", Cores: 2}, fleet.JobSpec{ID: "b", Cores: 2})
	c.Assert(Relieve(tables).Yields, quicktest.HasLen, 0)
	c.Assert(Relieve(tables).Throttles, quicktest.HasLen, 2)
	tables.Instances.Get("w0").Cores = 1
	c.Assert(Relieve(tables).Yields, quicktest.HasLen, 1)
	memory := running(c, []int{1, 1}, fleet.JobSpec{ID: "a", Cores: 1, MemoryMB: 20}, fleet.JobSpec{ID: "b", Cores: 1, MemoryMB: 20})
	add(c, memory, fleet.Record{Measure: &fleet.Measure{Job: "a", Attempt: 1, Cores: 1, MemoryMB: 70}})
	add(c, memory, fleet.Record{Measure: &fleet.Measure{Job: "b", Attempt: 1, Cores: 1, MemoryMB: 40}})
	c.Assert(Relieve(memory), quicktest.DeepEquals, Relief{Yields: []fleet.Yield{{Job: "b", Attempt: 1}}})
}

// TestReliefIsEnoughAndEnds checks with any mix of jobs that what is decided brings the worker back, and that then nothing more is asked.
func TestReliefIsEnoughAndEnds(t *testing.T) {
	c := quicktest.New(t)
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 4).Draw(t, "jobs")
		var specs []fleet.JobSpec
		var uses []int
		for i := range n {
			specs = append(specs, fleet.JobSpec{ID: fmt.Sprint("j", i), Cores: 1, Urgent: i == 0 && rapid.Bool().Draw(t, "urgent")})
			uses = append(uses, rapid.IntRange(1, 4).Draw(t, "uses"))
		}
		tables := running(c, uses, specs...)
		r := Relieve(tables)
		for _, s := range r.Throttles {
			add(c, tables, fleet.Record{Throttle: &s})
		}
		for _, y := range r.Yields {
			add(c, tables, fleet.Record{Yield: &y})
		}
		again := Relieve(tables)
		if len(again.Throttles)+len(again.Yields) > 0 {
			t.Fatalf("after %+v it asks for %+v", r, again)
		}
		for _, y := range r.Yields {
			add(c, tables, fleet.Record{Settle: &fleet.Settle{Job: y.Job, Attempt: 1, Outcome: fleet.OutcomeCheckpointed}})
		}
		if cores, _ := tables.Held("w0"); cores > 4 {
			t.Fatalf("%d cores are held after %+v", cores, r)
		}
	})
}
