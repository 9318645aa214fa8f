// SPDX-License-Identifier: MIT

package platformtest

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Run is a run of a task in the history.
type Run struct {
	Task     string
	Number   int64
	WorkerID string
	// Zone is the data centre of its instance.
	Zone  string
	Start time.Time
	// End is zero while it runs; Outcome is the outcome that the worker reports.
	End     time.Time
	Outcome string
	// Acked is set once the end was acknowledged, at AckedAt.
	Acked   bool
	AckedAt time.Time
	// Crashed is set when the run has crashed its worker.
	Crashed bool

	endNumber  int64
	checkpoint string
	timer      *time.Timer
	pace       int
}

// maxListedEnds is how many ends a worker lists at once. It lists the others once those are acknowledged.
const maxListedEnds = 500

// Worker is a worker from its start to its end. A restart makes a new Worker.
type Worker struct {
	ID, Machine, Pool, Address string
	MilliCPU, MemoryMB         int
	// WorkerID distinguishes workers with the same ID; 0 when none is reported.
	BootID   int64
	platform *Platform
	server   *http.Server
	life     *Life

	mu         sync.Mutex
	dead       bool
	draining   bool
	startedAt  time.Time
	fence      int64
	deadline   int64
	acked      int64
	lastEnd    int64
	runs       []*Run
	ended      chan struct{}
	leaseTimer *time.Timer
	stopped    map[string]int64
	seq        int64
}

func (w *Worker) clockMillis() int64 { return time.Since(w.startedAt).Milliseconds() + 1 }

// ServeHTTP serves the calls to a worker.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var req struct {
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
	if json.NewDecoder(r.Body).Decode(&req) != nil {
		reply(rw, http.StatusBadRequest, nil)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	refuse := func(reason string) {
		reply(rw, http.StatusConflict, map[string]any{"ClockMs": w.clockMillis(), "Reason": reason})
	}
	switch {
	case w.dead && w.platform.ReuseIDs:
		panic(http.ErrAbortHandler) // closes the connection
	case w.dead || r.Header.Get("X-Expect-Instance") != w.ID:
		reply(rw, http.StatusMisdirectedRequest, nil)
		return
	case req.Fence < w.fence:
		refuse("fence")
		return
	}
	w.fence = req.Fence
	switch r.URL.Path {
	case "/run-start":
		w.start(rw, refuse, req.Task, req.Run, req.DeadlineMs, req.Saved)
	case "/run-stop":
		w.stopped[req.Task] = max(w.stopped[req.Task], req.Run)
		if x := w.findRunning(req.Task, req.Run); x != nil {
			w.endRun(x, "stopped")
		}
		reply(rw, http.StatusOK, map[string]any{"ClockMs": w.clockMillis()})
	case "/pace":
		if x := w.findRunning(req.Task, req.Run); x != nil {
			x.pace = req.Percent
		}
		reply(rw, http.StatusOK, map[string]any{"ClockMs": w.clockMillis()})
	case "/hold":
		w.hold(rw, r, req.DeadlineMs, req.AckedUpto, req.WaitMs)
	default:
		http.NotFound(rw, r)
	}
}

func (w *Worker) findRunning(task string, number int64) *Run {
	for _, x := range w.runs {
		if x.Task == task && x.Number == number && x.End.IsZero() {
			return x
		}
	}
	return nil
}

func (w *Worker) start(rw http.ResponseWriter, refuse func(string), task string, number, deadline int64, saved string) {
	if deadline > 0 && deadline < w.clockMillis() {
		refuse("late")
		return
	}
	w.extendLease(deadline)
	if w.findRunning(task, number) != nil {
		reply(rw, http.StatusOK, map[string]any{"ClockMs": w.clockMillis()})
		return
	}
	for _, x := range w.runs {
		if x.Task == task && number <= x.Number && !x.End.IsZero() {
			refuse("old")
			return
		}
	}
	if number <= w.stopped[task] {
		refuse("old")
		return
	}
	x := &Run{Task: task, Number: number, WorkerID: w.ID, Zone: w.platform.Zone(w.Machine), Start: time.Now(), checkpoint: saved, pace: 100}
	w.runs = append(w.runs, x)
	w.platform.recordRun(x)
	if w.platform.CrashDelay != nil && w.platform.CrashDelay(task) > 0 {
		x.timer = time.AfterFunc(w.platform.CrashDelay(task), func() { w.platform.crashWorker(x, w) })
	} else if d := w.platform.TaskDuration(task); d > 0 {
		x.timer = time.AfterFunc(d, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			outcome := "done"
			if w.platform.RunFails != nil && w.platform.RunFails(task, w.ID) {
				outcome = "failed"
			}
			w.endRun(x, outcome)
		})
	}
	reply(rw, http.StatusOK, map[string]any{"ClockMs": w.clockMillis()})
}

// endRun ends a run and wakes the waiting hold calls; the caller holds w.mu.
func (w *Worker) endRun(x *Run, outcome string) {
	if !x.End.IsZero() {
		return
	}
	if x.timer != nil {
		x.timer.Stop()
	}
	w.lastEnd++
	w.platform.mu.Lock()
	x.End, x.Outcome = time.Now(), outcome
	w.platform.mu.Unlock()
	x.endNumber = w.lastEnd
	close(w.ended)
	w.ended = make(chan struct{})
}

// extendLease moves the end of the lease; the caller holds w.mu.
func (w *Worker) extendLease(deadline int64) {
	if deadline <= w.deadline {
		return
	}
	w.deadline = min(deadline, w.clockMillis()+w.platform.leaseMillis())
	if w.leaseTimer != nil {
		w.leaseTimer.Stop()
	}
	w.leaseTimer = time.AfterFunc(time.Duration(w.deadline-w.clockMillis())*time.Millisecond, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, x := range w.runs {
			w.endRun(x, "lapsed")
		}
	})
}

func (w *Worker) hold(rw http.ResponseWriter, r *http.Request, deadline, acked, wait int64) {
	w.extendLease(deadline)
	for _, x := range w.runs {
		if x.endNumber > 0 && x.endNumber <= acked && !x.Acked {
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
		panic(http.ErrAbortHandler) // a crashed worker reports no ends; its connections close
	}
	running, ends := [][]any{}, [][]any{}
	for _, x := range w.runs {
		switch {
		case x.End.IsZero():
			running = append(running, []any{x.Task, x.Number, x.checkpoint, 100})
		case x.endNumber > w.acked:
			ends = append(ends, []any{x.endNumber, x.Task, x.Number, x.Outcome, x.checkpoint})
		}
	}
	slices.SortFunc(ends, func(a, b []any) int { return int(a[0].(int64) - b[0].(int64)) })
	ends = ends[:min(len(ends), maxListedEnds)]
	list := map[string]any{"ClockMs": w.clockMillis(), "Running": running, "Ended": ends}
	w.addIncarnation(list)
	reply(rw, http.StatusOK, list)
}

// addIncarnation adds the incarnation to a report of the worker.
func (w *Worker) addIncarnation(report map[string]any) {
	if w.BootID != 0 {
		report["born"] = w.BootID
	}
}

// kill ends the worker and all its runs.
func (w *Worker) kill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dead = true
	if w.life != nil {
		w.platform.mu.Lock()
		if w.life.End.IsZero() {
			w.life.End = time.Now()
		}
		w.platform.mu.Unlock()
	}
	for _, x := range w.runs {
		w.endRun(x, "lost")
	}
	if w.leaseTimer != nil {
		w.leaseTimer.Stop()
	}
}
