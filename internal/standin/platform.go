// SPDX-License-Identifier: MIT

package standin

import (
	"compress/gzip"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"rackstep.dev/provider"
)

// Platform is an in-memory fake of the platform's services.
type Platform struct {
	// RebootTime is how long a reboot takes.
	RebootTime time.Duration
	// UsageLag is the age of the usage that is reported for a task.
	UsageLag time.Duration
	// Intercept is called before and after each modifying call takes effect; it may be nil.
	//
	// Returning true before the effect refuses the call; returning true after it drops the reply.
	Intercept func(call Call, after bool) bool

	mu            sync.Mutex
	faults        Faults
	logs          map[string]*logStore
	logsChanged   chan struct{} // closed and replaced when a log grows
	tasksChanged  chan struct{} // closed and replaced when a call or the loss of its machine ends a task
	machines      map[string]*machine
	history       []snapshot
	appends       int
	appendRate    appendWindow
	commandCalls  int
	snapshots     int
	progress      map[string]time.Duration // run time of each job's ended attempts, which a continued attempt skips
	starts        map[string]int           // starts of each job from the beginning
	interruptions []string
	mux           *http.ServeMux
}

// Call is a modifying call.
type Call struct {
	// Kind is "append", "command" or "task".
	Kind string
	// Log and Records are set for an append, Instance for the others.
	Log      string
	Records  [][]byte
	Instance string
}

func (p *Platform) intercept(c Call, after bool) bool {
	return p.Intercept != nil && p.Intercept(c, after)
}

// machine is one listed instance.
type machine struct {
	row  provider.Instance
	down bool
	// commanded is set while the machine is down because of a command.
	commanded bool
	target    *Target // nil for an entry or a worker without one
	commands  map[string]*command
	tasks     map[string]*task
}

// snapshot is the instance list as of a time.
type snapshot struct {
	at   time.Time
	rows []provider.Instance
	// tag is the list's entity tag.
	tag string
}

// New returns a platform without instances, whose reboots take two seconds.
func New() *Platform {
	p := &Platform{
		RebootTime: 2 * time.Second,
		logs:       make(map[string]*logStore), logsChanged: make(chan struct{}), tasksChanged: make(chan struct{}), machines: make(map[string]*machine),
		progress: make(map[string]time.Duration), starts: make(map[string]int), mux: http.NewServeMux(),
	}
	p.mux.HandleFunc("POST /v1/logs/{log}/records", p.appendRecords)
	p.mux.HandleFunc("GET /v1/logs/{log}/records", p.readRecords)
	p.mux.HandleFunc("GET /v1/instances", p.listInstances)
	p.mux.HandleFunc("PUT /v1/instances", p.putInstance)
	p.mux.HandleFunc("DELETE /v1/instances/{instance}", p.deleteInstance)
	p.mux.HandleFunc("PUT /v1/instances/{instance}/commands/{command}", p.runCommand)
	p.mux.HandleFunc("GET /v1/instances/{instance}/commands/{command}", p.readCommand)
	p.mux.HandleFunc("PUT /v1/instances/{instance}/tasks/{task}", p.startTask)
	p.mux.HandleFunc("GET /v1/instances/{instance}/tasks/{task}", p.readTask)
	p.mux.HandleFunc("DELETE /v1/instances/{instance}/tasks/{task}", p.stopTask)
	p.mux.HandleFunc("POST /v1/instances/{instance}/tasks/{task}/checkpoint", p.checkpointTask)
	p.mux.HandleFunc("POST /v1/instances/{instance}/hold", p.holdTasks)
	p.mux.HandleFunc("PUT /v1/faults", p.putFaults)
	return p
}

// ServeHTTP serves the platform's HTTP interface.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

// Put adds the instance to the list or replaces its row; target may be nil.
func (p *Platform) Put(row provider.Instance, target *Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.machines[row.ID]
	if m == nil {
		m = &machine{commands: make(map[string]*command), tasks: make(map[string]*task)}
		p.machines[row.ID] = m
	}
	m.row = row
	m.target = target
	p.takeSnapshot()
}

// SetDown removes the instance from the list and makes its target unreachable, or restores both.
func (p *Platform) SetDown(id string, down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m := p.machines[id]; m != nil {
		p.setDown(m, down)
	}
}

func (p *Platform) setDown(m *machine, down bool) {
	m.down = down
	if m.target != nil {
		m.target.setDown(down, m.commanded)
	}
	if down {
		m.stopTasks(time.Now())
		p.notifyHolds()
	}
	p.takeSnapshot()
}

// Delete removes the instance permanently.
func (p *Platform) Delete(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.machines, id)
	p.notifyHolds()
	p.takeSnapshot()
}

// Interruptions describes each task or request that a command interrupted, which must never happen.
func (p *Platform) Interruptions() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.interruptions...)
}

// takeSnapshot adds the current list to the history, from which ListLag serves older ones; the caller holds mu.
func (p *Platform) takeSnapshot() {
	now := time.Now()
	var rows []provider.Instance
	for _, m := range p.machines {
		if !m.down {
			rows = append(rows, m.row)
		}
	}
	p.snapshots++
	p.history = append(p.history, snapshot{now, rows, strconv.Quote(strconv.Itoa(p.snapshots))})
	const maxHistory = 256
	if len(p.history) > maxHistory {
		p.history = append([]snapshot(nil), p.history[len(p.history)-maxHistory:]...)
	}
}

// DropListHistory discards older instance lists, so that ListLag can't show a list from before the call.
func (p *Platform) DropListHistory() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.history); n > 0 {
		p.history = append([]snapshot(nil), p.history[n-1])
		p.history[0].at = time.Time{}
	}
}

func (p *Platform) listInstances(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.ListDown {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	asOf := time.Now().Add(-p.faults.ListLag)
	rows, tag := []provider.Instance{}, `"none"`
	for _, s := range p.history {
		if !s.at.After(asOf) {
			rows, tag = s.rows, s.tag
		}
	}
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	list := struct {
		Instances []provider.Instance `json:"instances"`
	}{rows}
	if !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		reply(w, list)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Encoding", "gzip")
	z := gzip.NewWriter(w)
	_ = json.NewEncoder(z).Encode(list) // a disconnected client retries
	_ = z.Close()
}

func (p *Platform) putInstance(w http.ResponseWriter, r *http.Request) {
	var row provider.Instance
	if err := json.NewDecoder(r.Body).Decode(&row); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	var target *Target
	if m := p.machines[row.ID]; m != nil {
		target = m.target
	}
	p.mu.Unlock()
	p.Put(row, target)
	reply(w, row)
}

func (p *Platform) deleteInstance(w http.ResponseWriter, r *http.Request) {
	p.Delete(r.PathValue("instance"))
	reply(w, struct{}{})
}

func (p *Platform) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(f)
	reply(w, f)
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // a disconnected client retries
}

// abortConnection closes the connection without a reply.
func abortConnection() { panic(http.ErrAbortHandler) }
