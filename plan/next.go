// SPDX-License-Identifier: MIT

package plan

import (
	"fmt"
	"time"

	"rackstep.dev/fleet"
)

// CommandFact is what the platform reports about a command.
type CommandFact int

// States of a command as far as this entry knows.
const (
	CommandNotQueried CommandFact = iota // this entry has not asked the platform yet
	CommandUnknown                       // the platform does not know the command
	CommandRunning
	CommandDone
	CommandExpired // the platform refuses it permanently
)

// Facts are the functions by which Next learns what is not in the tables.
type Facts struct {
	// Acknowledged returns the entries that route nothing to the draining instance and have nothing in flight there.
	Acknowledged func(in *fleet.Instance) []string
	// Missing returns an entry that the platform lists and that has not acknowledged the drain, or an empty string.
	Missing func(in *fleet.Instance) string
	// Command returns what is known about the command.
	Command func(id string) CommandFact
}

// Decision is one action to take now. Exactly one field is set.
type Decision struct {
	// Advance is a record to append to the log.
	Advance *fleet.Advance
	// Command is to be sent to the platform. Commands are idempotent.
	Command *Command
	// Held is a step that can't proceed now.
	Held *Held
}

// Command asks the platform to act on an instance.
type Command struct {
	Instance, ID string
	Action       fleet.Action
}

// Held is a step that waits, and the reason.
type Held struct {
	Instance, Reason string
}

// Next returns the actions that may be taken now for the plan.
func Next(t *fleet.Tables, p *fleet.Plan, f Facts) []Decision {
	if !p.Active() {
		return nil
	}
	n := decider{t: t, p: p, f: f, currentWave: firstWaitingWave(p)}
	for i := range p.Steps {
		n.step(&p.Steps[i])
	}
	return n.out
}

// firstWaitingWave returns the earliest wave that still has a waiting step.
func firstWaitingWave(p *fleet.Plan) int {
	first := p.Waves
	for i := range p.Steps {
		if p.Steps[i].State == fleet.StepWaiting {
			first = min(first, p.Steps[i].Wave)
		}
	}
	return first
}

// decider collects the decisions of one call of Next.
type decider struct {
	t   *fleet.Tables
	p   *fleet.Plan
	f   Facts
	out []Decision
	// margins are what the budgets can still spare after the decisions of this call, so that no record is written that the
	// fold would refuse.
	margins []margin
	// currentWave is the earliest wave that still has a waiting step.
	currentWave int
}

func (n *decider) step(s *fleet.Step) {
	in := n.t.Instances.Get(s.Instance)
	if in == nil || s.State.Ended() {
		return
	}
	switch s.State {
	case fleet.StepWaiting:
		n.waiting(s, in)
	case fleet.StepDraining:
		n.draining(s, in)
	case fleet.StepDrained:
		n.drained(s, in)
	case fleet.StepActing:
		n.acting(s, in)
	}
}

func (n *decider) advance(s *fleet.Step, in *fleet.Instance, to fleet.StepState, acks []string) {
	n.out = append(n.out, Decision{Advance: &fleet.Advance{Plan: n.p.ID, Instance: in.ID, To: to, Generation: in.Generation, Acknowledged: acks}})
}

func (n *decider) hold(in *fleet.Instance, format string, args ...any) {
	n.out = append(n.out, Decision{Held: &Held{Instance: in.ID, Reason: fmt.Sprintf(format, args...)}})
}

func (n *decider) waiting(s *fleet.Step, in *fleet.Instance) {
	if n.p.State != fleet.PlanRunning {
		return
	}
	if s.Wave != n.currentWave {
		return // an earlier wave still has a waiting step
	}
	if in.State != fleet.InstanceServing || in.Plan != "" {
		n.hold(in, "it is %s", in.State)
		return
	}
	if !n.takeOutAllowed(s, in) {
		n.hold(in, "a budget needs it in service")
		return
	}
	n.advance(s, in, fleet.StepDraining, nil)
}

// takeOutAllowed reports whether the budgets allow one more take-out in addition to those that this call has decided, and charges
// it to the margins if so.
func (n *decider) takeOutAllowed(s *fleet.Step, in *fleet.Instance) bool {
	if !in.Available() {
		return true
	}
	if n.margins == nil {
		n.margins = margins(n.t)
	}
	w := waves{margins: n.margins}
	if w.blocking(candidate{in: in, action: s.Action}) != "" {
		return false
	}
	w.adjustMargins(in.Pool, in.DataCentre, -1)
	return true
}

func (n *decider) draining(s *fleet.Step, in *fleet.Instance) {
	if n.p.State == fleet.PlanCancelled {
		n.advance(s, in, fleet.StepReturned, nil)
		return
	}
	acks := n.f.Acknowledged(in)
	if id := n.t.Unacknowledged(in, acks); id != "" {
		n.hold(in, "entry %s has not acknowledged the drain", id)
		return
	}
	if id := n.f.Missing(in); id != "" {
		n.hold(in, "entry %s is listed by the platform and has not acknowledged the drain", id)
		return
	}
	if n.t.JobsOn(in.ID) > 0 {
		n.hold(in, "a job still runs on it")
		return
	}
	n.advance(s, in, fleet.StepDrained, acks)
}

func (n *decider) drained(s *fleet.Step, in *fleet.Instance) {
	if n.p.State == fleet.PlanCancelled {
		n.advance(s, in, fleet.StepReturned, nil)
		return
	}
	n.advance(s, in, fleet.StepActing, nil)
}

func (n *decider) acting(s *fleet.Step, in *fleet.Instance) {
	if s.Action == fleet.ActionMove {
		n.advance(s, in, fleet.StepDone, nil) // a drained instance is only reassigned; the platform has no part in it
		return
	}
	if s.Action == fleet.ActionHold {
		if n.p.Release || n.p.State == fleet.PlanCancelled {
			n.advance(s, in, fleet.StepDone, nil)
			return
		}
		n.hold(in, "it is out; 'rackstep return %s' brings it back", n.p.ID)
		return
	}
	switch n.f.Command(in.Command) {
	case CommandNotQueried, CommandUnknown:
		n.out = append(n.out, Decision{Command: &Command{Instance: in.ID, ID: in.Command, Action: s.Action}})
	case CommandExpired:
		n.advance(s, in, fleet.StepDrained, nil) // it has not happened and never will, so a new command may be sent
	case CommandDone:
		if s.Action == fleet.ActionReboot && in.Down {
			n.hold(in, "it was rebooted and is not listed as live yet")
			return
		}
		n.advance(s, in, fleet.StepDone, nil)
	}
}

// TimeToTakeOut returns a function that returns how long an instance is expected to stay in service before an active plan takes
// it out, and false when no active plan will.
func TimeToTakeOut(t *fleet.Tables, c Costs) func(instance string) (time.Duration, bool) {
	times := make(map[string]time.Duration)
	for _, p := range t.Plans.All {
		if !p.Active() {
			continue
		}
		first := firstWaitingWave(p)
		for i := range p.Steps {
			if s := &p.Steps[i]; s.State == fleet.StepWaiting {
				times[s.Instance] = time.Duration(s.Wave-first) * c.MaintenanceTime()
			}
		}
	}
	return func(id string) (time.Duration, bool) {
		d, ok := times[id]
		return d, ok
	}
}

// ShouldMove reports whether a job on a draining instance, which has run for ran, is to be moved rather than waited for.
//
// Declared run times are often far off. A job that has exceeded its declared run time is expected to run for as long again as it
// has run so far.
func ShouldMove(j *fleet.Job, ran, patience time.Duration) bool {
	remaining := j.Spec.RunTime.Std() - ran
	if remaining < 0 {
		remaining = ran
	}
	return j.Spec.RunTime == 0 || remaining > patience
}
