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

// commands remembers what the platform said of the commands of acting steps.
type commands struct {
	facts  map[string]plan.CommandFact
	asking map[string]bool
	// held are the reasons told already, by instance.
	held map[string]string
}

func (m *commands) init() {
	m.facts = make(map[string]plan.CommandFact)
	m.asking = make(map[string]bool)
	m.held = make(map[string]string)
}

// commandTime is how long after its sending a command may still begin.
const commandTime = 30 * time.Second

// execute moves every active plan on that this entry leads.
func (c *Controller) execute() {
	c.dropCommands()
	active := false
	for id, p := range c.tables.Plans.All {
		if !p.Active() || !c.leads("plan/"+id, "") {
			continue
		}
		for _, d := range plan.Next(c.tables, p, c.facts()) {
			c.carryOut(p, d)
		}
		active = true
	}
	if !active {
		clear(c.commands.held)
	}
}

func (c *Controller) facts() plan.Facts {
	return plan.Facts{
		Acknowledged: func(in *fleet.Instance) []string { return c.members.acknowledged(c, in.ID, in.DrainOffset) },
		Missing:      c.missing,
		Command:      c.command,
	}
}

// missing returns an entry that the platform lists and that has not acknowledged the drain.
func (c *Controller) missing(in *fleet.Instance) string {
	acks := c.members.acknowledged(c, in.ID, in.DrainOffset)
	for id, row := range c.list.rows {
		if row.Role != provider.RoleEntry {
			continue
		}
		e := c.tables.Entries.Get(id)
		switch {
		case e == nil && c.members.byEntry[id] == nil:
			return id // it runs and has not joined: it may have taken old tables from a peer
		case e != nil && e.Joined < in.DrainOffset && !slices.Contains(acks, id):
			return id
		}
	}
	return ""
}

// command returns what the platform said of the command and asks again for one that is not finished.
func (c *Controller) command(id string) plan.CommandFact { return c.commands.facts[id] }

// dropCommands forgets commands of instances that are no longer acting.
func (c *Controller) dropCommands() {
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

func (c *Controller) carryOut(p *fleet.Plan, d plan.Decision) {
	switch {
	case d.Advance != nil:
		a := d.Advance
		delete(c.commands.held, a.Instance)
		c.write(fmt.Sprintf("advance/%s/%s/%s/%d", a.Plan, a.Instance, a.To, a.Generation), fleet.Record{Advance: a})
	case d.Command != nil:
		c.send(p, *d.Command)
	case d.Held != nil:
		if c.commands.held[d.Held.Instance] != d.Held.Reason {
			c.commands.held[d.Held.Instance] = d.Held.Reason
			c.Events.Emit(event.StepHeld, event.Subject{Plan: p.ID, Instance: d.Held.Instance}, d.Held.Reason)
		}
	}
}

// send asks the platform for the command; the answer comes back as a fact. The same ID runs once.
func (c *Controller) send(p *fleet.Plan, cmd plan.Command) {
	if c.commands.asking[cmd.ID] {
		return
	}
	c.commands.asking[cmd.ID] = true
	verb := provider.VerbReboot
	if cmd.Action == fleet.ActionStop {
		verb = provider.VerbStop
	}
	about := event.Subject{Plan: p.ID, Instance: cmd.Instance}
	c.Events.Emit(event.CommandSent, about, cmd.ID)
	notAfter := c.Clock().Add(commandTime)
	go c.ask(c.ctx, cmd, provider.Command{Verb: verb, NotAfter: notAfter}, about)
}

// ask sends the command and follows it until its end is known.
func (c *Controller) ask(ctx context.Context, cmd plan.Command, order provider.Command, about event.Subject) {
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
	_ = c.post(ctx, func() { // it fails only when the entry stops
		delete(c.commands.asking, cmd.ID)
		c.commands.facts[cmd.ID] = commandFact(state)
	})
}

func commandFact(s provider.CommandState) plan.CommandFact {
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
