// SPDX-License-Identifier: MIT

package control

import (
	"context"
	"fmt"
	"slices"
	"time"

	"rackstep.dev/event"
	"rackstep.dev/fleet"
	"rackstep.dev/plan"
	"rackstep.dev/provider"
)

// commands tracks the platform's commands for plan steps that are being carried out.
type commands struct {
	facts    map[string]plan.CommandFact
	inFlight map[string]bool
	// holdReasons are the reasons for held steps that were last reported by an event, by instance.
	holdReasons map[string]string
}

func (m *commands) init() {
	m.facts = make(map[string]plan.CommandFact)
	m.inFlight = make(map[string]bool)
	m.holdReasons = make(map[string]string)
}

// commandStartWindow is how long after it was sent a command may still start.
const commandStartWindow = 30 * time.Second

// execute advances every active plan whose duty this entry owns.
func (c *Controller) execute() {
	c.pruneCommands()
	active := false
	for id, p := range c.tables.Plans.All {
		if !p.Active() || !c.ownsDuty("plan/"+id, "") {
			continue
		}
		for _, d := range plan.Next(c.tables, p, c.facts()) {
			c.applyDecision(p, d)
		}
		active = true
	}
	if !active {
		clear(c.commands.holdReasons)
	}
}

func (c *Controller) facts() plan.Facts {
	return plan.Facts{
		Acknowledged: func(in *fleet.Instance) []string { return c.members.acknowledged(c, in.ID, in.DrainOffset) },
		Missing:      c.unacknowledged,
		Command:      c.commandFact,
	}
}

// unacknowledged returns an entry that the platform lists and that has not acknowledged the drain, or an empty string.
func (c *Controller) unacknowledged(in *fleet.Instance) string {
	acks := c.members.acknowledged(c, in.ID, in.DrainOffset)
	for id, row := range c.list.rows {
		if row.Role != provider.RoleEntry {
			continue
		}
		e := c.tables.Entries.Get(id)
		switch {
		case e == nil && c.members.byEntry[id] == nil:
			return id // it runs but has not joined, and may have got tables from a peer that are older than the drain
		case e != nil && e.Joined < in.DrainOffset && !slices.Contains(acks, id):
			return id
		}
	}
	return ""
}

// commandFact returns the state of the command as last reported by the platform.
func (c *Controller) commandFact(id string) plan.CommandFact { return c.commands.facts[id] }

// pruneCommands removes the commands of instances that are no longer acting.
func (c *Controller) pruneCommands() {
	if len(c.commands.facts) == 0 {
		return
	}
	current := make(map[string]bool)
	for _, in := range c.tables.Instances.All {
		if in.State == fleet.InstanceActing {
			current[in.Command] = true
		}
	}
	for id := range c.commands.facts {
		if !current[id] {
			delete(c.commands.facts, id)
		}
	}
}

// applyDecision writes an advance, sends a command, or reports a held step.
func (c *Controller) applyDecision(p *fleet.Plan, d plan.Decision) {
	switch {
	case d.Advance != nil:
		a := d.Advance
		delete(c.commands.holdReasons, a.Instance)
		c.write(fmt.Sprintf("advance/%s/%s/%s/%d", a.Plan, a.Instance, a.To, a.Generation), fleet.Record{Advance: a})
	case d.Command != nil:
		c.sendCommand(p, *d.Command)
	case d.Held != nil:
		if c.commands.holdReasons[d.Held.Instance] != d.Held.Reason {
			c.commands.holdReasons[d.Held.Instance] = d.Held.Reason
			c.Events.Emit(event.StepHeld, event.Subject{Plan: p.ID, Instance: d.Held.Instance}, d.Held.Reason)
		}
	}
}

// sendCommand sends the command to the platform, which runs each command ID at most once. The result becomes a fact of
// plan.Next.
func (c *Controller) sendCommand(p *fleet.Plan, cmd plan.Command) {
	if c.commands.inFlight[cmd.ID] {
		return
	}
	c.commands.inFlight[cmd.ID] = true
	verb := provider.VerbReboot
	if cmd.Action == fleet.ActionStop {
		verb = provider.VerbStop
	}
	about := event.Subject{Plan: p.ID, Instance: cmd.Instance}
	c.Events.Emit(event.CommandSent, about, cmd.ID)
	notAfter := c.Clock().Add(commandStartWindow)
	go c.runCommand(c.ctx, cmd, provider.Command{Verb: verb, NotAfter: notAfter}, about)
}

// runCommand sends the command and polls the platform until the command has ended.
func (c *Controller) runCommand(ctx context.Context, cmd plan.Command, order provider.Command, about event.Subject) {
	state, err := c.Platform.RunCommand(ctx, cmd.Instance, cmd.ID, order)
	if err != nil {
		c.Events.Emit(event.CommandUncertain, about, err.Error())
	}
	for err != nil || state == provider.CommandRunning {
		sleep(ctx, listPeriod)
		if ctx.Err() != nil {
			return
		}
		state, err = c.Platform.Command(ctx, cmd.Instance, cmd.ID)
	}
	_ = c.post(ctx, func() { // post fails only when the entry stops
		delete(c.commands.inFlight, cmd.ID)
		c.commands.facts[cmd.ID] = commandFactOf(state)
	})
}

func commandFactOf(s provider.CommandState) plan.CommandFact {
	switch s {
	case provider.CommandRunning:
		return plan.CommandRunning
	case provider.CommandDone:
		return plan.CommandDone
	case provider.CommandExpired:
		return plan.CommandExpired
	}
	return plan.CommandUnknown
}
