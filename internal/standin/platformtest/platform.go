// SPDX-License-Identifier: MIT

package platformtest

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Addresses of the stand-in, unless it is moved by Platform.At.
const (
	StoreAddress    = "10.200.0.1:80"
	MachinesAddress = "10.200.0.2:80"
)

// Times of the stand-in.
const (
	heartbeat        = 1500 * time.Millisecond
	maintenanceTakes = 2 * time.Second
	lateBy           = 3 * time.Second
	// silence is how long a call without an answer keeps its connection; every caller has given up by then.
	silence = 5 * time.Second
)

// Fault is what becomes of a call.
type Fault int

// Faults of a call.
const (
	// None carries the call out and answers.
	None Fault = iota
	// Refuse answers 503 and does nothing.
	Refuse
	// Silent does nothing and does not answer.
	Silent
	// Lost carries the call out and does not answer.
	Lost
	// Late does not answer, and carries the call out some seconds later.
	Late
)

// Platform is the whole stand-in; the exported fields are set before Start.
type Platform struct {
	// Listen opens an address of the network.
	Listen func(address string) (net.Listener, error)
	// At returns the address to use in place of one of the stand-in's own; the same one when nil.
	At func(address string) string
	// Lease is the longest lease; 10 s when 0.
	Lease time.Duration
	// Off names the pool whose instances are off; they have no workers.
	Off string
	// Takes returns how long a task runs, 0 for ever; a second when nil.
	Takes func(task string) time.Duration
	// Fails says whether a run that has taken its time has failed; none does when nil.
	Fails func(task, incarnation string) bool
	// Crashes returns how long after its start a task crashes its worker, 0 for a task that does not; none does when nil. The instance is back
	// a second later.
	Crashes func(task string) time.Duration
	// Reborn says that workers tell their boot IDs, and that one which has crashed comes back under its ID, at its address; each boot ID is before
	// the one of the incarnation before, as after a step of the clock.
	Reborn bool

	// ZoneOf returns the data centre of an instance; all are in one when nil.
	ZoneOf func(machine string) string

	Store Store

	mu           sync.Mutex
	faults       func(address, path string) Fault
	history      []*Run
	workers      map[string]*Worker
	done         map[string]bool // instances maintained, by wave
	down         map[string]bool
	fences       map[string]int64
	incarnations int
	servers      []*http.Server
	ctx          context.Context
	work         sync.WaitGroup
}

// Start serves until the context ends.
func (p *Platform) Start(ctx context.Context) error {
	p.ctx = ctx
	p.workers, p.done, p.down, p.fences = make(map[string]*Worker), make(map[string]bool), make(map[string]bool), make(map[string]int64)
	if p.Takes == nil {
		p.Takes = func(string) time.Duration { return time.Second }
	}
	if p.At == nil {
		p.At = func(address string) string { return address }
	}
	if _, err := p.serve(p.At(StoreAddress), &p.Store); err != nil {
		return err
	}
	if _, err := p.serve(p.At(MachinesAddress), http.HandlerFunc(p.machines)); err != nil {
		return err
	}
	p.work.Go(p.beat)
	return nil
}

// Stop closes every server and waits for what goes on.
func (p *Platform) Stop() {
	p.mu.Lock()
	servers := slices.Clone(p.servers)
	workers := p.all()
	p.mu.Unlock()
	for _, s := range servers {
		_ = s.Close()
	}
	for _, w := range workers {
		w.die()
	}
	p.work.Wait()
}

// SetFaults decides about each call from now on; nil lets all pass.
func (p *Platform) SetFaults(f func(address, path string) Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

func (p *Platform) leaseMillis() int64 {
	if p.Lease == 0 {
		return 10_000
	}
	return p.Lease.Milliseconds()
}

func (p *Platform) note(x *Run) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.history = append(p.history, x)
}

func (p *Platform) serve(address string, h http.Handler) (*http.Server, error) {
	ln, err := p.Listen(address)
	if err != nil {
		return nil, fmt.Errorf("stand-in: %w", err)
	}
	s := &http.Server{Handler: p.faulty(address, h)}
	p.mu.Lock()
	p.servers = append(p.servers, s)
	p.mu.Unlock()
	go func() { _ = s.Serve(ln) }() // it ends with Stop
	return s, nil
}

// faulty lets the faults decide before the handler.
func (p *Platform) faulty(address string, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		f := None
		if p.faults != nil {
			f = p.faults(address, r.URL.Path)
		}
		p.mu.Unlock()
		switch f {
		case None:
			h.ServeHTTP(w, r)
			return
		case Refuse:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case Lost:
			unheard(h, r)
		case Late:
			late := r.Clone(context.WithoutCancel(r.Context()))
			body := new(strings.Builder)
			buf := make([]byte, 64<<10)
			for n, err := r.Body.Read(buf); n > 0 || err == nil; n, err = r.Body.Read(buf) {
				body.Write(buf[:n])
			}
			p.work.Go(func() {
				time.Sleep(lateBy)
				late.Body = readCloser{strings.NewReader(body.String())}
				unheard(p.whoAnswers(address, h), late)
			})
		}
		select { // no answer
		case <-r.Context().Done():
		case <-time.After(silence):
		}
		panic(http.ErrAbortHandler)
	})
}

// whoAnswers returns the worker that has an address now, or else the handler.
func (p *Platform) whoAnswers(address string, h http.Handler) http.Handler {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.workers {
		if w.Address == address && w.Incarnation != "" {
			return w
		}
	}
	return h
}

// unheard has the handler do what it is asked and throws its answer away, also one that it breaks off.
func unheard(h http.Handler, r *http.Request) {
	defer func() {
		if x := recover(); x != nil && x != http.ErrAbortHandler {
			panic(x)
		}
	}()
	h.ServeHTTP(discard{}, r)
}

type readCloser struct{ *strings.Reader }

// Close does nothing.
func (readCloser) Close() error { return nil }

// discard takes an answer that nobody gets.
type discard struct{}

// Header returns a header that is thrown away.
func (discard) Header() http.Header { return http.Header{} }

// Write throws the bytes away.
func (discard) Write(b []byte) (int, error) { return len(b), nil }

// WriteHeader does nothing.
func (discard) WriteHeader(int) {}

// Publish writes a configuration.
func (p *Platform) Publish(config any) {
	b, _ := json.Marshal(config) // tests publish what can be encoded
	p.Store.Put("keyed.op", "config", b)
}

// RequestWave asks for the maintenance of instances.
func (p *Platform) RequestWave(number int, machines []string, most int) {
	b, _ := json.Marshal(map[string]any{"Wave": number, "Machines": machines, "DurationS": 60, "Cap": most})
	p.Store.Put("keyed.op", fmt.Sprintf("wave/%d", number), b)
}

// Drain drains a data centre, or takes that back.
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

// AddWorker starts a worker on an instance of its own.
func (p *Platform) AddWorker(machine, pool string, milliCPU, memoryMB int) *Worker {
	return p.addWorker(nil, machine, pool, milliCPU, memoryMB)
}

// addWorker starts a worker, under the ID and at the address of the one before unless that is nil.
func (p *Platform) addWorker(before *Worker, machine, pool string, milliCPU, memoryMB int) *Worker {
	p.mu.Lock()
	p.incarnations++
	w := &Worker{
		Incarnation: fmt.Sprintf("i-%04d", p.incarnations), Machine: machine, Pool: pool, Address: p.At(fmt.Sprintf("10.100.%d.%d:80", p.incarnations/250, p.incarnations%250+1)),
		MilliCPU: milliCPU, MemoryMB: memoryMB, platform: p, began: time.Now(), ended: make(chan struct{}), stopped: make(map[string]int64),
	}
	if p.Reborn {
		w.BootID = time.Now().UnixMilli() - int64(p.incarnations)*time.Hour.Milliseconds()
	}
	if before != nil {
		w.Incarnation, w.Address = before.Incarnation, before.Address
	}
	p.workers[machine] = w
	off := pool == p.Off
	if off {
		w.Incarnation, w.dead = "", true
	}
	p.mu.Unlock()
	if off {
		return w
	}
	s, err := p.serve(w.Address, w)
	if err != nil {
		panic(err) // the addresses are the stand-in's own
	}
	p.mu.Lock()
	w.server = s
	p.mu.Unlock()
	p.tell(w)
	return w
}

// Crash ends a worker's incarnation; its entry stays in the list.
func (p *Platform) Crash(machine string) {
	p.mu.Lock()
	w := p.workers[machine]
	p.down[machine] = true
	s := w.server
	p.mu.Unlock()
	w.die()
	if p.Reborn && s != nil {
		_ = s.Close() // its connections break, and nobody answers there until it is back
	}
}

// IncarnationsEndedUnder returns how many workers have crashed under one task of a job, by their own history. From two on the users allow that the job is
// given up: who is beside what crashes workers again and again can't be told from that.
func (p *Platform) IncarnationsEndedUnder(job string) int {
	most, lost := 0, make(map[string]int)
	for _, x := range p.Runs() {
		if strings.HasPrefix(x.Task, job+".") && x.How == "lost" {
			lost[x.Task]++
			most = max(most, lost[x.Task])
		}
	}
	return most
}

// crashedBy crashes a worker because of a run there, if that goes on; the instance is back soon.
func (p *Platform) crashedBy(x *Run, w *Worker) {
	w.mu.Lock()
	goesOn := !w.dead && x.To.IsZero()
	w.mu.Unlock()
	if !goesOn {
		return
	}
	p.mu.Lock()
	x.Crashed = true
	p.mu.Unlock()
	p.Crash(w.Machine)
	time.AfterFunc(backAfter, func() { p.Revive(w.Machine) })
}

func (p *Platform) tell(w *Worker) {
	w.seq++
	state := "ready"
	if w.draining {
		state = "draining"
	}
	entry := map[string]any{
		"Service": w.Pool, "Address": w.Address, "Zone": p.Zone(w.Machine), "State": state, "Machine": w.Machine, "Seq": w.seq,
		"Capacity": map[string]int{"Cpu": w.MilliCPU, "MemMb": w.MemoryMB}, "Labels": []string{"a", "r1-1"},
	}
	w.tellBootID(entry)
	b, _ := json.Marshal(entry)
	p.Store.Put("keyed.servers", w.Incarnation, b)
}

func (p *Platform) all() []*Worker {
	var out []*Worker
	for _, w := range p.workers {
		out = append(out, w)
	}
	slices.SortFunc(out, func(a, b *Worker) int { return strings.Compare(a.Incarnation, b.Incarnation) })
	return out
}

func (p *Platform) beat() {
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-time.After(heartbeat):
		}
		p.mu.Lock()
		workers := p.all()
		p.mu.Unlock()
		for _, w := range workers {
			w.mu.Lock()
			if !w.dead {
				p.tell(w)
			}
			w.mu.Unlock()
		}
	}
}

// machines answers the machine interface.
func (p *Platform) machines(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/machines" {
		p.list(w)
		return
	}
	var o struct {
		Machine, Pool string
		Wave          int
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	p.mu.Lock()
	x := p.workers[o.Machine]
	key := fmt.Sprintf("%s/%d", o.Machine, o.Wave)
	done, down := p.done[key], p.down[o.Machine]
	if o.Pool != "" {
		done = x != nil && x.Pool == o.Pool
	}
	if x != nil && !done && !down {
		p.done[key], p.down[o.Machine] = o.Pool == "", true
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
		x.die()
		p.work.Go(func() { p.revive(x, o.Pool, false) })
		reply(w, http.StatusOK, nil)
	}
}

func (p *Platform) list(w http.ResponseWriter) {
	p.mu.Lock()
	rows := []map[string]any{}
	for _, x := range p.all() {
		state := "up"
		if p.down[x.Machine] {
			state = "upkeep"
		}
		rows = append(rows, map[string]any{"Machine": x.Machine, "Pool": x.Pool, "Zone": p.Zone(x.Machine), "State": state, "Id": x.Incarnation})
	}
	p.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"Machines": rows, "NextToken": nil})
}

// revive brings an instance back as another incarnation.
func (p *Platform) revive(x *Worker, pool string, crashed bool) {
	select {
	case <-p.ctx.Done():
		return
	case <-time.After(maintenanceTakes):
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
	if p.Reborn && crashed {
		p.addWorker(x, x.Machine, pool, x.MilliCPU, x.MemoryMB)
	} else {
		p.Store.Put("keyed.servers", x.Incarnation, nil)
		p.AddWorker(x.Machine, pool, x.MilliCPU, x.MemoryMB)
	}
	p.mu.Lock()
	delete(p.down, x.Machine)
	p.mu.Unlock()
}

// MachineOf returns the instance of an incarnation, empty when it has another incarnation now.
func (p *Platform) MachineOf(incarnation string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for machine, w := range p.workers {
		if w.Incarnation == incarnation {
			return machine
		}
	}
	return ""
}

// Revive brings a crashed instance back.
func (p *Platform) Revive(machine string) {
	p.mu.Lock()
	x := p.workers[machine]
	p.mu.Unlock()
	p.work.Go(func() { p.revive(x, "", true) })
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

// Bounds of the starts of a task that crashes its workers: no more than so many after so many crashes.
const (
	crashesAllowed     = 3
	startsAfterCrashes = 2
	// backAfter is how long an instance is away after a crash.
	backAfter = time.Second
)

// Check returns what in the history must never happen.
func (p *Platform) Check() []string {
	var wrong []string
	byTask := make(map[string][]Run)
	for _, x := range p.Runs() {
		byTask[x.Task] = append(byTask[x.Task], x)
	}
	for task, runs := range byTask {
		crashed, more := 0, 0
		for _, x := range runs {
			if crashed >= crashesAllowed {
				more++
			}
			if x.Crashed {
				crashed++
			}
		}
		if more > startsAfterCrashes {
			wrong = append(wrong, fmt.Sprintf("%s: %d starts after %d workers had crashed under it", task, more, crashesAllowed))
		}
		for i, a := range runs {
			for _, b := range runs[i+1:] {
				if b.From.Before(a.To) || a.To.IsZero() {
					wrong = append(wrong, fmt.Sprintf("%s: run %d on %s began while run %d on %s went on", task, b.Number, b.Incarnation, a.Number, a.Incarnation))
				}
				if a.How == "done" && a.Acked && b.From.After(a.AckedAt) {
					wrong = append(wrong, fmt.Sprintf("%s: run %d began after run %d was done and acknowledged", task, b.Number, a.Number))
				}
			}
		}
	}
	slices.Sort(wrong)
	return wrong
}
