// SPDX-License-Identifier: MIT

package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"rackstep.dev/provider"
)

// command is a reboot or stop that was asked for.
type command struct {
	verb    provider.Verb
	expired bool
	until   time.Time
}

// task is one attempt of a job.
type task struct {
	state    provider.TaskState
	fails    bool
	ends     time.Time
	lease    time.Time
	leaseFor time.Duration
	began    time.Time
	duration time.Duration
	// uses is what the task would use, limit the cores that it may use; any when 0.
	uses  provider.Usage
	limit int
}

// machineOf returns the instance of the request, or nil after it has answered; the caller holds mu.
func (p *Platform) machineOf(w http.ResponseWriter, r *http.Request) *machine {
	if p.faults.CommandsDown {
		w.WriteHeader(http.StatusServiceUnavailable)
		return nil
	}
	m := p.machines[r.PathValue("instance")]
	if m == nil {
		w.WriteHeader(http.StatusNotFound)
	}
	return m
}

// lose breaks the connection off after every n-th call that took effect; the caller holds mu by defer.
func (p *Platform) lose() {
	p.calls++
	if n := p.faults.LoseCommands; n > 0 && p.calls%n == 0 {
		breakOff()
	}
}

func (p *Platform) runCommand(w http.ResponseWriter, r *http.Request) {
	var order provider.Command
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	call := Call{Kind: "command", Instance: r.PathValue("instance")}
	if p.probe(call, false) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	p.applyCommand(w, r, order)
	if p.probe(call, true) {
		breakOff()
	}
}

func (p *Platform) applyCommand(w http.ResponseWriter, r *http.Request, order provider.Command) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.machineOf(w, r)
	if m == nil {
		return
	}
	id := r.PathValue("command")
	c := m.commands[id]
	if c == nil {
		now := time.Now()
		c = &command{verb: order.Verb, expired: now.After(order.NotAfter), until: now.Add(p.RebootTime)}
		m.commands[id] = c
		if !c.expired {
			p.begin(m, c)
		}
	}
	p.lose()
	replyState(w, c.state())
}

// begin takes the machine down for the command; what still runs on it is cut.
func (p *Platform) begin(m *machine, c *command) {
	for id, t := range m.tasks {
		if t.stateAt(time.Now()) == provider.TaskRunning {
			p.cuts = append(p.cuts, fmt.Sprintf("%s of %s cut task %s", c.verb, m.listed.ID, id))
		}
	}
	if m.target != nil && m.target.InFlight() > 0 {
		p.cuts = append(p.cuts, fmt.Sprintf("%s of %s cut a request", c.verb, m.listed.ID))
	}
	m.commanded = true
	p.setDown(m, true)
	if c.verb == provider.VerbReboot {
		time.AfterFunc(p.RebootTime, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			m.commanded = false
			p.setDown(m, false)
		})
	}
}

func (c *command) state() provider.CommandState {
	switch {
	case c == nil:
		return provider.CommandUnknown
	case c.expired:
		return provider.CommandExpired
	case time.Now().Before(c.until):
		return provider.CommandRunning
	}
	return provider.CommandDone
}

func (p *Platform) readCommand(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m := p.machineOf(w, r); m != nil {
		replyState(w, m.commands[r.PathValue("command")].state())
	}
}

func replyState[S ~string](w http.ResponseWriter, s S) {
	reply(w, struct {
		State S `json:"state"`
	}{s})
}

func (p *Platform) startTask(w http.ResponseWriter, r *http.Request) {
	var order provider.Task
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	call := Call{Kind: "task", Instance: r.PathValue("instance")}
	if p.probe(call, false) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	p.applyTask(w, r, order)
	if p.probe(call, true) {
		breakOff()
	}
}

func (p *Platform) applyTask(w http.ResponseWriter, r *http.Request, order provider.Task) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.machineOf(w, r)
	if m == nil {
		return
	}
	if m.down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	id := r.PathValue("task")
	t := m.tasks[id]
	if t == nil {
		t = p.newTask(jobOf(id), order)
		m.tasks[id] = t
	}
	t.lease = time.Now().Add(t.leaseFor)
	t.limit = order.Limit
	p.lose()
	p.report(w, t)
}

// report answers with the task's state and, once it is old enough, its usage.
func (p *Platform) report(w http.ResponseWriter, t *task) { reply(w, p.reportOf(t, time.Now())) }

func (p *Platform) reportOf(t *task, now time.Time) provider.TaskReport {
	report := provider.TaskReport{State: t.stateAt(now)}
	if t != nil && report.State == provider.TaskRunning && now.Sub(t.began) >= p.UsageLag {
		report.Usage = t.usage(now.Sub(t.began) - p.UsageLag)
	}
	return report
}

func (t *task) usage(ran time.Duration) *provider.Usage {
	u := t.uses
	u.RunTime = ran
	if t.limit > 0 {
		u.Cores = min(u.Cores, float64(t.limit))
	}
	return &u
}

// newTask begins a task; its command is "run DURATION", "run DURATION use CORES" or "fail".
func (p *Platform) newTask(job string, order provider.Task) *task {
	now := time.Now()
	t := &task{state: provider.TaskRunning, began: now, leaseFor: order.Lease, lease: now.Add(order.Lease)}
	word, rest, _ := strings.Cut(order.Command, " ")
	t.fails = word == "fail"
	length, uses, _ := strings.Cut(rest, " use ")
	t.duration, _ = time.ParseDuration(length) // none ends at once
	t.uses = provider.Usage{Cores: float64(order.Cores), MemoryMB: order.MemoryMB}
	if cores, err := strconv.ParseFloat(uses, 64); err == nil {
		t.uses.Cores = cores
	}
	if order.Continue {
		t.duration = max(0, t.duration-p.progress[job])
	} else {
		p.starts[job]++
	}
	t.ends = now.Add(t.duration)
	return t
}

// jobOf returns the job of an attempt's ID.
func jobOf(id string) string {
	if i := strings.LastIndexByte(id, '.'); i >= 0 {
		return id[:i]
	}
	return id
}

// Starts returns how often each job was begun anew.
func (p *Platform) Starts() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]int, len(p.starts))
	for id, n := range p.starts {
		out[id] = n
	}
	return out
}

func (t *task) stateAt(now time.Time) provider.TaskState {
	switch {
	case t == nil:
		return provider.TaskUnknown
	case t.state != provider.TaskRunning:
		return t.state
	case !now.Before(t.ends):
		if t.fails {
			return provider.TaskFailed
		}
		return provider.TaskDone
	case now.After(t.lease):
		return provider.TaskStopped
	}
	return provider.TaskRunning
}

func (m *machine) killTasks(now time.Time) {
	for _, t := range m.tasks {
		if t.stateAt(now) == provider.TaskRunning {
			t.state = provider.TaskStopped
		}
	}
}

func (p *Platform) readTask(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m := p.machineOf(w, r); m != nil {
		p.report(w, m.tasks[r.PathValue("task")])
	}
}

func (p *Platform) stopTask(w http.ResponseWriter, r *http.Request) {
	p.endTask(w, r, provider.TaskStopped)
}

func (p *Platform) checkpointTask(w http.ResponseWriter, r *http.Request) {
	p.endTask(w, r, provider.TaskCheckpointed)
}

func (p *Platform) endTask(w http.ResponseWriter, r *http.Request, as provider.TaskState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.machineOf(w, r)
	if m == nil {
		return
	}
	id := r.PathValue("task")
	now := time.Now()
	t := m.tasks[id]
	switch {
	case t == nil:
		t = &task{state: provider.TaskVoid}
		m.tasks[id] = t
	case t.stateAt(now) == provider.TaskRunning:
		t.state = as
		p.progress[jobOf(id)] += now.Sub(t.began)
	default:
		t.state = t.stateAt(now)
	}
	p.wakeHolds()
	p.lose()
	replyState(w, t.state)
}
