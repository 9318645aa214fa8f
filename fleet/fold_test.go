// SPDX-License-Identifier: MIT

package fleet

import (
	"bytes"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// oracle knows in the simplest way what must hold, from the records that were admitted.
type oracle struct {
	t       *Tables
	offset  int64
	log     []Record
	version uint64
	begun   map[string]int // starts of each job that the platform has not disproved or checkpointed
	gens    map[string]uint64
}

const (
	testInstances = 6
	testHash      = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"
)

func testConfiguration(weight float64) Configuration {
	c := Configuration{
		DataCentres: []DataCentre{{Name: "a"}, {Name: "b"}},
		Pools:       []Pool{{Name: "p", Members: []string{"i0", "i1", "i2", "i3"}}, {Name: "q", Members: []string{"i4", "i5"}, MinAvailable: 1}},
		Services: []Service{
			{Name: "s", Pool: "p", DataCentres: []string{"a", "b"}, MinAvailable: 2, MinPerDataCentre: 1},
			{Name: "bound", Pool: "p", DataCentres: []string{"a"}, MinAvailable: 1},
		},
		Teams:     []Team{{Name: "t", TokenHash: testHash, JobCores: 6}, {Name: "u", TokenHash: testHash}},
		Operators: []Operator{{Name: "o", TokenHash: testHash}},
		Weights:   Weights{Moves: weight},
	}
	return c
}

func instanceName(i int) string { return fmt.Sprintf("i%d", i) }

func newOracle() *oracle {
	o := &oracle{t: New(), begun: make(map[string]int), gens: make(map[string]uint64)}
	o.add(Record{Configure: &Configure{Configuration: testConfiguration(0)}})
	var seen []Observation
	for i := range testInstances {
		seen = append(seen, Observation{ID: instanceName(i), DataCentre: []string{"a", "b"}[i%2], Rack: "r", Address: "10.0.0.1:1", Cores: 4, MemoryMB: 100})
	}
	o.add(Record{Observe: &Observe{Instances: seen}})
	for _, e := range [...]string{"e1", "e2"} {
		o.add(Record{Join: &Join{Entry: Entry{ID: e, Boot: "1", DataCentre: "a"}}})
	}
	return o
}

// add folds the record as the next one of the log.
func (o *oracle) add(r Record) *Refusal {
	if r.ID == "" {
		r.ID = fmt.Sprintf("r%d", len(o.log))
	}
	o.log = append(o.log, r)
	refusal := o.t.Apply(o.offset, r)
	o.offset++
	return refusal
}

// check fails when a rule is broken; before and r are the state and the record that led here.
func (o *oracle) check(t *rapid.T, spareBefore map[string]int, r Record, refusal *Refusal) {
	if o.t.Version < o.version {
		t.Fatalf("the version went back from %d to %d", o.version, o.t.Version)
	}
	o.version = o.t.Version
	for id, in := range o.t.Instances.All {
		if in.Generation < o.gens[id] {
			t.Fatalf("the generation of %s went back", id)
		}
		o.gens[id] = in.Generation
		if (in.State == InstanceServing) != (in.Pool != "" && in.Plan == "" && in.State != InstanceIdle) && in.State != InstanceRetired && in.State != InstanceIdle {
			t.Fatalf("instance %s is %s in pool %q of plan %q", id, in.State, in.Pool, in.Plan)
		}
	}
	o.checkHolding(t)
	if refusal != nil {
		return
	}
	if s := r.Start; s != nil {
		if cores, _ := o.t.Held(s.Instance); cores > o.t.Instances.Get(s.Instance).Cores {
			t.Fatalf("a start leaves instance %s holding %d cores", s.Instance, cores)
		}
		if n := o.t.TeamCores("t"); o.t.Jobs.Get(s.Job).Team == "t" && n > 6 {
			t.Fatalf("a start leaves team t holding %d cores of 6", n)
		}
	}
	if a := r.Advance; a != nil && a.To == StepDraining {
		for _, b := range o.t.Configuration.Budgets() {
			if left := o.t.Spare(b).Min(); left < 0 && left < spareBefore[b.Name] {
				t.Fatalf("a take-out left the budget of %s at %d", b.Name, left)
			}
		}
	}
	if a := r.Advance; a != nil && a.To == StepDrained && o.t.Instances.Get(a.Instance).Generation == a.Generation {
		o.checkDrained(t, a)
	}
	if a := r.Advance; a != nil && a.To == StepDone {
		o.checkHeld(t, a)
	}
	o.checkJobs(t, r)
}

// checkHolding adds up anew what the tables keep beside the jobs.
func (o *oracle) checkHolding(t *rapid.T) {
	cores, teams := make(map[string]int), make(map[string]int)
	for _, j := range o.t.Jobs.All {
		if j.State.Held() {
			cores[j.Instance] += j.Charged().Cores
			teams[j.Team] += j.Charged().Cores
		}
		if in := o.t.Instances.Get(j.Instance); in != nil && j.State.Held() && j.Used.Cores > in.Cores {
			t.Fatalf("job %s uses %d cores of the %d of %s", j.ID, j.Used.Cores, in.Cores, in.ID)
		}
	}
	for id := range o.t.Instances.All {
		if held, _ := o.t.Held(id); held != cores[id] {
			t.Fatalf("instance %s holds %d cores, its jobs %d", id, held, cores[id])
		}
	}
	if n := o.t.TeamCores("t"); n != teams["t"] {
		t.Fatalf("team t holds %d cores, its jobs %d", n, teams["t"])
	}
}

// checkHeld sees that no held instance returns before an operator has ordered it or cancelled the plan.
func (o *oracle) checkHeld(t *rapid.T, a *Advance) {
	p := o.t.Plans.Get(a.Plan)
	for _, s := range p.Steps {
		if s.Instance == a.Instance && s.Action == ActionHold && !p.Release && p.State != PlanCancelled {
			t.Fatalf("%s returned from plan %s without an order", a.Instance, a.Plan)
		}
	}
}

// checkDrained sees that every entry that could route to the instance has acknowledged, and that nothing runs there.
func (o *oracle) checkDrained(t *rapid.T, a *Advance) {
	in := o.t.Instances.Get(a.Instance)
	for id, e := range o.t.Entries.All {
		if e.Joined < in.DrainOffset && !slices.Contains(a.Acknowledged, id) {
			t.Fatalf("%s counts as drained without entry %s", in.ID, id)
		}
	}
	if cores, _ := o.t.Held(in.ID); cores > 0 {
		t.Fatalf("%s counts as drained and holds %d cores", in.ID, cores)
	}
}

func (o *oracle) checkJobs(t *rapid.T, r Record) {
	if r.Start != nil {
		o.begun[r.Start.Job]++
	}
	if r.Settle != nil && slices.Contains([]Outcome{OutcomeNotStarted, OutcomeCheckpointed}, r.Settle.Outcome) {
		o.begun[r.Settle.Job]--
	}
	for id, n := range o.begun {
		if j := o.t.Jobs.Get(id); j != nil && !j.Spec.Repeatable && n > 1 {
			t.Fatalf("job %s, not to be repeated, was begun %d times", id, n)
		}
	}
}

func (o *oracle) spare() map[string]int {
	spare := make(map[string]int)
	for _, b := range o.t.Configuration.Budgets() {
		spare[b.Name] = o.t.Spare(b).Min()
	}
	return spare
}

// record draws a record that some writer might write: from the current state, from an old one, or from none.
func (o *oracle) record(t *rapid.T) Record {
	instance := instanceName(rapid.IntRange(0, testInstances-1).Draw(t, "instance"))
	job := fmt.Sprintf("j%d", rapid.IntRange(0, 4).Draw(t, "job"))
	switch rapid.IntRange(0, 11).Draw(t, "kind") {
	case 0:
		return Record{By: "o", Configure: &Configure{Base: rapid.Uint64Range(0, o.t.Version).Draw(t, "base"), Configuration: testConfiguration(float64(len(o.log)))}}
	case 1:
		return Record{Observe: &Observe{Instances: []Observation{{ID: instance, Down: rapid.Bool().Draw(t, "down"), Leaving: rapid.Bool().Draw(t, "leaving")}}}}
	case 2:
		return Record{Join: &Join{Entry: Entry{ID: rapid.SampledFrom([]string{"e1", "e2", "e3"}).Draw(t, "entry"), Boot: rapid.SampledFrom([]string{"1", "2"}).Draw(t, "boot")}}}
	case 3:
		return Record{Leave: &Leave{ID: rapid.SampledFrom([]string{"e1", "e2", "e3"}).Draw(t, "entry"), Boot: rapid.SampledFrom([]string{"1", "2"}).Draw(t, "boot")}}
	case 4:
		return o.propose(t)
	case 5:
		return Record{By: "o", Control: &Control{Plan: o.anyPlan(t), Order: rapid.SampledFrom([]Order{OrderConfirm, OrderConfirm, OrderPause, OrderResume, OrderCancel, OrderReturn}).Draw(t, "order")}}
	case 6, 7, 8:
		return o.advance(t, instance)
	case 9:
		return Record{By: "t", Submit: &Submit{Team: rapid.SampledFrom([]string{"t", "u"}).Draw(t, "team"), Spec: JobSpec{ID: job, Pool: rapid.SampledFrom([]string{"p", "q"}).Draw(t, "pool"),
			Cores: rapid.IntRange(0, 3).Draw(t, "cores"), RunTime: Duration(40 * time.Second), Repeatable: job == "j0"}}}
	case 10:
		return o.start(t, job, instance)
	}
	return o.settle(t, job)
}

func (o *oracle) plan(t *rapid.T) string {
	return fmt.Sprintf("plan%d", rapid.IntRange(0, 3).Draw(t, "plan"))
}

// anyPlan draws a plan that is known, if there is one.
func (o *oracle) anyPlan(t *rapid.T) string {
	if rows := o.t.Plans.Rows(); len(rows) > 0 {
		return rapid.SampledFrom(rows).Draw(t, "known").ID
	}
	return o.plan(t)
}

// mostly says true three times in four, so that whole paths are walked and each step is also left wrong.
func mostly(t *rapid.T, label string) bool { return rapid.IntRange(0, 3).Draw(t, label) > 0 }

func (o *oracle) propose(t *rapid.T) Record {
	p := Plan{ID: o.plan(t), Base: rapid.Uint64Range(0, o.t.Version).Draw(t, "base"), Intent: Intent{Hold: rapid.Bool().Draw(t, "hold")}}
	if mostly(t, "current") {
		p.Base = o.t.Version
	}
	chosen := rapid.SliceOfNDistinct(rapid.IntRange(0, testInstances-1), 1, 4, rapid.ID).Draw(t, "instances")
	for i, n := range chosen {
		s := Step{Instance: instanceName(n), Wave: i / 2, From: "p", To: "p", Action: ActionReboot}
		if in := o.t.Instances.Get(s.Instance); in != nil && mostly(t, "pool") {
			s.From, s.To = in.Pool, in.Pool
		}
		if rapid.IntRange(0, 2).Draw(t, "move") == 0 {
			s.Action, s.To = ActionMove, "q"
		} else if p.Intent.Hold {
			s.Action = ActionHold
		}
		p.Steps = append(p.Steps, s)
	}
	return Record{By: "o", Propose: &Propose{Plan: p}}
}

// following are the states that may come after each state of a step.
var following = map[StepState][]StepState{
	StepWaiting: {StepDraining}, StepDraining: {StepDrained, StepDrained, StepReturned}, StepDrained: {StepActing, StepActing, StepReturned},
	StepActing: {StepDone, StepDone, StepDrained},
}

func (o *oracle) advance(t *rapid.T, instance string) Record {
	all := []string{"e1", "e2", "e3"}
	a := Advance{Plan: o.plan(t), Instance: instance, Acknowledged: all}
	a.To = rapid.SampledFrom([]StepState{StepDraining, StepDrained, StepActing, StepDone, StepReturned}).Draw(t, "to")
	for id, p := range o.t.Plans.All {
		if !p.Active() || !mostly(t, "follow") {
			continue
		}
		s := p.Steps[rapid.IntRange(0, len(p.Steps)-1).Draw(t, "step")]
		a.Plan, a.Instance = id, s.Instance
		if next := following[s.State]; next != nil {
			a.To = rapid.SampledFrom(next).Draw(t, "next")
		}
		break
	}
	if !mostly(t, "acknowledged") {
		a.Acknowledged = rapid.SliceOfDistinct(rapid.SampledFrom(all), rapid.ID).Draw(t, "acks")
	}
	if in := o.t.Instances.Get(a.Instance); in != nil {
		a.Generation = in.Generation
		if !mostly(t, "generation") {
			a.Generation -= min(in.Generation, 1)
		}
	}
	return Record{Time: time.Unix(int64(len(o.log)), 0), Advance: &a}
}

func (o *oracle) start(t *rapid.T, job, instance string) Record {
	s := Start{Job: job, Instance: instance, Attempt: rapid.IntRange(1, 3).Draw(t, "attempt")}
	if j := o.t.Jobs.Get(job); j != nil && rapid.Bool().Draw(t, "next") {
		s.Attempt = j.Attempt + 1
	}
	if in := o.t.Instances.Get(instance); in != nil {
		s.Generation = in.Generation
	}
	return Record{Start: &s}
}

func (o *oracle) settle(t *rapid.T, job string) Record {
	switch rapid.IntRange(0, 9).Draw(t, "usage") {
	case 0, 1:
		return Record{Yield: &Yield{Job: job, Attempt: 1}}
	case 2, 3:
		return Record{Measure: &Measure{Job: job, Attempt: 1, Cores: rapid.IntRange(0, 6).Draw(t, "used")}}
	case 4:
		return Record{Throttle: &Throttle{Job: job, Attempt: 1, Cores: rapid.IntRange(-1, 3).Draw(t, "limit")}}
	}
	if rapid.IntRange(0, 3).Draw(t, "cancel") == 0 {
		return Record{By: "t", Cancel: &Cancel{Job: job, Team: "t"}}
	}
	s := Settle{Job: job, Attempt: rapid.IntRange(1, 2).Draw(t, "attempt")}
	if j := o.t.Jobs.Get(job); j != nil {
		s.Attempt = j.Attempt
	}
	s.Ran = time.Duration(rapid.IntRange(-1, 100).Draw(t, "ran")) * time.Second
	s.Outcome = rapid.SampledFrom([]Outcome{OutcomeRunning, OutcomeDone, OutcomeFailed, OutcomeNotStarted, OutcomeCheckpointed, OutcomeStopped}).Draw(t, "outcome")
	return Record{Settle: &s}
}

func TestFoldKeepsItsRulesWhateverIsWritten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOracle()
		for range rapid.IntRange(1, 120).Draw(t, "records") {
			r := o.record(t)
			if len(o.log) > 8 && rapid.IntRange(0, 4).Draw(t, "again") == 0 {
				r = o.log[rapid.IntRange(4, len(o.log)-1).Draw(t, "old")] // a duplicate, or a late copy
			}
			before := o.spare()
			o.check(t, before, r, o.add(r))
		}
		o.sameElsewhere(t)
	})
}

// sameElsewhere folds the log again with a checkpoint in the middle and compares.
func (o *oracle) sameElsewhere(t *rapid.T) {
	other := New()
	cut := rapid.IntRange(0, len(o.log)).Draw(t, "checkpoint")
	for i, r := range o.log {
		if i == cut {
			b, err := other.Checkpoint()
			if err != nil {
				t.Fatal(err)
			}
			if other, err = LoadCheckpoint(b); err != nil {
				t.Fatal(err)
			}
		}
		data, err := r.Encode()
		if err != nil {
			t.Fatal(err)
		}
		back, err := DecodeRecord(data)
		if err != nil {
			t.Fatal(err)
		}
		other.Apply(int64(i), back)
	}
	a, errA := o.t.Checkpoint()
	b, errB := other.Checkpoint()
	if errA != nil || errB != nil || !bytes.Equal(a, b) {
		t.Fatalf("two folds of the same log differ: %v %v", errA, errB)
	}
}

// admit folds a record that must not be refused.
func admit(c *quicktest.C, o *oracle, r Record) {
	c.Helper()
	if refusal := o.add(r); refusal != nil {
		c.Fatal(refusal)
	}
}

func TestConfirmIsRefusedWhenThePlanNoLongerHolds(t *testing.T) {
	c := quicktest.New(t)
	o := newOracle()
	p := Plan{ID: "x", Base: 1, Steps: []Step{{Instance: "i0", From: "p", To: "p", Action: ActionReboot}}}
	admit(c, o, Record{Propose: &Propose{Plan: p}})
	admit(c, o, Record{Configure: &Configure{Base: 1, Configuration: testConfiguration(1)}})
	refusal := o.add(Record{Control: &Control{Plan: "x", Order: OrderConfirm}})
	c.Assert(refusal, quicktest.IsNotNil)
	c.Assert(refusal.Reason, quicktest.Equals, ReasonStale)
	c.Assert(o.t.Plans.Get("x").State, quicktest.Equals, PlanProposed)
}

func TestTwoOperatorsRaceAndOneWins(t *testing.T) {
	c := quicktest.New(t)
	o := newOracle()
	first := o.add(Record{ID: "a", By: "o", Configure: &Configure{Base: 1, Configuration: testConfiguration(1)}})
	second := o.add(Record{ID: "b", By: "o", Configure: &Configure{Base: 1, Configuration: testConfiguration(2)}})
	again := o.add(Record{ID: "a", By: "o", Configure: &Configure{Base: 1, Configuration: testConfiguration(1)}})
	c.Assert(first == nil, quicktest.IsTrue)
	c.Assert(second.Reason, quicktest.Equals, ReasonStale)
	c.Assert(again == nil, quicktest.IsTrue) // the same record, read back after its answer was lost
	c.Assert(o.t.Version, quicktest.Equals, uint64(2))
	c.Assert(o.t.Configuration.Weights.Moves, quicktest.Equals, 1.0)
}

func TestABadWorkerIsToldFromABadJob(t *testing.T) {
	c := quicktest.New(t)
	o := newOracle()
	run := func(job, instance string, outcome Outcome) {
		j := o.t.Jobs.Get(job)
		in := o.t.Instances.Get(instance)
		admit(c, o, Record{Start: &Start{Job: job, Attempt: j.Attempt + 1, Instance: instance, Generation: in.Generation}})
		admit(c, o, Record{Settle: &Settle{Job: job, Attempt: j.Attempt, Outcome: outcome}})
	}
	for _, id := range [...]string{"g1", "g2", "g3", "bad"} {
		admit(c, o, Record{Submit: &Submit{Team: "u", Spec: JobSpec{ID: id, Pool: "p", Cores: 1, Repeatable: true}}})
	}
	for _, id := range [...]string{"g1", "g2", "g3"} {
		run(id, "i0", OutcomeFailed)
	}
	c.Assert(o.t.Instances.Get("i0").Quarantined, quicktest.IsTrue)
	for i, id := range [...]string{"g1", "g2", "g3"} {
		run(id, instanceName(i+1), OutcomeDone)
		run("bad", instanceName(i+1), OutcomeFailed)
	}
	c.Assert(o.t.Jobs.Get("bad").State, quicktest.Equals, JobParked)
	c.Assert(o.t.Jobs.Get("g1").State, quicktest.Equals, JobDone)
	c.Assert(o.t.Instances.Get("i1").Quarantined, quicktest.IsFalse)
}

func FuzzDecodeRecord(f *testing.F) {
	for _, r := range newOracle().log {
		if b, err := r.Encode(); err == nil {
			f.Add(b)
		}
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := DecodeRecord(b)
		if err != nil {
			return
		}
		o := newOracle()
		o.t.Apply(o.offset, r) // whatever it says, the fold must not fail
		if _, err := o.t.Checkpoint(); err != nil {
			t.Fatal(err)
		}
	})
}

func FuzzLoadCheckpoint(f *testing.F) {
	b, err := newOracle().t.Checkpoint()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		loaded, err := LoadCheckpoint(b)
		if err == nil && loaded == nil {
			t.Fatal("no tables and no error")
		}
	})
}
