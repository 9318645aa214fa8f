// SPDX-License-Identifier: MIT

package fleet

import (
	"fmt"
	"slices"
	"time"
)

// Advance is the record that moves one step of a plan to its next state.
//
// Each target state has its own precondition, so that a record that is late, duplicated or from a paused executor is refused.
type Advance struct {
	Plan     string    `cbor:"p"`
	Instance string    `cbor:"i"`
	To       StepState `cbor:"s"`
	// Generation is the instance's generation that the writer has seen.
	Generation uint64 `cbor:"g"`
	// Acknowledged are the entries that no longer route to the instance; for StepDrained.
	Acknowledged []string `cbor:"a,omitempty"`
}

// CommandID returns the ID of the platform command for one take-out of an instance.
func CommandID(plan, instance string, generation uint64) string {
	return fmt.Sprintf("%s.%s.%d", plan, instance, generation)
}

func (t *Tables) advance(at time.Time, a Advance) *Refusal {
	const remedy = "nothing is to be done; the executor reads the tables again"
	p, s, in := t.findStep(a)
	if s == nil || in == nil {
		return refuse(ReasonUnknown, remedy, "plan %s has no step for instance %s", a.Plan, a.Instance)
	}
	if in.Generation != a.Generation {
		return refuse(ReasonStale, remedy, "instance %s has generation %d, not %d", in.ID, in.Generation, a.Generation)
	}
	refusal := t.advanceStep(at, a, p, s, in)
	if refusal == nil {
		s.State = a.To
		t.finishIfComplete(p)
	}
	return refusal
}

func (t *Tables) findStep(a Advance) (*Plan, *Step, *Instance) {
	p := t.Plans.Get(a.Plan)
	if p == nil {
		return nil, nil, nil
	}
	i := slices.IndexFunc(p.Steps, func(s Step) bool { return s.Instance == a.Instance })
	if i < 0 {
		return p, nil, nil
	}
	return p, &p.Steps[i], t.Instances.Get(a.Instance)
}

func (t *Tables) advanceStep(at time.Time, a Advance, p *Plan, s *Step, in *Instance) *Refusal {
	switch a.To {
	case StepDraining:
		return t.takeOut(p, s, in)
	case StepDrained:
		return t.drained(a, s, in)
	case StepActing:
		return t.startAction(p, s, in)
	case StepDone:
		return t.complete(at, p, s, in)
	case StepReturned:
		return t.returnToService(p, s, in)
	}
	return refuse(ReasonInvalid, "report this as a bug", "no record moves a step to %q", a.To)
}

func (t *Tables) takeOut(p *Plan, s *Step, in *Instance) *Refusal {
	if p.State != PlanRunning || s.State != StepWaiting {
		return stepRefusal(p, s)
	}
	if in.Pool != s.From || in.Plan != "" || in.State != InstanceServing {
		return refuse(ReasonOccupied, "cancel the plan and ask for a new one", "instance %s is %s in pool %q", in.ID, in.State, in.Pool)
	}
	for i := range p.Steps {
		if p.Steps[i].Wave < s.Wave && p.Steps[i].State == StepWaiting {
			return refuse(ReasonState, "wait for the earlier wave", "wave %d of plan %s is not out yet", p.Steps[i].Wave, p.ID)
		}
	}
	if r := t.TakeOutRefusal(in); r != nil {
		return r
	}
	in.State = InstanceDraining
	in.Plan = p.ID
	in.DrainOffset = t.Offset
	in.Generation++
	return nil
}

func (t *Tables) drained(a Advance, s *Step, in *Instance) *Refusal {
	if s.State == StepActing && s.Action != ActionMove && s.Action != ActionHold {
		// The platform refuses this command permanently. The higher generation gives the next command a new ID.
		in.State = InstanceDrained
		in.Generation++
		return nil
	}
	if s.State != StepDraining {
		return refuse(ReasonState, "nothing is to be done", "step of %s is %s", in.ID, s.State)
	}
	if missing := t.Unacknowledged(in, a.Acknowledged); missing != "" {
		return refuse(ReasonUnproved, "wait until the entry acknowledges or the platform says that it is gone",
			"entry %s has not acknowledged the drain of %s", missing, in.ID)
	}
	if n := t.JobsOn(in.ID); n > 0 {
		return refuse(ReasonOccupied, "wait for the jobs or move them", "%d jobs still run on %s", n, in.ID)
	}
	in.State = InstanceDrained
	return nil
}

// Unacknowledged returns the ID of an entry that may still route to the draining instance, or an empty string.
func (t *Tables) Unacknowledged(in *Instance, acknowledged []string) string {
	for id, e := range t.Entries.All {
		if e.Joined < in.DrainOffset && !slices.Contains(acknowledged, id) {
			return id
		}
	}
	return ""
}

func (t *Tables) startAction(p *Plan, s *Step, in *Instance) *Refusal {
	if s.State != StepDrained || p.State == PlanCancelled {
		return stepRefusal(p, s)
	}
	in.State = InstanceActing
	in.Command = CommandID(p.ID, in.ID, in.Generation)
	if s.Action == ActionMove {
		in.Pool = ""
	}
	return nil
}

func (t *Tables) complete(at time.Time, p *Plan, s *Step, in *Instance) *Refusal {
	if s.State != StepActing {
		return refuse(ReasonState, "nothing is to be done", "step of %s is %s", in.ID, s.State)
	}
	if s.Action == ActionHold && !p.Release && p.State != PlanCancelled {
		return refuse(ReasonState, "order the return with 'rackstep return'", "plan %s holds %s out of service", p.ID, in.ID)
	}
	in.Plan = ""
	in.Generation++
	switch s.Action {
	case ActionStop:
		in.State, in.Pool = InstanceRetired, ""
		return nil
	case ActionMove:
		in.Pool = s.To
		if t.Configuration.Pool(s.To) == nil {
			in.State, in.Pool = InstanceIdle, "" // the pool was removed while the instance moved
			return nil
		}
	case ActionReboot:
		in.Maintained = at
		in.Quarantined, in.FailedJobs = false, nil
	}
	in.State = InstanceServing
	return nil
}

func (t *Tables) returnToService(p *Plan, s *Step, in *Instance) *Refusal {
	if p.State != PlanCancelled || (s.State != StepDraining && s.State != StepDrained) {
		return stepRefusal(p, s)
	}
	in.State = InstanceServing
	in.Plan = ""
	in.Generation++
	return nil
}

func stepRefusal(p *Plan, s *Step) *Refusal {
	return refuse(ReasonState, "nothing is to be done", "plan %s is %s and its step for %s is %s", p.ID, p.State, s.Instance, s.State)
}
