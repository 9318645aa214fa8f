// SPDX-License-Identifier: MIT

package platformtest

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"time"
)

// Addresses of the platform, unless Platform.MapAddress replaces them.
const (
	StoreAddress    = "10.200.0.1:80"
	MachinesAddress = "10.200.0.2:80"
)

// Delays and intervals of the platform.
const (
	heartbeatInterval = 1500 * time.Millisecond
	maintenanceTime   = 2 * time.Second
	lateDelay         = 3 * time.Second
	// noReplyTimeout is how long the connection of a call without a reply stays open. Every caller has timed out by then.
	noReplyTimeout = 5 * time.Second
)

// Fault selects how a call goes wrong.
type Fault int

// Faults of a call.
const (
	// None executes the call and replies.
	None Fault = iota
	// Refuse replies with status 503 and doesn't execute the call.
	Refuse
	// Ignore neither executes the call nor replies.
	Ignore
	// DropReply executes the call and doesn't reply.
	DropReply
	// Delay doesn't reply, and executes the call after lateDelay.
	Delay
)

// Platform is the fake platform. The exported fields must be set before Start.
type Platform struct {
	// Listen listens on an address of the network.
	Listen func(address string) (net.Listener, error)
	// MapAddress returns the address to use in place of one of the platform's; addresses stay as they are when nil.
	MapAddress func(address string) string
	// Lease is the maximum duration of a worker's lease; 10 s when 0.
	Lease time.Duration
	// OffPool is the pool whose instances are switched off and have no workers.
	OffPool string
	// TaskDuration returns how long a task runs, 0 for one that doesn't end by itself; one second when nil.
	TaskDuration func(task string) time.Duration
	// RunFails reports whether a run that has ended by itself has failed; none has when nil.
	RunFails func(task, incarnation string) bool
	// CrashDelay returns the time from the start of a task until it crashes its worker, 0 for a task that doesn't; none does when nil. The instance
	// restarts after crashRecoveryDelay and maintenanceTime.
	CrashDelay func(task string) time.Duration
	// ReuseIDs makes workers report incarnations, and makes a crashed worker restart with its ID and address. Each incarnation number is lower
	// than the one before, as if the clock had been set back.
	ReuseIDs bool

	// ZoneOf returns the data centre of an instance; all are in the same one when nil.
	ZoneOf func(machine string) string

	Store Store

	mu          sync.Mutex
	faults      func(address, path string) Fault
	delays      func(address, path string) (before, after time.Duration)
	history     []*Run
	lives       []*Life
	workers     map[string]*Worker
	maintained  map[string]bool // instances that were maintained, as MACHINE/WAVE
	down        map[string]bool
	fences      map[string]int64
	workerCount int
	servers     []*http.Server
	ctx         context.Context
	background  sync.WaitGroup
}

// Start starts the servers and the heartbeats of the workers, which end with the context.
func (p *Platform) Start(ctx context.Context) error {
	p.ctx = ctx
	p.workers, p.maintained, p.down, p.fences = make(map[string]*Worker), make(map[string]bool), make(map[string]bool), make(map[string]int64)
	if p.TaskDuration == nil {
		p.TaskDuration = func(string) time.Duration { return time.Second }
	}
	if p.MapAddress == nil {
		p.MapAddress = func(address string) string { return address }
	}
	if _, err := p.serve(p.MapAddress(StoreAddress), &p.Store); err != nil {
		return err
	}
	if _, err := p.serve(p.MapAddress(MachinesAddress), http.HandlerFunc(p.serveMachines)); err != nil {
		return err
	}
	p.background.Go(p.runHeartbeats)
	return nil
}

// Stop closes every server, kills every worker and waits for background work.
func (p *Platform) Stop() {
	p.mu.Lock()
	servers := slices.Clone(p.servers)
	workers := p.sortedWorkers()
	p.mu.Unlock()
	for _, s := range servers {
		_ = s.Close()
	}
	for _, w := range workers {
		w.kill()
	}
	p.background.Wait()
}

// SetFaults sets the function that selects the fault of each call; nil ends all faults.
func (p *Platform) SetFaults(f func(address, path string) Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// SetDelays sets the function that returns how long a call waits before it is executed, and its reply after that; nil ends all delays.
func (p *Platform) SetDelays(f func(address, path string) (before, after time.Duration)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delays = f
}

func (p *Platform) leaseMillis() int64 {
	if p.Lease == 0 {
		return 10_000
	}
	return p.Lease.Milliseconds()
}

func (p *Platform) recordRun(x *Run) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.history = append(p.history, x)
}

func (p *Platform) serve(address string, h http.Handler) (*http.Server, error) {
	ln, err := p.Listen(address)
	if err != nil {
		return nil, fmt.Errorf("platformtest: listen on %s: %w", address, err)
	}
	s := &http.Server{Handler: p.withFaults(address, h)}
	p.mu.Lock()
	p.servers = append(p.servers, s)
	p.mu.Unlock()
	go func() { _ = s.Serve(ln) }() // returns after Stop
	return s, nil
}

// withFaults wraps the handler with the injected faults.
func (p *Platform) withFaults(address string, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		f := None
		if p.faults != nil {
			f = p.faults(address, r.URL.Path)
		}
		delays := p.delays
		p.mu.Unlock()
		switch f {
		case None:
			if delays == nil {
				h.ServeHTTP(w, r)
				return
			}
			before, after := delays(address, r.URL.Path)
			serveDelayed(w, r, h, before, after)
			return
		case Refuse:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case DropReply:
			serveDiscarding(h, r)
		case Delay:
			late := r.Clone(context.WithoutCancel(r.Context()))
			body := new(strings.Builder)
			buf := make([]byte, 64<<10)
			for n, err := r.Body.Read(buf); n > 0 || err == nil; n, err = r.Body.Read(buf) {
				body.Write(buf[:n])
			}
			p.background.Go(func() {
				time.Sleep(lateDelay)
				late.Body = readCloser{strings.NewReader(body.String())}
				serveDiscarding(p.currentHandler(address, h), late)
			})
		}
		select { // no reply
		case <-r.Context().Done():
		case <-time.After(noReplyTimeout):
		}
		panic(http.ErrAbortHandler)
	})
}

// serveDelayed executes the call after a delay and replies after another one.
func serveDelayed(w http.ResponseWriter, r *http.Request, h http.Handler, before, after time.Duration) {
	time.Sleep(before)
	kept := httptest.NewRecorder()
	h.ServeHTTP(kept, r)
	time.Sleep(after)
	w.WriteHeader(kept.Code)
	_, _ = w.Write(kept.Body.Bytes()) // fails when the caller has gone
}

// currentHandler returns the worker that uses the address now, or h when there is none.
func (p *Platform) currentHandler(address string, h http.Handler) http.Handler {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.workers {
		if w.Address == address && w.ID != "" {
			return w
		}
	}
	return h
}

// serveDiscarding executes the call and discards the reply, including one that the handler aborts.
func serveDiscarding(h http.Handler, r *http.Request) {
	defer func() {
		if x := recover(); x != nil && x != http.ErrAbortHandler {
			panic(x)
		}
	}()
	h.ServeHTTP(discard{}, r)
}

type readCloser struct{ *strings.Reader }

// Close implements io.Closer.
func (readCloser) Close() error { return nil }

// discard is an http.ResponseWriter that discards the reply.
type discard struct{}

// Header implements http.ResponseWriter.
func (discard) Header() http.Header { return http.Header{} }

// Write implements http.ResponseWriter.
func (discard) Write(b []byte) (int, error) { return len(b), nil }

// WriteHeader implements http.ResponseWriter.
func (discard) WriteHeader(int) {}

// Publish publishes a configuration.
func (p *Platform) Publish(config any) {
	b, _ := json.Marshal(config) // tests publish only values that can be encoded
	p.Store.Put("keyed.op", "config", b)
}

// RequestWave requests maintenance of the instances, of at most that many at a time.
func (p *Platform) RequestWave(number int, machines []string, most int) {
	b, _ := json.Marshal(map[string]any{"Wave": number, "Machines": machines, "DurationS": 60, "Cap": most})
	p.Store.Put("keyed.op", fmt.Sprintf("wave/%d", number), b)
}

// Drain starts or ends the drain of a data centre.
func (p *Platform) Drain(zone string, on bool) {
	var value []byte
	if on {
		value = []byte("{}")
	}
	p.Store.Put("keyed.op", "evacuate/"+zone, value)
}

// Zone returns the data centre of an instance.
func (p *Platform) Zone(machine string) string {
	if p.ZoneOf == nil {
		return "z"
	}
	return p.ZoneOf(machine)
}

// AddWorker starts a worker on its own instance.
func (p *Platform) AddWorker(machine, pool string, milliCPU, memoryMB int) *Worker {
	return p.addWorker(nil, machine, pool, milliCPU, memoryMB)
}

// addWorker starts a worker. It uses the ID and the address of the previous one unless that is nil.
func (p *Platform) addWorker(before *Worker, machine, pool string, milliCPU, memoryMB int) *Worker {
	p.mu.Lock()
	p.workerCount++
	w := &Worker{
		ID: fmt.Sprintf("i-%04d", p.workerCount), Machine: machine, Pool: pool, Address: p.MapAddress(fmt.Sprintf("10.100.%d.%d:80", p.workerCount/250, p.workerCount%250+1)),
		MilliCPU: milliCPU, MemoryMB: memoryMB, platform: p, startedAt: time.Now(), ended: make(chan struct{}), stopped: make(map[string]int64),
	}
	if p.ReuseIDs {
		w.BootID = time.Now().UnixMilli() - int64(p.workerCount)*time.Hour.Milliseconds()
	}
	if before != nil {
		w.ID, w.Address = before.ID, before.Address
	}
	p.workers[machine] = w
	off := pool == p.OffPool
	if !off {
		w.life = &Life{WorkerID: w.ID, Pool: pool, MilliCPU: milliCPU, MemoryMB: memoryMB, Start: w.startedAt}
		if before != nil {
			w.life.WorkerID = before.ID
		}
		p.lives = append(p.lives, w.life)
	}
	if off {
		w.ID, w.dead = "", true
	}
	p.mu.Unlock()
	if off {
		return w
	}
	s, err := p.serve(w.Address, w)
	if err != nil {
		panic(err) // every worker has its own address
	}
	p.mu.Lock()
	w.server = s
	p.mu.Unlock()
	p.publishWorker(w)
	return w
}

// Crash crashes the worker of an instance. Its record stays in the store.
func (p *Platform) Crash(machine string) {
	p.mu.Lock()
	w := p.workers[machine]
	p.down[machine] = true
	s := w.server
	p.mu.Unlock()
	w.kill()
	if p.ReuseIDs && s != nil {
		_ = s.Close() // connections break and are refused until the restart
	}
}

// MaxWorkersLost returns the maximum, over the tasks of a job, of the number of workers that crashed while they ran the task, by the workers' own
// history. From two on, the users' rules let the job fail, because a task that runs beside a crashing one can't be told from it.
func (p *Platform) MaxWorkersLost(job string) int {
	most, lost := 0, make(map[string]int)
	for _, x := range p.Runs() {
		if strings.HasPrefix(x.Task, job+".") && x.Outcome == "lost" {
			lost[x.Task]++
			most = max(most, lost[x.Task])
		}
	}
	return most
}

// Succeeded returns the number of tasks with the given end of their names that have succeeded.
func (p *Platform) Succeeded(suffix string) int {
	tasks := make(map[string]bool)
	for _, x := range p.Runs() {
		if x.Outcome == "done" && strings.HasSuffix(x.Task, suffix) {
			tasks[x.Task] = true
		}
	}
	return len(tasks)
}

// crashWorker crashes a worker because of a run, if that is still running, and restarts the instance after crashRecoveryDelay.
func (p *Platform) crashWorker(x *Run, w *Worker) {
	w.mu.Lock()
	running := !w.dead && x.End.IsZero()
	w.mu.Unlock()
	if !running {
		return
	}
	p.mu.Lock()
	x.Crashed = true
	p.mu.Unlock()
	p.Crash(w.Machine)
	time.AfterFunc(crashRecoveryDelay, func() { p.Restart(w.Machine) })
}

// publishWorker writes the worker's record to the store.
func (p *Platform) publishWorker(w *Worker) {
	w.seq++
	state := "ready"
	if w.draining {
		state = "draining"
	}
	entry := map[string]any{
		"Service": w.Pool, "Address": w.Address, "Zone": p.Zone(w.Machine), "State": state, "Machine": w.Machine, "Seq": w.seq,
		"Capacity": map[string]int{"Cpu": w.MilliCPU, "MemMb": w.MemoryMB}, "Labels": []string{"a", "r1-1"},
	}
	w.addIncarnation(entry)
	b, _ := json.Marshal(entry)
	p.Store.Put("keyed.servers", w.ID, b)
}

// sortedWorkers returns the workers ordered by ID; the caller holds mu.
func (p *Platform) sortedWorkers() []*Worker {
	var out []*Worker
	for _, w := range p.workers {
		out = append(out, w)
	}
	slices.SortFunc(out, func(a, b *Worker) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// runHeartbeats publishes every live worker once each heartbeatInterval.
func (p *Platform) runHeartbeats() {
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-time.After(heartbeatInterval):
		}
		p.mu.Lock()
		workers := p.sortedWorkers()
		p.mu.Unlock()
		for _, w := range workers {
			w.mu.Lock()
			if !w.dead {
				p.publishWorker(w)
			}
			w.mu.Unlock()
		}
	}
}

// serveMachines serves the machine interface.
func (p *Platform) serveMachines(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/machines" {
		p.listMachines(w)
		return
	}
	var req struct {
		Machine, Pool string
		Wave          int
	}
	if json.NewDecoder(r.Body).Decode(&req) != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	p.mu.Lock()
	x := p.workers[req.Machine]
	key := fmt.Sprintf("%s/%d", req.Machine, req.Wave)
	done, down := p.maintained[key], p.down[req.Machine]
	if req.Pool != "" {
		done = x != nil && x.Pool == req.Pool
	}
	if x != nil && !done && !down {
		p.maintained[key], p.down[req.Machine] = req.Pool == "", true
	}
	p.mu.Unlock()
	switch {
	case x == nil:
		reply(w, http.StatusBadRequest, nil)
	case done:
		reply(w, http.StatusOK, nil)
	case down:
		reply(w, http.StatusConflict, map[string]string{"Reason": "busy"})
	default:
		x.kill()
		p.background.Go(func() { p.replaceWorker(x, req.Pool, false) })
		reply(w, http.StatusOK, nil)
	}
}

func (p *Platform) listMachines(w http.ResponseWriter) {
	p.mu.Lock()
	rows := []map[string]any{}
	for _, x := range p.sortedWorkers() {
		state := "up"
		if p.down[x.Machine] {
			state = "upkeep"
		}
		rows = append(rows, map[string]any{"Machine": x.Machine, "Pool": x.Pool, "Zone": p.Zone(x.Machine), "State": state, "Id": x.ID})
	}
	p.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"Machines": rows, "NextToken": nil})
}

// replaceWorker restarts the worker of an instance after maintenanceTime, in another pool if one is given.
func (p *Platform) replaceWorker(x *Worker, pool string, crashed bool) {
	select {
	case <-p.ctx.Done():
		return
	case <-time.After(maintenanceTime):
	}
	p.mu.Lock()
	current := p.workers[x.Machine] == x
	p.mu.Unlock()
	if !current {
		return
	}
	if pool == "" {
		pool = x.Pool
	}
	if p.ReuseIDs && crashed {
		p.addWorker(x, x.Machine, pool, x.MilliCPU, x.MemoryMB)
	} else {
		p.Store.Put("keyed.servers", x.ID, nil)
		p.AddWorker(x.Machine, pool, x.MilliCPU, x.MemoryMB)
	}
	p.mu.Lock()
	delete(p.down, x.Machine)
	p.mu.Unlock()
}

// MachineOf returns the instance of the worker with the ID, empty when there is none at present.
func (p *Platform) MachineOf(incarnation string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for machine, w := range p.workers {
		if w.ID == incarnation {
			return machine
		}
	}
	return ""
}

// Restart restarts a crashed instance after maintenanceTime.
func (p *Platform) Restart(machine string) {
	p.mu.Lock()
	x := p.workers[machine]
	p.mu.Unlock()
	p.background.Go(func() { p.replaceWorker(x, "", true) })
}

// Runs returns a copy of the history.
func (p *Platform) Runs() []Run {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]Run, len(p.history))
	for i, x := range p.history {
		out[i] = *x
	}
	return out
}

// Life is the time from the start of a worker to its end, in the history.
type Life struct {
	WorkerID, Pool     string
	MilliCPU, MemoryMB int
	Start              time.Time
	// End is zero while it lives.
	End time.Time
}

// Lives returns a copy of the history of the workers.
func (p *Platform) Lives() []Life {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]Life, len(p.lives))
	for i, x := range p.lives {
		out[i] = *x
	}
	return out
}

// Limits of the starts of a task that crashes its workers: after crashThreshold crashes it may start maxStartsAfterCrashes more times.
const (
	crashThreshold        = 3
	maxStartsAfterCrashes = 2
	// crashRecoveryDelay is the time from a crash that a task caused until the restart begins.
	crashRecoveryDelay = time.Second
)

// Check describes everything in the history that must never happen; the result is empty when there is nothing.
func (p *Platform) Check() []string {
	var violations []string
	byTask := make(map[string][]Run)
	for _, x := range p.Runs() {
		byTask[x.Task] = append(byTask[x.Task], x)
	}
	for task, runs := range byTask {
		crashes, extraStarts := 0, 0
		for _, x := range runs {
			if crashes >= crashThreshold {
				extraStarts++
			}
			if x.Crashed {
				crashes++
			}
		}
		if extraStarts > maxStartsAfterCrashes {
			violations = append(violations, fmt.Sprintf("%s: %d starts after %d workers had crashed under it", task, extraStarts, crashThreshold))
		}
		for i, a := range runs {
			for _, b := range runs[i+1:] {
				if b.Start.Before(a.End) || a.End.IsZero() {
					violations = append(violations, fmt.Sprintf("%s: run %d on %s started while run %d on %s was running", task, b.Number, b.WorkerID, a.Number, a.WorkerID))
				}
				if a.Outcome == "done" && a.Acked && b.Start.After(a.AckedAt) {
					violations = append(violations, fmt.Sprintf("%s: run %d started after run %d was done and acknowledged", task, b.Number, a.Number))
				}
			}
		}
	}
	slices.Sort(violations)
	return violations
}
