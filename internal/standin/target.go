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

// TargetFaults selects a target's faults; the zero value is a target without faults.
type TargetFaults struct {
	// Fail replies to every request with status 500, without a delay.
	Fail bool
	// Reset closes the connection after the request ran and before the reply.
	Reset bool
	// Truncate closes the connection in the middle of the reply.
	Truncate bool
	// Delay is added to every request.
	Delay time.Duration
}

// Target is a fake of the program that runs a service's requests on an instance.
type Target struct {
	// Instance is the instance ID that the replies carry.
	Instance string
	// Slots is the number of requests that run at once; 8 when 0. Connections is not enforced; compare Counts.PeakConnections instead.
	Slots, Connections int

	mu     sync.Mutex
	faults TargetFaults
	down   bool
	// commanded is set while the instance is down because of a command, that is, for planned maintenance.
	commanded         bool
	inFlight          int
	peakInFlight      int
	conns             map[net.Conn]bool
	peakConns         int
	duringMaintenance int
	refused           int
	runsByMark        map[string]int
}

// Counts holds a target's statistics.
type Counts struct {
	// Peak is the maximum number of concurrent requests, PeakConnections that of open connections.
	Peak, PeakConnections int
	// DuringMaintenance counts requests that arrived while the instance was down for planned maintenance, Refused those beyond its slots.
	DuringMaintenance, Refused int
	// RunsByMark counts the runs of each request with a mark.
	RunsByMark map[string]int
}

// SetFaults replaces the faults.
func (t *Target) SetFaults(f TargetFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// setDown makes the target close every connection, or accept them again; commanded is set when a command took its instance down.
func (t *Target) setDown(down, commanded bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.down, t.commanded = down, commanded
	if down {
		for c := range t.conns {
			_ = c.Close() // may already be closed
		}
	}
}

// InFlight returns the number of requests that run now.
func (t *Target) InFlight() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.inFlight
}

// Counts returns the statistics so far.
func (t *Target) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	runs := make(map[string]int, len(t.runsByMark))
	for mark, n := range t.runsByMark {
		runs[mark] = n
	}
	return Counts{Peak: t.peakInFlight, PeakConnections: t.peakConns, DuringMaintenance: t.duringMaintenance, Refused: t.refused, RunsByMark: runs}
}

// Server returns an HTTP server for the target.
func (t *Target) Server() *http.Server {
	return &http.Server{Handler: t, ConnState: t.trackConn, ReadHeaderTimeout: 5 * time.Second}
}

func (t *Target) trackConn(c net.Conn, s http.ConnState) {
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
	t.peakConns = max(t.peakConns, len(t.conns))
}

// ServeHTTP runs a request. Query parameters: ms is its duration in milliseconds, mark is counted in Counts.RunsByMark, and size is the
// length of the reply's padding.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	f, ok := t.acquireSlot(w)
	if !ok {
		return
	}
	defer t.releaseSlot()
	if f.Fail {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if mark := q.Get("mark"); mark != "" {
		t.mu.Lock()
		if t.runsByMark == nil {
			t.runsByMark = make(map[string]int)
		}
		t.runsByMark[mark]++
		t.mu.Unlock()
	}
	ms, _ := strconv.ParseFloat(q.Get("ms"), 64) // absent or invalid: no delay
	sleepOrCancel(r, time.Duration(ms*float64(time.Millisecond))+f.Delay)
	t.answer(w, r, f)
}

// sleepOrCancel waits for the duration or until the request is cancelled.
func sleepOrCancel(r *http.Request, d time.Duration) {
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

// acquireSlot takes a slot, or replies that the target is busy. It closes the connection when the target is down.
func (t *Target) acquireSlot(w http.ResponseWriter) (TargetFaults, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		if t.commanded {
			t.duringMaintenance++
		}
		abortConnection()
	}
	if t.inFlight >= orDefault(t.Slots, 8) {
		t.refused++
		w.Header().Set(serve.HeaderNotRun, "busy")
		w.WriteHeader(http.StatusServiceUnavailable)
		return TargetFaults{}, false
	}
	t.inFlight++
	t.peakInFlight = max(t.peakInFlight, t.inFlight)
	return t.faults, true
}

func orDefault(v, def int) int {
	if v == 0 {
		return def
	}
	return v
}

func (t *Target) releaseSlot() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
}

func (t *Target) answer(w http.ResponseWriter, r *http.Request, f TargetFaults) {
	if f.Reset {
		abortConnection()
	}
	size, _ := strconv.Atoi(r.URL.Query().Get("size")) // absent or invalid: no padding
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
		abortConnection()
	}
	_, _ = w.Write(body) // a disconnected client needs no reply
}
