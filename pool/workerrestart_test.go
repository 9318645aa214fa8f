// SPDX-License-Identifier: MIT

//go:build !race

package pool_test

import (
	"flag"
	"fmt"
	"testing"
	"time"
)

// TestAWorkerThatComesBackUnderItsIDIsAnotherIncarnation guards against taking a worker that restarts under its ID for its earlier
// incarnation. That happened when rows of the table of workers were found by the ID alone, and had two effects.
//
// Tasks ran again after they had succeeded, 374 to 988 times in each of these histories: an incarnation numbers its ends from
// 1, so ends up to the number that the one before had reached were acknowledged but skipped, and the run counted as missing.
//
// Lasting tasks were not started elsewhere until 22 to 24 s after incarnations of 20 s: a run counts as missing only once the
// worker's clock has passed the reading which confirmed it, and the clock of the new incarnation starts from zero.
func TestAWorkerThatComesBackUnderItsIDIsAnotherIncarnation(t *testing.T) {
	for _, x := range [...]struct {
		name   string
		script func(h *history)
	}{
		{"no task runs again", func(h *history) {
			h.maxExtraTime = 300 * time.Millisecond
			h.submitLoad(3*time.Second, 60*time.Millisecond)
			for range 3 {
				h.crashBusy(2, 600*time.Millisecond)
				h.submitLoad(2*time.Second, 60*time.Millisecond)
			}
		}},
		{"what lasts starts elsewhere soon", func(h *history) {
			for range 4 {
				h.submit(true, 3)
			}
			time.Sleep(20 * time.Second)
			h.crashBusy(4, 200*time.Millisecond)
			time.Sleep(lastingRestartLimit)
			for _, task := range h.unfinished() {
				h.violations = append(h.violations, fmt.Sprintf("LOST %s is not at work %v after its worker restarted", task, lastingRestartLimit))
			}
		}},
	} {
		t.Run(x.name, func(t *testing.T) {
			for seed := range uint64(6) {
				_, violations := runHistoryReusingIDs(t, seed, func(h *history) {
					h.beforeCheck = func() { h.excludeGivenUp() }
					x.script(h)
					h.healAndCheck()
				})
				for _, y := range violations[:min(len(violations), 3)] {
					t.Errorf("seed %d, one of %d: %s", seed, len(violations), y)
				}
			}
		})
	}
}

// lastingRestartLimit is how long a lasting task may be away before users notice.
const lastingRestartLimit = 6 * time.Second

// crashBusy crashes the workers of instances that run tasks, up to the given count. They restart after a while.
func (h *history) crashBusy(count int, after time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range historyZones * historyWorkers {
		m := h.machines[fmt.Sprintf("m%02d", (i*5+h.r.IntN(2))%(historyZones*historyWorkers))]
		if count == 0 {
			return
		}
		if m.incarnation == nil || m.incarnation.dead || !m.incarnation.isBusy() {
			continue
		}
		count--
		h.crash(m, after)
	}
}

// isBusy reports whether the worker runs a task. The lock must be held.
func (l *incarnation) isBusy() bool {
	for _, x := range l.runs {
		if x.endedAt.IsZero() {
			return true
		}
	}
	return false
}

var lateOrders = flag.Bool("late", false, "also carry out orders late in the histories in which restarted workers keep their IDs")

// TestTakeoversKeepEveryPromiseWhereWorkersComeBack guards against violations in random takeover histories in which workers
// crash often and mostly restart under the same ID. TestAnOrderForTheIncarnationBeforeStartsNothing and
// TestAnOrderThatTheIncarnationBeforeHasSettledStartsNothing cover late orders; here they occur only with the flag -late.
func TestTakeoversKeepEveryPromiseWhereWorkersComeBack(t *testing.T) {
	for i := range *histories {
		seed := *first + uint64(i)
		_, violations := runHistoryWith(t, seed, historyWorkers, simCapacity, 0.8, func(h *history) {
			h.beforeCheck = func() { h.excludeGivenUp() }
			h.repeatsBeforeFencing = seed%2 == 0
			h.shortenLists(seed)
			for range historySteps {
				h.randomStep()
				if !*lateOrders {
					h.setLate(0)
				}
				if h.oneIn(3) {
					h.crashBusy(1+int(seed%3), time.Duration(seed%5)*300*time.Millisecond)
				}
			}
			h.healAndCheck()
		})
		for _, x := range violations[:min(len(violations), 3)] {
			t.Errorf("seed %d, one of %d: %s", seed, len(violations), x)
		}
	}
}

// oneIn reports true once in n times on average.
func (h *history) oneIn(n int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.r.IntN(n) == 0
}
