// SPDX-License-Identifier: MIT

package control

import (
	"context"
	"time"

	"rackstep.dev/admin"
	"rackstep.dev/fleet"
)

// Read runs f with the tables on the control goroutine; f must not keep them.
func (c *Controller) Read(ctx context.Context, f func(t *fleet.Tables)) error {
	return c.do(ctx, func() { f(c.tables) })
}

// Status returns what this entry knows.
func (c *Controller) Status(ctx context.Context) (admin.Status, error) {
	st := admin.Status{Entry: c.Self.ID, Offset: -1, Jobs: make(admin.JobCounts)}
	st.InFlight, st.Waiting, st.Slots = c.Server.Load()
	st.Claims = c.Registry.Len()
	if c.PeerMeter != nil {
		st.PeerIn, st.PeerOut = c.PeerMeter.Bytes()
	}
	if c.PlatformMeter != nil {
		st.PlatformIn, st.PlatformOut = c.PlatformMeter.Bytes()
	}
	err := c.do(ctx, func() {
		c.entryStatus(&st)
		if c.tables != nil {
			c.tableStatus(&st)
		}
	})
	return st, err
}

func (c *Controller) entryStatus(st *admin.Status) {
	now := time.Now()
	for _, id := range sortedKeys(c.members.byEntry) {
		e := c.members.byEntry[id]
		s := e.status
		st.Entries = append(st.Entries, admin.EntryStatus{
			Entry: id, DataCentre: s.DataCentre, Version: s.Version, Offset: s.Offset, Age: fleet.Duration(now.Sub(e.heard).Round(time.Millisecond)),
			LogReachable: s.LogReachable, Stopping: s.Stopping, Caller: s.CallerAddress, Operator: s.OperatorAddress,
		})
	}
}

func (c *Controller) tableStatus(st *admin.Status) {
	t := c.tables
	st.Version, st.Offset = t.Version, t.Offset
	for i := range t.Configuration.Services {
		s := &t.Configuration.Services[i]
		st.Services = append(st.Services, admin.ServiceStatus{Service: s.Name, Pool: s.Pool, Margin: t.Spare(s.Budget()).Min()})
	}
	for _, team := range t.Configuration.Teams {
		if cores := t.TeamCores(team.Name); cores > 0 {
			st.Teams = append(st.Teams, admin.TeamStatus{Team: team.Name, Cores: cores, Quota: team.JobCores})
		}
	}
	for _, p := range t.Plans.All {
		st.Plans = append(st.Plans, c.planStatus(p))
	}
	for _, j := range t.Jobs.All {
		st.Jobs[j.State]++
	}
}

func (c *Controller) planStatus(p *fleet.Plan) admin.PlanStatus {
	st := admin.PlanStatus{ID: p.ID, Intent: p.Intent.Kind, State: p.State, Steps: len(p.Steps), Waits: make(map[string]string)}
	for i := range p.Steps {
		s := &p.Steps[i]
		switch {
		case s.State.Ended():
			st.Done++
		case s.State != fleet.StepWaiting:
			st.Out++
		}
		if reason := c.commands.held[s.Instance]; reason != "" && !s.State.Ended() && p.Active() {
			st.Waits[s.Instance] = reason
		}
	}
	return st
}
