// SPDX-License-Identifier: MIT

package standin

import (
	"encoding/json"
	"net/http"
	"time"

	"rackstep.dev/provider"
)

// wakeHolds lets every hold look again; the caller holds mu.
func (p *Platform) wakeHolds() {
	close(p.tasked)
	p.tasked = make(chan struct{})
}

// holdTasks renews leases and answers when one of the named tasks does not run, or after the wait.
func (p *Platform) holdTasks(w http.ResponseWriter, r *http.Request) {
	var order provider.Hold
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	until := time.Now().Add(order.Wait)
	for first := true; ; first = false {
		reports, wake, next := p.lookAt(w, r, order, first)
		now := time.Now()
		if reports == nil {
			return
		}
		if next.IsZero() || !now.Before(until) {
			reply(w, struct {
				Tasks map[string]provider.TaskReport `json:"tasks"`
			}{reports})
			return
		}
		if until.Before(next) {
			next = until
		}
		timer := time.NewTimer(next.Sub(now))
		select {
		case <-r.Context().Done():
			timer.Stop()
			return
		case <-wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// lookAt returns the tasks' reports, a channel that closes when one may have ended, and when the next one ends by itself;
// that is zero when one does not run. It returns no reports when it has answered.
func (p *Platform) lookAt(w http.ResponseWriter, r *http.Request, order provider.Hold, renew bool) (reports map[string]provider.TaskReport, wake chan struct{}, next time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.machineOf(w, r)
	if m == nil {
		return nil, nil, time.Time{}
	}
	if renew {
		p.lose()
	}
	now := time.Now()
	reports = make(map[string]provider.TaskReport, len(order.Tasks))
	ended := false
	for id, h := range order.Tasks {
		t := m.tasks[id]
		if renew && t.stateAt(now) == provider.TaskRunning {
			t.lease, t.limit = now.Add(order.Lease), h.Limit
		}
		reports[id] = p.reportOf(t, now)
		if reports[id].State != provider.TaskRunning {
			ended = true
			continue
		}
		if end := t.endsAt(); next.IsZero() || end.Before(next) {
			next = end
		}
	}
	if ended {
		next = time.Time{}
	}
	return reports, p.tasked, next
}

// endsAt returns when the running task ends by itself or its lease lapses.
func (t *task) endsAt() time.Time {
	if lapse := t.lease.Add(time.Nanosecond); lapse.Before(t.ends) {
		return lapse
	}
	return t.ends
}
