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

// Figures of the questions to the advice service.
const (
	// adviseFirst is how many workers one question names: each costs time, and few are needed.
	adviseFirst = 6
	// adviseSpare is how long a ticket must still be valid for a start to use it.
	adviseSpare = 200 * time.Millisecond
	// adviseMargin is added to the time that the service says it takes.
	adviseMargin = 500 * time.Millisecond
	// askedFor is how long a worker that got no ticket is not asked about again: the answer does not change.
	askedFor = 10 * time.Second
)

// stepTickets are the tickets of one step, by the worker's life.
type stepTickets struct {
	tickets map[string]Ticket
	// refused are the lives that may not run the step, and when that was said.
	refused map[string]time.Time
}

// withTickets gives the group its tickets where its queue needs them; it says whether anything of it may start.
func (c *session) withTickets(g *place.Group, now time.Time) bool {
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
	g.Tickets = make(map[string]string)
	for life, t := range s.tickets {
		if w := c.workers[life]; w == nil || t.Until.Before(now.Add(adviseSpare)) {
			delete(s.tickets, life)
		} else if c.hasRoom(w, g, now) {
			g.Tickets[life] = t.Ticket
		}
	}
	if len(g.Tickets) == 0 {
		c.askAdvice(name, s, g, q, now)
	}
	return len(g.Tickets) > 0
}

func (c *session) hasRoom(w *worker, g *place.Group, now time.Time) bool {
	n := place.Charge(&g.Job.Spec.Steps[g.Step])
	f := w.room.Free
	return w.usable(now) && f.MilliCPU >= n.MilliCPU && f.MemoryMB >= n.MemoryMB && f.GPU >= n.GPU
}

// askAdvice asks about the emptiest workers that were not refused, one question at a time.
func (c *session) askAdvice(name string, s *stepTickets, g *place.Group, q job.Queue, now time.Time) {
	if c.advising {
		return
	}
	var candidates []*worker
	for _, w := range c.workers {
		if at, no := s.refused[w.Life]; w.Pool == q.Pool && c.hasRoom(w, g, now) && (!no || now.Sub(at) > askedFor) {
			candidates = append(candidates, w)
		}
	}
	if len(candidates) == 0 {
		return
	}
	slices.SortFunc(candidates, func(a, b *worker) int { return cmp.Compare(b.room.Free.MilliCPU, a.room.Free.MilliCPU) })
	lives := make([]string, 0, adviseFirst)
	for _, w := range candidates[:min(adviseFirst, len(candidates))] {
		lives = append(lives, w.Life)
	}
	c.advising = true
	limit := q.Advice.Decide + time.Duration(len(lives))*q.Advice.Each + adviseMargin
	c.work.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, limit)
		defer cancel()
		tickets, err := c.Advise(ctx, name, lives)
		c.post(adviceRead{step: name, lives: lives, tickets: tickets, err: err})
	})
}

// adviceRead is the advice service's answer.
type adviceRead struct {
	step    string
	lives   []string
	tickets []Ticket
	err     error
}

func (m adviceRead) apply(c *session) {
	c.advising = false
	s := c.tickets[m.step]
	if m.err != nil || s == nil {
		c.emit(event.RunRefused, event.Subject{Job: m.step}, "no advice: %v", m.err)
		return
	}
	now := c.now()
	for _, life := range m.lives {
		s.refused[life] = now
	}
	for _, t := range m.tickets {
		delete(s.refused, t.Life)
		s.tickets[t.Life] = t
	}
	for _, p := range c.pools {
		p.dirty = true
	}
}

// forgetTicket drops a ticket that a worker refused.
func (c *session) forgetTicket(t *job.Task, life string) {
	if s := c.tickets[stepName(t)]; s != nil {
		delete(s.tickets, life)
	}
}

// forgetTickets drops what the advice service has said of a job's steps: another job may come to bear its ID.
func (c *session) forgetTickets(j *job.Job) {
	for i := range j.Tasks {
		delete(c.tickets, stepName(&j.Tasks[i]))
	}
}
