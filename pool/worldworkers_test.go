// SPDX-License-Identifier: MIT

//go:build !race

package pool_test

import (
	"context"
	"errors"
	"slices"
	"time"

	"rackstep.dev/job"
	"rackstep.dev/work"
)

// calls returns the calls to workers as an entry makes them.
func (w *world) calls(entry string) work.Calls {
	order := func(ctx context.Context, x *work.Worker, exec func(l *life, heldUp bool) work.Answer) (work.Answer, error) {
		answers := make(chan *work.Answer, 1)
		w.mu.Lock()
		late := w.lateShare
		w.mu.Unlock()
		stranger, err := w.callWorker(ctx, entry, x, late, func(to *life, heldUp bool) {
			w.mu.Lock()
			defer w.mu.Unlock()
			answers <- w.toLife(x.ID, to, func(l *life) work.Answer { return exec(l, heldUp) })
		})
		switch {
		case stranger != nil:
			return *stranger, nil
		case errors.Is(err, errUnsent):
			return work.Answer{}, work.ErrNotSent
		case err != nil:
			return work.Answer{}, work.ErrNoAnswer
		}
		if a := <-answers; a != nil {
			return *a, nil
		}
		return work.Answer{}, work.ErrNoAnswer
	}
	return work.Calls{
		Start: func(ctx context.Context, x *work.Worker, o work.Start) (work.Answer, error) {
			return order(ctx, x, func(l *life, _ bool) work.Answer { return l.start(entry, o) })
		},
		Stop: func(ctx context.Context, x *work.Worker, o work.Stop) (work.Answer, error) {
			return order(ctx, x, func(l *life, heldUp bool) work.Answer { return l.stop(entry, o, heldUp) })
		},
		Pace: func(context.Context, *work.Worker, work.Pace) (work.Answer, error) { return work.Answer{}, nil },
		Hold: func(ctx context.Context, x *work.Worker, o work.Hold) (work.Report, error) {
			reports := make(chan *work.Report, 1)
			stranger, err := w.callWorker(ctx, entry, x, 0, func(to *life, _ bool) { reports <- w.hold(x.ID, to, o) })
			switch {
			case stranger != nil:
				return work.Report{Answer: *stranger}, nil
			case errors.Is(err, errUnsent):
				return work.Report{}, work.ErrNotSent
			case err != nil:
				return work.Report{}, work.ErrNoAnswer
			}
			if rep := <-reports; rep != nil {
				return *rep, nil
			}
			return work.Report{}, work.ErrNoAnswer
		},
		Forget: func(*work.Worker) {},
	}
}

// callWorker makes a call to a worker as the adapter does: on a connection to one process, which must be the life that is meant. While the
// worker is down there is nobody to connect to. A call that is carried out late is so by whoever bears the ID then: exec gets no process.
func (w *world) callWorker(ctx context.Context, entry string, x *work.Worker, late float64, exec func(to *life, heldUp bool)) (stranger *work.Answer, err error) {
	w.mu.Lock()
	to := w.lives[x.ID]
	_, cut := w.closed(entry, x.ID)
	down := w.down(to)
	w.mu.Unlock()
	switch {
	case down:
		return nil, errUnsent
	case x.Birth == 0 || to == nil || to.birth == x.Birth:
	case cut:
		to = new(life) // a connection of before, or one that comes about when the cut ends: nobody else gets the call
	default:
		return &work.Answer{Refusal: work.OtherLife, Birth: to.birth}, nil
	}
	return nil, w.call(ctx, entry, x.ID, late, 0, func(heldUp, late bool) {
		if late || w.reborn == 0 {
			exec(nil, heldUp)
			return
		}
		exec(to, heldUp)
	})
}

// toLife hands an order to the life that bears the ID; it returns nil if the connection to another one has broken, or nobody is there. The lock is held.
func (w *world) toLife(id string, to *life, exec func(l *life) work.Answer) *work.Answer {
	l := w.lives[id]
	switch {
	case w.down(l), to != nil && to != l:
		return nil
	case l == nil || l.dead:
		return &work.Answer{Refusal: work.OtherLife}
	}
	a := exec(l)
	return &a
}

// down says whether a life has crashed and nobody answers in its place: the next one may bear the same ID. The lock is held.
func (w *world) down(l *life) bool { return w.reborn > 0 && l != nil && l.dead && w.lives[l.name] == l }

func (l *life) clock() work.Clock {
	return work.Clock(float64(time.Since(l.began).Microseconds())*l.rate/1000) + 1
}

// fenced raises the life's fencing token, or refuses a lower one.
func (l *life) fenced(fence int64) bool {
	if fence < l.fence {
		return true
	}
	l.fence = fence
	return false
}

// counted is by how much the room has shrunk as far as a leader must know.
func (l *life) counted() int {
	if time.Since(l.shownAt) < modelContact+modelBeat {
		return min(l.before, l.shown)
	}
	return l.shown
}

// shrink changes a life's room; the list tells as soon as the life reaches the store. The lock is held.
func (l *life) shrink(less int) {
	l.less, l.listed = less, false
}

// show notes what the list tells of the room from now on.
func (l *life) show(now time.Time) {
	if l.shown != l.less {
		l.before, l.shown, l.shownAt = l.counted(), l.less, now
	}
}

func (l *life) answer(r work.Refusal) work.Answer { return work.Answer{Refusal: r, Clock: l.clock()} }

// extend moves the lease's end, never back, and by at most a lease from now.
func (l *life) extend(deadline work.Clock) {
	if d := min(int64(deadline), int64(l.clock())+modelLease.Milliseconds()); d > l.deadline {
		l.deadline = d
		if l.lapse != nil {
			l.lapse.Stop()
		}
		left := time.Duration(float64(d-int64(l.clock()))/l.rate) * time.Millisecond
		l.lapse = time.AfterFunc(left, func() {
			l.world.mu.Lock()
			defer l.world.mu.Unlock()
			if l.world.debug != nil {
				l.world.debug("LAPSE %s", l.name)
			}
			l.lapsed()
		})
	}
}

func (l *life) lapsed() {
	for _, x := range l.runs {
		x.overtaken = x.overtaken || (!x.to.IsZero() && !x.acked)
		x.end("lapsed")
	}
}

// end ends a run; the lock is held.
func (x *ran) end(how string) {
	if !x.to.IsZero() {
		return
	}
	if x.timer != nil {
		x.timer.Stop()
	}
	x.to, x.how = time.Now(), how
	x.life.lastEnd++
	x.n = x.life.lastEnd
	close(x.life.ended)
	x.life.ended = make(chan struct{})
}

func (l *life) start(by string, o work.Start) work.Answer {
	w := l.world
	if l.fenced(o.Fence) {
		return l.answer(work.Fenced)
	}
	if o.Deadline > 0 && o.Deadline < l.clock() {
		return l.answer(work.DeadlinePassed)
	}
	l.extend(o.Deadline)
	used := 0
	for _, x := range l.runs {
		switch {
		case x.task == o.Task && x.number == o.Run && x.to.IsZero():
			return l.answer(work.Accepted)
		case x.task == o.Task && !x.to.IsZero() && o.Run <= x.number:
			return l.answer(work.OldRun)
		case x.to.IsZero():
			used += modelTask
		}
	}
	switch {
	case o.Run <= l.stopped[o.Task]:
		return l.answer(work.OldRun)
	case !w.unguarded && used+modelTask > w.room-l.less:
		return l.answer(work.NoRoom)
	case used+modelTask > w.room:
		w.fail("LIMIT %s run=%d on %s by %s: %d in use of %d", o.Task, o.Run, l.name, by, used, w.room)
	case used+modelTask > w.room-l.counted() && w.inTouch(by):
		w.fail("LIMIT %s run=%d on %s by %s: %d in use of %d", o.Task, o.Run, l.name, by, used, w.room-l.counted())
	}
	w.judgeStart(l, by, o)
	w.judgeDrain(l, by, o)
	if w.debug != nil {
		w.debug("START %s run=%d on %s (%s) by %s", o.Task, o.Run, l.name, l.machine.zone, by)
	}
	x := &ran{task: o.Task, number: o.Run, life: l, from: time.Now(), inTouch: w.inTouch(by)}
	l.runs = append(l.runs, x)
	w.byTask[o.Task] = append(w.byTask[o.Task], x)
	if after, ok := w.crashers[o.Task]; ok {
		x.timer = time.AfterFunc(after, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if x.to.IsZero() && !l.dead {
				x.crashed = true
				w.crash(l.machine, modelDown)
			}
		})
	} else if takes, fails := w.takes(o.Task); takes > 0 {
		x.timer = time.AfterFunc(takes, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if fails {
				x.end("failed")
				return
			}
			x.end("done")
		})
	}
	return l.answer(work.Accepted)
}

// takes returns how long a run of the task takes, 0 for ever, and whether it fails.
func (w *world) takes(task string) (time.Duration, bool) {
	n, _ := job.ParseName(task)
	if s := w.asked[n.ID]; s == nil || s.Steps[n.Step].Lasting {
		return 0, false
	}
	if len(w.byTask[task]) == 1 && w.r.IntN(8) == 0 {
		return 200 * time.Millisecond, true
	}
	return 200*time.Millisecond + time.Duration(w.r.Int64N(int64(w.longest))), false
}

func (l *life) stop(by string, o work.Stop, heldUp bool) work.Answer {
	if l.fenced(o.Fence) {
		return l.answer(work.Fenced)
	}
	l.stopped[o.Task] = max(l.stopped[o.Task], o.Run)
	for _, x := range l.runs {
		if x.task == o.Task && x.number == o.Run && x.to.IsZero() {
			l.world.judgeEnd(x, by+" by a stop", heldUp)
			x.stopping = true
			time.AfterFunc(time.Duration(l.world.r.Int64N(int64(modelStop))), func() {
				l.world.mu.Lock()
				defer l.world.mu.Unlock()
				x.end("stopped")
			})
		}
	}
	return l.answer(work.Accepted)
}

func (w *world) hold(id string, to *life, o work.Hold) *work.Report {
	w.mu.Lock()
	l := w.lives[id]
	if w.down(l) || (to != nil && to != l) {
		w.mu.Unlock()
		return nil
	}
	if l == nil || l.dead {
		w.mu.Unlock()
		return &work.Report{Answer: work.Answer{Refusal: work.OtherLife}}
	}
	if l.fenced(o.Fence) {
		defer w.mu.Unlock()
		return &work.Report{Answer: l.answer(work.Fenced)}
	}
	l.extend(o.Deadline)
	l.acked = max(l.acked, o.Acked)
	for _, x := range l.runs {
		if !x.acked && x.n > 0 && x.n <= l.acked && !x.overtaken {
			x.acked = true
			w.judgeAcked(x)
		}
	}
	if o.Wait > 0 && l.lastEnd <= l.acked {
		ended := l.ended
		w.mu.Unlock()
		t := time.NewTimer(o.Wait)
		select {
		case <-ended:
		case <-t.C:
		}
		t.Stop()
		w.mu.Lock()
	}
	defer w.mu.Unlock()
	switch {
	case l.dead && w.reborn > 0:
		return nil // its connections break
	case l.dead:
		return &work.Report{Answer: work.Answer{Refusal: work.OtherLife}}
	}
	rep := &work.Report{Answer: l.answer(work.Accepted)}
	rep.Birth = l.birth
	for _, x := range l.runs {
		switch {
		case x.to.IsZero():
			row := work.RunStatus{Task: x.task, Run: x.number, Percent: 50}
			if time.Since(x.from) > modelWarm {
				row.Percent = 100
			}
			rep.Running = append(rep.Running, row)
		case x.n > l.acked:
			how := map[string]work.Outcome{"done": work.Succeeded, "failed": work.Failed, "stopped": work.Stopped, "lapsed": work.Lapsed}[x.how]
			rep.Ended = append(rep.Ended, work.EndedRun{Seq: x.n, Task: x.task, Run: x.number, Outcome: how})
		}
	}
	slices.SortFunc(rep.Ended, func(a, b work.EndedRun) int { return int(a.Seq - b.Seq) })
	return rep
}

// die ends a life and all that runs there; the lock is held.
func (l *life) die(by string, heldUp bool) {
	if l == nil || l.dead {
		return
	}
	if by != "" {
		for _, x := range l.runs {
			l.world.judgeEnd(x, by, heldUp)
		}
	}
	for _, x := range l.runs {
		x.end("lost")
	}
	l.dead = true
	if l.lapse != nil {
		l.lapse.Stop()
	}
}

// renew ends the life of an instance as planned; what comes up in its place bears an ID of its own.
func (w *world) renew(m *machine, after time.Duration) {
	m.bore = ""
	w.crash(m, after)
}

// crash ends the life of an instance, which soon has another.
func (w *world) crash(m *machine, after time.Duration) {
	m.life.die("", false)
	m.busy = true
	time.AfterFunc(after, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		m.busy, m.upkeepOf = false, 0
		w.live(m)
	})
}
