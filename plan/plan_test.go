// SPDX-License-Identifier: MIT

package plan

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"rackstep.dev/fleet"
)

const anyHash = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"

// testTables returns tables with pool p, which has six instances in two data centres and a service that needs four of them, and an
// empty pool q.
func testTables(c *quicktest.C) *fleet.Tables {
	t := fleet.New()
	conf := fleet.Configuration{
		DataCentres: []fleet.DataCentre{{Name: "a"}, {Name: "b"}}, Operators: []fleet.Operator{{Name: "o", TokenHash: anyHash}},
		Teams:    []fleet.Team{{Name: "t", TokenHash: anyHash}},
		Pools:    []fleet.Pool{{Name: "p", Members: []string{"i0", "i1", "i2", "i3", "i4", "i5"}}, {Name: "q"}},
		Services: []fleet.Service{{Name: "s", Pool: "p", DataCentres: []string{"a", "b"}, MinAvailable: 4, MinPerDataCentre: 2}},
	}
	var seen []fleet.Observation
	for i := range 6 {
		seen = append(seen, fleet.Observation{ID: fmt.Sprint("i", i), DataCentre: []string{"a", "b"}[i%2], Rack: fmt.Sprint("r", i/2), Cores: 8, MemoryMB: 100})
	}
	add(c, t, fleet.Record{Configure: &fleet.Configure{Configuration: conf}})
	add(c, t, fleet.Record{Observe: &fleet.Observe{Instances: seen}})
	return t
}

func add(c *quicktest.C, t *fleet.Tables, r fleet.Record) {
	c.Helper()
	r.ID = fmt.Sprint("r", t.Offset)
	if refusal := t.Apply(t.Offset+1, r); refusal != nil {
		c.Fatal(refusal)
	}
}

func TestWavesKeepTheBudgets(t *testing.T) {
	c := quicktest.New(t)
	p, err := Make(testTables(c), "x", fleet.Intent{Kind: fleet.IntentMaintain, Pool: "p"}, Costs{Maintenance: time.Minute})
	c.Assert(err, quicktest.IsNil)
	c.Assert(p.Waves, quicktest.Equals, 3)
	c.Assert(p.Steps, quicktest.HasLen, 6)
	perWave := make(map[string]int)
	for _, s := range p.Steps {
		perWave[fmt.Sprint(s.Wave, []string{"a", "b"}[s.Instance[1]%2])]++
	}
	for key, n := range perWave {
		c.Assert(n, quicktest.Equals, 1, quicktest.Commentf("wave and data centre %s", key))
	}
	c.Assert(p.Estimate.RollOut, quicktest.Equals, 3*time.Minute)
	c.Assert(p.Estimate.RollOutBound, quicktest.Equals, 3*time.Minute)
}

func TestWhatCannotBePlannedIsLeftOutWithAReason(t *testing.T) {
	c := quicktest.New(t)
	tables := testTables(c)
	add(c, tables, fleet.Record{Observe: &fleet.Observe{Instances: []fleet.Observation{{ID: "i0", Down: true}, {ID: "i2", Down: true}}}})
	p, err := Make(tables, "x", fleet.Intent{Kind: fleet.IntentMove, Pool: "q", Instances: []string{"i0", "i4", "nobody"}}, Costs{})
	c.Assert(err, quicktest.IsNil)
	c.Assert(p.Steps, quicktest.HasLen, 0)
	reasons := make(map[string]string)
	for _, l := range p.Left {
		reasons[l.Instance] = l.Reason
	}
	c.Assert(reasons["i0"], quicktest.Matches, "the platform does not list it.*")
	c.Assert(reasons["i4"], quicktest.Matches, "the budget of s has no instance to spare.*")
	c.Assert(reasons["nobody"], quicktest.Matches, "the instance is not known.*")
}

func TestAFaultyIntentIsExplained(t *testing.T) {
	c := quicktest.New(t)
	for _, i := range [...]fleet.Intent{
		{}, {Kind: fleet.IntentEmptyRack}, {Kind: fleet.IntentEmptyDataCentre, DataCentre: "z"}, {Kind: fleet.IntentMaintain, Pool: "z"},
		{Kind: fleet.IntentMove, Pool: "z"}, {Kind: fleet.IntentMove, Pool: "q"}, {Kind: fleet.IntentReplace},
	} {
		_, err := Make(testTables(c), "x", i, Costs{})
		c.Assert(err, quicktest.IsNotNil, quicktest.Commentf("%+v", i))
	}
}

func TestNextTakesOutNoMoreThanTheBudgetsAllow(t *testing.T) {
	c := quicktest.New(t)
	tables := testTables(c)
	p := fleet.Plan{ID: "x", Base: 1, Waves: 1}
	for i := range 6 { // all in one wave, which breaks the budgets
		p.Steps = append(p.Steps, fleet.Step{Instance: fmt.Sprint("i", i), From: "p", To: "p", Action: fleet.ActionReboot})
	}
	add(c, tables, fleet.Record{Propose: &fleet.Propose{Plan: p}})
	add(c, tables, fleet.Record{Control: &fleet.Control{Plan: "x", Order: fleet.OrderConfirm}})
	var out, held int
	for _, d := range Next(tables, tables.Plans.Get("x"), Facts{}) {
		switch {
		case d.Advance != nil:
			out++
		case d.Held != nil:
			held++
		}
	}
	c.Assert(out, quicktest.Equals, 2)
	c.Assert(held, quicktest.Equals, 4)
}

// TestNoDataCentreIsEmptiedByMaintenance sets a budget that would allow all instances of a data centre to be out at once. One must
// stay in service, since a data centre that is cut off meanwhile could not serve otherwise.
func TestNoDataCentreIsEmptiedByMaintenance(t *testing.T) {
	c := quicktest.New(t)
	tables := testTables(c)
	s := &tables.Configuration.Services[0]
	s.MinAvailable, s.MinPerDataCentre = 1, 0
	p, err := Make(tables, "x", fleet.Intent{Kind: fleet.IntentMaintain, Pool: "p"}, Costs{})
	c.Assert(err, quicktest.IsNil)
	c.Assert(p.Steps, quicktest.HasLen, 6)
	add(c, tables, fleet.Record{Propose: &fleet.Propose{Plan: p}})
	add(c, tables, fleet.Record{Control: &fleet.Control{Plan: "x", Order: fleet.OrderConfirm}})
	for _, d := range Next(tables, tables.Plans.Get("x"), Facts{}) {
		if d.Advance != nil {
			add(c, tables, fleet.Record{Advance: d.Advance})
		}
	}
	serving := make(map[string]int)
	for _, in := range tables.Instances.All {
		if in.Available() {
			serving[in.DataCentre]++
		}
	}
	c.Assert(serving, quicktest.DeepEquals, map[string]int{"a": 1, "b": 1})
	gone, err := Make(testTables(c), "y", fleet.Intent{Kind: fleet.IntentMove, Pool: "q", Instances: []string{"i0"}}, Costs{})
	c.Assert(err, quicktest.IsNil)
	c.Assert(gone.Steps, quicktest.HasLen, 1) // the rule does not apply to instances that don't return
}

func TestHeldInstancesStayOutUntilTheirReturnIsOrdered(t *testing.T) {
	c := quicktest.New(t)
	tables := testTables(c)
	p, err := Make(tables, "x", fleet.Intent{Kind: fleet.IntentEmptyRack, Rack: "r0", Hold: true}, Costs{})
	c.Assert(err, quicktest.IsNil)
	c.Assert(p.Steps, quicktest.HasLen, 2) // i0 and i1, one in each data centre
	add(c, tables, fleet.Record{Propose: &fleet.Propose{Plan: p}})
	add(c, tables, fleet.Record{Control: &fleet.Control{Plan: "x", Order: fleet.OrderConfirm}})
	facts := Facts{Acknowledged: func(*fleet.Instance) []string { return nil }, Missing: func(*fleet.Instance) string { return "" }}
	run := func() {
		for range 8 {
			for _, d := range Next(tables, tables.Plans.Get("x"), facts) {
				if d.Advance != nil {
					add(c, tables, fleet.Record{Advance: d.Advance})
				}
			}
		}
	}
	run()
	c.Assert(tables.Instances.Get("i0").State, quicktest.Equals, fleet.InstanceActing)
	c.Assert(tables.Instances.Get("i1").State, quicktest.Equals, fleet.InstanceActing)
	c.Assert(tables.Plans.Get("x").State, quicktest.Equals, fleet.PlanRunning)
	add(c, tables, fleet.Record{Control: &fleet.Control{Plan: "x", Order: fleet.OrderReturn}})
	run()
	c.Assert(tables.Instances.Get("i0").State, quicktest.Equals, fleet.InstanceServing)
	c.Assert(tables.Plans.Get("x").State, quicktest.Equals, fleet.PlanDone)
}

func TestAnUnacknowledgedDrainIsHeld(t *testing.T) {
	c := quicktest.New(t)
	tables := testTables(c)
	add(c, tables, fleet.Record{Join: &fleet.Join{Entry: fleet.Entry{ID: "e", Boot: "1"}}})
	add(c, tables, fleet.Record{Propose: &fleet.Propose{Plan: fleet.Plan{ID: "x", Base: 1, Steps: []fleet.Step{{Instance: "i0", From: "p", To: "p", Action: fleet.ActionReboot}}}}})
	add(c, tables, fleet.Record{Control: &fleet.Control{Plan: "x", Order: fleet.OrderConfirm}})
	add(c, tables, fleet.Record{Advance: &fleet.Advance{Plan: "x", Instance: "i0", To: fleet.StepDraining, Generation: 1}})
	facts := Facts{Acknowledged: func(*fleet.Instance) []string { return nil }, Missing: func(*fleet.Instance) string { return "" }}
	next := Next(tables, tables.Plans.Get("x"), facts)
	c.Assert(next, quicktest.HasLen, 1)
	c.Assert(next[0].Held.Reason, quicktest.Matches, "entry e has not acknowledged.*")
	facts.Acknowledged = func(*fleet.Instance) []string { return []string{"e"} }
	next = Next(tables, tables.Plans.Get("x"), facts)
	c.Assert(next[0].Advance.To, quicktest.Equals, fleet.StepDrained)
}

// BenchmarkMake plans the maintenance of all instances at three fleet sizes.
func BenchmarkMake(b *testing.B) {
	for _, pools := range [...]int{2, 8, 22} {
		t := fleet.New()
		conf := fleet.Configuration{DataCentres: []fleet.DataCentre{{Name: "a"}}, Operators: []fleet.Operator{{Name: "o", TokenHash: anyHash}}}
		var seen []fleet.Observation
		for i := range pools * 36 {
			seen = append(seen, fleet.Observation{ID: fmt.Sprintf("i%04d", i), DataCentre: "a", Cores: 8, MemoryMB: 100})
		}
		for i := range pools {
			p := fleet.Pool{Name: fmt.Sprint("p", i)}
			for _, o := range seen[i*36 : (i+1)*36] {
				p.Members = append(p.Members, o.ID)
			}
			conf.Pools = append(conf.Pools, p)
			conf.Services = append(conf.Services, fleet.Service{Name: p.Name, Pool: p.Name, DataCentres: []string{"a"}, MinAvailable: 32})
		}
		t.Apply(0, fleet.Record{ID: "c", Configure: &fleet.Configure{Configuration: conf}})
		t.Apply(1, fleet.Record{ID: "o", Observe: &fleet.Observe{Instances: seen}})
		b.Run(fmt.Sprintf("workers=%d", pools*36), func(b *testing.B) {
			for b.Loop() {
				if _, err := Make(t, "x", fleet.Intent{Kind: fleet.IntentMaintain}, Costs{}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
