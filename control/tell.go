// SPDX-License-Identifier: MIT

package control

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"rackstep.dev/event"
	"rackstep.dev/fleet"
	"rackstep.dev/peer"
	"rackstep.dev/peer/peerpb"
)

// tell turns a folded record into an event; only the record's writer does, so that it is told once.
func (c *Controller) tell(r fleet.Record, refusal *fleet.Refusal) {
	if r.Writer != c.Self.ID {
		return
	}
	if refusal != nil {
		c.Events.Emit(event.RecordRefused, subject(r), refusal.Error())
		return
	}
	switch {
	case r.Join != nil:
		c.Events.Emit(event.EntryJoined, subject(r), "")
	case r.Leave != nil:
		c.Events.Emit(event.EntryGone, subject(r), "")
	case r.Observe != nil:
		for _, o := range r.Observe.Instances {
			c.Events.Emit(event.InstanceChanged, event.Subject{Instance: o.ID}, observed(o))
		}
	case r.Propose != nil:
		c.Events.Emit(event.PlanProposed, subject(r), "by "+r.By)
	case r.Control != nil:
		c.Events.Emit(event.PlanOrdered, subject(r), string(r.Control.Order)+" by "+r.By)
	case r.Advance != nil:
		c.tellAdvance(r)
	case r.Submit != nil:
		c.Events.Emit(event.JobSubmitted, subject(r), "team "+r.Submit.Team)
	case r.Start != nil:
		c.Events.Emit(event.JobStarting, subject(r), fmt.Sprintf("attempt %d", r.Start.Attempt))
	case r.Settle != nil:
		c.tellSettle(r)
	case r.Park != nil:
		c.Events.Emit(event.JobParked, subject(r), r.Park.Note)
	case r.Yield != nil:
		c.Events.Emit(event.JobYielding, subject(r), "")
	case r.Measure != nil:
		c.Events.Emit(event.JobMeasured, subject(r), fmt.Sprintf("%d cores, %d MB", r.Measure.Cores, r.Measure.MemoryMB))
	case r.Throttle != nil:
		c.Events.Emit(event.JobThrottled, subject(r), throttled(*r.Throttle))
	}
}

func subject(r fleet.Record) event.Subject {
	switch {
	case r.Join != nil:
		return event.Subject{Entry: r.Join.Entry.ID}
	case r.Leave != nil:
		return event.Subject{Entry: r.Leave.ID}
	case r.Propose != nil:
		return event.Subject{Plan: r.Propose.Plan.ID}
	case r.Control != nil:
		return event.Subject{Plan: r.Control.Plan}
	case r.Advance != nil:
		return event.Subject{Plan: r.Advance.Plan, Instance: r.Advance.Instance}
	case r.Submit != nil:
		return event.Subject{Job: r.Submit.Spec.ID}
	case r.Start != nil:
		return event.Subject{Job: r.Start.Job, Instance: r.Start.Instance}
	case r.Settle != nil:
		return event.Subject{Job: r.Settle.Job}
	case r.Park != nil:
		return event.Subject{Job: r.Park.Job}
	case r.Cancel != nil:
		return event.Subject{Job: r.Cancel.Job}
	case r.Yield != nil:
		return event.Subject{Job: r.Yield.Job}
	case r.Measure != nil:
		return event.Subject{Job: r.Measure.Job}
	case r.Throttle != nil:
		return event.Subject{Job: r.Throttle.Job}
	}
	return event.Subject{}
}

func throttled(t fleet.Throttle) string {
	if t.Cores == 0 {
		return "it may use all again"
	}
	return fmt.Sprintf("held to %d cores", t.Cores)
}

func observed(o fleet.Observation) string {
	switch {
	case o.Down:
		return "down"
	case o.Leaving:
		return "leaving"
	}
	return "live"
}

func (c *Controller) tellAdvance(r fleet.Record) {
	c.Events.Emit(event.StepAdvanced, subject(r), string(r.Advance.To))
	if p := c.tables.Plans.Get(r.Advance.Plan); p != nil && !p.Active() {
		c.Events.Emit(event.PlanEnded, event.Subject{Plan: p.ID}, string(p.State))
	}
}

func (c *Controller) tellSettle(r fleet.Record) {
	j := c.tables.Jobs.Get(r.Settle.Job)
	if j == nil {
		return
	}
	c.Events.Emit(event.JobSettled, event.Subject{Job: j.ID, Instance: j.Instance}, string(r.Settle.Outcome))
	if j.State == fleet.JobParked {
		c.Events.Emit(event.JobParked, event.Subject{Job: j.ID}, j.Note)
	}
	if r.Settle.Outcome != fleet.OutcomeFailed || len(j.FailedOn) == 0 {
		return
	}
	last := j.FailedOn[len(j.FailedOn)-1]
	if in := c.tables.Instances.Get(last); in != nil && in.Quarantined {
		c.Events.Emit(event.WorkerQuarantined, event.Subject{Instance: last}, "")
	}
}

// serveEvents sends a peer this entry's events about a subject.
func (c *Controller) serveEvents(q *peerpb.EventsQuery, s *peer.Stream) {
	about := event.Subject{Plan: q.Plan, Instance: q.Instance, Job: q.Job, Request: q.Request}
	var answer peerpb.EventsAnswer
	for _, e := range c.Events.Since(0) {
		if !e.Matches(about) {
			continue
		}
		if b, err := json.Marshal(e); err == nil {
			answer.Events = append(answer.Events, b)
		}
	}
	_ = s.Send(&answer) // a peer that has gone asks again
}

// TimeLine returns the events about the subject of every entry that can be reached, and the entries that could not.
func (c *Controller) TimeLine(ctx context.Context, about event.Subject) (events []event.Event, unreached []string) {
	for _, e := range c.Events.Since(0) {
		if e.Matches(about) {
			events = append(events, e)
		}
	}
	up := c.Mesh.ConnectedPeers()
	for _, entry := range up {
		more, err := c.askEvents(ctx, entry, about)
		if err != nil {
			unreached = append(unreached, entry)
			continue
		}
		events = append(events, more...)
	}
	_ = c.do(ctx, func() { // an entry that stops answers with what it has
		for _, id := range c.members.in(c, "") {
			if id != c.Self.ID && !slices.Contains(up, id) {
				unreached = append(unreached, id)
			}
		}
	})
	event.SortTimeLine(events)
	return events, unreached
}

func (c *Controller) askEvents(ctx context.Context, entry string, about event.Subject) ([]event.Event, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	q := &peerpb.EventsQuery{Plan: about.Plan, Instance: about.Instance, Job: about.Job, Request: about.Request}
	s, err := c.Mesh.Open(ctx, entry, &peerpb.Open{Kind: &peerpb.Open_Events{Events: q}})
	if err != nil {
		return nil, err
	}
	defer s.Close()
	var answer peerpb.EventsAnswer
	if err := s.Receive(&answer); err != nil {
		return nil, err
	}
	var events []event.Event
	for _, b := range answer.Events {
		var e event.Event
		if err := json.Unmarshal(b, &e); err != nil {
			return nil, fmt.Errorf("events of %s: %w", entry, err)
		}
		events = append(events, e)
	}
	return events, nil
}
