// SPDX-License-Identifier: MIT

package fleet

import (
	"slices"
	"time"
)

// Intent is an operator's request for planned work of one kind.
type Intent struct {
	Kind IntentKind `json:"kind"`
	// Rack is set for IntentEmptyRack.
	Rack string `json:"rack,omitempty"`
	// DataCentre is set for IntentEmptyDataCentre and optionally restricts IntentEmptyRack.
	DataCentre string `json:"data_centre,omitempty"`
	// Pool is the pool to maintain, or the destination of a move.
	Pool string `json:"pool,omitempty"`
	// Instances are set for IntentMove and IntentReplace.
	Instances []string `json:"instances,omitempty"`
	// Hold keeps the drained instances out of service until an operator orders their return; for IntentEmptyRack and
	// IntentEmptyDataCentre.
	Hold bool `json:"hold,omitempty"`
	// NotSince limits IntentMaintain to instances that were last maintained before it.
	NotSince time.Time `json:"not_since,omitzero"`
}

// IntentKind is the kind of an intent.
type IntentKind string

// Kinds of an Intent.
const (
	IntentEmptyRack       IntentKind = "empty-rack"        // maintain every instance of a rack
	IntentEmptyDataCentre IntentKind = "empty-data-centre" // maintain every instance of a data centre
	IntentMaintain        IntentKind = "maintain"          // maintain a pool, or all pools
	IntentMove            IntentKind = "move"              // move instances to a pool
	IntentReplace         IntentKind = "replace"           // stop instances permanently
)

// Action is what a step does with its instance once the instance is drained.
type Action string

// Actions of a Step.
const (
	ActionReboot Action = "reboot" // reboot and return to the same pool
	ActionMove   Action = "move"   // release and assign to another pool
	ActionStop   Action = "stop"   // stop permanently
	ActionHold   Action = "hold"   // stay out until an operator orders the return
)

// PlanState is the state of a plan.
type PlanState string

// States of a Plan.
const (
	PlanProposed  PlanState = "proposed"
	PlanRunning   PlanState = "running"
	PlanPaused    PlanState = "paused"
	PlanCancelled PlanState = "cancelled" // draining and drained instances return to service, acting steps are completed
	PlanDone      PlanState = "done"
)

// StepState is the state of a step of a plan.
type StepState string

// States of a Step.
const (
	StepWaiting  StepState = "waiting"
	StepDraining StepState = "draining"
	StepDrained  StepState = "drained"
	StepActing   StepState = "acting"
	StepDone     StepState = "done"
	StepReturned StepState = "returned" // cancelled before its action, back in service
	StepSkipped  StepState = "skipped"  // cancelled before its take-out
)

// Ended reports whether the state is final.
func (s StepState) Ended() bool {
	return s == StepDone || s == StepReturned || s == StepSkipped
}

// Step is one instance's part of a plan.
type Step struct {
	Instance string
	Wave     int
	Action   Action
	// From and To are pools; they are equal unless the action is a move.
	From, To string
	State    StepState
}

// Left is an instance that could not be included in a plan, with the reason.
type Left struct {
	Instance string
	Reason   string
}

// Estimate is the expected cost of a plan, with lower bounds that no plan can beat.
type Estimate struct {
	RollOut, RollOutBound time.Duration
	Moves, MovesBound     int
	// Buffer is the largest number of instances that are out at once.
	Buffer, BufferBound int
}

// Plan is a set of steps, grouped into waves, that carries out an intent.
type Plan struct {
	ID     string
	By     string
	Intent Intent
	// Base is the version of the configuration that the plan is based on.
	Base     uint64
	State    PlanState
	Waves    int
	Steps    []Step
	Left     []Left
	Estimate Estimate
	// Release is set when an operator has ordered the return of held instances.
	Release bool
	// Ended is the offset at which the plan's last step ended, 0 before.
	Ended int64
}

// Active reports whether the plan may still change instances.
func (p *Plan) Active() bool {
	switch p.State {
	case PlanRunning, PlanPaused:
		return true
	case PlanCancelled:
		return p.hasOpenSteps()
	}
	return false
}

func (p *Plan) hasOpenSteps() bool {
	for i := range p.Steps {
		if !p.Steps[i].State.Ended() {
			return true
		}
	}
	return false
}

// Propose is the record that stores a plan so that any entry can confirm it.
type Propose struct {
	Plan Plan `cbor:"p"`
}

// Order is an operator's command for a plan.
type Order string

// Orders for a plan.
const (
	OrderConfirm Order = "confirm"
	OrderPause   Order = "pause"
	OrderResume  Order = "resume"
	OrderCancel  Order = "cancel"
	OrderReturn  Order = "return" // held instances return to service
)

// Control is the record of an operator's order for a plan.
type Control struct {
	Plan  string `cbor:"p"`
	Order Order  `cbor:"o"`
}

func (t *Tables) propose(by string, p Propose) *Refusal {
	plan := p.Plan
	if t.Plans.Get(plan.ID) != nil {
		return refuse(ReasonDuplicate, "ask for a new plan", "plan %s is known", plan.ID)
	}
	plan.By = by
	plan.State = PlanProposed
	plan.Ended = 0
	for i := range plan.Steps {
		plan.Steps[i].State = StepWaiting
	}
	t.Plans.Put(plan.ID, plan)
	t.prunePlans()
	return nil
}

// prunePlans deletes inactive plans, in the order of their IDs, while more than maxFinishedPlans plans are stored.
func (t *Tables) prunePlans() {
	for t.Plans.Len() > maxFinishedPlans {
		oldest := ""
		for id, p := range t.Plans.All {
			if !p.Active() {
				oldest = id
				break
			}
		}
		if oldest == "" {
			return
		}
		t.Plans.Delete(oldest)
	}
}

func (t *Tables) control(c Control) *Refusal {
	p := t.Plans.Get(c.Plan)
	if p == nil {
		return refuse(ReasonUnknown, "list the plans with 'rackstep plans'", "plan %s is not known", c.Plan)
	}
	switch c.Order {
	case OrderConfirm:
		return t.confirm(p)
	case OrderPause:
		return t.changePlanState(p, PlanRunning, PlanPaused)
	case OrderResume:
		return t.changePlanState(p, PlanPaused, PlanRunning)
	case OrderCancel:
		return t.cancelPlan(p)
	case OrderReturn:
		return t.returnHeld(p)
	}
	return refuse(ReasonInvalid, "use confirm, pause, resume, cancel or return", "order %q is not known", c.Order)
}

// returnHeld lets the plan's held instances return to service. Instances that still wait are no longer taken out.
func (t *Tables) returnHeld(p *Plan) *Refusal {
	if !p.Active() || !p.Intent.Hold || p.Release {
		return refuse(ReasonState, "look at 'rackstep status'", "plan %s is %s and holds nothing that could return", p.ID, p.State)
	}
	p.Release = true
	t.skipWaiting(p)
	return nil
}

func (t *Tables) changePlanState(p *Plan, from, to PlanState) *Refusal {
	if p.State != from {
		return refuse(ReasonState, "look at 'rackstep status'", "plan %s is %s, not %s", p.ID, p.State, from)
	}
	p.State = to
	return nil
}

func (t *Tables) confirm(p *Plan) *Refusal {
	const remedy = "ask for a new plan and confirm that one"
	if p.State != PlanProposed {
		return refuse(ReasonState, "look at 'rackstep status'", "plan %s is %s already", p.ID, p.State)
	}
	if p.Base != t.Version {
		return refuse(ReasonStale, remedy, "plan %s was made from version %d and version %d is in force", p.ID, p.Base, t.Version)
	}
	for i := range p.Steps {
		s := &p.Steps[i]
		in := t.Instances.Get(s.Instance)
		if in == nil || in.Pool != s.From {
			return refuse(ReasonStale, remedy, "instance %s is no longer in pool %q", s.Instance, s.From)
		}
		if owner := t.activePlanFor(s.Instance); owner != "" {
			return refuse(ReasonOccupied, "wait for that plan or cancel it, then ask for a new plan",
				"instance %s belongs to plan %s", s.Instance, owner)
		}
	}
	p.State = PlanRunning
	t.finishIfComplete(p)
	return nil
}

// activePlanFor returns the active plan that has an unfinished step for the instance, or an empty string.
func (t *Tables) activePlanFor(instance string) string {
	for id, p := range t.Plans.All {
		if !p.Active() {
			continue
		}
		for i := range p.Steps {
			if p.Steps[i].Instance == instance && !p.Steps[i].State.Ended() {
				return id
			}
		}
	}
	return ""
}

func (t *Tables) cancelPlan(p *Plan) *Refusal {
	if p.State == PlanDone || p.State == PlanCancelled {
		return refuse(ReasonState, "nothing is to be done", "plan %s is %s already", p.ID, p.State)
	}
	p.State = PlanCancelled
	t.skipWaiting(p)
	return nil
}

// skipWaiting skips the steps whose instances have not been taken out.
func (t *Tables) skipWaiting(p *Plan) {
	for i := range p.Steps {
		if p.Steps[i].State == StepWaiting {
			p.Steps[i].State = StepSkipped
		}
	}
	t.finishIfComplete(p)
}

// finishIfComplete ends the plan once all its steps have ended.
func (t *Tables) finishIfComplete(p *Plan) {
	if p.State == PlanProposed || p.hasOpenSteps() {
		return
	}
	if p.State != PlanCancelled {
		p.State = PlanDone
	}
	p.Ended = t.Offset
}

// Clone returns a deep copy of the plan.
func (p *Plan) Clone() *Plan {
	c := *p
	c.Steps = slices.Clone(p.Steps)
	c.Left = slices.Clone(p.Left)
	c.Intent.Instances = slices.Clone(p.Intent.Instances)
	return &c
}
