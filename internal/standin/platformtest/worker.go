// SPDX-License-Identifier: MIT

package platformtest

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Run is one run of a task in the history.
type Run struct {
	Task        string
	Number      int64
	Incarnation string
	// Zone is the data centre of its instance.
	Zone string
	From time.Time
	// To is zero while it runs; How is the worker's word for its end.
	To  time.Time
	How string
	// Acked says that the end was acknowledged, at AckedAt.
	Acked   bool
	AckedAt time.Time
	// Crashed says that the run has crashed its worker.
	Crashed bool

	n      int64
	saved  string
	ending *time.Timer
	pace   int
}

// Worker is one incarnation of the stand-in's workers.
type Worker struct {
	Incarnation, Machine, Pool, Address string
	MilliCPU, MemoryMB                  int
	// BootID tells its incarnations apart that bear one ID, 0 where the stand-in tells none.
	BootID   int64
	platform *Platform
	server   *http.Server

	mu       sync.Mutex
	dead     bool
	draining bool
	began    time.Time
	fence    int64
	deadline int64
	acked    int64
	lastEnd  int64
	runs     []*Run
	ended    chan struct{}
	lapse    *time.Timer
	stopped  map[string]int64
	seq      int64
}

func (w *Worker) clock() int64 { return time.Since(w.began).Milliseconds() + 1 }

// ServeHTTP answers one order.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var o struct {
		Task       string
		Run        int64
		Spec       string
		DeadlineMs int64
		Fence      int64
		Saved      string
		AckedUpto  int64
		WaitMs     int64
		Percent    int
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		reply(rw, http.StatusBadRequest, nil)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	refuse := func(reason string) {
		reply(rw, http.StatusConflict, map[string]any{"ClockMs": w.clock(), "Reason": reason})
	}
	switch {
	case w.dead && w.platform.Reborn:
		panic(http.ErrAbortHandler) // its connections break
	case w.dead || r.Header.Get("X-Expect-Instance") != w.Incarnation:
		reply(rw, http.StatusMisdirectedRequest, nil)
		return
	case o.Fence < w.fence:
		refuse("fence")
		return
	}
	w.fence = o.Fence
	switch r.URL.Path {
	case "/run-start":
		w.start(rw, refuse, o.Task, o.Run, o.DeadlineMs, o.Saved)
	case "/run-stop":
		w.stopped[o.Task] = max(w.stopped[o.Task], o.Run)
		if x := w.running(o.Task, o.Run); x != nil {
			w.end(x, "stopped")
		}
		reply(rw, http.StatusOK, map[string]any{"ClockMs": w.clock()})
	case "/pace":
		if x := w.running(o.Task, o.Run); x != nil {
			x.pace = o.Percent
		}
		reply(rw, http.StatusOK, map[string]any{"ClockMs": w.clock()})
	case "/hold":
		w.hold(rw, r, o.DeadlineMs, o.AckedUpto, o.WaitMs)
	default:
		http.NotFound(rw, r)
	}
}

func (w *Worker) running(task string, number int64) *Run {
	for _, x := range w.runs {
		if x.Task == task && x.Number == number && x.To.IsZero() {
			return x
		}
	}
	return nil
}

func (w *Worker) start(rw http.ResponseWriter, refuse func(string), task string, number, deadline int64, saved string) {
	if deadline > 0 && deadline < w.clock() {
		refuse("late")
		return
	}
	w.extend(deadline)
	if w.running(task, number) != nil {
		reply(rw, http.StatusOK, map[string]any{"ClockMs": w.clock()})
		return
	}
	for _, x := range w.runs {
		if x.Task == task && number <= x.Number && !x.To.IsZero() {
			refuse("old")
			return
		}
	}
	if number <= w.stopped[task] {
		refuse("old")
		return
	}
	x := &Run{Task: task, Number: number, Incarnation: w.Incarnation, Zone: w.platform.Zone(w.Machine), From: time.Now(), saved: saved, pace: 100}
	w.runs = append(w.runs, x)
	w.platform.note(x)
	if w.platform.Crashes != nil && w.platform.Crashes(task) > 0 {
		x.ending = time.AfterFunc(w.platform.Crashes(task), func() { w.platform.crashedBy(x, w) })
	} else if d := w.platform.Takes(task); d > 0 {
		x.ending = time.AfterFunc(d, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			how := "done"
			if w.platform.Fails != nil && w.platform.Fails(task, w.Incarnation) {
				how = "failed"
			}
			w.end(x, how)
		})
	}
	reply(rw, http.StatusOK, map[string]any{"ClockMs": w.clock()})
}

// end ends a run and wakes the holds; the worker's lock is held.
func (w *Worker) end(x *Run, how string) {
	if !x.To.IsZero() {
		return
	}
	if x.ending != nil {
		x.ending.Stop()
	}
	w.lastEnd++
	w.platform.mu.Lock()
	x.To, x.How = time.Now(), how
	w.platform.mu.Unlock()
	x.n = w.lastEnd
	close(w.ended)
	w.ended = make(chan struct{})
}

// extend moves the lease's end; the worker's lock is held.
func (w *Worker) extend(deadline int64) {
	if deadline <= w.deadline {
		return
	}
	w.deadline = min(deadline, w.clock()+w.platform.leaseMillis())
	if w.lapse != nil {
		w.lapse.Stop()
	}
	w.lapse = time.AfterFunc(time.Duration(w.deadline-w.clock())*time.Millisecond, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, x := range w.runs {
			w.end(x, "lapsed")
		}
	})
}

func (w *Worker) hold(rw http.ResponseWriter, r *http.Request, deadline, acked, wait int64) {
	w.extend(deadline)
	for _, x := range w.runs {
		if x.n > 0 && x.n <= acked && !x.Acked {
			w.platform.mu.Lock()
			x.Acked, x.AckedAt = true, time.Now()
			w.platform.mu.Unlock()
		}
	}
	w.acked = max(w.acked, acked)
	if wait > 0 && w.lastEnd <= w.acked {
		ended := w.ended
		w.mu.Unlock()
		t := time.NewTimer(time.Duration(wait) * time.Millisecond)
		select {
		case <-ended:
		case <-t.C:
		case <-r.Context().Done():
		}
		t.Stop()
		w.mu.Lock()
	}
	if w.dead {
		panic(http.ErrAbortHandler) // a worker that has crashed tells no ends; its connections break
	}
	running, ends := [][]any{}, [][]any{}
	for _, x := range w.runs {
		switch {
		case x.To.IsZero():
			running = append(running, []any{x.Task, x.Number, x.saved, 100})
		case x.n > w.acked:
			ends = append(ends, []any{x.n, x.Task, x.Number, x.How, x.saved})
		}
	}
	slices.SortFunc(ends, func(a, b []any) int { return int(a[0].(int64) - b[0].(int64)) })
	list := map[string]any{"ClockMs": w.clock(), "Running": running, "Ended": ends}
	w.tellBootID(list)
	reply(rw, http.StatusOK, list)
}

// tellBootID adds the boot ID to what the worker says of itself, or of what runs there.
func (w *Worker) tellBootID(said map[string]any) {
	if w.BootID != 0 {
		said["born"] = w.BootID
	}
}

// die ends the incarnation and all that runs there.
func (w *Worker) die() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dead = true
	for _, x := range w.runs {
		w.end(x, "lost")
	}
	if w.lapse != nil {
		w.lapse.Stop()
	}
}
