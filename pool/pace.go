// SPDX-License-Identifier: MIT

package pool

import (
	"context"
	"time"

	"rackstep.dev/event"
	"rackstep.dev/job"
	"rackstep.dev/maintenance"
	"rackstep.dev/work"
)

// pacedWait is the maximum wait of a hold on a worker that runs filler tasks beside serving ones: the latencies that it reports cover the last half
// second.
const pacedWait = 500 * time.Millisecond

// paceFills limits the CPU share of the filler tasks of a worker so that the tail latencies of the serving tasks beside them stay below their
// targets.
func (c *session) paceFills(w *worker, now time.Time) {
	mixed := w.candidate.Filling > 0 && w.candidate.Serving > 0
	w.mixedLoad.Store(mixed)
	if w.candidate.Filling == 0 {
		return
	}
	worstTail := 0.0
	for t := range w.runs {
		if s := t.Spec(); s.Lasting && !s.Fills && s.TailTarget > 0 && t.AtWork {
			worstTail = max(worstTail, t.Gauge/float64(s.TailTarget))
		}
	}
	for t, r := range w.runs {
		if !t.Spec().Fills || t.Phase != job.Active || t.Stopping {
			continue
		}
		if p := maintenance.Pace(r.pace, worstTail); p != r.pace {
			r.pace = p
			c.pace(w, t, r, worstTail)
		}
	}
}

// pace sends a new CPU share for a run. If the order is not answered, it is sent again after the next report.
func (c *session) pace(w *worker, t *job.Task, r *run, worst float64) {
	o := work.Pace{Task: t.Name(), Run: r.number, Percent: r.pace, Fence: w.token.Load()}
	c.emit(event.RunPaced, event.Subject{Job: o.Task, Instance: w.Incarnation}, "run=%d percent=%d tail=%.2f of its target", o.Run, o.Percent, worst)
	row := w.Worker
	c.background.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, orderTimeout)
		defer cancel()
		a, err := c.Calls.Pace(ctx, &row, o)
		c.post(paceEnded{worker: w, task: t, run: o.Run, token: o.Fence, answer: a, err: err})
	})
}

// paceEnded is the result of a pace order.
type paceEnded struct {
	worker *worker
	task   *job.Task
	run    int64
	token  int64
	answer work.Answer
	err    error
}

func (m paceEnded) apply(c *session) {
	r := m.worker.runs[m.task]
	switch {
	case m.err != nil && r != nil && r.number == m.run:
		r.pace = maintenance.PaceUnknown // sent again after the next report
	case m.err == nil && m.answer.Refusal == work.Fenced:
		c.tokenRefused(m.worker, m.token)
	}
}
