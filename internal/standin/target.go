// SPDX-License-Identifier: MIT

package standin

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"rackstep.dev/serve"
)

// TargetFaults are a target's switches; the zero value is a sound target.
type TargetFaults struct {
	// Fail answers every request with status 500 at once.
	Fail bool
	// Reset breaks the connection off before the answer, after the request ran.
	Reset bool
	// Truncate breaks the connection off in the middle of the answer.
	Truncate bool
	// Delay is added to every request.
	Delay time.Duration
}

// Target is the stand-in for the program that runs a service's requests on an instance.
type Target struct {
	// Instance names it in its answers.
	Instance string
	// Slots and Connections are its limits; the brief's 8 and 64 when 0.
	Slots, Connections int

	mu     sync.Mutex
	faults TargetFaults
	down   bool
	// commanded says that the instance is down for planned work.
	commanded bool
	busy      int
	peak      int
	conns     map[net.Conn]bool
	peakConn  int
	late      int
	refused   int
	ran       map[string]int
}

// Counts is what a target saw.
type Counts struct {
	// Peak is the most requests at once, PeakConnections the most connections.
	Peak, PeakConnections int
	// Late are requests that came while the instance was down for planned work, Refused those above its slots.
	Late, Refused int
	// Ran counts the runs of each request that was marked, by its mark.
	Ran map[string]int
}

// SetFaults replaces the switches.
func (t *Target) SetFaults(f TargetFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// setDown makes the target break off every connection; commanded says that a command took its instance down.
func (t *Target) setDown(down, commanded bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.down, t.commanded = down, commanded
	if down {
		for c := range t.conns {
			_ = c.Close() // it may be closed already
		}
	}
}

// InFlight returns the requests that run now.
func (t *Target) InFlight() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.busy
}

// Counts returns what the target saw so far.
func (t *Target) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	ran := make(map[string]int, len(t.ran))
	for k, v := range t.ran {
		ran[k] = v
	}
	return Counts{Peak: t.peak, PeakConnections: t.peakConn, Late: t.late, Refused: t.refused, Ran: ran}
}

// Server returns an HTTP server for the target.
func (t *Target) Server() *http.Server {
	return &http.Server{Handler: t, ConnState: t.connState, ReadHeaderTimeout: 5 * time.Second}
}

func (t *Target) connState(c net.Conn, s http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conns == nil {
		t.conns = make(map[net.Conn]bool)
	}
	switch s {
	case http.StateNew:
		t.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(t.conns, c)
	}
	t.peakConn = max(t.peakConn, len(t.conns))
}

// ServeHTTP runs a request. Query: ms is its time, mark is counted in Counts.Ran, size is the answer's length.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	f, ok := t.enter(w)
	if !ok {
		return
	}
	defer t.leave()
	if f.Fail {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if mark := q.Get("mark"); mark != "" {
		t.mu.Lock()
		if t.ran == nil {
			t.ran = make(map[string]int)
		}
		t.ran[mark]++
		t.mu.Unlock()
	}
	ms, _ := strconv.ParseFloat(q.Get("ms"), 64) // none means at once
	wait(r, time.Duration(ms*float64(time.Millisecond))+f.Delay)
	t.answer(w, r, f)
}

func wait(r *http.Request, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
	}
}

// enter takes a slot, or answers that there is none.
func (t *Target) enter(w http.ResponseWriter) (TargetFaults, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		if t.commanded {
			t.late++
		}
		breakOff()
	}
	if t.busy >= orDefault(t.Slots, 8) {
		t.refused++
		w.Header().Set(serve.HeaderNotRun, "busy")
		w.WriteHeader(http.StatusServiceUnavailable)
		return TargetFaults{}, false
	}
	t.busy++
	t.peak = max(t.peak, t.busy)
	return t.faults, true
}

func orDefault(v, def int) int {
	if v == 0 {
		return def
	}
	return v
}

func (t *Target) leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.busy--
}

func (t *Target) answer(w http.ResponseWriter, r *http.Request, f TargetFaults) {
	if f.Reset {
		breakOff()
	}
	size, _ := strconv.Atoi(r.URL.Query().Get("size")) // none means the short answer
	body, err := json.Marshal(struct {
		Instance string `json:"instance"`
		Path     string `json:"path"`
		Mark     string `json:"mark"`
		Pad      string `json:"pad,omitempty"`
	}{t.Instance, r.URL.Path, r.URL.Query().Get("mark"), fmt.Sprintf("%0*d", size, 0)})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if f.Truncate {
		_, _ = w.Write(body[:len(body)/2])
		breakOff()
	}
	_, _ = w.Write(body) // a client that has gone needs no answer
}
