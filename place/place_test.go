// SPDX-License-Identifier: MIT

package place

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"rackstep.dev/fleet"
)

const anyHash = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"

// testTables has n workers of four cores and two teams, of which "small" has a quota of four cores.
func testTables(c *quicktest.C, n int, jobs ...fleet.JobSpec) *fleet.Tables {
	t := fleet.New()
	conf := fleet.Configuration{
		DataCentres: []fleet.DataCentre{{Name: "a"}, {Name: "b"}}, Operators: []fleet.Operator{{Name: "o", TokenHash: anyHash}},
		Teams: []fleet.Team{{Name: "small", TokenHash: anyHash, JobCores: 4}, {Name: "large", TokenHash: anyHash}},
	}
	pool := fleet.Pool{Name: "p"}
	var seen []fleet.Observation
	for i := range n {
		pool.Members = append(pool.Members, fmt.Sprint("w", i))
		seen = append(seen, fleet.Observation{ID: fmt.Sprint("w", i), DataCentre: []string{"a", "b"}[i%2], Cores: 4, MemoryMB: 100})
	}
	conf.Pools = []fleet.Pool{pool}
	add(c, t, fleet.Record{Configure: &fleet.Configure{Configuration: conf}})
	add(c, t, fleet.Record{Observe: &fleet.Observe{Instances: seen}})
	for _, j := range jobs {
		submit(c, t, "large", j)
	}
	return t
}

func add(c *quicktest.C, t *fleet.Tables, r fleet.Record) {
	c.Helper()
	r.ID = fmt.Sprint("r", t.Offset)
	if refusal := t.Apply(t.Offset+1, r); refusal != nil {
		c.Fatal(refusal)
	}
}

func submit(c *quicktest.C, t *fleet.Tables, team string, j fleet.JobSpec) {
	c.Helper()
	j.Pool = "p"
	add(c, t, fleet.Record{Submit: &fleet.Submit{Team: team, Spec: j}})
}

// admitted folds the starts and returns the instance of each job.
func admitted(c *quicktest.C, t *fleet.Tables, o Options) map[string]string {
	c.Helper()
	starts := Decide(t, o).Starts
	on := make(map[string]string)
	for _, s := range starts {
		add(c, t, fleet.Record{Start: &s})
		on[s.Job] = s.Instance
	}
	return on
}

func TestUrgentJobsStartFirst(t *testing.T) {
	c := quicktest.New(t)
	tables := testTables(c, 1, fleet.JobSpec{ID: "old", Cores: 4}, fleet.JobSpec{ID: "urgent", Cores: 4, Urgent: true})
	c.Assert(admitted(c, tables, Options{}), quicktest.DeepEquals, map[string]string{"urgent": "w0"})
}

func TestTheTeamThatHoldsLessGoesFirstAndQuotasHold(t *testing.T) {
	c := quicktest.New(t)
	tables := testTables(c, 3)
	for i := range 6 {
		submit(c, tables, "large", fleet.JobSpec{ID: fmt.Sprint("l", i), Cores: 2})
		submit(c, tables, "small", fleet.JobSpec{ID: fmt.Sprint("s", i), Cores: 2})
	}
	counts := make(map[byte]int)
	for job := range admitted(c, tables, Options{}) {
		counts[job[0]]++
	}
	c.Assert(counts, quicktest.DeepEquals, map[byte]int{'l': 4, 's': 2})
}

func TestAJobThatCanNeverRunIsParkedWithTheReason(t *testing.T) {
	c := quicktest.New(t)
	tables := testTables(c, 2, fleet.JobSpec{ID: "huge", Cores: 5}, fleet.JobSpec{ID: "fits", Cores: 4})
	submit(c, tables, "small", fleet.JobSpec{ID: "over", Cores: 4})
	tables.Configuration.Team("small").JobCores = 2
	parks := Decide(tables, Options{}).Parks
	notes := make(map[string]string)
	for _, p := range parks {
		notes[p.Job] = p.Note
	}
	c.Assert(notes, quicktest.HasLen, 2)
	c.Assert(notes["huge"], quicktest.Matches, "no instance of pool p .* has 5 cores.*")
	c.Assert(notes["over"], quicktest.Matches, "it needs 4 cores and the quota of team small is 2")
}

func TestJobsRunOnlyWhereResidencyAllows(t *testing.T) {
	c := quicktest.New(t)
	tables := testTables(c, 2, fleet.JobSpec{ID: "b1", Cores: 4, DataCentres: []string{"b"}}, fleet.JobSpec{ID: "b2", Cores: 1, DataCentres: []string{"b"}})
	c.Assert(admitted(c, tables, Options{}), quicktest.DeepEquals, map[string]string{"b1": "w1"})
}

func TestAJobGoesToAWorkerThatNoPlanWillEmptyBeforeItsEnd(t *testing.T) {
	c := quicktest.New(t)
	turns := map[string]time.Duration{"w0": time.Minute, "w1": time.Hour}
	until := func(id string) (time.Duration, bool) { d, ok := turns[id]; return d, ok }
	run := func(d time.Duration) map[string]string {
		return admitted(c, testTables(c, 3, fleet.JobSpec{ID: "j", Cores: 1, RunTime: fleet.Duration(d)}), Options{UntilDrain: until})
	}
	c.Assert(run(2 * time.Hour)["j"], quicktest.Equals, "w2")
	delete(turns, "w2")
	turns["w2"] = time.Second
	c.Assert(run(2 * time.Hour)["j"], quicktest.Equals, "w1") // the latest turn of those that will displace it
	c.Assert(run(30 * time.Second)["j"], quicktest.Equals, "w0")
}

func TestAnUrgentJobMakesOrdinaryOnesYieldAndNoMoreThanNeeded(t *testing.T) {
	c := quicktest.New(t)
	tables := testTables(c, 2)
	for i := range 4 {
		submit(c, tables, "large", fleet.JobSpec{ID: fmt.Sprint("o", i), Cores: 2})
	}
	c.Assert(admitted(c, tables, Options{}), quicktest.HasLen, 4)
	for i := range 4 {
		add(c, tables, fleet.Record{Settle: &fleet.Settle{Job: fmt.Sprint("o", i), Attempt: 1, Outcome: fleet.OutcomeRunning}})
	}
	submit(c, tables, "large", fleet.JobSpec{ID: "urgent", Cores: 2, Urgent: true})
	d := Decide(tables, Options{})
	c.Assert(d.Yields, quicktest.HasLen, 1)
	add(c, tables, fleet.Record{Yield: &d.Yields[0]})
	c.Assert(Decide(tables, Options{}).Yields, quicktest.HasLen, 0) // it is on its way
	add(c, tables, fleet.Record{Settle: &fleet.Settle{Job: d.Yields[0].Job, Attempt: 1, Outcome: fleet.OutcomeCheckpointed}})
	c.Assert(admitted(c, tables, Options{}), quicktest.HasLen, 1)
	c.Assert(tables.Jobs.Get("urgent").State, quicktest.Equals, fleet.JobStarting)
	c.Assert(tables.Jobs.Get(d.Yields[0].Job).State, quicktest.Equals, fleet.JobPending)
}
