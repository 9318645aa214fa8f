// SPDX-License-Identifier: MIT

package plan

import (
	"fmt"
	"time"

	"rackstep.dev/fleet"
)

// CommandFact is what the platform says of a command.
type CommandFact int

// What may be known of a command.
const (
	CommandNotQueried CommandFact = iota // this entry has not asked yet
	CommandUnknown                     // the platform has not seen it
	CommandRunning
	CommandDone
	CommandExpired // the platform refuses it for ever
)

// Facts is what Next needs to know beside the tables.
type Facts struct {
	// Acknowledged returns the entries that route nothing to the draining instance and have nothing in flight there.
	Acknowledged func(in *fleet.Instance) []string
	// Missing returns an entry that the platform lists and that has not acknowledged, or an empty string.
	Missing func(in *fleet.Instance) string
	// Command returns what is known of the command.
	Command func(id string) CommandFact
}

// Decision is one thing to do now; exactly one field is set.
type Decision struct {
	// Advance is a record for the log.
	Advance *fleet.Advance
	// Command is to be sent to the platform; sending it twice does no harm.
	Command *Command
	// Held says why a step can't go on now.
	Held *Held
}

// Command asks the platform to act on an instance.
type Command struct {
	Instance, ID string
	Action       fleet.Action
}

// Held is a step that waits.
type Held struct {
	Instance, Reason string
}

// Next returns what may be done now for the plan.
func Next(t *fleet.Tables, p *fleet.Plan, f Facts) []Decision {
	if !p.Active() {
		return nil
	}
	n := next{t: t, p: p, f: f, first: firstWave(p)}
	for i := range p.Steps {
		n.step(&p.Steps[i])
	}
	return n.out
}

// firstWave returns the earliest wave that still has a waiting step.
func firstWave(p *fleet.Plan) int {
	first := p.Waves
	for i := range p.Steps {
		if p.Steps[i].State == fleet.StepWaiting {
			first = min(first, p.Steps[i].Wave)
		}
	}
	return first
}

type next struct {
	t   *fleet.Tables
	p   *fleet.Plan
	f   Facts
	out []Decision
	// margins are what the budgets can still lose in this call, so that no record is written in vain.
	margins []margin
	// first is the earliest wave that still has a waiting step.
	first int
}

func (n *next) step(s *fleet.Step) {
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

func (n *next) advance(s *fleet.Step, in *fleet.Instance, to fleet.StepState, acks []string) {
	n.out = append(n.out, Decision{Advance: &fleet.Advance{Plan: n.p.ID, Instance: in.ID, To: to, Generation: in.Generation, Acknowledged: acks}})
}

func (n *next) hold(in *fleet.Instance, format string, args ...any) {
	n.out = append(n.out, Decision{Held: &Held{Instance: in.ID, Reason: fmt.Sprintf(format, args...)}})
}

func (n *next) waiting(s *fleet.Step, in *fleet.Instance) {
	if n.p.State != fleet.PlanRunning {
		return
	}
	if s.Wave != n.first {
		return // an earlier wave has a step that is not out yet
	}
	if in.State != fleet.InstanceServing || in.Plan != "" {
		n.hold(in, "it is %s", in.State)
		return
	}
	if !n.take(s, in) {
		n.hold(in, "a budget needs it in service")
		return
	}
	n.advance(s, in, fleet.StepDraining, nil)
}

// take says whether the budgets allow one more take-out beside those that this call decided.
func (n *next) take(s *fleet.Step, in *fleet.Instance) bool {
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
	w.change(in.Pool, in.DataCentre, -1)
	return true
}

func (n *next) draining(s *fleet.Step, in *fleet.Instance) {
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

func (n *next) drained(s *fleet.Step, in *fleet.Instance) {
	if n.p.State == fleet.PlanCancelled {
		n.advance(s, in, fleet.StepReturned, nil)
		return
	}
	n.advance(s, in, fleet.StepActing, nil)
}

func (n *next) acting(s *fleet.Step, in *fleet.Instance) {
	if s.Action == fleet.ActionMove {
		n.advance(s, in, fleet.StepDone, nil) // released and drained: there is nothing to ask the platform
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
		n.advance(s, in, fleet.StepDrained, nil) // it did not happen and never will: a new one may be sent
	case CommandDone:
		if s.Action == fleet.ActionReboot && in.Down {
			n.hold(in, "it was rebooted and is not listed as live yet")
			return
		}
		n.advance(s, in, fleet.StepDone, nil)
	}
}

// TimeToTakeOut returns a function that says how long an instance stays in service before an active plan is expected to take it
// out, and false when no plan will.
func TimeToTakeOut(t *fleet.Tables, c Costs) func(instance string) (time.Duration, bool) {
	turns := make(map[string]time.Duration)
	for _, p := range t.Plans.All {
		if !p.Active() {
			continue
		}
		first := firstWave(p)
		for i := range p.Steps {
			if s := &p.Steps[i]; s.State == fleet.StepWaiting {
				turns[s.Instance] = time.Duration(s.Wave-first) * c.MaintenanceTime()
			}
		}
	}
	return func(id string) (time.Duration, bool) {
		d, ok := turns[id]
		return d, ok
	}
}

// ShouldMove says whether a job on a draining instance is moved rather than waited for, after it has run for that long.
//
// Declared run times are far off: when the declared one has passed, the job is taken to run on for as long again.
func ShouldMove(j *fleet.Job, ran, patience time.Duration) bool {
	left := j.Spec.RunTime.Std() - ran
	if left < 0 {
		left = ran
	}
	return j.Spec.RunTime == 0 || left > patience
}
