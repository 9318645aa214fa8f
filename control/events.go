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

// emitRecordEvent emits the events of an applied record. Only the entry that wrote the record does so, so that each event is
// emitted once in the fleet.
func (c *Controller) emitRecordEvent(r fleet.Record, refusal *fleet.Refusal) {
	if r.Writer != c.Self.ID {
		return
	}
	if refusal != nil {
		c.Events.Emit(event.RecordRefused, recordSubject(r), refusal.Error())
		return
	}
	switch {
	case r.Join != nil:
		c.Events.Emit(event.EntryJoined, recordSubject(r), "")
	case r.Leave != nil:
		c.Events.Emit(event.EntryGone, recordSubject(r), "")
	case r.Observe != nil:
		for _, o := range r.Observe.Instances {
			c.Events.Emit(event.InstanceChanged, event.Subject{Instance: o.ID}, observationText(o))
		}
	case r.Propose != nil:
		c.Events.Emit(event.PlanProposed, recordSubject(r), "by "+r.By)
	case r.Control != nil:
		c.Events.Emit(event.PlanOrdered, recordSubject(r), string(r.Control.Order)+" by "+r.By)
	case r.Advance != nil:
		c.emitAdvanceEvents(r)
	case r.Submit != nil:
		c.Events.Emit(event.JobSubmitted, recordSubject(r), "team "+r.Submit.Team)
	case r.Start != nil:
		c.Events.Emit(event.JobStarting, recordSubject(r), fmt.Sprintf("attempt %d", r.Start.Attempt))
	case r.Settle != nil:
		c.emitSettleEvents(r)
	case r.Park != nil:
		c.Events.Emit(event.JobParked, recordSubject(r), r.Park.Note)
	case r.Yield != nil:
		c.Events.Emit(event.JobYielding, recordSubject(r), "")
	case r.Measure != nil:
		c.Events.Emit(event.JobMeasured, recordSubject(r), fmt.Sprintf("%d cores, %d MB", r.Measure.Cores, r.Measure.MemoryMB))
	case r.Throttle != nil:
		c.Events.Emit(event.JobThrottled, recordSubject(r), throttleText(*r.Throttle))
	}
}

func recordSubject(r fleet.Record) event.Subject {
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

func throttleText(t fleet.Throttle) string {
	if t.Cores == 0 {
		return "it may use all again"
	}
	return fmt.Sprintf("held to %d cores", t.Cores)
}

func observationText(o fleet.Observation) string {
	switch {
	case o.Down:
		return "down"
	case o.Leaving:
		return "leaving"
	}
	return "live"
}

func (c *Controller) emitAdvanceEvents(r fleet.Record) {
	c.Events.Emit(event.StepAdvanced, recordSubject(r), string(r.Advance.To))
	if p := c.tables.Plans.Get(r.Advance.Plan); p != nil && !p.Active() {
		c.Events.Emit(event.PlanEnded, event.Subject{Plan: p.ID}, string(p.State))
	}
}

func (c *Controller) emitSettleEvents(r fleet.Record) {
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
	subject := event.Subject{Plan: q.Plan, Instance: q.Instance, Job: q.Job, Request: q.Request}
	var answer peerpb.EventsAnswer
	for _, e := range c.Events.Since(0) {
		if !e.Matches(subject) {
			continue
		}
		if b, err := json.Marshal(e); err == nil {
			answer.Events = append(answer.Events, b)
		}
	}
	_ = s.Send(&answer) // a peer that didn't receive it retries
}

// TimeLine returns the events about the subject from all reachable entries, and the live entries that could not be reached.
func (c *Controller) TimeLine(ctx context.Context, about event.Subject) (events []event.Event, unreached []string) {
	for _, e := range c.Events.Since(0) {
		if e.Matches(about) {
			events = append(events, e)
		}
	}
	up := c.Mesh.ConnectedPeers()
	for _, entry := range up {
		more, err := c.requestEvents(ctx, entry, about)
		if err != nil {
			unreached = append(unreached, entry)
			continue
		}
		events = append(events, more...)
	}
	_ = c.do(ctx, func() { // when the entry stops, the result lacks these entries
		for _, id := range c.members.liveIn(c, "") {
			if id != c.Self.ID && !slices.Contains(up, id) {
				unreached = append(unreached, id)
			}
		}
	})
	event.SortTimeLine(events)
	return events, unreached
}

func (c *Controller) requestEvents(ctx context.Context, entry string, about event.Subject) ([]event.Event, error) {
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
