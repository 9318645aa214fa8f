// SPDX-License-Identifier: MIT

package standin

import (
	"encoding/json"
	"net/http"
	"time"

	"rackstep.dev/provider"
)

// notifyHolds makes every waiting hold call check its tasks again; the caller holds mu.
func (p *Platform) notifyHolds() {
	close(p.tasksChanged)
	p.tasksChanged = make(chan struct{})
}

// holdTasks renews the leases of the named tasks and replies when one of them is not running, or after the wait.
func (p *Platform) holdTasks(w http.ResponseWriter, r *http.Request) {
	var req provider.Hold
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	deadline := time.Now().Add(req.Wait)
	for first := true; ; first = false {
		reports, changed, next := p.checkTasks(w, r, req, first)
		now := time.Now()
		if reports == nil {
			return
		}
		if next.IsZero() || !now.Before(deadline) {
			reply(w, struct {
				Tasks map[string]provider.TaskReport `json:"tasks"`
			}{reports})
			return
		}
		if deadline.Before(next) {
			next = deadline
		}
		timer := time.NewTimer(next.Sub(now))
		select {
		case <-r.Context().Done():
			timer.Stop()
			return
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// checkTasks returns the tasks' reports, a channel that is closed when a task may have ended, and the time at which the next task
// ends by itself, which is zero when a task is not running. It returns nil reports when it has sent an error reply.
func (p *Platform) checkTasks(w http.ResponseWriter, r *http.Request, req provider.Hold, renew bool) (reports map[string]provider.TaskReport, changed chan struct{}, next time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.machineOrReply(w, r)
	if m == nil {
		return nil, nil, time.Time{}
	}
	if renew {
		p.maybeDropReply()
	}
	now := time.Now()
	reports = make(map[string]provider.TaskReport, len(req.Tasks))
	ended := false
	for id, h := range req.Tasks {
		t := m.tasks[id]
		if renew && t.stateAt(now) == provider.TaskRunning {
			t.leaseEnds, t.coreLimit = now.Add(req.Lease), h.Limit
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
	return reports, p.tasksChanged, next
}

// endsAt returns when the running task ends by itself or its lease expires, whichever is first.
func (t *task) endsAt() time.Time {
	if expiry := t.leaseEnds.Add(time.Nanosecond); expiry.Before(t.finishesAt) {
		return expiry
	}
	return t.finishesAt
}
