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

// command is a reboot or stop of an instance.
type command struct {
	verb    provider.Verb
	expired bool
	doneAt  time.Time
}

// task is one attempt of a job.
type task struct {
	state         provider.TaskState
	fails         bool
	finishesAt    time.Time
	leaseEnds     time.Time
	leaseDuration time.Duration
	startedAt     time.Time
	duration      time.Duration
	// demand is the usage without a limit, coreLimit the number of cores that the task may use; unlimited when 0.
	demand    provider.Usage
	coreLimit int
}

// machineOrReply returns the instance that the request names, or sends an error reply and returns nil; the caller holds mu.
func (p *Platform) machineOrReply(w http.ResponseWriter, r *http.Request) *machine {
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

// maybeDropReply closes the connection after every n-th call that took effect, per Faults.DropCommandReplyEvery. It panics to do so, so the
// caller must release mu in a deferred call.
func (p *Platform) maybeDropReply() {
	p.commandCalls++
	if n := p.faults.DropCommandReplyEvery; n > 0 && p.commandCalls%n == 0 {
		abortConnection()
	}
}

func (p *Platform) runCommand(w http.ResponseWriter, r *http.Request) {
	var req provider.Command
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	call := Call{Kind: "command", Instance: r.PathValue("instance")}
	if p.intercept(call, false) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	p.applyCommand(w, r, req)
	if p.intercept(call, true) {
		abortConnection()
	}
}

func (p *Platform) applyCommand(w http.ResponseWriter, r *http.Request, req provider.Command) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.machineOrReply(w, r)
	if m == nil {
		return
	}
	id := r.PathValue("command")
	c := m.commands[id]
	if c == nil {
		now := time.Now()
		c = &command{verb: req.Verb, expired: now.After(req.NotAfter), doneAt: now.Add(p.RebootTime)}
		m.commands[id] = c
		if !c.expired {
			p.startCommand(m, c)
		}
	}
	p.maybeDropReply()
	replyState(w, c.state())
}

// startCommand takes the machine down for the command and records the tasks and requests that this interrupts.
func (p *Platform) startCommand(m *machine, c *command) {
	for id, t := range m.tasks {
		if t.stateAt(time.Now()) == provider.TaskRunning {
			p.interruptions = append(p.interruptions, fmt.Sprintf("%s of %s interrupted task %s", c.verb, m.row.ID, id))
		}
	}
	if m.target != nil && m.target.InFlight() > 0 {
		p.interruptions = append(p.interruptions, fmt.Sprintf("%s of %s interrupted a request", c.verb, m.row.ID))
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
	case time.Now().Before(c.doneAt):
		return provider.CommandRunning
	}
	return provider.CommandDone
}

func (p *Platform) readCommand(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m := p.machineOrReply(w, r); m != nil {
		replyState(w, m.commands[r.PathValue("command")].state())
	}
}

func replyState[S ~string](w http.ResponseWriter, s S) {
	reply(w, struct {
		State S `json:"state"`
	}{s})
}

func (p *Platform) startTask(w http.ResponseWriter, r *http.Request) {
	var req provider.Task
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	call := Call{Kind: "task", Instance: r.PathValue("instance")}
	if p.intercept(call, false) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	p.applyTask(w, r, req)
	if p.intercept(call, true) {
		abortConnection()
	}
}

func (p *Platform) applyTask(w http.ResponseWriter, r *http.Request, req provider.Task) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.machineOrReply(w, r)
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
		t = p.newTask(jobOf(id), req)
		m.tasks[id] = t
	}
	t.leaseEnds = time.Now().Add(t.leaseDuration)
	t.coreLimit = req.Limit
	p.maybeDropReply()
	p.replyReport(w, t)
}

// replyReport replies with the task's state and, once UsageLag has passed, its usage.
func (p *Platform) replyReport(w http.ResponseWriter, t *task) { reply(w, p.reportOf(t, time.Now())) }

func (p *Platform) reportOf(t *task, now time.Time) provider.TaskReport {
	report := provider.TaskReport{State: t.stateAt(now)}
	if t != nil && report.State == provider.TaskRunning && now.Sub(t.startedAt) >= p.UsageLag {
		report.Usage = t.usageAfter(now.Sub(t.startedAt) - p.UsageLag)
	}
	return report
}

// usageAfter returns the usage of a task that has run for the duration.
func (t *task) usageAfter(ran time.Duration) *provider.Usage {
	u := t.demand
	u.RunTime = ran
	if t.coreLimit > 0 {
		u.Cores = min(u.Cores, float64(t.coreLimit))
	}
	return &u
}

// newTask starts a task; its command is "run DURATION", "run DURATION use CORES" or "fail".
func (p *Platform) newTask(job string, req provider.Task) *task {
	now := time.Now()
	t := &task{state: provider.TaskRunning, startedAt: now, leaseDuration: req.Lease, leaseEnds: now.Add(req.Lease)}
	verb, rest, _ := strings.Cut(req.Command, " ")
	t.fails = verb == "fail"
	length, usedCores, _ := strings.Cut(rest, " use ")
	t.duration, _ = time.ParseDuration(length) // absent or invalid: ends immediately
	t.demand = provider.Usage{Cores: float64(req.Cores), MemoryMB: req.MemoryMB}
	if cores, err := strconv.ParseFloat(usedCores, 64); err == nil {
		t.demand.Cores = cores
	}
	if req.Continue {
		t.duration = max(0, t.duration-p.progress[job])
	} else {
		p.starts[job]++
	}
	t.finishesAt = now.Add(t.duration)
	return t
}

// jobOf returns the job ID of an attempt ID, which is JOB.ATTEMPT.
func jobOf(id string) string {
	if i := strings.LastIndexByte(id, '.'); i >= 0 {
		return id[:i]
	}
	return id
}

// Starts returns how often each job was started from the beginning, that is, not continued from a checkpoint.
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
	case !now.Before(t.finishesAt):
		if t.fails {
			return provider.TaskFailed
		}
		return provider.TaskDone
	case now.After(t.leaseEnds):
		return provider.TaskStopped
	}
	return provider.TaskRunning
}

// stopTasks stops the machine's running tasks.
func (m *machine) stopTasks(now time.Time) {
	for _, t := range m.tasks {
		if t.stateAt(now) == provider.TaskRunning {
			t.state = provider.TaskStopped
		}
	}
}

func (p *Platform) readTask(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m := p.machineOrReply(w, r); m != nil {
		p.replyReport(w, m.tasks[r.PathValue("task")])
	}
}

func (p *Platform) stopTask(w http.ResponseWriter, r *http.Request) {
	p.endTask(w, r, provider.TaskStopped)
}

func (p *Platform) checkpointTask(w http.ResponseWriter, r *http.Request) {
	p.endTask(w, r, provider.TaskCheckpointed)
}

// endTask ends a running task in the given state. The ID of an unknown task becomes void, so that a later start of it has no effect.
func (p *Platform) endTask(w http.ResponseWriter, r *http.Request, as provider.TaskState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.machineOrReply(w, r)
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
		p.progress[jobOf(id)] += now.Sub(t.startedAt)
	default:
		t.state = t.stateAt(now)
	}
	p.notifyHolds()
	p.maybeDropReply()
	replyState(w, t.state)
}
