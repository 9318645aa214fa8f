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

// Platform is the stand-in for the platform's services.
type Platform struct {
	// RebootTime is how long a reboot takes.
	RebootTime time.Duration
	// UsageLag is how old the reported usage of a task is.
	UsageLag time.Duration
	// Probe is called before and after each call that changes something takes effect; may be nil.
	//
	// When it returns true, the call is refused before its effect, or its answer is lost after it.
	Probe func(call Call, after bool) bool

	mu       sync.Mutex
	faults   Faults
	logs     map[string]*logStore
	changed  chan struct{} // closed and replaced when a log grows
	tasked   chan struct{} // closed and replaced when a task is ended by a call or with its machine
	machines map[string]*machine
	history  []snapshot
	appends  int
	second   appendSecond
	calls    int
	snaps    int
	progress map[string]time.Duration
	starts   map[string]int
	cuts     []string
	mux      *http.ServeMux
}

// Call is one call that changes something.
type Call struct {
	// Kind is "append", "command" or "task".
	Kind string
	// Log and Records are set for an append, Instance for the others.
	Log      string
	Records  [][]byte
	Instance string
}

func (p *Platform) probe(c Call, after bool) bool { return p.Probe != nil && p.Probe(c, after) }

// machine is one listed instance.
type machine struct {
	listed provider.Instance
	down   bool
	// commanded says that a command has taken the machine down.
	commanded bool
	target    *Target // nil for an entry or a worker without one
	commands  map[string]*command
	tasks     map[string]*task
}

// snapshot is the instance list at one time.
type snapshot struct {
	at   time.Time
	rows []provider.Instance
	// tag is the list's entity tag.
	tag string
}

// New returns a platform without instances.
func New() *Platform {
	p := &Platform{
		RebootTime: 2 * time.Second,
		logs:       make(map[string]*logStore), changed: make(chan struct{}), tasked: make(chan struct{}), machines: make(map[string]*machine),
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

// ServeHTTP answers entries and tests.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

// Put lists the instance, or lists it anew; target may be nil.
func (p *Platform) Put(row provider.Instance, target *Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.machines[row.ID]
	if m == nil {
		m = &machine{commands: make(map[string]*command), tasks: make(map[string]*task)}
		p.machines[row.ID] = m
	}
	m.listed = row
	m.target = target
	p.snap()
}

// SetDown takes the instance out of the list and fails its target, or brings both back.
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
		m.killTasks(time.Now())
		p.wakeHolds()
	}
	p.snap()
}

// Delete takes the instance out of the list for good.
func (p *Platform) Delete(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.machines, id)
	p.wakeHolds()
	p.snap()
}

// Cuts returns what the platform saw that must never happen.
func (p *Platform) Cuts() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.cuts...)
}

func (p *Platform) snap() {
	now := time.Now()
	var rows []provider.Instance
	for _, m := range p.machines {
		if !m.down {
			rows = append(rows, m.listed)
		}
	}
	p.snaps++
	p.history = append(p.history, snapshot{now, rows, strconv.Quote(strconv.Itoa(p.snaps))})
	const kept = 256
	if len(p.history) > kept {
		p.history = append([]snapshot(nil), p.history[len(p.history)-kept:]...)
	}
}

// Settle makes the list as it is now the oldest one that a lag can show.
func (p *Platform) Settle() {
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
	at := time.Now().Add(-p.faults.ListLag)
	rows, tag := []provider.Instance{}, `"none"`
	for _, s := range p.history {
		if !s.at.After(at) {
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
	_ = json.NewEncoder(z).Encode(list) // a client that has gone asks again
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
	_ = json.NewEncoder(w).Encode(body) // a client that has gone asks again
}

// breakOff ends the connection without an answer.
func breakOff() { panic(http.ErrAbortHandler) }
