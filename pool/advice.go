// SPDX-License-Identifier: MIT

package pool

import (
	"cmp"
	"context"
	"slices"
	"time"

	"rackstep.dev/event"
	"rackstep.dev/job"
	"rackstep.dev/place"
)

// Limits and timing of requests to the advice service.
const (
	// maxAdviceCandidates is the maximum number of workers in a request: each one adds to its duration, and few are needed.
	maxAdviceCandidates = 6
	// minTicketValidity is the minimum remaining validity of a ticket that is used for a start.
	minTicketValidity = 200 * time.Millisecond
	// adviseMargin is added to the response time stated by the service to obtain the timeout.
	adviseMargin = 500 * time.Millisecond
	// refusalTTL is how long a worker that was refused a ticket is left out of requests: the answer does not change.
	refusalTTL = 10 * time.Second
)

// stepTickets holds the tickets of one step, by worker incarnation.
type stepTickets struct {
	tickets map[string]Ticket
	// refused holds the incarnations that may not run the step, with the time of the answer.
	refused map[string]time.Time
}

// attachTickets sets the tickets of a group whose queue requires them, and reports whether any task of the group may start. It requests further tickets while the workers
// with tickets do not hold all waiting tasks.
func (c *session) attachTickets(g *place.Group, now time.Time) bool {
	q := c.queue(g.Job)
	if q.Advice == nil || c.Advise == nil {
		return true
	}
	name := stepName(g.Tasks[0])
	s := c.tickets[name]
	if s == nil {
		s = &stepTickets{tickets: make(map[string]Ticket), refused: make(map[string]time.Time)}
		c.tickets[name] = s
	}
	g.Tickets = nil // the tickets of the last pass must not decide which workers fit
	held, fit := make(map[string]string), 0
	for incarnation, t := range s.tickets {
		if w := c.workers[incarnation]; w == nil || t.Until.Before(now.Add(minTicketValidity)) {
			delete(s.tickets, incarnation)
		} else if n := c.fitCount(w, g, now); n > 0 {
			held[incarnation] = t.Ticket
			fit += n
		}
	}
	if fit < len(g.Tasks) {
		c.requestAdvice(name, s, g, q, now)
	}
	g.Tickets = held
	return len(held) > 0
}

// fitCount returns how many tasks of a group without tickets may start on the worker now.
func (c *session) fitCount(w *worker, g *place.Group, now time.Time) int {
	if !w.usable(now) || w.Pool != c.queue(g.Job).Pool {
		return 0
	}
	return g.Fits(&w.candidate)
}

// requestAdvice requests tickets for the workers with the most free capacity that may run the step, have no ticket and were not refused recently. Only one request is in
// progress at a time.
func (c *session) requestAdvice(name string, s *stepTickets, g *place.Group, q job.Queue, now time.Time) {
	if c.advising {
		return
	}
	var candidates []*worker
	for _, w := range c.workers {
		_, hasTicket := s.tickets[w.Incarnation]
		at, wasRefused := s.refused[w.Incarnation]
		if !hasTicket && c.fitCount(w, g, now) > 0 && (!wasRefused || now.Sub(at) > refusalTTL) {
			candidates = append(candidates, w)
		}
	}
	if len(candidates) == 0 {
		return
	}
	slices.SortFunc(candidates, func(a, b *worker) int { return cmp.Compare(b.candidate.Free.MilliCPU, a.candidate.Free.MilliCPU) })
	incarnations := make([]string, 0, maxAdviceCandidates)
	for _, w := range candidates[:min(maxAdviceCandidates, len(candidates))] {
		incarnations = append(incarnations, w.Incarnation)
	}
	c.advising = true
	timeout := q.Advice.Decide + time.Duration(len(incarnations))*q.Advice.Each + adviseMargin
	c.background.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, timeout)
		defer cancel()
		tickets, err := c.Advise(ctx, name, incarnations)
		c.post(adviceReceived{step: name, incarnations: incarnations, tickets: tickets, err: err})
	})
}

// adviceReceived is the response of the advice service.
type adviceReceived struct {
	step         string
	incarnations []string
	tickets      []Ticket
	err          error
}

func (m adviceReceived) apply(c *session) {
	c.advising = false
	s := c.tickets[m.step]
	if m.err != nil || s == nil {
		c.emit(event.RunRefused, event.Subject{Job: m.step}, "no advice: %v", m.err)
		return
	}
	now := c.now()
	for _, incarnation := range m.incarnations {
		s.refused[incarnation] = now
	}
	for _, t := range m.tickets {
		delete(s.refused, t.Incarnation)
		s.tickets[t.Incarnation] = t
	}
	for _, p := range c.pools {
		p.dirty = true
	}
}

// forgetTicket removes a ticket that a worker rejected.
func (c *session) forgetTicket(t *job.Task, incarnation string) {
	if s := c.tickets[stepName(t)]; s != nil {
		delete(s.tickets, incarnation)
	}
}

// forgetTickets removes all tickets and refusals of a job's steps, because its ID may be reused by another job.
func (c *session) forgetTickets(j *job.Job) {
	for i := range j.Tasks {
		delete(c.tickets, stepName(&j.Tasks[i]))
	}
}
